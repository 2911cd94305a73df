import asyncio
import socket
import struct
import time

from fuchsiahatch_http1.lingering_close import LEAVING_LINGER_MS
from tests.gateway.sites import until
from tests.http1.test_closing import GET, Caller, ClosingCase

#: Longest time for which a caller's process is held up, so that it reads nothing.
HELD_UP_S = 2.0
#: Time in which a reset would arrive.
ARRIVAL_S = 0.1
#: Time in which a caller notices an end of its connection, and the server one of it.
PROMPT_S = 0.5


class TestLateReaders(ClosingCase):
    """Callers that send their next request before they have read an answer's end."""

    def setUp(self):
        super().setUp()
        self.released = asyncio.Event()

    async def stream(self, exchange):
        self.handled += 1
        exchange.start(200, ())
        exchange.write(b"first")
        await self.released.wait()
        exchange.finish()

    async def finish(self):
        """End the answer, whose last bytes the caller's kernel acknowledges."""
        self.released.set()
        await asyncio.sleep(ARRIVAL_S)

    async def read_late(self, stop, held_up_s):
        """Return the error of the connection, and the answer.

        A caller that looks for an error first drops what it hasn't read.
        """
        async with Caller(await self.serve(self.stream)) as caller:
            await caller.send(GET)
            data = await caller.receive()
            await stop()
            await asyncio.sleep(held_up_s)
            await caller.send(GET)
            await asyncio.sleep(ARRIVAL_S)
            code = caller.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            return code, data + await caller.receive_all()

    def check(self, stop, held_up_s):
        code, data = self.play(lambda: self.read_late(stop, held_up_s))
        self.assertTrue(data.endswith(b"0\r\n\r\n"))
        self.assertEqual(code, 0)
        self.assertEqual(self.handled, 1)

    def test_no_reset_follows_an_answer_that_was_finished_just_before_a_stop(self):
        async def stop():
            await self.finish()
            self.server.leave()

        self.check(stop, 0.3)

    def test_no_reset_follows_it_for_a_caller_that_was_held_up(self):
        async def stop():
            await self.finish()
            self.server.leave()

        self.check(stop, HELD_UP_S)

    def test_no_reset_follows_an_answer_that_is_finished_while_stopping(self):
        async def stop():
            self.server.leave()
            await self.finish()

        self.check(stop, HELD_UP_S)


class TestIdleConnections(ClosingCase):
    """What becomes of an idle connection that has had an answer, once a stop begins."""

    async def short(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"short")

    def play_stop(self, act):
        """Return what a caller's action returns, and the time its connection took."""

        async def play():
            async with Caller(await self.serve(self.short)) as caller:
                await caller.send(GET)
                self.assertTrue((await caller.receive()).endswith(b"short"))
                began_s = time.monotonic()
                self.server.leave()
                result = await act(caller)
                await until(lambda: not self.server.connections)
                return result, time.monotonic() - began_s

        result, took_s = self.play(play)
        self.assertEqual(self.handled, 1)
        return result, took_s

    def test_a_request_that_crosses_the_close_meets_the_end_at_once(self):
        async def act(caller):
            caller.socket.send(GET)
            async with asyncio.timeout(PROMPT_S):
                return await caller.receive_all()

        self.assertEqual(self.play_stop(act)[0], b"")

    def test_a_caller_that_closes_then_is_not_waited_for(self):
        async def act(caller):
            await caller.receive_all()
            caller.socket.close()

        self.assertLess(self.play_stop(act)[1], PROMPT_S)

    def test_a_caller_that_resets_then_is_not_waited_for(self):
        async def act(caller):
            caller.socket.send(GET)
            await caller.receive_all()
            caller.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            caller.socket.close()

        self.assertLess(self.play_stop(act)[1], PROMPT_S)

    def test_a_caller_that_keeps_it_for_ever_is_closed_within_a_bound(self):
        async def act(caller):
            await caller.receive_all()

        took_s = self.play_stop(act)[1]
        self.assertGreater(took_s, HELD_UP_S)
        self.assertLess(took_s, LEAVING_LINGER_MS / 1000 + PROMPT_S)

    def test_no_reset_meets_a_caller_that_sends_and_ends_its_side_unread(self):
        async def act(caller):
            caller.socket.send(GET)
            caller.socket.shutdown(socket.SHUT_WR)
            await asyncio.sleep(HELD_UP_S)
            return caller.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

        self.assertEqual(self.play_stop(act)[0], 0)
