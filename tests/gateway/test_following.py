import asyncio
import unittest
from unittest import mock

from fuchsiahatch_adapter.node_settings import Address, StoreAccess
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_gateway import following, store_health
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_http1.client import ConnectionPool
from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from tests.gateway.sites import Site, until
from tests.loopback import run

LAPSE_GRACE_MS = 300
#: Long enough for parts of it to be told apart beside other tests.
LONG_LAPSE_MS = 1_000


class Following:
    """A follower of the store's stand-in, for the time of a context."""

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
        """Return a follower of the items below a prefix, and its copy."""
        copy = ItemCopy(prefix, self.health, self.clock, lambda: None)
        follower = Follower(self.client, prefix, self.health, self.clock, [copy])
        return follower, copy

    def register(self):
        """Keep a registration in the store beside the follower."""
        own = Registration(
            self.client, "fuchsiahatch-entries/e", b"{}", self.health, self.clock
        )
        self.tasks.append(asyncio.ensure_future(own.run()))
        return own

    @property
    def names(self):
        return sorted(self.copy.items)


class TestFollower(unittest.TestCase):
    def test_changes_and_deletions_arrive(self):
        async def follow():
            async with Following() as one:
                one.store.put("servers/a", {"n": 1})
                one.store.put("servers/b", {"n": 1})
                await until(lambda: one.names == ["a", "b"])
                one.store.remove("servers/a")
                await until(lambda: one.names == ["b"])

        run(follow())

    def test_all_pages_are_read(self):
        async def follow():
            async with Following() as one:
                one.store.compact()
                for number in range(120):
                    one.store.put(f"servers/{number:03}", {})
                one.store.compact()
                await until(lambda: len(one.names) == 120)

        run(follow())

    def test_a_burst_of_changes_is_followed_with_few_calls(self):
        # Half of what the platform charges is for calls in the two seconds behind each
        # start of everything: all upstreams and entries register one after the other,
        # and each process asked again behind each one of them.
        async def follow():
            async with Following() as one:
                await asyncio.sleep(following.WATCH_PAUSE_MS / 1000)
                before = len(one.store.calls)
                began_ms = one.clock.now_ms()
                one.store.put("servers/00", {})
                await until(lambda: one.names == ["00"])
                first_ms = one.clock.now_ms() - began_ms
                for number in range(1, 30):
                    one.store.put(f"servers/{number:02}", {})
                    await asyncio.sleep(0.015)
                await until(lambda: len(one.names) == 30)
                return first_ms, len(one.store.calls) - before

        first_ms, calls = run(follow())
        self.assertLess(first_ms, following.WATCH_PAUSE_MS)
        self.assertLessEqual(calls, 8)

    def test_a_start_of_a_hundred_processes_is_followed_with_few_calls(self):
        # A tenth of a day's worth goes to the platform for calls: as 300 processes
        # start one after the other, each of them asks again five times a second.
        async def follow():
            async with Following() as one:
                await asyncio.sleep(following.WATCH_PAUSE_MS / 1000)
                before = len(one.store.calls)
                for number in range(100):
                    one.store.put(f"servers/{number:03}", {})
                    await asyncio.sleep(0.02)
                await until(lambda: len(one.names) == 100)
                return len(one.store.calls) - before

        self.assertLessEqual(run(follow()), 6)

    def test_a_loss_of_history_costs_one_watch_and_one_range_for_all_copies(self):
        # Each entry watched four parts of the store: behind a loss of history and each
        # start of a fleet it made four times the calls that one watch makes.
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

    def test_a_watch_ends_before_the_history_that_it_waits_in(self):
        # Agents of a quiet group lost the history each twenty seconds: 72 of them made
        # three calls each for it in place of one.
        async def follow():
            async with Following(history_ms=400) as one:
                one.store.put("servers/a", {})
                await until(lambda: one.names == ["a"])
                await asyncio.sleep(1.5)
                return one.client.calls

        calls = run(follow())
        self.assertGreaterEqual(calls["store watch servers/ 200"], 3)
        self.assertEqual(calls["store range servers/ 200"], 1)

    def test_what_lapsed_while_the_store_was_away_is_waited_for(self):
        # Every member is refused for two seconds after the store's return: the leases
        # of all upstreams ran out meanwhile, and their entries were gone for a moment.
        async def follow():
            async with Following() as one:
                one.store.put("servers/back", {})
                one.store.put("servers/gone", {})
                await until(lambda: len(one.names) == 2)
                one.store.faults.status = 503
                one.store.cut()
                await until(lambda: not one.health.answers)
                one.store.remove("servers/back")
                one.store.remove("servers/gone")
                one.store.faults.status = 0
                await until(lambda: one.health.answers)
                self.assertEqual(one.names, ["back", "gone"])
                one.store.put("servers/back", {})
                await until(lambda: one.names == ["back"])

        with mock.patch.object(store_health, "LAPSE_GRACE_MS", LAPSE_GRACE_MS):
            run(follow())

    def test_what_goes_long_behind_a_return_is_waited_for_no_longer_than_the_rest(self):
        # A hold reaches an upstream 2.2 s after it has left, and fails there: its entry
        # went 1.3 s behind the store's return, and the wait for entries that come back
        # began anew with it instead of ending with the store's first seconds.
        async def follow():
            async with Following() as one:
                one.store.put("servers/gone", {})
                await until(lambda: one.names == ["gone"])
                one.health.note_failure(one.clock.now_ms(), "a cut")
                one.health.note_answer(one.clock.now_ms() + 1)
                await asyncio.sleep(0.8 * LONG_LAPSE_MS / 1000)
                one.store.remove("servers/gone")
                await asyncio.sleep(0.4 * LONG_LAPSE_MS / 1000)
                self.assertEqual(one.names, [])

        with mock.patch.object(store_health, "LAPSE_GRACE_MS", LONG_LAPSE_MS):
            run(follow())

    def test_a_lapse_is_noticed_without_a_failed_call(self):
        # A member's request is refused though all upstreams work: the store was away
        # for a second and forgot its leases; an entry whose only call was a watch that
        # waited saw no failure, and believed that all upstreams had gone at once.
        async def follow():
            async with Following() as one:
                for number in range(6):
                    one.store.put(f"servers/{number}", {})
                await until(lambda: len(one.names) == 6)
                for number in range(5):
                    one.store.remove(f"servers/{number}")
                await until(lambda: one.follower.revision >= one.store.revision)
                self.assertEqual(len(one.names), 6)
                one.store.put("servers/0", {})
                await until(lambda: one.names == ["0", "5"])

        with mock.patch.object(store_health, "LAPSE_GRACE_MS", LAPSE_GRACE_MS):
            run(follow())

    def test_a_watch_that_began_in_silence_is_begun_anew(self):
        # A route that was added is still answered with 404 three seconds after the
        # operator's change: the store took the watch while it answered nobody, and
        # forgot it; the entry went on waiting for that watch after the store's return.
        async def follow():
            async with Following() as one:
                one.register()
                await until(lambda: one.store.keys("fuchsiahatch-entries/"))
                one.store.faults.silent = True
                one.store.cut()
                await asyncio.sleep(1.5)
                one.store.faults.silent = False
                one.store.put("servers/a", {})
                await until(lambda: one.names == ["a"], 2.5)

        run(follow())

    def test_the_store_is_found_again_after_silence(self):
        async def follow():
            async with Following() as one:
                one.store.faults.silent = True
                one.store.cut()
                await until(lambda: not one.health.answers)
                one.store.faults.silent = False
                one.store.put("servers/a", {})
                await until(lambda: one.names == ["a"])

        run(follow())


class TestOutage(unittest.TestCase):
    def test_few_calls_are_made_while_the_store_is_away(self):
        # An outage of some seconds costs more than the day's other calls together: all
        # parts of all processes asked again and again whether it was over.
        async def follow():
            async with Following() as one:
                one.register()
                for prefix in ("a/", "b/"):
                    other, _ = one.follow(prefix)
                    one.tasks.append(asyncio.ensure_future(other.run()))
                await until(lambda: one.store.keys("fuchsiahatch-entries/"))
                one.store.faults.status = 503
                one.store.cut()
                before = len(one.store.calls)
                await asyncio.sleep(2.0)
                calls = len(one.store.calls) - before
                one.store.faults.status = 0
                one.store.put("servers/a", {})
                await until(lambda: one.names == ["a"], 1.0)
                return calls

        self.assertLessEqual(run(follow()), 12)


class TestRegistration(unittest.TestCase):
    def test_a_registration_comes_back_after_its_lease_has_ended(self):
        # An entry gets no more callers after the store's return: its lease had ended,
        # and it went on renewing one that was no longer there.
        async def register():
            async with Following() as one:
                own = one.register()
                await until(lambda: one.store.keys("fuchsiahatch-entries/"))
                one.store.end_leases()
                self.assertEqual(one.store.keys("fuchsiahatch-entries/"), [])
                await until(lambda: one.store.keys("fuchsiahatch-entries/"), 2.0)
                await own.withdraw()
                await until(lambda: not one.store.keys("fuchsiahatch-entries/"), 1.0)

        run(register())

    def test_a_withdrawn_registration_stays_withdrawn(self):
        # Callers come to an entry that stops, and for three seconds more to nobody: the
        # next renewal found the lease ended and registered the entry anew.
        async def register():
            async with Following() as one:
                own = one.register()
                await until(lambda: one.store.keys("fuchsiahatch-entries/"))
                await own.withdraw()
                await asyncio.sleep(1.5)
                return one.store.keys("fuchsiahatch-entries/")

        self.assertEqual(run(register()), [])


class TestHealth(unittest.TestCase):
    def test_what_is_gone_counts_once_the_store_has_answered_for_a_while(self):
        health = StoreHealth()
        self.assertTrue(health.settled(0))
        health.note_failure(1_000, "503")
        self.assertFalse(health.settled(9_000))
        health.note_answer(9_000)
        # Nobody asked for eight seconds: the store may be back for a moment only.
        self.assertFalse(health.settled(9_000))
        self.assertTrue(health.settled(9_000 + store_health.LAPSE_GRACE_MS))
        health.note_failure(9_500, "503")
        health.note_answer(9_600)
        self.assertFalse(health.settled(9_700))
