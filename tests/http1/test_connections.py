import asyncio
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_http1.client import (
    AnswerBroken,
    Call,
    ConnectFailed,
    ConnectionPool,
)
from fuchsiahatch_http1.server import HttpServer, ServerLimits
from tests import loopback

HEADERS = [(b"host", b"x")]


async def echo(exchange):
    exchange.respond(200, [(b"x-method", exchange.method)], exchange.body)


class Served:
    """A server with a handler and a pool of connections to it."""

    def __init__(self, handle=echo, **limits):
        self.server = HttpServer(handle, ServerLimits(**limits))
        self.clock = ManualClock()
        self.pool = ConnectionPool(self.clock, connect_ms=300)

    async def __aenter__(self):
        self.port = await self.server.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        await self.server.close()

    async def call(self, body=b"", target=b"/"):
        connection = await self.pool.acquire("127.0.0.1", self.port)
        connection.send(Call(b"POST", target, HEADERS, body))
        head = await connection.head()
        content = await connection.body()
        self.pool.release(connection, "127.0.0.1", self.port)
        return head, content

    async def raw(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = await reader.read(-1)
        writer.close()
        return answer


class TestPool(unittest.TestCase):
    def test_a_connection_is_used_again(self):
        async def calls():
            async with Served() as one:
                for _ in range(3):
                    _, content = await one.call(b"body")
                return content, one.pool.opened

        self.assertEqual(loopback.run(calls()), (b"body", 1))

    def test_one_that_was_idle_for_long_is_not(self):
        # A hold fails for a connection that its server was just about to close.
        async def calls():
            async with Served() as one:
                await one.call()
                one.clock.advance(60_000)
                await one.call()
                return one.pool.opened

        self.assertEqual(loopback.run(calls()), 2)

    def test_nobody_there(self):
        async def call():
            pool = ConnectionPool(ManualClock(), 300)
            with self.assertRaises(ConnectFailed):
                await pool.acquire("127.0.0.1", 9)

        loopback.run(call())

    def test_a_reset_is_no_end(self):
        async def resets(exchange):
            exchange.start(200, ())
            exchange.write(b"half")
            await asyncio.sleep(0.02)
            exchange.abort()

        async def call():
            async with Served(resets) as one:
                with self.assertRaises(AnswerBroken):
                    await one.call()

        loopback.run(call())


class TestServer(unittest.TestCase):
    def test_a_body_that_is_too_long_is_refused_before_it_is_in(self):
        async def call():
            async with Served(body_bytes=10) as one:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n"
                return await one.raw(head + b"a" * 20)

        self.assertIn(b" 413 ", loopback.run(call()).splitlines()[0])

    def test_a_caller_who_sends_too_slowly_is_told_so(self):
        async def call():
            async with Served(idle_ms=60) as one:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
                return await one.raw(head + b"a")

        self.assertIn(b" 408 ", loopback.run(call()).splitlines()[0])

    def test_an_idle_connection_is_closed_without_a_word(self):
        async def call():
            async with Served(header_ms=50) as one:
                return await one.raw(b"")

        self.assertEqual(loopback.run(call()), b"")

    def test_a_leaving_server_closes_behind_each_answer(self):
        async def call():
            async with Served() as one:
                await one.call()
                one.server.leave()
                # The close of the idle connection must have come before the call.
                await asyncio.sleep(0.02)
                head, _ = await one.call()
                return head.header(b"connection"), one.pool.opened

        self.assertEqual(loopback.run(call()), (b"close", 2))

    def test_a_slow_reader_is_waited_for(self):
        # One caller on a slow link fills the entry's memory with its answer.
        written = []

        async def floods(exchange):
            exchange.start(200, ())
            for _ in range(400):
                exchange.write(b"x" * 65_536)
                written.append(1)
                await exchange.drained()
            exchange.finish()

        async def call():
            async with Served(floods) as one:
                _, writer = await asyncio.open_connection("127.0.0.1", one.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await asyncio.sleep(0.3)
                writer.transport.abort()

        loopback.run(call())
        self.assertLess(len(written), 400)

    def test_the_work_ends_with_its_caller(self):
        ended = []

        async def waits(exchange):
            try:
                await asyncio.sleep(30)
            finally:
                ended.append(exchange.caller_disconnected)

        async def call():
            async with Served(waits) as one:
                _, writer = await asyncio.open_connection("127.0.0.1", one.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.1)

        loopback.run(call())
        self.assertEqual(ended, [True])
