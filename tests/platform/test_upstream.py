import asyncio
import unittest

from klein import Klein
from twisted.internet.defer import Deferred

from fuchsiahatch_platform.upstream import UpstreamClient
from tests.loopback import Served, run


class Upstream:
    """Writes the beginning of an answer, and sees whether its caller goes."""

    def __init__(self):
        self.app = Klein()
        self.caller_gone = asyncio.Event()

        @self.app.route("/answer")
        def answer(request):
            request.notifyFinish().addErrback(lambda _: self.caller_gone.set())
            request.write(b"where the front")
            return Deferred()


class TestAbort(unittest.TestCase):
    def test_upstream_sees_that_nobody_reads(self):
        """An engine goes on writing for a member who has closed the chat.

        The agent gives the call up, but its word never reaches the connection: the
        transport of an answer's body has no way to abort, only to close.
        """

        async def work():
            upstream = Upstream()
            async with Served(upstream.app) as address:
                client = UpstreamClient(f"http://{address}")
                answer = await client.send("GET", "/answer", [], b"")
                self.assertEqual(await anext(answer.pieces), b"where the front")
                answer.abort()
                await upstream.caller_gone.wait()

        run(work())
