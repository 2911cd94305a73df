import asyncio
import random
import unittest

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from tests.gateway.test_fleet import item
from tests.loopback import run


class TestPlacer(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", Clock(), random.Random(1))
        self.fleet.apply({"a": item("a", 1, slots=1)})
        self.placer = Placer(self.fleet, Clock())
        self.upstream = self.fleet.upstreams["a"]

    def acquire(self, team="t", urgency=1, wait_ms=500):
        return self.placer.acquire("svc", RequestTraits(team, urgency), (), wait_ms)

    def test_released_slot_goes_to_a_waiting_request(self):
        async def wait():
            first = await self.acquire()
            second = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0.01)
            self.assertEqual(self.placer.waiting, 1)
            self.placer.release(first)
            await second
            return self.upstream.local_requests

        self.assertEqual(run(wait()), 1)

    def test_request_that_waits_too_long_is_refused(self):
        async def wait():
            await self.acquire()
            with self.assertRaises(RefusedError):
                await self.acquire(wait_ms=20)
            return self.upstream.local_requests, self.placer.waiting

        self.assertEqual(run(wait()), (1, 0))

    def test_slot_is_released_if_its_caller_disconnects_when_it_is_assigned(self):
        # The caller disconnects in the same iteration of the loop in which it gets a
        # slot. The engine must not work on its request, nor the slot be freed twice.
        async def wait():
            first = await self.acquire()
            second = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0.01)
            self.placer.release(first)
            second.cancel()
            await asyncio.wait({second})
            return second.cancelled(), self.upstream.local_requests

        self.assertEqual(run(wait()), (True, 0))

    def test_leaving_upstream_gets_no_waiting_request(self):
        async def wait():
            first = await self.acquire()
            second = asyncio.ensure_future(self.acquire(wait_ms=100))
            await asyncio.sleep(0.01)
            self.fleet.apply({"a": item("a", 1, 2, slots=1, state="draining")})
            self.placer.release(first)
            with self.assertRaises(RefusedError):
                await second
            return self.upstream.local_requests

        self.assertEqual(run(wait()), 0)

    def test_quiet_team_does_not_wait_for_the_queue_of_a_busy_team(self):
        async def wait():
            slot = await self.acquire()
            order = []

            async def use_slot(team):
                upstream = await self.acquire(team)
                order.append(team)
                self.placer.release(upstream)

            tasks = [asyncio.ensure_future(use_slot("flood")) for _ in range(20)]
            await asyncio.sleep(0.01)
            tasks.append(asyncio.ensure_future(use_slot("quiet")))
            await asyncio.sleep(0.01)
            self.placer.release(slot)
            await asyncio.gather(*tasks)
            return order.index("quiet")

        self.assertLessEqual(run(wait()), 3)


class TestRoomForUrgentRequests(unittest.TestCase):
    """Requests of priority 2 are held back; those of priority 0 have room."""

    def setUp(self):
        self.fleet = Fleet("a", Clock(), random.Random(1))
        self.fleet.apply({"a": item("a", 1, slots=1)})
        self.fleet.full_groups = lambda service, traits: (
            () if traits.priority_class == 0 else {""}
        )
        self.placer = Placer(self.fleet, Clock())

    def acquire(self, team, urgency, wait_ms=500):
        return self.placer.acquire("svc", RequestTraits(team, urgency), (), wait_ms)

    def test_an_urgent_request_does_not_wait_behind_one_that_is_held_back(self):
        # The queue stops at the less urgent request, and urgent streams are late beside
        # free room: none of them asks for a slot itself once another request waits.
        async def wait():
            held = asyncio.ensure_future(self.acquire("batch", 2))
            await asyncio.sleep(0.01)
            upstream = await self.acquire("urgent", 0)
            held.cancel()
            return upstream.local_requests

        self.assertEqual(run(wait()), 1)

    def test_urgent_requests_that_wait_are_served_before_those_held_back(self):
        async def wait():
            slot = await self.acquire("urgent", 0)
            held = asyncio.ensure_future(self.acquire("batch", 2))
            await asyncio.sleep(0.01)
            urgent = asyncio.ensure_future(self.acquire("urgent", 0))
            await asyncio.sleep(0.01)
            self.placer.release(slot)
            await urgent
            self.assertFalse(held.done())
            held.cancel()
            return self.placer.waiting

        self.assertEqual(run(wait()), 1)

    def test_a_request_that_is_held_back_is_refused_after_its_wait(self):
        with self.assertRaises(RefusedError):
            run(self.acquire("batch", 2, wait_ms=20))

    def test_a_stream_is_not_moved_where_its_class_has_no_room(self):
        # It would be broken off, and wait for a slot while its caller sees a pause.
        self.assertTrue(self.placer.has_free_slot("svc", RequestTraits("t", 0)))
        self.assertFalse(self.placer.has_free_slot("svc", RequestTraits("t", 2)))


class TestTurns(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", Clock(), random.Random(1))
        self.fleet.apply({"a": item("a", 1, slots=1)})
        self.fleet.takes_turn = lambda upstream, traits: False
        self.placer = Placer(self.fleet, Clock())

    def acquire(self):
        return self.placer.acquire("svc", RequestTraits("t", 0), (), 200)

    def test_room_in_a_report_is_used_in_turn_and_an_own_slot_at_once(self):
        # All entries see the same free slot in a report, and each would fill it. A slot
        # that this entry's request frees is seen by no other one yet.
        async def wait():
            slot = await self.acquire()
            waiting = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0.01)
            self.fleet.upstreams["a"].local_requests = 0
            self.placer.serve_waiting()
            await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            self.fleet.upstreams["a"].local_requests = 1
            self.placer.release(slot)
            return (await waiting).local_requests

        self.assertEqual(run(wait()), 1)

    def test_a_request_that_ends_at_a_closed_group_is_not_replaced_at_another(self):
        # When a rank dies, all streams of its group end at once, and each of 31 entries
        # would replace its own ones in the room that the other group has left.
        async def wait():
            await self.acquire()
            closing = self.fleet.upstreams["a"]
            waiting = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0.01)
            self.fleet.apply({"a": item("a", 1, slots=1), "b": item("b", 2, slots=1)})
            closing.open = False
            self.placer.release(closing)
            with self.assertRaises(RefusedError):
                await waiting
            return self.fleet.upstreams["b"].local_requests

        self.assertEqual(run(wait()), 0)
