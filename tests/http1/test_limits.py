import asyncio
import socket
import unittest

from fuchsiahatch_http1.connection_states import CloseReason
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_connection import (
    MAX_PARTS_AT_ONCE,
    MAX_PIPELINED_BYTES,
)
from fuchsiahatch_http1.server_state import ServerLimits
from fuchsiahatch_http1.turns import MAX_AT_ONCE, Turns
from tests.gateway.sites import until
from tests.loopback import run

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def post(length, data=b""):
    return b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
        length,
        data,
    )


class Served:
    """A server with few limits, and callers on plain sockets."""

    def __init__(self, handle=None, **limits):
        self.handled = []
        self.server = HttpServer(handle or self._answer, ServerLimits(**limits))
        self.writers = []

    async def _answer(self, exchange):
        self.handled.append(len(exchange.body))
        exchange.respond(200, body=b"whole")

    async def __aenter__(self):
        self.port = await self.server.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        for writer in self.writers:
            writer.transport.abort()
        await self.server.close()

    async def open(self, data=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        writer.write(data)
        return reader, writer

    async def ask(self, data):
        """Return the status of the first answer; 0 without one."""
        reader, writer = await self.open(data)
        try:
            answer = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return 0
        finally:
            writer.transport.abort()
        return int(answer[9:12])


class TestAhead(unittest.TestCase):
    def test_requests_sent_ahead_are_answered_in_their_order(self):
        async def play():
            async with Served() as served:
                count = 500
                requests = [post(number, b"x" * number) for number in range(count)]
                reader, _ = await served.open(b"".join(requests[:50]))
                for _ in range(50):
                    await reader.readuntil(b"whole")
                return served.handled

        self.assertEqual(run(play()), list(range(50)))

    def test_a_caller_that_reads_no_answers_is_read_no_further(self):
        async def play():
            async def answers_much(exchange):
                served.handled.append(1)
                exchange.respond(200, body=b"x" * 200_000)

            async with Served(answers_much) as served:
                loop = asyncio.get_running_loop()
                with socket.socket() as caller:
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                    caller.setblocking(False)
                    await loop.sock_connect(caller, ("127.0.0.1", served.port))
                    await loop.sock_sendall(caller, GET * 1_000)
                    await asyncio.sleep(0.5)
                    (connection,) = served.server.connections
                    unsent_bytes = connection.unsent_bytes
                    return len(served.handled), unsent_bytes

        handled, unsent_bytes = run(play())
        # What the kernel takes of the first answers is not the process's memory.
        self.assertLess(handled, 100)
        self.assertLess(unsent_bytes, 100 * 200_000)

    def test_what_was_sent_ahead_counts_on_behind_an_answer(self):
        async def play():
            release = asyncio.Event()

            async def waits(exchange):
                await release.wait()
                exchange.respond(200)

            async with Served(waits) as served:
                reader, writer = await served.open(GET)
                await until(lambda: served.server.busy)
                (connection,) = served.server.connections
                half = MAX_PIPELINED_BYTES // len(GET) * 3 // 4
                writer.write(GET * half)
                await asyncio.sleep(0.1)
                release.set()
                await reader.readuntil(b"\r\n\r\n")
                release.clear()
                await until(lambda: served.server.busy)
                writer.write(GET * half)
                await until(lambda: connection.lost)
                return connection.describe().reason

        self.assertEqual(run(play()), CloseReason.PIPELINED)


class TestTurns(unittest.TestCase):
    def test_a_few_go_on_in_each_iteration_in_their_order(self):
        scheduled, called = [], []
        turns = Turns(scheduled.append)
        for number in range(2 * MAX_AT_ONCE + 1):
            turns.add(lambda number=number: called.append(number))
        counts = []
        while scheduled:
            scheduled.pop()()
            counts.append(len(called))
        self.assertEqual(counts, [MAX_AT_ONCE, 2 * MAX_AT_ONCE, 2 * MAX_AT_ONCE + 1])
        self.assertEqual(called, sorted(called))

    def test_one_that_fails_does_not_stop_the_others(self):
        scheduled, called = [], []
        turns = Turns(scheduled.append)
        turns.add(lambda: 1 / 0)
        turns.add(lambda: called.append(1))
        with self.assertRaises(ZeroDivisionError):
            scheduled.pop(0)()
        scheduled.pop(0)()
        self.assertEqual(called, [1])

    def test_much_that_came_at_once_is_parsed_in_several_iterations(self):
        async def play():
            async with Served() as served:
                chunks = b"1\r\nx\r\n" * (40 * MAX_PARTS_AT_ONCE)
                asking = asyncio.ensure_future(
                    served.ask(CHUNKED + chunks + b"0\r\n\r\n")
                )
                iterations = 0
                while not asking.done():
                    iterations += 1
                    await asyncio.sleep(0)
                return asking.result(), iterations

        status, iterations = run(play())
        self.assertEqual(status, 200)
        self.assertGreater(iterations, 40)


if __name__ == "__main__":
    unittest.main()
