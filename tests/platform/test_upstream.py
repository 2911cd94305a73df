import asyncio
import unittest

from klein import Klein
from twisted.internet.defer import Deferred

from fuchsiahatch_platform.upstream import UpstreamClient
from tests.loopback import Served, run


class Upstream:
    """Writes the beginning of an answer, and notes whether the client disconnects."""

    def __init__(self):
        self.app = Klein()
        self.client_disconnected = asyncio.Event()

        @self.app.route("/answer")
        def answer(request):
            request.notifyFinish().addErrback(lambda _: self.client_disconnected.set())
            request.write(b"where the front")
            return Deferred()


class TestAbort(unittest.TestCase):
    def test_aborting_an_answer_disconnects_from_the_upstream(self):
        """An engine continues to generate for a user who has closed the chat.

        The agent abandons the call, but the connection stays open: the transport of
        an answer's body can only be closed, it has no method to abort.
        """

        async def work():
            upstream = Upstream()
            async with Served(upstream.app) as address:
                client = UpstreamClient(f"http://{address}")
                answer = await client.send("GET", "/answer", [], b"")
                self.assertEqual(await anext(answer.pieces), b"where the front")
                answer.abort()
                await upstream.client_disconnected.wait()

        run(work())
