import asyncio
import contextlib
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


class RawUpstream:
    """Answers each request with a body of pieces of 64 KiB, as fast as it is read."""

    PIECE = b"x" * 65_536

    def __init__(self, pieces):
        self._pieces = pieces
        self.sent = self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                length = self._pieces * len(self.PIECE)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
                for _ in range(self._pieces):
                    writer.write(self.PIECE)
                    self.sent += 1
                    await writer.drain()
        writer.close()


class TestBackPressure(unittest.TestCase):
    def test_an_answer_that_nobody_consumes_does_not_fill_the_memory(self):
        async def work():
            upstream = RawUpstream(1_000)
            async with upstream as address:
                client = UpstreamClient(f"http://{address}")
                answer = await client.send("GET", "/", [], b"")
                await asyncio.sleep(0.5)
                answer.abort()
                return upstream.sent

        self.assertLess(run(work()), 400)

    def test_large_answers_arrive_whole_on_connections_of_their_own(self):
        async def read(client):
            answer = await client.send("GET", "/", [], b"")
            await asyncio.sleep(0.05)
            return sum([len(piece) async for piece in answer.pieces])

        async def work():
            upstream = RawUpstream(100)
            async with upstream as address:
                client = UpstreamClient(f"http://{address}")
                sizes = [await read(client) for _ in range(3)]
                return sizes, upstream.connections

        self.assertEqual(run(work()), (3 * [6_553_600], 3))


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
