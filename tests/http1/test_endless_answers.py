import asyncio
import contextlib
import socket
import struct
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_http1.answers import (
    AnswerBroken,
    AnswerEnd,
    AnswerTooLong,
    Bound,
)
from fuchsiahatch_http1.client import (
    MAX_INFORMATIONAL_HEADS,
    MAX_PARTS_AT_ONCE,
    Call,
)
from fuchsiahatch_http1.pool import ConnectionPool
from tests import loopback

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIECE = b"x" * 65_536
#: More than the kernel holds of one connection.
MANY_PIECES = 1_000
#: Bytes that the kernel may hold of one connection.
KERNEL_BYTES = 24_000_000
LARGE = b"".join(b"%07d\n" % number for number in range(400_000))


def reset(writer):
    """Close a connection with a reset behind what was sent."""
    handle = writer.get_extra_info("socket")
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Upstream:
    """A server that runs one script for each request, and one call to it."""

    def __init__(self, script):
        self._script = script
        self.sent_bytes = 0
        self.left = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(ManualClock())
        self.connection = await self.pool.acquire("127.0.0.1", self.port)
        self.connection.send(Call(b"GET", b"/", [(b"host", b"x")]))
        return self

    async def __aexit__(self, *exc_info):
        self.connection.abort()
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await self._script(self, writer)
            await reader.read()
        self.left.set()
        writer.close()

    async def write(self, writer, data):
        writer.write(data)
        self.sent_bytes += len(data)
        await writer.drain()

    async def write_many(self, writer, head=UNFRAMED):
        await self.write(writer, head)
        for _ in range(MANY_PIECES):
            await self.write(writer, PIECE)


async def read_slowly(connection):
    """Return a body that is consumed with pauses, in which its connection fills."""
    body = b""
    while (piece := await connection.piece()) is not None:
        body += piece
        await asyncio.sleep(0.001)
    return body


class TestBackPressure(unittest.TestCase):
    def test_a_body_that_nobody_consumes_is_not_received_into_the_memory(self):
        async def call():
            async with Upstream(Upstream.write_many) as served:
                await served.connection.head()
                await asyncio.sleep(0.5)
                return served.sent_bytes

        self.assertLess(loopback.run(call()), KERNEL_BYTES)

    def test_a_large_body_that_is_consumed_slowly_arrives_whole(self):
        async def send(served, writer):
            await served.write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 3200000")
            await served.write(writer, b"\r\n\r\n" + LARGE)

        async def call():
            async with Upstream(send) as served:
                await served.connection.head()
                body = await read_slowly(served.connection)
                return body == LARGE, served.connection.reusable, served.connection.end

        self.assertEqual(loopback.run(call()), (True, True, AnswerEnd.FRAMED))

    def test_a_close_behind_bytes_that_wait_completes_an_unframed_body(self):
        async def send(served, writer):
            await served.write(writer, UNFRAMED + LARGE)
            writer.close()

        async def call():
            async with Upstream(send) as served:
                await served.connection.head()
                await asyncio.sleep(0.1)
                body = await read_slowly(served.connection)
                return body == LARGE, served.connection.end

        self.assertEqual(loopback.run(call()), (True, AnswerEnd.CLOSED))

    def test_a_reset_behind_bytes_that_wait_does_not_complete_a_body(self):
        async def send(served, writer):
            await served.write(writer, UNFRAMED + LARGE)
            reset(writer)

        async def call():
            async with Upstream(send) as served:
                await served.connection.head()
                await asyncio.sleep(0.1)
                with self.assertRaises(AnswerBroken):
                    await read_slowly(served.connection)
                return served.connection.end

        self.assertIs(loopback.run(call()), AnswerEnd.RESET)

    def test_an_abort_reaches_a_server_whose_bytes_are_not_read(self):
        async def call():
            async with Upstream(Upstream.write_many) as served:
                await served.connection.head()
                await asyncio.sleep(0.2)
                served.connection.abort()
                await asyncio.wait_for(served.left.wait(), 2.0)
                return served.connection.lost

        self.assertTrue(loopback.run(call()))


class TestBounds(unittest.TestCase):
    def test_informational_heads_without_end_are_given_up(self):
        async def send(served, writer):
            await served.write(writer, CONTINUE * 100_000)

        async def call():
            async with Upstream(send) as served:
                with self.assertRaises(AnswerTooLong) as caught:
                    await asyncio.wait_for(served.connection.head(), 2.0)
                return caught.exception.bound

        self.assertIs(loopback.run(call()), Bound.INFORMATIONAL)

    def test_a_few_informational_heads_are_skipped(self):
        async def send(served, writer):
            heads = CONTINUE * MAX_INFORMATIONAL_HEADS
            await served.write(writer, heads + CHUNKED + b"0\r\n\r\n")

        async def call():
            async with Upstream(send) as served:
                head = await served.connection.head()
                return head.status, await served.connection.body()

        self.assertEqual(loopback.run(call()), (200, b""))

    def test_a_body_that_is_skipped_is_given_up_at_a_bound(self):
        async def call():
            async with Upstream(Upstream.write_many) as served:
                await served.connection.head()
                with self.assertRaises(AnswerTooLong) as caught:
                    await served.connection.skip_body(100_000)
                return caught.exception.bound, served.sent_bytes

        bound, sent_bytes = loopback.run(call())
        self.assertIs(bound, Bound.SKIPPED)
        self.assertLess(sent_bytes, KERNEL_BYTES)


class TestTurns(unittest.TestCase):
    PARTS = 20_000

    async def count_turns(self):
        while True:
            self.turns += 1
            await asyncio.sleep(0)

    def test_chunks_of_one_byte_do_not_keep_the_loop_from_other_work(self):
        async def send(served, writer):
            await served.write(writer, CHUNKED + b"1\r\nx\r\n" * self.PARTS)
            await served.write(writer, b"0\r\n\r\n")

        async def call():
            async with Upstream(send) as served:
                await served.connection.head()
                # All of them have arrived, as far as they are read ahead.
                await asyncio.sleep(0.2)
                self.turns = 0
                counting = asyncio.ensure_future(self.count_turns())
                body = await served.connection.body()
                counting.cancel()
                return len(body)

        self.assertEqual(loopback.run(call()), self.PARTS)
        self.assertGreater(self.turns, self.PARTS / MAX_PARTS_AT_ONCE / 2)


if __name__ == "__main__":
    unittest.main()
