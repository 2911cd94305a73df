import asyncio
import unittest

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_gateway import held_requests
from fuchsiahatch_gateway.crash_evidence import HOLD_MS
from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.defaults import HELD_PREFIX
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.held_requests import (
    MAX_WRITERS,
    HeldRecord,
    HeldRequests,
    decode_held_record,
)
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.store_health import StoreHealth
from tests.adapter.test_json_calls import Served
from tests.gateway.crash_model import make_notice, whole
from tests.gateway.sites import until
from tests.loopback import run

CRASHED = ("a@1", "b@1", "c@1")
THREE = make_notice("f", CRASHED)
F = whole("f")


class Entry:
    """One entry's view of held requests; its datagrams reach no other entry."""

    def __init__(self, store, entry_index):
        clock = Clock()
        self.requests = CrashingRequests(clock, lambda message: None)
        self.held = HeldRequests(store, self.requests, lambda: entry_index, clock)
        health = StoreHealth()
        self.copy = ItemCopy(HELD_PREFIX, health, clock, self.apply_change)
        self.follower = Follower(store, HELD_PREFIX, health, clock, [self.copy])
        self.tasks = [
            asyncio.ensure_future(task)
            for task in (self.follower.run(), self.held.run())
        ]

    def apply_change(self):
        self.held.apply(self.copy.items)

    @property
    def holds(self):
        return self.requests.held_ms(F) > 0


class Entries:
    """Context manager of entries that use the store's stand-in."""

    def __init__(self, entry_indexes):
        self.entry_indexes = entry_indexes

    async def __aenter__(self):
        self._served = Served()
        served = await self._served.__aenter__()
        self.store, self._client = served.store, served.client
        self.all = [self.start(entry_index) for entry_index in self.entry_indexes]
        await until(lambda: all(one.follower.synced for one in self.all))
        return self

    async def __aexit__(self, *exc_info):
        for one in self.all:
            for task in one.tasks:
                task.cancel()
        await self._served.__aexit__(*exc_info)

    def start(self, entry_index):
        return Entry(self._client, entry_index)

    def stored(self):
        value = self.store.get(HELD_PREFIX + "f")
        return None if value is None else decode_held_record("f", value)


class TestHeldRequests(unittest.TestCase):
    def run_scenario(self, scenario, entry_indexes=(0, 1, 2)):
        async def play():
            async with Entries(entry_indexes) as entries:
                return await scenario(entries)

        return run(play())

    def test_entries_that_start_or_missed_the_notice_learn_of_it(self):
        async def scenario(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: all(one.holds for one in entries.all))
            late = entries.start(3)
            entries.all.append(late)
            await until(lambda: late.follower.synced)
            return late.holds, entries.stored()

        holds, stored = self.run_scenario(scenario)
        self.assertTrue(holds)
        self.assertEqual(stored, HeldRecord(True, CRASHED))

    def test_many_entries_that_counted_it_make_a_few_writes(self):
        async def scenario(entries):
            for one in entries.all:
                one.requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)
            await asyncio.sleep(1.5)
            return entries.store.calls.count("/-/kv-txn")

        self.assertLessEqual(self.run_scenario(scenario, range(40)), MAX_WRITERS)

    def test_the_third_entry_writes_where_the_first_two_are_missing(self):
        async def scenario(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)

        self.run_scenario(scenario, (MAX_WRITERS - 1,))

    def test_an_older_copy_of_the_store_loses_nothing(self):
        async def scenario(entries):
            copy = entries.store.copy()
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)
            entries.store.restore(copy)
            self.assertIsNone(entries.stored())
            await until(lambda: entries.stored() is not None)

        self.run_scenario(scenario)

    def test_an_outage_loses_nothing(self):
        async def scenario(entries):
            entries.store.faults.status = 503
            entries.all[0].requests.receive_notice(THREE)
            await asyncio.sleep(0.5)
            entries.store.faults.status = 0
            await until(lambda: entries.stored() is not None)
            self.assertTrue(entries.all[0].holds)

        self.run_scenario(scenario)

    def test_a_complete_answer_clears_it_at_entries_that_miss_the_clearance(self):
        async def scenario(entries):
            counted = entries.all[:2]
            for one in counted:
                one.requests.receive_notice(THREE)
            await until(lambda: all(one.holds for one in entries.all))
            entries.all[2].requests.note_complete_answer(F)
            await until(lambda: not any(one.holds for one in entries.all))
            await asyncio.sleep(held_requests.CHECK_INTERVAL_MS / 1000 + 0.5)
            return entries.stored(), [one.holds for one in entries.all]

        stored, holds = self.run_scenario(scenario)
        self.assertEqual((stored.held, holds), (False, [False] * 3))

    def test_crashes_after_a_clearance_count_again(self):
        async def scenario(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.all[2].holds)
            entries.all[2].requests.note_complete_answer(F)
            await until(lambda: not entries.all[0].holds)
            later = make_notice("f", ("d@1", "e@1", "g@1"))
            entries.all[0].requests.receive_notice(later)
            await until(lambda: entries.stored().held)
            return entries.stored()

        self.assertEqual(self.run_scenario(scenario).upstreams, ("d@1", "e@1", "g@1"))

    def test_a_cause_that_another_explains_is_removed_once(self):
        # The second entry doesn't know better, and writes it again.
        async def scenario(entries):
            entries.all[1].requests.receive_notice(THREE)
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.stored() is not None)
            for number in range(5):
                requests = [whole("g"), *([F] if number < 3 else [])]
                incarnation = CRASHED[number] if number < 3 else f"x@{number}"
                entries.all[0].requests.note_crash(incarnation, "svc", "", requests)
            await until(lambda: entries.store.get(HELD_PREFIX + "g") is not None)
            await until(lambda: entries.stored() is None, 3.0)
            await asyncio.sleep(1.0)
            return entries.store.calls.count("/-/kv-txn")

        self.assertLessEqual(self.run_scenario(scenario, (0, 1)), 5)

    def test_the_hold_ends_with_its_lease(self):
        async def scenario(entries):
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.all[1].holds)
            (ttl_ms,) = entries.store.copy().ttls_ms.values()
            self.assertAlmostEqual(ttl_ms, HOLD_MS, delta=2_000)
            # No entry that counted it is running any more.
            for one in entries.all[0].tasks:
                one.cancel()
            entries.store.end_leases()
            await until(lambda: not entries.all[1].holds)

        self.run_scenario(scenario)

    def test_an_unreadable_record_holds_no_request_and_is_written_again(self):
        async def scenario(entries):
            entries.store.put(HELD_PREFIX + "f", b"{broken")
            entries.store.put(HELD_PREFIX + "g", b"[]")
            await asyncio.sleep(0.3)
            self.assertFalse(any(one.holds for one in entries.all))
            entries.all[0].requests.receive_notice(THREE)
            await until(lambda: entries.store.get(HELD_PREFIX + "f") != b"{broken")
            return entries.stored()

        self.assertTrue(self.run_scenario(scenario).held)


if __name__ == "__main__":
    unittest.main()
