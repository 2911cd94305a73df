import asyncio
import socket
import unittest
from unittest import mock

from twisted.internet import reactor

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_http1.answers import AnswerBroken, CallUnsent
from fuchsiahatch_http1.client import Call
from fuchsiahatch_http1.pool import ConnectFailed, ConnectionPool
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_state import ServerLimits
from tests import loopback

HEADERS = [(b"host", b"x")]


async def echo(exchange):
    exchange.respond(200, [(b"x-method", exchange.method)], exchange.body)


class ServerAndPool:
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
    def test_a_connection_is_reused(self):
        async def calls():
            async with ServerAndPool() as served:
                for _ in range(3):
                    _, content = await served.call(b"body")
                return content, served.pool.opened

        self.assertEqual(loopback.run(calls()), (b"body", 1))

    def test_a_connection_that_was_idle_for_long_is_not_reused(self):
        # A request for a hold fails because its reused connection is just being closed
        # by the server.
        async def calls():
            async with ServerAndPool() as served:
                await served.call()
                served.clock.advance(60_000)
                await served.call()
                return served.pool.opened

        self.assertEqual(loopback.run(calls()), 2)

    def test_a_refused_connection_raises_connect_failed(self):
        async def call():
            pool = ConnectionPool(ManualClock(), 300)
            with self.assertRaises(ConnectFailed):
                await pool.acquire("127.0.0.1", 9)

        loopback.run(call())

    def test_a_reset_does_not_complete_an_answer(self):
        async def resets(exchange):
            exchange.start(200, ())
            exchange.write(b"half")
            await asyncio.sleep(0.02)
            exchange.abort()

        async def call():
            async with ServerAndPool(resets) as served:
                with self.assertRaises(AnswerBroken):
                    await served.call()

        loopback.run(call())


class TestEndedConnections(unittest.TestCase):
    def test_a_connection_that_is_being_reset_is_not_handed_to_the_next_call(self):
        # A request that can't be repeated would fail, though nothing of it was sent.
        async def answers_again(exchange):
            exchange.respond(200, body=b"own")
            transport = exchange._connection.transport
            again = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
            reactor.callLater(0.02, transport.write, again)

        async def play():
            async with ServerAndPool(answers_again) as served:
                await served.call()
                (connection,) = served.pool._idle["127.0.0.1", served.port]
                asked, abort = [], connection.abort

                def abort_and_call():
                    abort()
                    had_idle = served.pool.has_idle("127.0.0.1", served.port)
                    asked.append((had_idle, asyncio.ensure_future(served.call())))

                with mock.patch.object(connection, "abort", abort_and_call):
                    await asyncio.sleep(0.1)
                ((had_idle, call),) = asked
                return had_idle, (await call)[1]

        self.assertEqual(loopback.run(play()), (False, b"own"))

    def send_and_close(self, sent_first):
        """Return the error of a call whose connection its peer closes."""

        async def play():
            pool = ConnectionPool(ManualClock(), 300)
            with socket.create_server(("127.0.0.1", 0)) as listening:
                address = listening.getsockname()
                await pool.probe(*address)
                peer, _ = listening.accept()
                connection = await pool.acquire(*address)
                connection.send(Call(b"POST", b"/", HEADERS, b"body"))
                if sent_first:
                    await asyncio.sleep(0.02)
                peer.close()
                with self.assertRaises(AnswerBroken) as raised:
                    await connection.head()
                return type(raised.exception)

        return loopback.run(play())

    def test_a_call_whose_connection_was_closed_before_it_left_is_unsent(self):
        # Its caller would be told that it may have run.
        self.assertIs(self.send_and_close(sent_first=False), CallUnsent)

    def test_a_call_whose_connection_is_closed_after_it_left_may_have_run(self):
        self.assertIs(self.send_and_close(sent_first=True), AnswerBroken)


class TestServer(unittest.TestCase):
    def test_a_body_that_is_too_long_is_rejected_before_it_is_received(self):
        async def call():
            async with ServerAndPool(body_bytes=10) as served:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n"
                return await served.raw(head + b"a" * 20)

        self.assertIn(b" 413 ", loopback.run(call()).splitlines()[0])

    def test_a_caller_that_sends_too_slowly_gets_a_timeout_status(self):
        async def call():
            async with ServerAndPool(idle_ms=60) as served:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
                return await served.raw(head + b"a")

        self.assertIn(b" 408 ", loopback.run(call()).splitlines()[0])

    def test_an_idle_connection_is_closed_without_an_answer(self):
        async def call():
            async with ServerAndPool(header_ms=50) as served:
                return await served.raw(b"")

        self.assertEqual(loopback.run(call()), b"")

    def test_a_leaving_server_closes_connections_after_each_answer(self):
        async def call():
            async with ServerAndPool() as served:
                await served.call()
                served.server.leave()
                # The close of the idle connection must arrive before the call.
                await asyncio.sleep(0.02)
                head, _ = await served.call()
                return head.header(b"connection"), served.pool.opened

        self.assertEqual(loopback.run(call()), (b"close", 2))

    def test_writes_wait_for_a_slow_reader(self):
        # Without backpressure, the answer to a caller on a slow link fills the entry's
        # memory.
        written = []

        async def floods(exchange):
            exchange.start(200, ())
            for _ in range(400):
                exchange.write(b"x" * 65_536)
                written.append(1)
                await exchange.drained()
            exchange.finish()

        async def call():
            async with ServerAndPool(floods) as served:
                _, writer = await asyncio.open_connection("127.0.0.1", served.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await asyncio.sleep(0.3)
                writer.transport.abort()

        loopback.run(call())
        self.assertLess(len(written), 400)

    def test_the_handler_is_cancelled_when_the_caller_disconnects(self):
        ended = []

        async def waits(exchange):
            try:
                await asyncio.sleep(30)
            finally:
                ended.append(exchange.caller_disconnected)

        async def call():
            async with ServerAndPool(waits) as served:
                _, writer = await asyncio.open_connection("127.0.0.1", served.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.1)

        loopback.run(call())
        self.assertEqual(ended, [True])
