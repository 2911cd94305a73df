"""An upstream is given up only for another attempt that its request will get."""

import asyncio
import unittest

from fuchsiahatch_gateway.retry_budget import USED_SHARE
from tests.gateway.sites import (
    ROUTES,
    Site,
    event_ids,
    make_configuration,
    until,
    upstream,
)
from tests.loopback import run

#: Streams in progress at once, and the events of each.
STREAMS, EVENTS = 4, 3
#: Deadline of requests, and when a stopping entry ends, which is before it.
DEADLINE_MS, ENDS_MS = 4_000, 3_000
#: Time for which an upstream is silent: longer than a request waits for it if it can
#: be sent to another one.
SILENT_S = 2.2


def limit_retries(count):
    """Return settings with which a lone entry may send so many requests again."""
    slack = (count + 0.5) / USED_SHARE
    return {
        "graceS": 8,
        "retryBudgetRatio": 0,
        "budgetSlack": slack,
        "budgetWindowS": 10,
    }


async def put_routes(site):
    routes = [{**route, "timeoutMs": DEADLINE_MS} for route in ROUTES]
    site.store.put("op/config", make_configuration(2, routes))
    await until(lambda: site.entry.routes.configuration.version == 2)


class TestStreamsThatMoveAtOnce(unittest.TestCase):
    """All streams at a rank that is slow or stands still move at the same moment."""

    def setUp(self):
        self.released = asyncio.Event()
        self.resumed_s = 0.0

    async def stream(self, request, wire):
        first = int(request.headers.get("last-event-id", "0")) + 1
        await wire.begin_stream(request)
        if first == 1:
            await wire.event(first)
            await self.released.wait()
            first += 1
        else:
            await asyncio.sleep(self.resumed_s)
        for number in range(first, EVENTS + 1):
            await wire.event(number)
        await wire.end_stream()

    async def begin(self, site, number):
        """Begin streams, and return when each of them has begun."""
        await put_routes(site)
        asked = [
            asyncio.ensure_future(
                site.ask("/chat/", request_id=f"q-{one}", deadline_ms=DEADLINE_MS)
            )
            for one in range(number)
        ]
        await until(lambda: sum(len(one.received) for one in site.upstreams) == number)
        await asyncio.sleep(0.1)
        return asked

    async def move(self, site, asked):
        """Move all streams, and return their answers."""
        upstreams = site.entry.fleet.upstreams.values()
        for move in [move for one in upstreams for move in one.movers]:
            move()
        await asyncio.sleep(0.1)
        self.released.set()
        replies = await asyncio.gather(*asked)
        self.assertEqual({one.local_requests for one in upstreams}, {0})
        return replies

    def move_within_budget(self, retries_left):
        """Return the answers, and the number of streams that moved."""

        async def play():
            servers = upstream(self.stream), upstream(self.stream)
            async with Site(*servers, bounds=limit_retries(retries_left)) as site:
                replies = await self.move(site, await self.begin(site, STREAMS))
                received = sum(len(one.received) for one in servers)
                return replies, received - STREAMS, site.entry.budget.spent

        replies, moved, spent = run(play())
        self.assertEqual(spent, moved)
        return replies, moved

    def check(self, replies):
        for reply in replies:
            self.assertEqual((reply.status, reply.whole), (200, True))
            self.assertEqual(event_ids(reply.body), [1, 2, 3])

    def test_those_beyond_the_retry_budget_stay_and_are_not_cut(self):
        replies, moved = self.move_within_budget(1)
        self.check(replies)
        self.assertEqual(moved, 1)

    def test_all_move_while_the_retry_budget_allows_it(self):
        replies, moved = self.move_within_budget(STREAMS)
        self.check(replies)
        self.assertEqual(moved, STREAMS)

    def test_those_beyond_the_free_slots_stay_and_are_not_cut(self):
        self.resumed_s = 1.0

        async def play():
            other = upstream(self.stream)
            async with Site(upstream(self.stream)) as site:
                asked = await self.begin(site, STREAMS)
                site.put_upstream("i-1", await other.listen(), slots=1)
                known = site.entry.fleet.upstreams
                await until(lambda: "i-1" in known)
                known["i-0"].closed_until_ms = site.entry._clock.now_ms() + 10_000
                replies = await self.move(site, asked)
                await other.close()
                return replies, len(other.received)

        replies, moved = run(play())
        self.check(replies)
        self.assertEqual(moved, 1)


class TestStoppingEntry(unittest.TestCase):
    """A stopping entry sends no request again that may outlast it."""

    def ask_silent(self, path, stops):
        async def late(request, wire):
            await asyncio.sleep(SILENT_S)
            if path == "/safe/":
                await wire.answer(request)
                return
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.end_stream()

        async def play():
            servers = upstream(late), upstream(late)
            async with Site(*servers) as site:
                await put_routes(site)
                asked = asyncio.ensure_future(site.ask(path, deadline_ms=DEADLINE_MS))
                await until(lambda: any(one.received for one in servers))
                if stops:
                    entry = site.entry
                    entry.callers.leave()
                    entry.stop_admission.begin(entry._clock.now_ms() + ENDS_MS)
                reply = await asked
                return reply, sum(len(one.received) for one in servers)

        return run(play())

    def test_a_late_stream_is_waited_for(self):
        reply, received = self.ask_silent("/chat/", stops=True)
        self.assertEqual((reply.status, reply.whole, received), (200, True, 1))

    def test_a_late_answer_is_waited_for(self):
        reply, received = self.ask_silent("/safe/", stops=True)
        self.assertEqual((reply.status, reply.whole, received), (200, True, 1))

    def test_without_a_stop_it_is_sent_to_another_upstream(self):
        _, received = self.ask_silent("/chat/", stops=False)
        self.assertEqual(received, 2)


if __name__ == "__main__":
    unittest.main()
