import asyncio
import collections
import re
import socket
import unittest
from unittest import mock

from fuchsiahatch_http1 import discarding
from fuchsiahatch_http1.connection_states import CloseReason, Limit
from fuchsiahatch_http1.intake import MAX_PARTS_AT_ONCE
from fuchsiahatch_http1.received_bytes import (
    HANDLED_COPIES,
    SMALL_BODY_BYTES,
    ReceivedBytes,
)
from fuchsiahatch_http1.request_reader import FREE_PIECES
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_connection import MAX_PIPELINED_BYTES
from fuchsiahatch_http1.server_state import CallerShare, ServerLimits
from fuchsiahatch_http1.turns import MAX_AT_ONCE, Turns
from tests.gateway.sites import until
from tests.loopback import run

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_BYTES = 1_000_000


def post(length, data=b""):
    return b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
        length,
        data,
    )


class Served:
    """A server with few limits, and callers on plain sockets."""

    def __init__(self, handle=None, max_connections=100, **limits):
        self.limited = collections.Counter()
        self.handled = []
        self.share = CallerShare(
            received=ReceivedBytes(MAX_BYTES), on_limit=self._note_limit
        )
        self.server = HttpServer(
            handle or self._answer, ServerLimits(**limits), self.share, max_connections
        )
        self.writers = []

    def _note_limit(self, limit):
        self.limited[limit] += 1

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


class TestBodies(unittest.TestCase):
    def test_an_announced_length_over_the_limit_is_refused_before_the_body(self):
        async def play():
            async with Served(body_bytes=1_000) as served:
                status = await served.ask(post(1_001))
                return status, served.limited

        self.assertEqual(run(play()), (413, {Limit.BODY: 1}))

    def test_a_body_that_there_is_never_room_for_is_refused_as_too_long(self):
        async def play():
            async with Served(body_bytes=MAX_BYTES) as served:
                return await served.ask(post(MAX_BYTES // HANDLED_COPIES))

        self.assertEqual(run(play()), 413)

    def test_the_largest_body_is_served(self):
        async def play():
            async with Served(body_bytes=300_000) as served:
                status = await served.ask(post(300_000, b"x" * 300_000))
                return status, served.handled, served.share.received.total_bytes

        self.assertEqual(run(play()), (200, [300_000], 0))

    def test_the_largest_unfinished_bodies_give_way_to_a_smaller_one(self):
        async def play():
            async with Served(body_bytes=300_000) as served:
                large = [await served.open(post(300_000, b"x" * 290_000))]
                await until(lambda: served.share.received.total_bytes >= 290_000)
                for _ in range(4):
                    large.append(await served.open(post(250_000, b"x" * 249_000)))
                first = await large[0][0].readuntil(b"\r\n\r\n")
                small = await served.ask(post(2_000, b"x" * 2_000))
                return first, small, served.share.received.total_bytes

        first, small, held_bytes = run(play())
        self.assertIn(b" 503 ", first)
        self.assertRegex(first.lower(), re.compile(rb"retry-after: 0\.\d\d"))
        self.assertEqual(small, 200)
        self.assertLessEqual(held_bytes, MAX_BYTES)

    def test_whole_bodies_are_refused_where_those_in_progress_leave_no_room(self):
        async def play():
            async def waits(exchange):
                await asyncio.sleep(30)

            async with Served(waits, body_bytes=300_000) as served:
                for _ in range(2):
                    await served.open(post(180_000, b"x" * 180_000))
                await until(lambda: served.server.busy == 2)
                refused = await served.ask(post(180_000, b"x" * 180_000))
                await served.open(post(1_000, b"x" * 1_000))
                await until(lambda: served.server.busy == 3)
                return refused, served.share.received.total_bytes

        total_bytes = HANDLED_COPIES * (2 * 180_000 + 1_000)
        self.assertEqual(run(play()), (503, total_bytes))

    def test_bodies_of_many_short_pieces_are_refused(self):
        async def play():
            async with Served(body_bytes=300_000) as served:
                status = await served.ask(CHUNKED + b"1\r\nx\r\n" * (FREE_PIECES + 200))
                return status, served.limited

        self.assertEqual(run(play()), (413, {Limit.PIECES: 1}))

    def test_some_thousand_short_pieces_are_served(self):
        async def play():
            async with Served(body_bytes=300_000) as served:
                end = b"0\r\n\r\n"
                return await served.ask(CHUNKED + b"1\r\nx\r\n" * FREE_PIECES + end)

        self.assertEqual(run(play()), 200)

    def test_a_head_with_too_many_headers_is_refused(self):
        async def play():
            async with Served(headers=20) as served:
                status = await served.ask(GET[:-2] + b"a: b\r\n" * 20 + b"\r\n")
                return status, served.limited

        self.assertEqual(run(play()), (431, {Limit.HEADERS: 1}))

    def test_what_is_read_of_a_refused_caller_is_limited(self):
        async def play():
            limits = {"MAX_DISCARDED_BYTES": 100_000}
            with mock.patch.multiple(discarding, **limits):
                async with Served(body_bytes=1_000) as served:
                    discards = served.share.discards
                    counted, note = [], discards.note
                    with mock.patch.object(
                        discarding.DiscardLimit,
                        "note",
                        lambda limit, count: (counted.append(count), note(count)),
                    ):
                        _, writer = await served.open(post(10**9))
                        for _ in range(80):
                            writer.write(b"x" * 1_000_000)
                        await asyncio.sleep(0.4)
                    return sum(counted)

        # Some five intervals, and one read beyond each.
        self.assertLess(run(play()), 1_500_000)


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

    def test_one_that_has_ended_waits_no_more(self):
        # They outnumber the others where callers come again as often as they are reset.
        scheduled, called = [], []
        turns = Turns(scheduled.append)
        calls = [lambda number=number: called.append(number) for number in range(100)]
        for call in calls:
            turns.add(call)
        for call in calls[:-1]:
            turns.discard(call)
        scheduled.pop()()
        self.assertEqual(called, [99])
        self.assertFalse(scheduled)

    def test_a_connection_that_was_reset_leaves_the_queue(self):
        async def play():
            async with Served() as served:
                chunks = b"1\r\nx\r\n" * 4_000
                for _ in range(90):
                    await served.open(CHUNKED + chunks)
                await until(lambda: served.server.busy == 90)
                for connection in tuple(served.server.connections):
                    connection.abort()
                while served.server.connections:
                    await asyncio.sleep(0)
                return len(served.share.turns._waiting)

        self.assertEqual(run(play()), 0)

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


class TestConnections(unittest.TestCase):
    async def is_open(self, reader):
        try:
            async with asyncio.timeout(0.2):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except ConnectionResetError:
            return False

    def test_the_longest_idle_one_is_closed_for_a_new_one(self):
        async def play():
            async with Served(max_connections=3) as served:
                readers = []
                for _ in range(3):
                    readers.append((await served.open())[0])
                    await asyncio.sleep(0.02)
                status = await served.ask(GET)
                return status, [await self.is_open(one) for one in readers]

        self.assertEqual(run(play()), (200, [False, True, True]))

    def test_many_at_once_close_one_each(self):
        async def play():
            async with Served(max_connections=5) as served:
                opened = [served.open() for _ in range(40)]
                readers = [one[0] for one in await asyncio.gather(*opened)]
                await until(lambda: len(served.server.connections) == 5)
                await asyncio.sleep(0.05)
                status = await served.ask(GET)
                count = sum([await self.is_open(one) for one in readers])
                return status, count, len(served.server.connections)

        self.assertEqual(run(play(), 40), (200, 4, 4))

    def test_one_that_is_answered_is_never_closed_for_another(self):
        async def play():
            release = asyncio.Event()

            async def waits(exchange):
                await release.wait()
                exchange.respond(200)

            async with Served(waits, max_connections=2) as served:
                asking = [asyncio.ensure_future(served.ask(GET)) for _ in range(2)]
                await until(lambda: served.server.busy == 2)
                refused = await served.ask(GET)
                release.set()
                return refused, await asyncio.gather(*asking), served.limited

        expected = (0, [200, 200], {Limit.CONNECTIONS: 1})
        self.assertEqual(run(play()), expected)

    def test_a_body_that_comes_slowly_gives_way_to_a_new_connection(self):
        async def play():
            async with Served(max_connections=2) as served:
                for _ in range(2):
                    await served.open(post(1_000, b"x"))
                await until(lambda: served.server.busy == 2)
                return await served.ask(GET), served.share.received.total_bytes

        status, held_bytes = run(play())
        self.assertEqual(status, 200)
        self.assertLessEqual(held_bytes, 2)


class Holder:
    """A connection that gives way at once."""

    def __init__(self, account):
        self._account = account
        self.gave_way = False

    def hold(self, held_bytes):
        self._account.note_held(self, held_bytes)

    def give_way(self):
        self.gave_way = True
        self._account.note_dropped(self)


class TestReceivedBytes(unittest.TestCase):
    def setUp(self):
        self.account = ReceivedBytes(1_000_000)

    def holders(self, *held):
        holders = [Holder(self.account) for _ in held]
        for holder, held_bytes in zip(holders, held, strict=True):
            holder.hold(held_bytes)
        return holders

    def test_the_largest_gives_way_and_the_others_stay(self):
        small, large, last = self.holders(10_000, 600_000, 400_000)
        self.assertEqual(
            [one.gave_way for one in (small, large, last)], [False, True, False]
        )
        self.assertEqual(self.account.total_bytes, 410_000)

    def test_one_for_which_room_is_made_does_not_give_way_itself(self):
        (holder, other) = self.holders(700_000, 100_000)
        self.assertTrue(self.account.begin_handling(holder, 200_000))
        self.assertEqual((holder.gave_way, other.gave_way), (False, True))

    def test_small_bodies_are_served_beside_large_ones_that_fill_their_share(self):
        (holder,) = self.holders(0)
        self.assertTrue(self.account.begin_handling(holder, 375_000))
        self.assertFalse(self.account.begin_handling(holder, SMALL_BODY_BYTES + 1))
        self.assertTrue(self.account.begin_handling(holder, SMALL_BODY_BYTES))
        self.account.end_handling(375_000)
        self.account.end_handling(SMALL_BODY_BYTES)
        self.assertEqual(self.account.total_bytes, 0)


if __name__ == "__main__":
    unittest.main()
