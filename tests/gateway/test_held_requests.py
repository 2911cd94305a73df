import asyncio
import unittest

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_gateway import held_requests
from fuchsiahatch_gateway.crashing_requests import HOLD_MS, CrashingRequests
from fuchsiahatch_gateway.datagrams import CrashNotice
from fuchsiahatch_gateway.defaults import HELD_PREFIX
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.held_requests import (
    WRITERS,
    HeldRecord,
    HeldRequests,
    decode_held_record,
)
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.store_health import StoreHealth
from tests.adapter.test_json_calls import Served
from tests.gateway.sites import until
from tests.loopback import run

THREE = CrashNotice("f", ("a@1", "b@1", "c@1"))


class Entry:
    """What one entry knows of held requests; nobody hears its datagrams."""

    def __init__(self, store, place):
        clock = Clock()
        self.requests = CrashingRequests(clock, lambda message: None)
        self.held = HeldRequests(store, self.requests, lambda: place)
        health = StoreHealth()
        self.copy = ItemCopy(HELD_PREFIX, health, clock, self.note_change)
        self.follower = Follower(store, HELD_PREFIX, health, clock, [self.copy])
        self.works = [
            asyncio.ensure_future(work)
            for work in (self.follower.run(), self.held.run())
        ]

    def note_change(self):
        self.held.apply(self.copy.items)

    @property
    def holds(self):
        return self.requests.held_ms("f") > 0


class Entries:
    """Some entries at the store's stand-in, for the time of a context."""

    def __init__(self, places):
        self.places = places

    async def __aenter__(self):
        self._served = Served()
        served = await self._served.__aenter__()
        self.store, self._client = served.store, served.client
        self.all = [self.start(place) for place in self.places]
        await until(lambda: all(one.follower.synced for one in self.all))
        return self

    async def __aexit__(self, *exc_info):
        for one in self.all:
            for work in one.works:
                work.cancel()
        await self._served.__aexit__(*exc_info)

    def start(self, place):
        return Entry(self._client, place)

    def stored(self):
        value = self.store.get(HELD_PREFIX + "f")
        return None if value is None else decode_held_record("f", value)


class TestHeldRequests(unittest.TestCase):
    def play(self, work, places=(0, 1, 2)):
        async def play():
            async with Entries(places) as entries:
                return await work(entries)

        return run(play())

    def test_those_that_heard_no_notice_learn_of_it_and_those_that_start(self):
        async def work(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: all(one.holds for one in entries.all))
            late = entries.start(3)
            entries.all.append(late)
            await until(lambda: late.follower.synced)
            return late.holds, entries.stored()

        holds, stored = self.play(work)
        self.assertTrue(holds)
        self.assertEqual(stored, HeldRecord(True, THREE.lives))

    def test_a_hundred_that_counted_it_make_a_few_writes(self):
        async def work(entries):
            for one in entries.all:
                one.requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)
            await asyncio.sleep(1.5)
            return entries.store.calls.count("/-/kv-txn")

        self.assertLessEqual(self.play(work, range(40)), WRITERS)

    def test_the_third_writes_where_the_first_two_are_gone(self):
        async def work(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)

        self.play(work, (WRITERS - 1,))

    def test_an_older_copy_of_the_store_loses_nothing(self):
        async def work(entries):
            copy = entries.store.copy()
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)
            entries.store.restore(copy)
            self.assertIsNone(entries.stored())
            await until(lambda: entries.stored() is not None)

        self.play(work)

    def test_an_outage_loses_nothing(self):
        async def work(entries):
            entries.store.faults.status = 503
            entries.all[0].requests.receive_notice(THREE)
            await asyncio.sleep(0.5)
            entries.store.faults.status = 0
            await until(lambda: entries.stored() is not None)
            self.assertTrue(entries.all[0].holds)

        self.play(work)

    def test_a_whole_answer_clears_it_for_good_also_where_nobody_hears_of_it(self):
        async def work(entries):
            counted = entries.all[:2]
            for one in counted:
                one.requests.receive_notice(THREE)
            await until(lambda: all(one.holds for one in entries.all))
            entries.all[2].requests.note_complete_answer("f")
            await until(lambda: not any(one.holds for one in entries.all))
            await asyncio.sleep(held_requests.LOOK_MS / 1000 + 0.5)
            return entries.stored(), [one.holds for one in entries.all]

        stored, holds = self.play(work)
        self.assertEqual((stored.held, holds), (False, [False] * 3))

    def test_crashes_behind_a_clearance_count_anew(self):
        async def work(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.all[2].holds)
            entries.all[2].requests.note_complete_answer("f")
            await until(lambda: not entries.all[0].holds)
            later = CrashNotice("f", ("d@1", "e@1", "g@1"))
            entries.all[0].requests.receive_notice(later)
            await until(lambda: entries.stored().held)
            return entries.stored()

        self.assertEqual(self.play(work).upstreams, ("d@1", "e@1", "g@1"))

    def test_its_lease_ends_the_hold_by_itself(self):
        async def work(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.all[1].holds)
            (ttl_ms,) = entries.store.copy().ttls_ms.values()
            self.assertAlmostEqual(ttl_ms, HOLD_MS, delta=2_000)
            # Nobody that counted it is there any more.
            for one in entries.all[0].works:
                one.cancel()
            entries.store.end_leases()
            await until(lambda: not entries.all[1].holds)

        self.play(work)

    def test_what_cannot_be_read_holds_nobody_and_is_written_anew(self):
        async def work(entries):
            entries.store.put(HELD_PREFIX + "f", b"{broken")
            entries.store.put(HELD_PREFIX + "g", b"[]")
            await asyncio.sleep(0.3)
            self.assertFalse(any(one.holds for one in entries.all))
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.store.get(HELD_PREFIX + "f") != b"{broken")
            return entries.stored()

        self.assertTrue(self.play(work).held)


if __name__ == "__main__":
    unittest.main()
