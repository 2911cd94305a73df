import asyncio
import socket
import unittest

from klein import Klein
from twisted.internet.defer import Deferred

from fuchsiahatch_daemon import web
from tests.gateway.sites import until
from tests.loopback import LOOP, run

ANSWER = b"where the front sits " * 200_000


def make_app():
    app = Klein()

    @app.route("/brief")
    def brief(request):
        return ANSWER

    @app.route("/wait", methods=["POST"])
    def wait(request):
        return Deferred()

    @app.route("/count", methods=["POST"])
    def count(request):
        return str(len(request.content.read()))

    return app


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TestClose(unittest.TestCase):
    def test_slow_reader_gets_the_whole_answer(self):
        """A skipper on a patchy line gets half a brief when an entry is stopped.

        The entry has written the whole answer and counts the request as ended;
        most of it still waits in the entry for the slow reader. The entry closes
        and its process ends, and what waited is lost.
        """

        async def work():
            address = free_address()
            listener = await web.listen(make_app(), address)
            ip, port = address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
            writer.write(b"GET /brief HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            closing = LOOP.create_task(listener.close())
            await asyncio.sleep(0)
            self.assertFalse(closing.done())
            rest = await reader.read(-1)
            await closing
            writer.close()
            return rest

        rest = run(work())
        self.assertIn(ANSWER, rest)

    def test_idle_connections_do_not_hold_it_up(self):
        async def work():
            address = free_address()
            listener = await web.listen(make_app(), address)
            ip, port = address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            await listener.close()
            self.assertEqual(await reader.read(-1), b"")
            writer.close()

        run(work())


class TestReceivedBytes(unittest.TestCase):
    """What is held of a request is counted out however it ends.

    It was counted on for ever, so that all bodies would have been refused in the end.
    """

    def held_behind(self, act):
        """Return what is held behind a caller's acts and its close."""

        async def play():
            address = free_address()
            listener = await web.listen(make_app(), address)
            connections = listener._connections
            received = connections.wrappedFactory.received
            ip, port = address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            await act(reader, writer, received)
            writer.transport.abort()
            await until(lambda: not connections.protocols)
            held_bytes = received.total_bytes
            await listener.close()
            return held_bytes

        return run(play())

    def post(self, path, length, sent):
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
        return head.encode() + b"x" * sent

    def test_behind_an_answer(self):
        async def act(reader, writer, received):
            for _ in range(2):
                writer.write(self.post("/count", 5_000, 5_000))
                answer = await reader.readuntil(b"5000")
                self.assertIn(b" 200 ", answer)
                await until(lambda: not received.total_bytes)

        self.assertEqual(self.held_behind(act), 0)

    def test_behind_a_caller_that_leaves_within_its_body(self):
        async def act(reader, writer, received):
            writer.write(self.post("/count", 5_000, 4_000))
            await until(lambda: received.total_bytes == 4_000)

        self.assertEqual(self.held_behind(act), 0)

    def test_behind_a_caller_that_leaves_before_its_answer(self):
        async def act(reader, writer, received):
            writer.write(self.post("/wait", 5_000, 5_000))
            await until(lambda: received.total_bytes == 10_000)

        self.assertEqual(self.held_behind(act), 0)
