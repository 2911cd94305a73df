import asyncio
import random
import unittest

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from tests.gateway.test_fleet import item
from tests.loopback import run


class TestPlacer(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", Clock(), random.Random(1))
        self.fleet.apply({"a": item("a", 1, slots=1)})
        self.placer = Placer(self.fleet, Clock())
        self.upstream = self.fleet.upstreams["a"]

    def take(self, team="t", urgency=1, wait_ms=500):
        return self.placer.take("svc", team, urgency, (), wait_ms)

    def test_a_place_goes_to_who_waits(self):
        async def wait():
            first = await self.take()
            second = asyncio.ensure_future(self.take())
            await asyncio.sleep(0.01)
            self.assertEqual(self.placer.waiting, 1)
            self.placer.give_back(first)
            await second
            return self.upstream.local_requests

        self.assertEqual(run(wait()), 1)

    def test_who_waits_too_long_is_refused(self):
        async def wait():
            await self.take()
            with self.assertRaises(RefusedError):
                await self.take(wait_ms=20)
            return self.upstream.local_requests, self.placer.waiting

        self.assertEqual(run(wait()), (1, 0))

    def test_a_caller_who_leaves_as_its_place_comes_leaves_it(self):
        # An engine writes an answer for nobody, and one of its places is counted free
        # twice: the caller left in the same turn of the loop in which it got a place.
        async def wait():
            first = await self.take()
            second = asyncio.ensure_future(self.take())
            await asyncio.sleep(0.01)
            self.placer.give_back(first)
            second.cancel()
            await asyncio.wait({second})
            return second.cancelled(), self.upstream.local_requests

        self.assertEqual(run(wait()), (True, 0))

    def test_an_upstream_that_began_to_leave_gets_nothing(self):
        async def wait():
            first = await self.take()
            second = asyncio.ensure_future(self.take(wait_ms=100))
            await asyncio.sleep(0.01)
            self.fleet.apply({"a": item("a", 1, 2, slots=1, state="draining")})
            self.placer.give_back(first)
            with self.assertRaises(RefusedError):
                await second
            return self.upstream.local_requests

        self.assertEqual(run(wait()), 0)

    def test_a_quiet_team_is_not_behind_a_flood(self):
        async def wait():
            place = await self.take()
            order = []

            async def one(team):
                got = await self.take(team)
                order.append(team)
                self.placer.give_back(got)

            tasks = [asyncio.ensure_future(one("flood")) for _ in range(20)]
            await asyncio.sleep(0.01)
            tasks.append(asyncio.ensure_future(one("quiet")))
            await asyncio.sleep(0.01)
            self.placer.give_back(place)
            await asyncio.gather(*tasks)
            return order.index("quiet")

        self.assertLessEqual(run(wait()), 3)
