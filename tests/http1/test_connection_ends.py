import asyncio
import socket
import struct

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from fuchsiahatch_http1.connection_states import (
    CloseReason,
    ConnectionState,
    PeerEnd,
)
from fuchsiahatch_http1.server_connection import MAX_PIPELINED_BYTES
from fuchsiahatch_http1.sockets import set_unacknowledged_timeout
from tests.gateway.sites import until
from tests.http1.test_closing import (
    GET,
    GET_AND_CLOSE,
    LARGE_BYTES,
    Caller,
    ClosingCase,
)

PARTIAL = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class TestClosedConnections(ClosingCase):
    async def short(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"short")

    def closed_after(self, handle, act, **options):
        """Return what is told of the one connection that a caller acts on."""
        closed = []

        async def play():
            port = await self.serve(handle)
            self.server.report_closes(lambda reason: None, closed.append)
            async with Caller(port, **options) as caller:
                await act(caller)
                async with asyncio.timeout(10):
                    await until(lambda: closed)

        self.play(play)
        (connection,) = closed
        return connection

    def test_an_idle_connection_tells_of_its_last_answer(self):
        async def act(caller):
            await caller.send(GET)
            await caller.receive()
            await asyncio.sleep(0.1)
            self.server.leave()

        closed = self.closed_after(self.short, act)
        self.assertEqual(closed.reason, CloseReason.IDLE)
        self.assertEqual(closed.header(b"host"), b"x")
        self.assertGreaterEqual(closed.answered_ago_ms, 100)
        self.assertGreater(closed.answer_bytes, len(b"short"))
        self.assertEqual(closed.peer_end, PeerEnd.OPEN)
        self.assertEqual(closed.unacknowledged_bytes, 0)

    def test_a_connection_without_a_request_tells_of_no_answer(self):
        async def act(caller):
            await until(lambda: self.server.connections)
            self.server.leave()

        closed = self.closed_after(self.short, act)
        self.assertIsNone(closed.answered_ago_ms)
        self.assertIsNone(closed.header(b"host"))

    def test_bytes_that_cross_the_close_of_an_idle_connection_are_unread(self):
        async def act(caller):
            await caller.send(GET)
            await caller.receive()
            self.server.leave()
            caller.socket.send(GET)

        closed = self.closed_after(self.short, act)
        self.assertEqual(closed.unread_bytes, len(GET))

    def test_a_request_behind_the_last_answer_is_discarded(self):
        async def act(caller):
            await caller.send(GET_AND_CLOSE)
            await caller.receive()
            await caller.send(GET)

        closed = self.closed_after(self.short, act)
        self.assertEqual(closed.reason, CloseReason.ANSWERED)
        self.assertEqual(closed.discarded_bytes, len(GET))
        self.assertEqual(closed.unread_bytes, 0)
        self.assertGreaterEqual(closed.lingered_ms, 1_000)

    def test_a_caller_that_closes_first_is_told_from_one_that_resets(self):
        async def close(caller):
            await caller.send(GET)
            await caller.receive()
            caller.socket.shutdown(socket.SHUT_WR)

        async def reset(caller):
            await caller.send(GET)
            await caller.receive()
            caller.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
            caller.socket.close()

        for act, expected in ((close, PeerEnd.CLOSED), (reset, PeerEnd.RESET)):
            with self.subTest(expected):
                closed = self.closed_after(self.short, act)
                self.assertEqual(closed.reason, CloseReason.CALLER)
                self.assertEqual(closed.peer_end, expected)

    def test_a_reset_behind_a_finished_answer_tells_how_much_the_caller_lacks(self):
        async def act(caller):
            await caller.send(GET_AND_CLOSE)
            await until(lambda: self.handled)
            caller.socket.close()

        closed = self.closed_after(self.large, act, receive_bytes=4_096)
        self.assertEqual(closed.reason, CloseReason.ANSWERED)
        self.assertEqual(closed.peer_end, PeerEnd.RESET)
        self.assertGreater(closed.answer_bytes, LARGE_BYTES)
        self.assertGreater(closed.unacknowledged_bytes, LARGE_BYTES // 2)

    def test_a_timeout_of_the_kernel_is_told_from_a_reset(self):
        async def act(caller):
            await caller.send(GET_AND_CLOSE)
            await until(lambda: self.handled)
            (connection,) = self.server.connections
            set_unacknowledged_timeout(connection.transport, 300)

        closed = self.closed_after(self.large, act, receive_bytes=4_096)
        self.assertEqual(closed.peer_end, PeerEnd.TIMED_OUT)
        self.assertGreater(closed.unacknowledged_bytes, LARGE_BYTES // 2)


class TestCutRequests(ClosingCase):
    async def streams(self, exchange):
        self.handled += 1
        exchange.start(200, ())
        exchange.write(b"first")
        await asyncio.Event().wait()

    async def fails(self, exchange):
        raise ArithmeticError

    def cut_by(self, handle, act, **limits):
        """Return what is told of the one request that is cut as a caller acts."""
        cuts = []

        async def play():
            port = await self.serve(handle, **limits)
            self.server.report_cuts(cuts.append, lambda closed: None)
            async with Caller(port) as caller:
                await until(lambda: self.server.connections)
                await act(caller)
                async with asyncio.timeout(5):
                    await until(lambda: cuts)

        self.play(play)
        (cut,) = cuts
        self.assertEqual(cut.request.header(b"host"), b"x")
        return cut

    async def begin(self, caller):
        await caller.send(GET)
        await caller.receive()

    def connection(self):
        (connection,) = self.server.connections
        return connection

    def test_a_caller_that_leaves_an_answer_in_progress(self):
        async def close(caller):
            await self.begin(caller)
            caller.socket.shutdown(socket.SHUT_WR)

        async def reset(caller):
            await self.begin(caller)
            caller.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
            caller.socket.close()

        for act, expected in ((close, PeerEnd.CLOSED), (reset, PeerEnd.RESET)):
            with self.subTest(expected):
                cut = self.cut_by(self.streams, act)
                self.assertEqual(cut.reason, CloseReason.CALLER)
                self.assertEqual(cut.peer_end, expected)
                self.assertEqual(cut.state, ConnectionState.ANSWERING)
                self.assertGreater(cut.request.answer_bytes, 0)
                self.assertFalse(cut.stopping)

    def test_a_caller_that_pipelines_too_much(self):
        async def act(caller):
            await self.begin(caller)
            await caller.send(b"x" * (MAX_PIPELINED_BYTES + 1))

        cut = self.cut_by(self.streams, act)
        self.assertEqual(cut.reason, CloseReason.PIPELINED)

    def test_a_handler_that_fails(self):
        cut = self.cut_by(self.fails, lambda caller: caller.send(GET))
        self.assertEqual(cut.reason, CloseReason.RESET)
        self.assertEqual(cut.request.answer_bytes, 0)

    def test_a_caller_that_leaves_before_the_handler_has_begun(self):
        async def act(caller):
            connection = self.connection()
            connection.dataReceived(GET)
            connection.transport.connectionLost(Failure(ConnectionDone()))

        cut = self.cut_by(self.streams, act)
        self.assertEqual(cut.reason, CloseReason.CALLER)
        self.assertEqual(self.handled, 0)

    def test_the_end_of_the_server_before_the_handler_has_begun(self):
        async def act(caller):
            self.connection().dataReceived(GET)
            self.server.leave()
            await self.server.end(0)

        cut = self.cut_by(self.streams, act)
        self.assertEqual(cut.reason, CloseReason.END)
        self.assertTrue(cut.stopping)
        self.assertEqual(self.handled, 0)

    def test_the_end_of_the_server_in_an_answer(self):
        async def act(caller):
            await self.begin(caller)
            await self.server.end(0)

        self.assertEqual(self.cut_by(self.streams, act).reason, CloseReason.END)

    def test_a_request_that_does_not_arrive_whole(self):
        cut = self.cut_by(
            self.streams,
            lambda caller: caller.send(PARTIAL),
            idle_ms=100,
        )
        self.assertEqual(cut.reason, CloseReason.TIMED_OUT)
        self.assertEqual(cut.state, ConnectionState.READING)

    def test_whole_answers_are_not_cut(self):
        cuts = []

        async def play():
            port = await self.serve(self.large)
            self.server.report_cuts(cuts.append, lambda closed: None)
            for request in (GET, GET_AND_CLOSE):
                async with Caller(port) as caller:
                    await caller.send(request)
                    await caller.receive()
                await until(lambda: not self.server.connections)

        self.play(play)
        self.assertEqual(self.handled, 2)
        self.assertEqual(cuts, [])
