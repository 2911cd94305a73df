import asyncio
import unittest
from unittest import mock

from fuchsiahatch_adapter.node_settings import Address, StoreAccess
from fuchsiahatch_adapter.store import Item, StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_gateway import following, store_health
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import Site, until
from tests.loopback import run

LAPSE_GRACE_MS = 300
#: Long enough to tell parts of it apart while other tests load the machine.
LONG_LAPSE_MS = 1_000
#: Time after a reset from which an entry must not send to an upstream that left so long
#: ago.
STABLE_MS, DRAIN_MS = 3_000, 2_000


def scaled_lapses(grace_ms):
    """Scale the grace time down, and the absence in which leases expire to nothing."""
    return mock.patch.multiple(store_health, LAPSE_GRACE_MS=grace_ms, MIN_LAPSE_MS=0)


def make_item(name, value, revision):
    return Item(f"servers/{name}", value, revision, 1)


class FollowedStore:
    """A follower of the stand-in store, for the time of a context."""

    def __init__(self, history_ms=20_000):
        self.history_ms = history_ms

    async def __aenter__(self):
        self.store = FleetStore()
        port = await self.store.listen()
        access = StoreAccess(Address("127.0.0.1", port), 1_000, self.history_ms)
        self.clock = Clock()
        self.client = StoreClient(access, ConnectionPool(self.clock))
        self.health = StoreHealth()
        self.follower, self.copy = self.follow("servers/")
        self.tasks = [asyncio.ensure_future(self.follower.run())]
        await until(lambda: self.follower.synced)
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        await self.store.close()

    def follow(self, prefix):
        """Return a follower of the items under a prefix, and its copy."""
        copy = ItemCopy(prefix, self.health, self.clock, lambda: None)
        follower = Follower(self.client, prefix, self.health, self.clock, [copy])
        return follower, copy

    def register(self):
        """Keep a registration in the store while the follower runs."""
        registration = Registration(
            self.client, "fuchsiahatch-entries/e", b"{}", self.health, self.clock
        )
        self.tasks.append(asyncio.ensure_future(registration.run()))
        return registration

    @property
    def names(self):
        return sorted(self.copy.items)


class TestFollower(unittest.TestCase):
    def test_changes_and_deletions_arrive(self):
        async def follow():
            async with FollowedStore() as followed:
                followed.store.put("servers/a", {"n": 1})
                followed.store.put("servers/b", {"n": 1})
                await until(lambda: followed.names == ["a", "b"])
                followed.store.remove("servers/a")
                await until(lambda: followed.names == ["b"])

        run(follow())

    def test_all_pages_are_read(self):
        async def follow():
            async with FollowedStore() as followed:
                followed.store.compact()
                for number in range(120):
                    followed.store.put(f"servers/{number:03}", {})
                followed.store.compact()
                await until(lambda: len(followed.names) == 120)

        run(follow())

    def test_a_burst_of_changes_is_followed_with_few_calls(self):
        # Guards against a call per change: all upstreams and entries register one after
        # another in the two seconds after a start of everything, and each process made
        # a new call after each of them, half of all calls that the platform charged.
        async def follow():
            async with FollowedStore() as followed:
                await asyncio.sleep(following.WATCH_PAUSE_MS / 1000)
                before = len(followed.store.calls)
                began_ms = followed.clock.now_ms()
                followed.store.put("servers/00", {})
                await until(lambda: followed.names == ["00"])
                first_ms = followed.clock.now_ms() - began_ms
                for number in range(1, 30):
                    followed.store.put(f"servers/{number:02}", {})
                    await asyncio.sleep(0.015)
                await until(lambda: len(followed.names) == 30)
                return first_ms, len(followed.store.calls) - before

        first_ms, calls = run(follow())
        self.assertLess(first_ms, following.WATCH_PAUSE_MS)
        self.assertLessEqual(calls, 8)

    def test_a_start_of_a_hundred_processes_is_followed_with_few_calls(self):
        # Guards against a watch rate of five calls a second in each of 300 processes
        # while they start one after another, which cost a tenth of a day's worth.
        async def follow():
            async with FollowedStore() as followed:
                await asyncio.sleep(following.WATCH_PAUSE_MS / 1000)
                before = len(followed.store.calls)
                for number in range(100):
                    followed.store.put(f"servers/{number:03}", {})
                    await asyncio.sleep(0.02)
                await until(lambda: len(followed.names) == 100)
                return len(followed.store.calls) - before

        self.assertLessEqual(run(follow()), 6)

    def test_a_loss_of_history_costs_one_watch_and_one_range_for_all_copies(self):
        # Guards against one watch per copy: with four of them, an entry made four times
        # the calls of a single watch after a loss of history and at a fleet's start.
        async def follow():
            async with Site() as site:
                upstreams = site.entry.fleet.upstreams
                entry = make_upstream_entry("svc", "10.0.0.9:80")
                site.store.put("servers/seen", entry)
                await until(lambda: "seen" in upstreams)
                before = len(site.store.calls)
                site.store.put("servers/missed", entry)
                site.store.compact()
                await until(lambda: "missed" in upstreams)
                await asyncio.sleep(0.3)
                return site.store.calls[before:]

        calls = run(follow())
        self.assertLessEqual(len(calls), 3, calls)

    def test_a_watch_ends_before_its_revision_leaves_the_history(self):
        # Guards against watches that outlast the store's history: 72 agents of a quiet
        # group lost it every twenty seconds and made three calls each instead of one.
        async def follow():
            async with FollowedStore(history_ms=400) as followed:
                followed.store.put("servers/a", {})
                await until(lambda: followed.names == ["a"])
                await asyncio.sleep(1.5)
                return followed.client.calls

        calls = run(follow())
        self.assertGreaterEqual(calls["store watch servers/ 200"], 3)
        self.assertEqual(calls["store range servers/ 200"], 1)

    def test_items_whose_leases_expired_in_an_outage_are_kept(self):
        # Guards against deletions by an outage: the leases of all upstreams expired
        # while the store was down, their items were missing for a moment after its
        # return, and every request was refused for two seconds.
        async def follow():
            async with FollowedStore() as followed:
                followed.store.put("servers/back", {})
                followed.store.put("servers/gone", {})
                await until(lambda: len(followed.names) == 2)
                followed.store.faults.status = 503
                followed.store.cut()
                await until(lambda: not followed.health.answers)
                followed.store.remove("servers/back")
                followed.store.remove("servers/gone")
                followed.store.faults.status = 0
                await until(lambda: followed.health.answers)
                self.assertEqual(followed.names, ["back", "gone"])
                followed.store.put("servers/back", {})
                await until(lambda: followed.names == ["back"])

        with scaled_lapses(LAPSE_GRACE_MS):
            run(follow())

    def test_a_late_deletion_does_not_start_a_new_grace_time(self):
        # Guards against requests to an upstream that has left: its item was deleted
        # 1.3 s after the store's return, which began a new grace time instead of using
        # the rest of the current one; a request reached it 2.2 s after it left and
        # failed.
        async def follow():
            async with FollowedStore() as followed:
                followed.store.put("servers/gone", {})
                await until(lambda: followed.names == ["gone"])
                followed.health.note_failure(followed.clock.now_ms(), "a cut")
                followed.health.note_answer(followed.clock.now_ms() + 1)
                await asyncio.sleep(0.8 * LONG_LAPSE_MS / 1000)
                followed.store.remove("servers/gone")
                await asyncio.sleep(0.4 * LONG_LAPSE_MS / 1000)
                self.assertEqual(followed.names, [])

        with scaled_lapses(LONG_LAPSE_MS):
            run(follow())

    def test_a_departure_just_after_a_short_cut_is_applied_within_the_drain_time(self):
        # A request reached an upstream 2.2 s after it had left, 3 s after a reset.
        async def follow(loop):
            clock, health = loop.make_clock(), StoreHealth()
            copy = ItemCopy("servers/", health, clock, lambda: None)
            copy.apply_changes([make_item("gone", b"{}", 1)])
            health.note_answer(clock.now_ms())
            await asyncio.sleep(1)
            health.note_failure(clock.now_ms(), "a reset")
            reset_ms = clock.now_ms()
            await asyncio.sleep(0.757)
            health.note_answer(clock.now_ms())
            await asyncio.sleep(0.045)
            copy.apply_changes([make_item("gone", None, 2)])
            left_ms = clock.now_ms()
            bound_ms = max(reset_ms + STABLE_MS, left_ms + DRAIN_MS)
            await asyncio.sleep((bound_ms - clock.now_ms()) / 1000)
            return sorted(copy.items)

        self.assertEqual(run_virtually(follow), [])

    def test_a_lapse_is_noticed_without_a_failed_call(self):
        # Guards against a short outage that no call fails in: the store was down for a
        # second and lost its leases; an entry whose only call was a pending watch saw
        # no failure, dropped all upstreams and refused a request though all of them
        # worked.
        async def follow():
            async with FollowedStore() as followed:
                for number in range(6):
                    followed.store.put(f"servers/{number}", {})
                await until(lambda: len(followed.names) == 6)
                for number in range(5):
                    followed.store.remove(f"servers/{number}")
                await until(
                    lambda: followed.follower.revision >= followed.store.revision
                )
                self.assertEqual(len(followed.names), 6)
                followed.store.put("servers/0", {})
                await until(lambda: followed.names == ["0", "5"])

        with mock.patch.object(store_health, "LAPSE_GRACE_MS", LAPSE_GRACE_MS):
            run(follow())

    def test_a_watch_sent_to_a_silent_store_is_sent_again(self):
        # Guards against a watch that the store dropped: it accepted the watch while it
        # answered nothing, and the entry went on waiting for it after the store's
        # return. An added route was answered with 404 three seconds after the change.
        async def follow():
            async with FollowedStore() as followed:
                followed.register()
                await until(lambda: followed.store.keys("fuchsiahatch-entries/"))
                followed.store.faults.silent = True
                followed.store.cut()
                await asyncio.sleep(1.5)
                followed.store.faults.silent = False
                followed.store.put("servers/a", {})
                await until(lambda: followed.names == ["a"], 2.5)

        run(follow())

    def test_following_resumes_after_a_silent_store(self):
        async def follow():
            async with FollowedStore() as followed:
                followed.store.faults.silent = True
                followed.store.cut()
                await until(lambda: not followed.health.answers)
                followed.store.faults.silent = False
                followed.store.put("servers/a", {})
                await until(lambda: followed.names == ["a"])

        run(follow())


class TestOutage(unittest.TestCase):
    def test_few_calls_are_made_while_the_store_is_down(self):
        # Guards against polling by all parts of all processes during an outage: one of
        # some seconds cost more than all other calls of the day together.
        async def follow():
            async with FollowedStore() as followed:
                followed.register()
                for prefix in ("a/", "b/"):
                    follower, _ = followed.follow(prefix)
                    followed.tasks.append(asyncio.ensure_future(follower.run()))
                await until(lambda: followed.store.keys("fuchsiahatch-entries/"))
                followed.store.faults.status = 503
                followed.store.cut()
                before = len(followed.store.calls)
                await asyncio.sleep(2.0)
                calls = len(followed.store.calls) - before
                followed.store.faults.status = 0
                followed.store.put("servers/a", {})
                await until(lambda: followed.names == ["a"], 1.0)
                return calls

        self.assertLessEqual(run(follow()), 12)


class TestRegistration(unittest.TestCase):
    def test_a_registration_comes_back_after_its_lease_has_ended(self):
        # Guards against renewing a lease that has expired: after the store's return, an
        # entry kept renewing its old lease and got no more callers.
        async def register():
            async with FollowedStore() as followed:
                registration = followed.register()
                await until(lambda: followed.store.keys("fuchsiahatch-entries/"))
                followed.store.end_leases()
                self.assertEqual(followed.store.keys("fuchsiahatch-entries/"), [])
                await until(lambda: followed.store.keys("fuchsiahatch-entries/"), 2.0)
                await registration.withdraw()
                await until(
                    lambda: not followed.store.keys("fuchsiahatch-entries/"), 1.0
                )

        run(register())

    def test_a_withdrawn_registration_stays_withdrawn(self):
        # Guards against a stopping entry that registers again: its next renewal found
        # the lease expired, and callers connected to it for three seconds after its
        # end.
        async def register():
            async with FollowedStore() as followed:
                registration = followed.register()
                await until(lambda: followed.store.keys("fuchsiahatch-entries/"))
                await registration.withdraw()
                await asyncio.sleep(1.5)
                return followed.store.keys("fuchsiahatch-entries/")

        self.assertEqual(run(register()), [])


class TestHealth(unittest.TestCase):
    def test_deletions_are_final_once_the_store_has_answered_for_a_while(self):
        health = StoreHealth()
        self.assertTrue(health.settled(0))
        health.note_failure(1_000, "503")
        self.assertFalse(health.settled(9_000))
        health.note_answer(9_000)
        # There was no call for eight seconds: the store may be back only briefly.
        self.assertFalse(health.settled(9_000))
        self.assertTrue(health.settled(9_000 + store_health.LAPSE_GRACE_MS))
        health.note_failure(9_500, "503")
        health.note_answer(9_600)
        self.assertFalse(health.settled(9_700))
        # The store was back for half a second only, so that the grace time begins anew.
        self.assertFalse(health.settled(9_500 + store_health.LAPSE_GRACE_MS))

    def test_an_absence_shorter_than_any_lease_withholds_no_deletion(self):
        health = StoreHealth()
        health.note_answer(1_000)
        health.note_failure(1_900, "reset")
        self.assertFalse(health.settled(2_000))
        health.note_answer(1_000 + store_health.MIN_LAPSE_MS - 1)
        self.assertTrue(health.settled(1_000 + store_health.MIN_LAPSE_MS))

    def test_an_absence_as_long_as_a_lease_withholds_deletions(self):
        health = StoreHealth()
        health.note_answer(1_000)
        health.note_failure(2_900, "reset")
        health.note_answer(1_000 + store_health.MIN_LAPSE_MS)
        self.assertFalse(health.settled(1_000 + store_health.MIN_LAPSE_MS))
