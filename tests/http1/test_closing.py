import asyncio
import itertools
import os
import pathlib
import socket
import time
import unittest

from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_state import ServerLimits
from fuchsiahatch_http1.sockets import SLOW_CALLER_TIMEOUT_MS, UNACKNOWLEDGED_TIMEOUT_MS
from tests.gateway.sites import until
from tests.loopback import run

LARGE_BYTES = 1_000_000
#: An answer that doesn't fit into the kernel's buffers.
HUGE_BYTES = 16_000_000
#: An answer that does, and a caller that reads it slowly.
SMALL_BYTES, SLOW_BYTES, SLOW_PAUSE_S = 30_000, 4_000, 1.3
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
GET_AND_CLOSE = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def open_sockets():
    """Return the sockets of this process by their inodes, which aren't used again."""
    paths = pathlib.Path("/proc/self/fd").iterdir()
    links = [os.readlink(path) for path in paths if os.path.lexists(path)]
    return {link for link in links if link.startswith("socket:")}


class Caller:
    """A plain socket, so that a test decides when bytes are read."""

    def __init__(self, port, receive_bytes=None):
        self._loop = asyncio.get_running_loop()
        self._port = port
        self.socket = socket.socket()
        if receive_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.setblocking(False)

    async def __aenter__(self):
        await self._loop.sock_connect(self.socket, ("127.0.0.1", self._port))
        return self

    async def __aexit__(self, *exc_info):
        self.socket.close()

    async def send(self, data):
        await self._loop.sock_sendall(self.socket, data)

    async def receive(self, size=65_536):
        return await self._loop.sock_recv(self.socket, size)

    async def receive_all(self, bytes_per_s=None):
        data = b""
        while piece := await self.receive():
            data += piece
            if bytes_per_s is not None:
                await asyncio.sleep(len(piece) / bytes_per_s)
        return data


class ClosingCase(unittest.TestCase):
    def setUp(self):
        self.handled = 0
        self.server = None

    async def large(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"x" * LARGE_BYTES)

    async def huge(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"x" * HUGE_BYTES)

    async def serve(self, handle, **limits):
        self.server = HttpServer(handle, ServerLimits(**limits))
        return await self.server.listen("127.0.0.1", 0)

    def play(self, work):
        async def play():
            try:
                return await work()
            finally:
                await self.server.close()
                await asyncio.sleep(0)

        return run(play())


class TestClose(ClosingCase):
    def test_the_connection_of_a_stream_begun_before_the_stop_is_closed_after_it(self):
        # A next request on it would be passed on, and cut by the end of the process.
        released = asyncio.Event()

        async def streams(exchange):
            self.handled += 1
            exchange.start(200, ())
            exchange.write(b"first")
            await released.wait()
            exchange.finish()

        async def play():
            async with Caller(await self.serve(streams)) as caller:
                await caller.send(GET)
                data = await caller.receive()
                self.server.leave()
                released.set()
                async with asyncio.timeout(2):
                    return data + await caller.receive_all()

        data = self.play(play)
        self.assertTrue(data.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.handled, 1)

    def test_a_request_that_crosses_the_close_is_not_handled_and_resets_nothing(self):
        async def play():
            port = await self.serve(self.large)
            async with Caller(port, receive_bytes=4_096) as caller:
                await caller.send(GET_AND_CLOSE)
                await until(lambda: self.handled)
                await caller.send(GET)
                await asyncio.sleep(0.1)
                return await caller.receive_all()

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), LARGE_BYTES)
        self.assertEqual(self.handled, 1)

    def test_a_pipelined_request_behind_a_last_answer_is_not_handled(self):
        async def play():
            async with Caller(await self.serve(self.large)) as caller:
                await caller.send(GET_AND_CLOSE + GET)
                await asyncio.sleep(0.1)
                return await caller.receive_all()

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), LARGE_BYTES)
        self.assertEqual(self.handled, 1)

    def test_a_caller_that_sends_its_whole_body_first_reads_the_refusal(self):
        async def play():
            async with Caller(await self.serve(self.large, body_bytes=10)) as caller:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n"
                await caller.send(head)
                for _ in range(20):
                    await caller.send(b"a" * 100_000)
                    await asyncio.sleep(0.005)
                return await caller.receive_all()

        self.assertIn(b" 413 ", self.play(play).splitlines()[0])

    def test_a_caller_that_stays_is_closed_after_the_linger_time(self):
        async def play():
            async with Caller(await self.serve(self.large)) as caller:
                await caller.send(GET_AND_CLOSE)
                await caller.receive_all()
                began_s = time.monotonic()
                while self.server.connections:
                    await caller.send(b"more")
                    await asyncio.sleep(0.05)
                return time.monotonic() - began_s

        self.assertLess(self.play(play), 2.0)

    def test_a_caller_that_ends_its_sending_side_early_gets_its_whole_answer(self):
        async def play():
            port = await self.serve(self.large)
            async with Caller(port, receive_bytes=4_096) as caller:
                await caller.send(GET_AND_CLOSE)
                await until(lambda: self.handled)
                caller.socket.shutdown(socket.SHUT_WR)
                await asyncio.sleep(0.1)
                return await caller.receive_all()

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), LARGE_BYTES)

    def test_a_caller_that_ends_its_sending_side_behind_a_kept_answer_gets_it(self):
        async def play():
            port = await self.serve(self.huge)
            async with Caller(port, receive_bytes=65_536) as caller:
                await caller.send(GET)
                await until(lambda: self.handled)
                caller.socket.shutdown(socket.SHUT_WR)
                await asyncio.sleep(0.1)
                data = await caller.receive_all()
            await until(lambda: not self.server.connections)
            return data

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), HUGE_BYTES)

    def test_a_caller_that_ends_its_sending_side_behind_its_request_is_answered(self):
        async def answers_later(exchange):
            await asyncio.sleep(0.1)
            exchange.respond(200, (), b"x" * SMALL_BYTES)

        async def play():
            async with Caller(await self.serve(answers_later)) as caller:
                await caller.send(GET)
                caller.socket.shutdown(socket.SHUT_WR)
                return await caller.receive_all()

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), SMALL_BYTES)

    def test_it_is_answered_behind_an_interim_answer_if_that_takes_longer(self):
        async def answers_later(exchange):
            await asyncio.sleep(0.4)
            exchange.respond(200, (), b"x" * SMALL_BYTES)

        async def play():
            async with Caller(await self.serve(answers_later)) as caller:
                await caller.send(GET)
                caller.socket.shutdown(socket.SHUT_WR)
                return await caller.receive_all()

        interim, _, answer = self.play(play).partition(b"\r\n\r\n")
        self.assertEqual(interim.split()[1], b"100")
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), SMALL_BYTES)

    def test_the_work_for_a_caller_that_has_left_stops_within_half_a_second(self):
        ended = []

        async def works(exchange):
            try:
                await asyncio.Event().wait()
            finally:
                ended.append(time.monotonic())

        async def play():
            async with Caller(await self.serve(works)) as caller:
                await caller.send(GET)
                await until(lambda: self.server.busy)
            left_s = time.monotonic()
            await until(lambda: ended)
            return ended[0] - left_s

        self.assertLess(self.play(play), 0.5)

    def test_a_caller_of_the_old_version_that_ends_its_sending_side_has_left(self):
        async def works(exchange):
            await asyncio.Event().wait()

        async def play():
            async with Caller(await self.serve(works)) as caller:
                await caller.send(GET.replace(b"1.1", b"1.0"))
                await until(lambda: self.server.busy)
                caller.socket.shutdown(socket.SHUT_WR)
                return await caller.receive_all()

        self.assertEqual(self.play(play), b"")

    def test_requests_sent_ahead_of_the_end_of_the_sending_side_are_answered(self):
        async def answers_later(exchange):
            await asyncio.sleep(0.05)
            exchange.respond(200, (), b"x" * SMALL_BYTES)

        async def play():
            async with Caller(await self.serve(answers_later)) as caller:
                await caller.send(GET * 3)
                caller.socket.shutdown(socket.SHUT_WR)
                data = await caller.receive_all()
            await until(lambda: not self.server.connections)
            return data

        self.assertEqual(self.play(play).count(b"x" * SMALL_BYTES), 3)


class TestSlowCallers(ClosingCase):
    async def receive_bodies(self, caller, size):
        received = 0
        while received < size and (piece := await caller.receive()):
            received += piece.count(b"x")
        return received

    def timeout_ms(self):
        (connection,) = self.server.connections
        handle = connection.transport.getHandle()
        return handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    def test_large_answers_to_slow_callers_leave_no_connection(self):
        # A transport never closes while its producer is registered and paused.
        async def ask(port):
            async with Caller(port, receive_bytes=16_384) as caller:
                await caller.send(GET_AND_CLOSE)
                data = await caller.receive_all(bytes_per_s=4 * LARGE_BYTES)
                return len(data.partition(b"\r\n\r\n")[2])

        async def play():
            port = await self.serve(self.large)
            before = open_sockets()
            asked = await asyncio.gather(*(ask(port) for _ in range(40)))
            await asyncio.sleep(0.2)
            left = len(open_sockets() - before)
            return asked, len(self.server.connections), left

        asked, connections, descriptors = self.play(play)
        self.assertEqual(set(asked), {LARGE_BYTES})
        self.assertEqual((connections, descriptors), (0, 0))

    def test_a_caller_that_pauses_gets_its_whole_answer(self):
        # A closed window counts as unacknowledged for TCP_USER_TIMEOUT.
        async def play():
            port = await self.serve(self.large)
            async with Caller(port, receive_bytes=16_384) as caller:
                await caller.send(GET_AND_CLOSE)
                await asyncio.sleep(4.5)
                return await caller.receive_all()

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), LARGE_BYTES)

    def test_a_caller_with_a_small_buffer_that_reads_on_gets_its_whole_answer(self):
        # Its window is closed most of the time, with little yet to receive.
        async def answers(exchange):
            exchange.respond(200, (), b"x" * SMALL_BYTES)

        async def ask(port, receive_bytes, request):
            async with Caller(port, receive_bytes) as caller:
                await caller.send(request)
                data = b""
                while data.count(b"x") < SMALL_BYTES:
                    data += await caller.receive(SLOW_BYTES)
                    await asyncio.sleep(SLOW_PAUSE_S)
                return data.count(b"x")

        async def play():
            port = await self.serve(answers)
            asked = itertools.product((4_096, 8_192), (GET, GET_AND_CLOSE))
            return await asyncio.gather(*(ask(port, *one) for one in asked))

        self.assertEqual(self.play(play), 4 * [SMALL_BYTES])

    def test_a_caller_that_sends_its_next_request_before_it_reads_gets_both(self):
        # The next request must not shorten the time for the answer before it.
        async def small_and_short(exchange):
            self.handled += 1
            size = SMALL_BYTES if self.handled == 1 else 1
            exchange.respond(200, (), b"x" * size)

        async def play():
            port = await self.serve(small_and_short)
            async with Caller(port, receive_bytes=4_096) as caller:
                for count in (1, 2):
                    await caller.send(GET)
                    await until(lambda count=count: self.handled == count)
                await asyncio.sleep(4.5)
                return await self.receive_bodies(caller, SMALL_BYTES + 1)

        self.assertEqual(self.play(play), SMALL_BYTES + 1)

    def test_the_longer_time_ends_once_the_answer_before_is_read(self):
        # An unreachable caller that waits for its next answer is found in 3 s again.
        async def small_once(exchange):
            self.handled += 1
            if self.handled == 2:
                await asyncio.Event().wait()
            exchange.respond(200, (), b"x" * SMALL_BYTES)

        async def play():
            port = await self.serve(small_once)
            async with Caller(port, receive_bytes=4_096) as caller:
                await caller.send(GET)
                await caller.send(GET)
                await until(lambda: self.handled == 2)
                before = self.timeout_ms()
                await self.receive_bodies(caller, SMALL_BYTES)
                await until(lambda: self.timeout_ms() != before, 2.0)
                return before, self.timeout_ms()

        expected = SLOW_CALLER_TIMEOUT_MS, UNACKNOWLEDGED_TIMEOUT_MS
        self.assertEqual(self.play(play), expected)

    def test_a_caller_that_pauses_in_a_stream_gets_it_whole(self):
        async def streams(exchange):
            exchange.start(200, ())
            for _ in range(100):
                exchange.write(b"x" * (LARGE_BYTES // 100))
                await exchange.drained()
                await asyncio.sleep(0.001)
            exchange.finish()

        async def play():
            port = await self.serve(streams)
            async with Caller(port, receive_bytes=16_384) as caller:
                await caller.send(GET)
                await asyncio.sleep(4.5)
                data = b""
                while not data.endswith(b"0\r\n\r\n"):
                    data += await caller.receive()
                return data.count(b"x")

        self.assertEqual(self.play(play), LARGE_BYTES)

    def test_an_answer_begun_before_the_stop_reaches_a_slow_caller_whole(self):
        async def play():
            port = await self.serve(self.large)
            async with Caller(port, receive_bytes=16_384) as caller:
                await caller.send(GET)
                await until(lambda: self.handled)
                self.server.leave()
                self.assertFalse(self.server.busy)
                self.assertFalse(self.server.is_drained)
                data = await caller.receive_all(bytes_per_s=LARGE_BYTES)
            await until(lambda: self.server.is_drained)
            return data

        self.assertEqual(len(self.play(play).partition(b"\r\n\r\n")[2]), LARGE_BYTES)

    def test_a_connection_without_a_request_does_not_delay_the_end(self):
        async def play():
            port = await self.serve(self.large)
            self.server.leave()
            async with Caller(port) as caller:
                self.assertEqual(await caller.receive_all(), b"")
            await until(lambda: self.server.is_drained, 1.0)

        began_s = time.monotonic()
        self.play(play)
        self.assertLess(time.monotonic() - began_s, 1.5)


class TestEnd(ClosingCase):
    """What is still open when the process ends."""

    def end_begun(self, request):
        async def streams(exchange):
            exchange.start(200, ())
            exchange.write(b"first")
            await asyncio.sleep(30)

        async def play():
            async with Caller(await self.serve(streams)) as caller:
                await caller.send(request)
                begun = await caller.receive()
                await self.server.end(100)
                return begun + await caller.receive_all()

        return self.play(play)

    def test_a_stream_reaches_its_caller_so_far_but_not_as_whole(self):
        data = self.end_begun(GET)
        self.assertTrue(data.endswith(b"5\r\nfirst\r\n"))

    def test_an_answer_that_ends_with_its_connection_is_reset(self):
        with self.assertRaises(ConnectionResetError):
            self.end_begun(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")

    def test_a_request_that_is_half_read_is_refused(self):
        async def play():
            async with Caller(await self.serve(self.large)) as caller:
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
                await caller.send(head + b"a")
                await until(lambda: self.server.busy)
                await self.server.end(100)
                return await caller.receive_all()

        data = self.play(play)
        self.assertIn(b" 503 ", data.splitlines()[0])
        self.assertIn(b"connection: close", data.lower())
        self.assertEqual(self.handled, 0)

    def test_a_reset_has_been_sent_when_the_end_returns(self):
        # The process ends then, and the kernel would close in place of the reset.
        async def streams(exchange):
            exchange.start(200, ())
            exchange.write(b"first")
            await asyncio.sleep(30)

        async def play():
            async with Caller(await self.serve(streams)) as caller:
                await caller.send(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
                await caller.receive()
                await self.server.end(0)
                return len(self.server.connections)

        self.assertEqual(self.play(play), 0)


class TestCallersThatLeaveEarly(ClosingCase):
    def leave_after(self, request, half_close=False):
        async def play():
            port = await self.serve(self.large)
            for _ in range(10):
                async with Caller(port, receive_bytes=4_096) as caller:
                    await caller.send(request)
                    await asyncio.sleep(0.02)
                    if half_close:
                        caller.socket.shutdown(socket.SHUT_WR)
                        await asyncio.sleep(0.02)
            await until(lambda: not self.server.connections, 5.0)

        self.play(play)

    def test_no_connection_is_left_of_one_that_was_refused(self):
        self.leave_after(b"GET / HTTP/1.1\r\n\r\n")

    def test_no_connection_is_left_of_one_that_asked_for_the_close(self):
        self.leave_after(GET_AND_CLOSE)

    def test_no_connection_is_left_of_one_that_half_closed_and_read_nothing(self):
        self.leave_after(GET_AND_CLOSE, half_close=True)


class TestRequestsThatMeetAClose(ClosingCase):
    async def short(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"short")

    def ask_across_leave(self, before, after=b"", blocked_s=0.0):
        """Send around the beginning of a stop, on a connection that had an answer."""

        async def play():
            port = await self.serve(self.short)
            async with Caller(port) as caller:
                await caller.send(GET)
                await caller.receive()
                await caller.send(before)
                time.sleep(blocked_s)
                if not blocked_s:
                    await asyncio.sleep(0.05)
                self.server.leave()
                await caller.send(after)
                return await caller.receive_all()

        return self.play(play)

    def test_one_that_has_arrived_unread_is_answered(self):
        self.assertIn(b" 200 ", self.ask_across_leave(GET, blocked_s=0.05))

    def test_one_whose_head_is_read_in_part_is_answered(self):
        self.assertIn(b" 200 ", self.ask_across_leave(GET[:-2], GET[-2:]))


class TestFailingHandlers(ClosingCase):
    def test_a_caller_does_not_wait_for_one_for_ever(self):
        async def fails(exchange):
            raise KeyError("failed")

        async def play():
            port = await self.serve(fails)
            async with Caller(port) as caller:
                await caller.send(GET)
                with self.assertRaises(ConnectionResetError):
                    await caller.receive()
            await until(lambda: not self.server.connections, 1.0)

        self.play(play)

    def test_one_that_fails_behind_its_answer_leaves_the_next_request_alone(self):
        released = asyncio.Event()

        async def fails_late(exchange):
            self.handled += 1
            if self.handled == 1:
                exchange.respond(200, (), b"first")
                await released.wait()
                raise KeyError("failed")
            released.set()
            await asyncio.sleep(0.05)
            exchange.respond(200, (), b"second")

        async def play():
            async with Caller(await self.serve(fails_late)) as caller:
                await caller.send(GET)
                await caller.receive()
                await caller.send(GET)
                return await caller.receive()

        self.assertTrue(self.play(play).endswith(b"second"))
