import asyncio
import random
import unittest

from fuchsiahatch_adapter.store import (
    Item,
    RangeRead,
    StoreRestoredError,
)
from fuchsiahatch_core.clock import Clock, ManualClock
from fuchsiahatch_gateway import registration
from fuchsiahatch_gateway.defaults import (
    LAPSE_GRACE_MS,
)
from fuchsiahatch_gateway.fleet import Fleet, newest_by_address
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_standins.fleet_store import PAGE_ITEMS, make_upstream_entry
from tests.adapter.test_json_calls import Served
from tests.gateway.sites import Site, answers, dump, make_configuration, until, upstream
from tests.loopback import run


class TestEras(unittest.TestCase):
    """Reads from two eras of the store are never combined into one result."""

    def test_a_range_across_two_eras_is_read_again(self):
        async def read():
            async with Served() as served:
                for number in range(2 * PAGE_ITEMS):
                    served.store.put(f"s/{number:04}", b"old")
                copy = served.store.copy()
                reading = RangeRead(served.client, "s/")
                served.store.faults.fail_each = 2
                try:
                    await reading.finish()
                except Exception:
                    served.store.faults.fail_each = 0
                served.store.restore(copy)
                await asyncio.sleep(0.02)
                served.store.put("s/0000", b"new")
                with self.assertRaises(StoreRestoredError):
                    await reading.finish()
                return await reading.finish()

        found = run(read())
        self.assertEqual(found.items[0].value, b"new")
        self.assertEqual(found.era, 2)

    def test_a_lower_or_invalid_era_is_not_a_restore(self):
        async def read():
            async with Served() as served:
                restored = []
                served.client.on_restored = lambda: restored.append(served.client.era)
                for era in (4, 3, None, 4, 6):
                    served.store.era = era
                    await served.client.ping()
                served.client._update_era(b"nan")
                served.client._update_era(b"-1")
                return restored, served.client.era

        self.assertEqual(run(read()), ([6], 6))

    def test_the_first_era_named_after_other_answers_is_a_restore(self):
        # Guards against a deleted route that comes back after the first restore of a
        # store whose eras begin with 0.
        async def read(first):
            async with Served() as served:
                restored = []
                served.client.on_restored = lambda: restored.append(served.client.era)
                served.store.era = first
                await served.client.ping()
                served.store.era = 1
                await served.client.ping()
                return restored

        for first in (0, None):
            with self.subTest(first=first):
                self.assertEqual(run(read(first)), [1])


def value_of(copy, name):
    item = copy.items.get(name)
    return None if item is None else item.value


async def lose_ten(store, followed):
    """Restore the store to a state before ten changes that a follower has seen."""
    copy = store.copy()
    for number in range(10):
        store.put("s/b", b"lost %d" % number)
    await until(lambda: value_of(followed, "b") == b"lost 9")
    store.restore(copy)


class TestFollower(unittest.TestCase):
    """A copy of the store's items stays correct after the store was restored."""

    def follow(self, work):
        async def play():
            async with Served() as served:
                health = StoreHealth()
                served.client.on_restored = lambda: health.note_restored(
                    Clock().now_ms()
                )
                copy = ItemCopy("s/", health, Clock(), lambda: None)
                follower = Follower(served.client, "s/", health, Clock(), [copy])
                served.store.put("s/a", b"first")
                task = asyncio.ensure_future(follower.run())
                await until(lambda: follower.synced)
                try:
                    return await work(served.store, copy, follower)
                finally:
                    task.cancel()

        return run(play())

    def test_changes_below_a_reused_revision_are_seen(self):
        # Guards against one host that misses an operator's change: it was cut off while
        # the store went back by ten revisions and reused them, so that its watch
        # continued after everything written meanwhile.
        async def work(store, followed, follower):
            await lose_ten(store, followed)
            store.put("s/c", b"second time")
            for number in range(20):
                store.put("other", b"%d" % number)
            # The watch is accepted, and waits for a change above its revision.
            await until(lambda: store.calls[-1].endswith("watch"))
            await asyncio.sleep(0.1)
            store.put("s/d", b"above")
            await until(lambda: "c" in followed.items)
            return followed.items["c"].value

        self.assertEqual(self.follow(work), b"second time")

    def test_a_pending_watch_is_cancelled_once_any_call_shows_the_new_era(self):
        # The same, with no further write for half a minute.
        async def work(store, followed, follower):
            await lose_ten(store, followed)
            store.put("s/c", b"second time")
            for number in range(20):
                store.put("other", b"%d" % number)
            await asyncio.sleep(1.2)
            await follower._store.ping()
            await until(lambda: "c" in followed.items)
            return followed.items["c"].value

        self.assertEqual(self.follow(work), b"second time")

    def test_an_item_written_again_at_a_lower_revision_is_applied(self):
        # Guards against an entry that lookups never name again: it has registered again
        # at a revision below the one that other entries have of it.
        async def work(store, followed, follower):
            await lose_ten(store, followed)
            store.put("s/b", b"again")
            await until(lambda: value_of(followed, "b") == b"again")
            return True

        self.assertTrue(self.follow(work))

    def test_an_item_written_again_after_the_read_is_applied(self):
        # The same, but the entry registers a second after the others have read
        # everything again: its deferred deletion must not drop it at the end of the
        # grace time.
        async def work(store, followed, follower):
            await lose_ten(store, followed)
            await until(lambda: follower._era == 2)
            store.put("s/b", b"again")
            await until(lambda: value_of(followed, "b") == b"again", 2.0)
            await asyncio.sleep(LAPSE_GRACE_MS / 1000 + 0.3)
            return value_of(followed, "b")

        self.assertEqual(self.follow(work), b"again")

    def test_a_missing_item_is_kept_until_its_owner_could_have_written_it(self):
        async def work(store, followed, follower):
            copy = store.copy()
            store.put("s/b", b"lost")
            await until(lambda: "b" in followed.items)
            store.restore(copy)
            await until(lambda: follower._era == 2)
            await asyncio.sleep(LAPSE_GRACE_MS / 2000)
            was_kept = "b" in followed.items
            await until(lambda: "b" not in followed.items, LAPSE_GRACE_MS / 1000)
            return was_kept

        self.assertTrue(self.follow(work))

    def test_two_restores_in_a_row(self):
        async def work(store, followed, follower):
            copy = store.copy()
            store.put("s/b", b"lost")
            store.restore(copy)
            await asyncio.sleep(0.05)
            store.restore(copy)
            store.put("s/d", b"here")
            await until(lambda: "d" in followed.items)
            return follower._era

        self.assertEqual(self.follow(work), 3)


class TestConfiguration(unittest.TestCase):
    def test_an_older_configuration_is_not_applied(self):
        # Guards against a revoked key that is accepted again for seconds.
        table = RouteTable()
        table.apply(dump(make_configuration(5, keys=())), 1)
        self.assertFalse(table.apply(dump(make_configuration(4)), 2))
        self.assertEqual(table.configuration.version, 5)

    def test_another_configuration_with_the_lost_version_is_applied(self):
        table = RouteTable()
        table.apply(dump(make_configuration(5)), 1)
        other = dump(make_configuration(5, keys=("another",)))
        self.assertFalse(table.apply(other, 1))
        self.assertTrue(table.apply(other, 2))
        self.assertFalse(table.apply(dump(make_configuration(5)), 2))

    def test_an_entry_keeps_it_and_applies_the_next_one(self):
        async def play():
            async with Site(upstream(*[answers()] * 9)) as site:
                copy = site.store.copy()
                document = make_configuration(2, keys=("new",))
                site.store.put("op/config", document)
                table = site.entry.routes
                await until(lambda: table.configuration.version == 2)
                site.store.restore(copy)
                await until(lambda: site.entry.store.era == 2)
                await asyncio.sleep(0.3)
                old = await site.ask("/safe/", request_id="q-1")
                site.store.put("op/config", make_configuration(3, keys=("newest",)))
                await until(lambda: table.configuration.version == 3)
                new = await site.ask("/safe/", request_id="q-2", key="newest")
                return old.status, new.status

        self.assertEqual(run(play()), (401, 200))


def item(instance, revision, era, state="ready", port=80, **changes):
    entry = make_upstream_entry("svc", f"10.0.0.1:{port}", state=state, **changes)
    return Item(f"servers/{instance}", dump(entry), revision, 5, era)


class TestUpstreams(unittest.TestCase):
    """A leaving upstream gets no new requests, whatever an older copy says.

    Guards against a request that reaches an upstream seconds after the end of its drain
    because the store was restored from a copy in which it was ready.
    """

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.fleet = Fleet("a", self.clock, random.Random(1))

    def usable(self, **items):
        self.fleet.apply(items)
        return [upstream.entry.instance for upstream in self.fleet.gate.usable("svc")]

    def test_a_leaving_upstream_stays_leaving(self):
        self.usable(a=item("a", 40, 1, "draining", born=7))
        self.assertEqual(self.usable(a=item("a", 30, 2, born=7)), [])
        self.assertEqual(self.usable(a=item("a", 60, 2, born=7)), [])

    def test_its_next_incarnation_gets_requests(self):
        self.usable(a=item("a", 40, 1, "draining", born=7))
        self.assertEqual(self.usable(a=item("a", 30, 2, born=8)), ["a"])

    def test_within_an_era_its_latest_state_counts(self):
        self.usable(a=item("a", 40, 1, "draining", born=7))
        self.assertEqual(self.usable(a=item("a", 41, 1, born=7)), ["a"])

    def test_a_removed_upstream_stays_removed(self):
        self.usable(a=item("a", 40, 1, born=7))
        self.usable()
        self.assertEqual(self.usable(a=item("a", 40, 2, born=7)), [])
        self.assertEqual(self.usable(a=item("a", 33, 2, born=7)), [])

    def test_an_upstream_that_writes_again_is_back(self):
        self.usable(a=item("a", 40, 1, born=7))
        self.usable()
        self.usable(a=item("a", 40, 2, born=7))
        self.assertEqual(self.usable(a=item("a", 41, 2, born=7)), ["a"])

    def test_an_upstream_whose_item_expired_is_back(self):
        self.usable(a=item("a", 40, 1, born=7))
        self.usable()
        self.assertEqual(self.usable(a=item("a", 47, 1, born=7)), ["a"])

    def test_the_latest_incarnation_at_an_address_counts(self):
        items = {
            "old": item("old", 30, 2, born=7),
            "new": item("new", 20, 1, born=9),
        }
        fleet = Fleet("a", self.clock, random.Random(1))
        fleet.apply(items)
        self.assertEqual(list(fleet.upstreams), ["new"])
        self.assertEqual(list(newest_by_address({}, {})), [])


class TestRegistrations(unittest.TestCase):
    def register(self, work):
        async def play():
            async with Served() as served:
                health = StoreHealth()
                served.client.on_restored = lambda: health.note_restored(
                    Clock().now_ms()
                )
                copy = served.store.copy()
                registered = Registration(served.client, "e/1", b"me", health, Clock())
                task = asyncio.ensure_future(registered.run())
                await until(lambda: served.store.get("e/1"))
                try:
                    return await work(served, registered, copy)
                finally:
                    task.cancel()

        return run(play())

    def test_a_lost_registration_is_back_within_two_seconds(self):
        # Other processes remove an entry that is missing for more than 2.3 s.
        async def work(served, registered, copy):
            served.store.restore(copy)
            # Its lease id now belongs to another lease, so that renewing it succeeds.
            served.store._serve_grant(60_000)
            await until(lambda: served.store.get("e/1"), 2.0)
            return True

        self.assertTrue(self.register(work))
        self.assertLess(registration.RESTORED_SPREAD_MS, LAPSE_GRACE_MS / 2)

    def test_a_leaving_process_does_not_revoke_a_foreign_lease(self):
        async def work(served, registered, copy):
            await served.restore(copy)
            _, answer = served.store._serve_grant(60_000)
            same = answer["lease"] == registered._lease
            await registered.withdraw()
            return same, answer["lease"] in served.store._leases

        self.assertEqual(self.register(work), (True, True))


if __name__ == "__main__":
    unittest.main()
