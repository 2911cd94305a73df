"""A channel of the store that is silent shows in time for what hangs on it."""

import asyncio
import contextlib
import unittest
from unittest import mock

from fuchsiahatch_adapter.node_settings import Address, StoreAccess
from fuchsiahatch_adapter.store import HistoryLostError, Items, StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import UnansweredReadError, UnsentError
from fuchsiahatch_gateway import following
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.watching import Watcher
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_standins.fleet_store import FleetStore
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import until
from tests.loopback import run

#: Time after a loss from which hosts are in touch again, and the time within which a
#: configuration or a leaving upstream must then be in force.
STABLE_S, APPLY_S = 3.0, 2.0
#: Duration of the store's answers when it is slow.
SLOW_MS = 250
CHANGES = Items((), 7)


@contextlib.asynccontextmanager
async def followed(registered=False):
    """Yield a stand-in store, its client, its health, a copy and its follower."""
    store = FleetStore()
    access = StoreAccess(Address("127.0.0.1", await store.listen()), 1_000, 20_000)
    clock, health = Clock(), StoreHealth()
    client = StoreClient(access, ConnectionPool(clock))
    copy = ItemCopy("servers/", health, clock, lambda: None)
    follower = Follower(client, "servers/", health, clock, [copy])
    tasks = [asyncio.ensure_future(follower.run())]
    if registered:
        key = "fuchsiahatch-entries/e"
        registration = Registration(client, key, b"{}", health, clock)
        tasks.append(asyncio.ensure_future(registration.run()))
    try:
        await until(lambda: follower.synced)
        yield store, client, health, copy, follower
    finally:
        for task in tasks:
            task.cancel()
        await store.close()


def short_waits(wait_ms, overdue_ms):
    return mock.patch.multiple(
        following, WATCH_WAIT_MS=wait_ms, WATCH_OVERDUE_MS=overdue_ms
    )


class TestLostWatches(unittest.TestCase):
    def check_in_force_in_time(self, lose):
        """Check that a change made once hosts are in touch again is seen in time."""

        async def follow():
            async with followed(registered=True) as (store, _, health, copy, _):
                store.put("servers/first", {})
                await until(lambda: "first" in copy.items)
                await asyncio.sleep(following.WATCH_PAUSE_MS / 1000 + 0.2)
                reads = store.calls.count("/-/kv-range")
                lose(store)
                await asyncio.sleep(STABLE_S)
                store.put("servers/late", {})
                await until(lambda: "late" in copy.items, APPLY_S)
                return store.calls.count("/-/kv-range") - reads, health.failed_ms

        return run(follow())

    def test_a_lost_answer_on_an_open_channel(self):
        # An entry sent requests to a moved route's former service for 10 s.
        def lose(store):
            store.faults.lost_watches = 1
            store.put("servers/lost", {})

        self.assertEqual(self.check_in_force_in_time(lose), (0, None))

    def test_a_channel_that_takes_a_watch_and_never_answers(self):
        def lose(store):
            store.faults.silent_watches = 1
            store.put("servers/second", {})

        self.assertEqual(self.check_in_force_in_time(lose), (0, None))

    def test_a_channel_that_is_reset(self):
        self.check_in_force_in_time(lambda store: store.cut())

    def test_a_lost_answer_is_had_again_on_another_channel(self):
        async def follow():
            async with followed() as (store, client, health, copy, _):
                store.faults.lost_watches = 1
                store.put("servers/lost", {})
                await until(lambda: "lost" in copy.items, 1.5)
                return client.calls, health.failed_ms

        with short_waits(500, 200):
            calls, failed_ms = run(follow())
        self.assertIsNone(failed_ms)
        self.assertEqual(calls["store range servers/ 200"], 1)

    def test_a_slow_store_is_not_taken_for_a_lost_one(self):
        # Guards against watches that are given up before a slow answer arrives.
        async def follow():
            async with followed() as (store, client, health, copy, _):
                store.put("servers/a", {})
                await until(lambda: "a" in copy.items)
                store.faults.delay_ms = 1_500
                before = len(store.calls)
                store.put("servers/b", {})
                await until(lambda: "b" in copy.items, 2.0)
                await asyncio.sleep(5.0)
                return len(store.calls) - before, client.calls, health.failed_ms

        with short_waits(500, 200):
            made, calls, failed_ms = run(follow())
        self.assertIsNone(failed_ms)
        self.assertEqual(calls["store range servers/ 200"], 1)
        self.assertEqual(calls["store watch servers/ unanswered"], 0)
        # Each watch takes 2 s with its answer and the pause behind it.
        self.assertLessEqual(made, 2 * 4 + 1)

    def test_a_lost_answer_shows_by_an_item_that_another_call_has_read(self):
        # An agent whose watch was silent knew its group's former leader for 15 s.
        async def follow():
            async with followed() as (store, client, health, copy, follower):
                store.put("servers/a", {})
                await until(lambda: "a" in copy.items)
                await asyncio.sleep(0.3)
                store.faults.lost_watches = 1
                store.put("servers/a", {"new": 1})
                item = await client.get("servers/a", allow_stale=True)
                follower.note_item(item)
                await until(lambda: b"new" in copy.items["a"].value, 1.5)
                return store.calls.count("/-/kv-range"), health.failed_ms

        with short_waits(15_000, 400):
            self.assertEqual(run(follow()), (1, None))

    def test_an_item_that_the_watch_reports_too_repeats_no_watch(self):
        async def follow():
            async with followed() as (store, client, _, _, follower):
                store.put("servers/a", {})
                item = await client.get("servers/a", allow_stale=True)
                follower.note_item(item)
                await asyncio.sleep(1.5)
                return store.calls.count("/-/kv-watch")

        with short_waits(15_000, 400):
            self.assertEqual(run(follow()), 2)

    def test_the_bounds_hold_with_a_slow_answer_behind_a_burst(self):
        # A channel may be silent from the beginning of a pause between two watches.
        found_ms = (
            following.BURST_PAUSE_MS
            + following.WATCH_WAIT_MS
            + following.WATCH_OVERDUE_MS
            + SLOW_MS
        )
        self.assertLess(found_ms, (STABLE_S + APPLY_S) * 1000)
        self.assertGreater(following.WATCH_OVERDUE_MS, SLOW_MS)


class FakeCalls:
    """Watches that end as scripted: after how many seconds, and with what."""

    def __init__(self, *script):
        self.script = list(script)
        self.fresh = []

    async def make(self, fresh):
        self.fresh.append(fresh)
        after_s, result = self.script.pop(0)
        await asyncio.sleep(after_s)
        if isinstance(result, Exception):
            raise result
        return result


class TestWatcher(unittest.TestCase):
    def watch(self, *script):
        """Return what a watch of 3 s, overdue after 0.5 s, ends with, and when."""
        self.calls = FakeCalls(*script)

        async def work(loop):
            watcher = Watcher(self.calls.make, 3_500)
            try:
                result = await watcher.run()
            except Exception as fault:
                result = fault
            return result, loop.time()

        return run_virtually(work)

    def test_an_answer_in_time_costs_one_call(self):
        self.assertEqual(self.watch((3.1, CHANGES)), (CHANGES, 3.1))
        self.assertEqual(self.calls.fresh, [False])

    def test_an_overdue_watch_is_made_again_on_a_new_channel(self):
        self.assertEqual(self.watch((99, None), (0.2, CHANGES)), (CHANGES, 3.7))
        self.assertEqual(self.calls.fresh, [False, True])

    def test_a_late_answer_to_the_first_one_counts(self):
        self.assertEqual(self.watch((4.5, CHANGES), (99, None)), (CHANGES, 4.5))

    def test_a_first_one_without_an_answer_is_no_failure_while_another_waits(self):
        unanswered = UnansweredReadError("watch")
        result = self.watch((5.0, unanswered), (2.0, CHANGES))
        self.assertEqual(result, (CHANGES, 5.5))

    def test_two_without_an_answer_are_a_failure(self):
        unanswered = UnansweredReadError("watch")
        result, at_s = self.watch((5.0, unanswered), (5.0, unanswered))
        self.assertIsInstance(result, UnansweredReadError)
        self.assertEqual(at_s, 8.5)

    def test_a_reset_or_refused_first_one_is_a_failure_at_once(self):
        for fault in (UnansweredReadError("reset"), UnsentError("503")):
            self.assertEqual(self.watch((1.0, fault)), (fault, 1.0))

    def test_an_unreachable_store_is_a_failure_at_once(self):
        fault = UnsentError("refused")
        self.assertEqual(self.watch((99, None), (0.1, fault)), (fault, 3.6))

    def test_a_lost_history_is_an_answer(self):
        fault = HistoryLostError("gone")
        self.assertEqual(self.watch((99, None), (0.1, fault)), (fault, 3.6))

    def test_a_doubted_watch_is_made_again_at_once(self):
        self.calls = FakeCalls((99, None), (0.2, CHANGES))

        async def work(loop):
            watcher = Watcher(self.calls.make, 3_500)
            loop.call_later(1.0, watcher.doubt)
            return await watcher.run(), loop.time()

        self.assertEqual(run_virtually(work), (CHANGES, 1.2))
