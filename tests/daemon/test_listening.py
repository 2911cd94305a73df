import asyncio
import socket
import unittest

from klein import Klein

from fuchsiahatch_daemon import web
from tests.loopback import LOOP, run

ANSWER = b"where the front sits " * 200_000


def make_app():
    app = Klein()

    @app.route("/brief")
    def brief(request):
        return ANSWER

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
