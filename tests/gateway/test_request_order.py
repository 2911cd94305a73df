"""Order of waiting requests where the routes of a service differ in priority."""

import asyncio
import collections
import dataclasses
import functools
import itertools
import random
import statistics
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from fuchsiahatch_routing.queues import PASSED_OVER_INTERVAL
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import (
    Site,
    answers,
    make_configuration,
    make_route,
    until,
    upstream,
)
from tests.gateway.test_fleet import item
from tests.loopback import run

#: Two upstreams with 5 slots each, which serve 50 requests per second together.
SLOTS = 5
WORK_S = 0.2


@dataclasses.dataclass
class Stream:
    """Requests of one class, all of one team, at a steady rate."""

    urgency: int
    per_s: float
    begin_s: float
    end_s: float
    wait_ms: int


@dataclasses.dataclass
class Ending:
    """How a request ended: when it was served, or its refusal."""

    urgency: int
    arrived_ms: int
    ended_ms: int
    fault: RefusedError | None


class Burst:
    """Streams of requests to one entry in virtual time, until all have ended."""

    def __init__(self, *streams, has_classes=True):
        self.streams, self.has_classes = streams, has_classes
        #: In the order in which they ended.
        self.endings = []

    def play(self):
        run_virtually(self._play)
        return self

    def served(self, urgency):
        return [
            one for one in self.endings if one.fault is None and one.urgency == urgency
        ]

    def refused(self, urgency):
        return [
            one
            for one in self.endings
            if one.fault is not None and one.urgency == urgency
        ]

    async def _play(self, loop):
        self.clock = loop.make_clock()
        fleet = Fleet("a", self.clock, random.Random(1))
        fleet.apply({name: item(name, ord(name), slots=SLOTS) for name in "ab"})
        self.placer = Placer(
            fleet, self.clock, has_classes=lambda service: self.has_classes
        )
        await asyncio.gather(*map(self._send_all, self.streams))
        assert not self.placer.waiting
        assert not any(one.local_requests for one in fleet.upstreams.values())

    async def _send_all(self, stream):
        await asyncio.sleep(stream.begin_s)
        count = int(stream.per_s * (stream.end_s - stream.begin_s))
        requests = []
        for _ in range(count):
            requests.append(asyncio.ensure_future(self._send(stream)))
            await asyncio.sleep(1 / stream.per_s)
        await asyncio.gather(*requests)

    async def _send(self, stream):
        arrived_ms = self.clock.now_ms()
        traits = RequestTraits(f"team-{stream.urgency}", stream.urgency)
        try:
            upstream = await self.placer.acquire("svc", traits, (), stream.wait_ms)
        except RefusedError as fault:
            self._note_end(stream, arrived_ms, fault)
            return
        self._note_end(stream, arrived_ms, None)
        await asyncio.sleep(WORK_S)
        self.placer.release(upstream)

    def _note_end(self, stream, arrived_ms, fault):
        ending = Ending(stream.urgency, arrived_ms, self.clock.now_ms(), fault)
        self.endings.append(ending)


#: A burst of the most urgent class, at twice what the upstreams serve, over the others.
URGENT_BURST = (
    Stream(0, 100.0, 2.0, 6.0, wait_ms=800),
    Stream(1, 10.0, 0.0, 8.0, wait_ms=800),
    Stream(2, 20.0, 0.0, 8.0, wait_ms=2_800),
)


class TestBursts(unittest.TestCase):
    def test_the_urgent_class_is_served_first_in_its_burst(self):
        """Guards against urgent requests that wait among all others in a burst."""
        strict = Burst(*URGENT_BURST).play()
        mixed = Burst(*URGENT_BURST, has_classes=False).play()
        # The upstreams serve 200 requests in the 4 s of the burst.
        self.assertGreater(len(strict.served(0)), 7 / 8 * 200)
        self.assertGreater(len(strict.served(0)), 1.5 * len(mixed.served(0)))

    def test_a_burst_of_the_least_urgent_class_delays_no_other(self):
        """Guards against a flood of batch requests that delays urgent ones."""
        burst = Burst(
            Stream(0, 20.0, 0.0, 6.0, wait_ms=800),
            Stream(2, 120.0, 2.0, 5.0, wait_ms=800),
        ).play()
        self.assertFalse(burst.refused(0))
        waits_ms = [one.ended_ms - one.arrived_ms for one in burst.served(0)]
        self.assertLess(max(waits_ms), 100)
        self.assertTrue(burst.refused(2))

    def test_one_in_eight_of_those_served_is_less_urgent(self):
        """Guards against a class that gets no slot for as long as a burst lasts."""
        burst = Burst(*URGENT_BURST).play()
        during = [
            one.urgency
            for one in burst.endings
            if one.fault is None and 2_500 <= one.ended_ms < 6_000
        ]
        for first in range(len(during) - PASSED_OVER_INTERVAL):
            window = during[first : first + PASSED_OVER_INTERVAL]
            self.assertTrue(any(window), window)
        counts = collections.Counter(during)
        self.assertGreater(counts[2], 0)
        self.assertAlmostEqual(counts[0] / len(during), 7 / 8, delta=0.02)

    def test_the_least_urgent_class_gets_one_in_eight_beside_one_other(self):
        """Guards against a least urgent class that gets no slot in a burst."""
        burst = Burst(
            Stream(0, 100.0, 0.0, 6.0, wait_ms=800),
            Stream(2, 20.0, 0.0, 6.0, wait_ms=2_000),
        ).play()
        served = [one.urgency for one in burst.endings if one.fault is None]
        during = served[50:250]
        self.assertGreaterEqual(during.count(2), len(during) // PASSED_OVER_INTERVAL)

    def test_those_who_can_wait_are_served_after_the_burst(self):
        """Guards against patient requests that are refused in the burst."""
        burst = Burst(*URGENT_BURST).play()
        late = [one for one in burst.served(2) if one.arrived_ms >= 4_000]
        waits_ms = [one.ended_ms - one.arrived_ms for one in late]
        self.assertGreater(len(late), 70)
        self.assertGreater(max(waits_ms), 1_500)
        self.assertLessEqual(max(waits_ms), 2_800)

    def test_refusals_come_when_the_wait_is_over(self):
        burst = Burst(*URGENT_BURST).play()
        refused = burst.refused(0)
        self.assertTrue(refused)
        for one in refused:
            self.assertEqual(one.fault.result, Code.OVERLOADED)
            self.assertAlmostEqual(one.ended_ms - one.arrived_ms, 800, delta=3)


class TestSchedules(unittest.TestCase):
    def test_no_slot_or_request_is_lost_as_callers_leave_and_routes_change(self):
        """Guards against a slot that is held by nobody, or a request without an end."""
        for seed in range(20):
            with self.subTest(seed=seed):
                ended, left = run_virtually(functools.partial(self._play, seed))
                self.assertEqual(ended + left, 600)
                self.assertGreater(min(ended, left), 20)

    async def _play(self, seed, loop):
        rng, clock = random.Random(seed), loop.make_clock()
        fleet = Fleet("a", clock, random.Random(seed))
        fleet.apply({name: item(name, ord(name), slots=SLOTS) for name in "ab"})
        placer = Placer(fleet, clock, has_classes=lambda service: has_classes)
        has_classes, requests = True, []

        async def send():
            traits = RequestTraits(rng.choice("xyz"), rng.choice((0, 0, 1, 2)))
            wait_ms = rng.choice((1, 300, 2_000))
            try:
                upstream = await placer.acquire("svc", traits, (), wait_ms)
            except RefusedError:
                return
            try:
                await asyncio.sleep(rng.uniform(0, 0.3))
            finally:
                placer.release(upstream)
                # One that was just assigned the slot leaves, or one that still waits.
                if rng.random() < 0.3:
                    rng.choice(requests[-50:]).cancel()

        for _ in range(600):
            requests.append(asyncio.ensure_future(send()))
            await asyncio.sleep(rng.expovariate(200.0))
            if rng.random() < 0.02:
                has_classes = not has_classes
        ends = await asyncio.gather(*requests, return_exceptions=True)
        self.assertEqual(placer.waiting, 0)
        self.assertEqual(len(placer._queues["svc", None]), 0)
        self.assertFalse(any(one.local_requests for one in fleet.upstreams.values()))
        left = sum(isinstance(end, asyncio.CancelledError) for end in ends)
        return ends.count(None), left


class TestReturnTimes(unittest.TestCase):
    def test_the_time_follows_the_queue_of_the_class(self):
        """Guards against callers that return into the queue that refused them."""
        refused = Burst(*URGENT_BURST).play().refused(0)
        # In the burst some 80 wait, and the upstreams serve 50 per second.
        in_burst_ms = refused[len(refused) // 2].fault.retry_after_ms
        self.assertAlmostEqual(in_burst_ms, 1_600, delta=150)
        # The last ones are refused after the burst, when few others wait.
        self.assertEqual(refused[-1].fault.retry_after_ms, 400)

    def test_less_urgent_requests_return_later(self):
        """Guards against an estimate that leaves out the more urgent requests."""
        burst = Burst(
            Stream(0, 100.0, 0.0, 4.0, wait_ms=800),
            Stream(2, 40.0, 0.0, 4.0, wait_ms=800),
        ).play()
        medians_ms = [
            statistics.median(
                one.fault.retry_after_ms
                for one in burst.refused(urgency)
                if 2_000 <= one.ended_ms < 4_000
            )
            for urgency in (0, 2)
        ]
        self.assertGreater(medians_ms[1], medians_ms[0] + 300)

    def test_evicted_requests_get_one_too(self):
        burst = Burst(Stream(0, 500.0, 0.0, 2.0, wait_ms=5_000)).play()
        evicted = burst.refused(0)[0]
        self.assertIn("too many", evicted.fault.detail)
        self.assertEqual(evicted.fault.retry_after_ms, 2_500)

    def test_none_is_estimated_where_all_routes_have_the_same_priority(self):
        burst = Burst(*URGENT_BURST, has_classes=False).play()
        refused = burst.refused(0) + burst.refused(2)
        self.assertEqual({one.fault.retry_after_ms for one in refused}, {None})


class TestWaitingRequests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.fleet = Fleet("a", self.clock, random.Random(1))
        self.fleet.apply({"a": item("a", 1, slots=1)})
        self.has_classes = True
        self.placer = Placer(
            self.fleet, self.clock, has_classes=lambda service: self.has_classes
        )

    async def begin(self, urgency, wait_ms):
        acquired = self.placer.acquire("svc", RequestTraits("t", urgency), (), wait_ms)
        request = asyncio.ensure_future(acquired)
        await asyncio.sleep(0.01)
        return request

    async def serve(self, slot, requests):
        """Free the slot again and again; return the numbers of requests as served."""
        order = []
        for _ in requests:
            self.placer.release(slot)
            await asyncio.sleep(0.01)
            order += [
                number
                for number, one in enumerate(requests)
                if one.done() and not one.exception() and number not in order
            ]
        return order

    def test_an_expired_request_gets_no_slot_after_a_stall(self):
        """Guards against a slot for a request whose caller is about to leave.

        After a stall of the process a released slot is handled before overdue timers.
        """

        async def play():
            slot = await (await self.begin(0, 500))
            short, long = await self.begin(0, 500), await self.begin(2, 5_000)
            self.clock.advance(1_000)
            order = await self.serve(slot, [short, long])
            return order, short.exception()

        order, fault = run(play())
        self.assertEqual(order, [1])
        self.assertIsInstance(fault, RefusedError)
        self.assertEqual(fault.result, Code.OVERLOADED)

    def test_requests_that_wait_as_the_routes_change_are_served_by_class(self):
        """Guards against requests that are lost as the kind of the queue changes."""
        for before, after in itertools.permutations((False, True)):
            self.setUp()
            with self.subTest(before=before):
                order = run(self._play_change(before, after))
                self.assertEqual(order, [2, 0, 1] if after else [0, 1, 2])

    async def _play_change(self, before, after):
        self.has_classes = before
        slot = await (await self.begin(0, 5_000))
        waiting = [await self.begin(7, 5_000), await self.begin(7, 5_000)]
        expiring = await self.begin(7, 30)
        self.has_classes = after
        waiting.append(await self.begin(3, 5_000))
        await asyncio.wait({expiring})
        self.assertIsInstance(expiring.exception(), RefusedError)
        self.assertEqual(self.placer.waiting, 3)
        self.assertEqual(len(self.placer._queues["svc", None]), 3)
        return await self.serve(slot, waiting)


class TestEntry(unittest.TestCase):
    def test_an_entry_serves_by_the_priorities_of_its_routes(self):
        """Guards against an entry whose placer doesn't follow the configuration."""
        batch = make_route("/batch/", "safe", priority=2)
        routes = [batch, make_route("/urgent/", "safe", priority=0)]
        self.assertEqual(run(self._ask(routes)), ["/urgent/"] * 6 + ["/batch/"] * 2)
        # In fair order a team's urgent requests are at most two ahead of another team.
        routes = [batch, make_route("/urgent/", "safe", priority=2)]
        order = run(self._ask(routes))
        self.assertEqual(order[:4].count("/batch/"), 2)

    async def _ask(self, routes):
        """Return the paths in the order in which an upstream with one slot got them."""
        free = asyncio.Event()

        async def answers_when_free(request, wire):
            await free.wait()
            await answers()(request, wire)

        server = upstream(answers_when_free)
        document = make_configuration(2, routes)
        document["tenants"].append({"name": "team-b", "apiKeys": ["key-b"]})
        async with Site(server) as site:
            address = f"127.0.0.1:{server.port}"
            fields = make_upstream_entry("svc", address, zone="kl-a", slots=1)
            site.store.put("servers/i-0", fields)
            site.store.put("op/config", document)
            fleet, placer = site.entry.fleet, site.entry.placer
            await until(lambda: site.entry.routes.configuration.version == 2)
            await until(lambda: fleet.upstreams["i-0"].entry.places == 1)
            first = asyncio.ensure_future(site.ask("/batch/"))
            await until(lambda: server.received)
            waiting = [site.ask("/batch/") for _ in range(2)]
            waiting += [site.ask("/urgent/", key="key-b") for _ in range(6)]
            answered = asyncio.gather(first, *waiting)
            await until(lambda: placer.waiting == len(waiting))
            free.set()
            await answered
        return [request.target for request in server.received[1:]]
