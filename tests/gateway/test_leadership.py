import asyncio
import unittest

from fuchsiahatch_adapter.node_settings import Address, StoreAccess
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import ConflictError
from fuchsiahatch_gateway.leadership import (
    ELECTION_RETRY_INTERVAL_MS,
    LeaderRecord,
    Leadership,
)
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_standins.fleet_store import FleetStore
from tests.loopback import run

KEY = "fuchsiahatch/leaders/g"


class Election:
    """Two agents of a group and the store, for the time of a context."""

    async def __aenter__(self):
        self.store = FleetStore()
        port = await self.store.listen()
        clock = Clock()
        access = StoreAccess(Address("127.0.0.1", port), 1_000, 20_000)
        self.client = StoreClient(access, ConnectionPool(clock))
        self.first = Leadership(self.client, "side-1", ("10.0.0.1", 7), clock)
        self.second = Leadership(self.client, "side-2", ("10.0.0.2", 7), clock)
        return self

    async def __aexit__(self, *exc_info):
        await self.store.close()


class TestLeadership(unittest.TestCase):
    def test_one_candidate_wins_and_terms_rise(self):
        async def elect():
            async with Election() as election:
                self.assertTrue(await election.first.try_win("g", 0, None))
                self.assertFalse(await election.second.try_win("g", 0, None))
                first = election.first.term
                await election.first.release()
                self.assertFalse(election.first.holds_lease)
                await asyncio.sleep(ELECTION_RETRY_INTERVAL_MS / 1000)
                self.assertTrue(await election.second.try_win("g", 0, None))
                return first, election.second.term

        first, second = run(elect())
        self.assertGreater(second, first)

    def test_an_agent_replaces_its_earlier_incarnation_at_once(self):
        async def elect():
            async with Election() as election:
                await election.first.try_win("g", 0, None)
                term = election.first.term
                again = Leadership(election.client, "side-1", ("10.0.0.1", 7), Clock())
                known = LeaderRecord("g", term, ("10.0.0.1", 7))
                self.assertTrue(await again.try_win("g", 0, known))
                return term, again.term

        first, second = run(elect())
        self.assertGreater(second, first)

    def test_another_leaders_key_is_not_removed(self):
        # An agent that has just started must not delete another agent's key as that of
        # its earlier incarnation: two leaders would order one group.
        async def elect():
            async with Election() as election:
                await election.second.try_win("g", 0, None)
                stale = LeaderRecord("g", 1, ("10.0.0.1", 7))
                self.assertFalse(await election.first.try_win("g", 0, stale))
                with self.assertRaises(ConflictError):
                    await election.client.remove(KEY, 1)
                return election.store.keys(KEY)

        self.assertEqual(run(elect()), [KEY])

    def test_an_agent_whose_watch_is_late_rarely_calls_the_store(self):
        # Eight agents with late watches that each try to win fifty times a second make
        # the store refuse the calls of all agents and entries.
        async def elect():
            async with Election() as election:
                await election.second.try_win("g", 0, None)
                before = len(election.store.calls)
                former = LeaderRecord("g", 1, ("10.0.0.1", 7))
                for _ in range(50):
                    await election.first.try_win("g", 0, former)
                    await asyncio.sleep(0.01)
                return len(election.store.calls) - before, election.first.found_leader

        calls, leader = run(elect())
        self.assertLessEqual(calls, 4)
        self.assertEqual(leader.peer, ("10.0.0.2", 7))

    def test_a_lease_that_is_not_renewed_ends_by_its_holders_clock(self):
        async def elect():
            async with Election() as election:
                await election.first.try_win("g", 0, None)
                renewing = asyncio.ensure_future(election.first.renew_forever())
                await asyncio.sleep(1.8)
                self.assertTrue(election.first.holds_lease)
                election.store.faults.silent = True
                await asyncio.sleep(1.9)
                renewing.cancel()
                return election.first.holds_lease

        self.assertFalse(run(elect()))
