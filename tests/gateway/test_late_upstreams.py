import asyncio
import heapq
import itertools
import random
import unittest
from unittest import mock

import orjson

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.datagrams import LateNotice
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.late_upstreams import NOTICE_INTERVAL_MS, LateUpstreams
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from tests.gateway.sites import Site, answers, upstream
from tests.loopback import run

ENTRIES, UPSTREAMS = 38, 3
#: Requests ("holds") per second, the latency objective of one, and its time limit.
PER_S, OBJECTIVE_MS, LIMIT_MS = 15.2, 257, 1_200
ANSWER_MS = (20, 110)
#: When one upstream stops answering, and for how long.
HANGS_MS, HANGS_FOR_MS = 8_000, 6_400


def answers_late(delay_s):
    async def script(request, wire):
        await asyncio.sleep(delay_s)
        await answers()(request, wire)

    return script


class SimulatedEntries:
    """Entries that send holds to 3 upstreams, one of which stops answering."""

    def __init__(self, seed, shares_notices):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.started_ms = self.clock.now_ms()
        self.shares_notices = shares_notices
        items = {}
        for at in range(UPSTREAMS):
            fields = make_upstream_entry(
                "svc", f"10.0.0.{at}:80", slots=6, zone="abc"[at]
            )
            items[f"i{at}"] = Item(f"servers/i{at}", orjson.dumps(fields), 1, 1)
        self.fleets, self.late = [], []
        for at in range(ENTRIES):
            fleet = Fleet("abc"[at % 3], self.clock, random.Random(seed + at))
            fleet.apply(items)
            self.fleets.append(fleet)
            self.late.append(
                LateUpstreams(
                    self.clock,
                    fleet.upstreams,
                    lambda notice, at=at: self.broadcast(at, notice),
                )
            )
        self.events = []
        self.numbers = itertools.count()
        self.lost = 0

    def play(self):
        """Return how many holds were sent to the upstream while it answered none."""
        self.schedule(0, self.arrive)
        while self.events[0][0] < HANGS_MS + HANGS_FOR_MS:
            at_ms, _, act, arguments = heapq.heappop(self.events)
            self.clock.advance(at_ms - self.now_ms)
            act(*arguments)
        return self.lost

    @property
    def now_ms(self):
        return self.clock.now_ms() - self.started_ms

    def schedule(self, after_ms, act, *arguments):
        event = (self.now_ms + after_ms, next(self.numbers), act, arguments)
        heapq.heappush(self.events, event)

    def arrive(self):
        self.schedule(round(self.rng.expovariate(PER_S) * 1000), self.arrive)
        at = self.rng.randrange(ENTRIES)
        chosen = self.fleets[at].choose("svc", ())
        chosen.local_requests += 1
        if chosen.entry.instance == "i0" and self.now_ms >= HANGS_MS:
            self.lost += 1
            self.schedule(OBJECTIVE_MS, self.late[at].note_late_answer, chosen)
            self.schedule(LIMIT_MS, self.fail, chosen)
            return
        took_ms = self.rng.randint(*ANSWER_MS)
        self.schedule(took_ms, self.answer, chosen, took_ms)

    def answer(self, chosen, took_ms):
        chosen.local_requests -= 1
        chosen.note_latency(took_ms)

    def fail(self, chosen):
        chosen.local_requests -= 1
        chosen.note_failure(self.clock.now_ms())

    def broadcast(self, sender, notice):
        for at, late in enumerate(self.late):
            if self.shares_notices and at != sender and self.rng.random() > 0.025:
                late.receive_notice(notice)


class TestLateUpstreams(unittest.TestCase):
    def test_holds_lost_to_an_upstream_that_answers_none_are_few(self):
        # 15 holds fail within 6 s: each of 38 entries finds out by a lost request of
        # its own that one of 3 upstreams accepts requests and answers none.
        alone = sum(
            SimulatedEntries(seed, shares_notices=False).play() for seed in range(10)
        )
        shared = sum(
            SimulatedEntries(seed, shares_notices=True).play() for seed in range(10)
        )
        self.assertGreater(alone, 100)
        self.assertLess(shared, alone / 2)

    def test_another_incarnation_of_the_upstream_is_not_blamed(self):
        simulation = SimulatedEntries(1, shares_notices=True)
        simulation.late[0].receive_notice(LateNotice("i0", 77))
        first = simulation.fleets[0].upstreams["i0"]
        self.assertEqual(first.failures(simulation.clock.now_ms()), 0.0)

    def test_notices_are_rate_limited(self):
        sent = []
        simulation = SimulatedEntries(1, shares_notices=True)
        known = simulation.fleets[0].upstreams
        late = LateUpstreams(simulation.clock, known, sent.append)
        late.note_late_answer(known["i0"])
        late.note_late_answer(known["i0"])
        simulation.clock.advance(NOTICE_INTERVAL_MS)
        late.note_late_answer(known["i0"])
        self.assertEqual(sent, [LateNotice("i0", 0)] * 2)


class TestEntry(unittest.TestCase):
    def count_late(self, path, delay_s):
        async def play():
            one = upstream(answers_late(delay_s))
            async with Site(one) as site:
                await site.ask(path)

        with mock.patch.object(LateUpstreams, "note_late_answer") as noted:
            run(play())
        return noted.call_count

    def test_an_answer_past_the_objective_is_noted_while_it_is_overdue(self):
        self.assertEqual(self.count_late("/hold/", 0.5), 1)
        self.assertEqual(self.count_late("/hold/", 0.0), 0)

    def test_streams_are_left_to_the_agents(self):
        self.assertEqual(self.count_late("/brief/", 0.5), 0)
