import asyncio
import random
import unittest

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.group_returns import DEFAULT_RETURN_MS
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from tests.gateway.test_fleet import item, load
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

    def test_request_is_refused_at_once_while_all_rank_groups_are_down(self):
        # With the time until the first one is expected back; the last waits for that.
        self.fleet.observe(load(1, group="g"))
        self.fleet.note_crash("a@0", "g")
        with self.assertRaises(RefusedError) as raised:
            run(self.acquire(wait_ms=DEFAULT_RETURN_MS - 50))
        self.assertEqual(raised.exception.result, Code.NO_LIVE_UPSTREAM)
        left_ms = raised.exception.retry_after_ms
        self.assertAlmostEqual(left_ms, DEFAULT_RETURN_MS, delta=50)

        async def wait():
            waiting = asyncio.ensure_future(self.acquire(wait_ms=2 * DEFAULT_RETURN_MS))
            await asyncio.sleep(0.01)
            waiting.cancel()
            return self.placer.waiting

        self.assertEqual(run(wait()), 1)

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
