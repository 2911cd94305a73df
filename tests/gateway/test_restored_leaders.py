import asyncio
import random
import unittest
from unittest import mock

from fuchsiahatch_adapter.store import (
    StoreClient,
)
from fuchsiahatch_core.clock import Clock, ManualClock
from fuchsiahatch_experts import planning
from fuchsiahatch_experts.switch_versions import VERSIONS_PER_TERM, make_version
from fuchsiahatch_gateway.defaults import (
    LEADER_TTL_MS,
    LEADERS_PREFIX,
)
from fuchsiahatch_gateway.leadership import (
    REVISIONS_PER_ERA,
    Leadership,
    takeover_term,
    term_of,
)
from fuchsiahatch_standins.platform_demo import EXPERTS
from tests.adapter.test_json_calls import Served
from tests.gateway.led_groups import LedGroup
from tests.gateway.sites import until
from tests.gateway.test_agents import Group
from tests.loopback import run


class TestTerms(unittest.TestCase):
    def test_terms_of_a_later_era_are_higher(self):
        # Otherwise all agents refuse the leader that was elected after the store was
        # restored, and the group has none until revisions have grown again.
        lost = REVISIONS_PER_ERA - 1
        self.assertGreater(term_of(2, 1_000), term_of(1, 1_000 + lost))
        self.assertNotEqual(term_of(2, 1_000), term_of(1, 1_000))

    def test_versions_of_maps_stay_within_63_bits(self):
        # A store's eras may begin with any number; with longer versions no order could
        # be encoded.
        for era in (0, 1, 33, 4_095, 1_770_342_559):
            with self.subTest(era=era):
                term = takeover_term(term_of(era, 5_000_000))
                version = make_version(term, VERSIONS_PER_TERM - 1, 255, 255)
                self.assertLess(version, 2**63)
        last = make_version(term_of(33, 100_000), VERSIONS_PER_TERM - 1, 255, 255)
        self.assertLess(last, 2**53)

    def elect(self, work):
        async def play():
            async with Served() as served:
                clock = ManualClock(1_000)
                leadership = Leadership(served.client, "side-1", ("10.0.0.1", 1), clock)
                served.client.on_restored = leadership.note_restored
                # The era counts from when the process first sees it, not its start.
                await served.client.ping()
                leadership.settled_era.check()
                clock.advance(LEADER_TTL_MS)
                copy = served.store.copy()
                await leadership.try_win("g", 0, None)
                return await work(served, leadership, clock, copy)

        return run(play())

    def test_a_leader_whose_lease_the_store_lost_stops_leading(self):
        async def work(served, leadership, clock, copy):
            before = leadership.is_sole_leader
            await served.restore(copy)
            return before, leadership.holds_lease, leadership.is_sole_leader

        self.assertEqual(self.elect(work), (True, False, False))

    def test_a_reused_lease_number_does_not_keep_a_leader(self):
        # The restored store has granted the lease's number again and renews it for both
        # holders; the group would have two leaders.
        async def work(served, leadership, clock, copy):
            lease = leadership._lease
            served.store.restore(copy)
            reused = served.store._serve_grant(60_000)[1]["lease"]
            await asyncio.sleep(0.02)
            await served.client.keep(lease)
            return lease == reused, leadership.holds_lease

        self.assertEqual(self.elect(work), (True, False))

    def test_a_new_leader_is_the_sole_one_once_former_leases_have_expired(self):
        async def work(served, leadership, clock, copy):
            term = leadership.term
            await served.restore(copy)
            clock.advance(400)
            won = await leadership.try_win("g", 0, None)
            early = leadership.is_sole_leader
            clock.advance(LEADER_TTL_MS - 401)
            last = leadership.is_sole_leader
            clock.advance(1)
            return won, leadership.term > term, early, last, leadership.is_sole_leader

        # The lease itself is shorter than that: it is renewed in between.
        won, later, early, last, _ = self.elect(work)
        self.assertEqual((won, later, early, last), (True, True, False, False))

    def test_an_election_during_a_restore_is_invalidated(self):
        async def play():
            async with Served() as served:
                clock = Clock()
                leadership = Leadership(served.client, "side-1", ("10.0.0.1", 1), clock)
                copy = served.store.copy()
                await served.client.ping()
                granted = StoreClient.grant

                async def grant(client, ttl_ms):
                    lease = await granted(client, ttl_ms)
                    served.store.restore(copy)
                    served.store._serve_grant(60_000)
                    await asyncio.sleep(0.02)
                    return lease

                with mock.patch.object(StoreClient, "grant", grant):
                    won = await leadership.try_win("g", 0, None)
                return won, leadership.holds_lease, served.store.keys(LEADERS_PREFIX)

        self.assertEqual(run(play()), (False, False, [LEADERS_PREFIX + "g"]))


class TestSoleLeader(unittest.TestCase):
    def lead(self, is_sole_leader):
        async def play():
            group = LedGroup(8, 6, 64, 11)
            group.is_sole_leader, group.silent = is_sole_leader, {3}
            group.leader._silent.note_contact(3, "10.0.0.3:80", 0)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_500)
            return group.leader._may_switch(), group.asked, group.leader.may_lead()

        return run(play())

    def test_a_leader_that_is_not_sole_starts_no_switch_and_calls_no_engine(self):
        # Otherwise, after the store was restored, two leaders order the engine of a
        # silent agent.
        self.assertEqual(self.lead(False), (False, [], True))

    def test_a_sole_leader_does_both(self):
        may_switch, asked, _ = self.lead(True)
        self.assertTrue(may_switch)
        self.assertEqual(set(asked), {"10.0.0.3:80"})


class TestGroups(unittest.TestCase):
    """A rank group keeps working when the store is restored from an older copy."""

    def test_a_group_follows_its_demand_after_a_restore(self):
        async def play():
            async with Group(41) as group:
                copy = group.store.copy()
                await until(lambda: group.engines.switches >= 2, 10.0)
                first = group.leader()
                group.store.restore(copy)
                group.engines.hot = 7
                await until(lambda: group.leader() is not None, 5.0)
                term = group.running[group.leader()][0].leadership.term
                before = group.engines.switches
                await until(
                    lambda: (
                        group.engines.switches >= before + 2
                        and group.store.keys(LEADERS_PREFIX)
                    ),
                    10.0,
                )
                return first is not None, term > 0, group.engines.mixed

        self.assertEqual(run(play()), (True, True, []))

    def test_no_pass_mixes_maps_during_repeated_restores(self):
        # A leader whose lease the store has lost must not go on beside its successor,
        # under a term that was issued twice: a pass would run with two maps.
        async def play(seed):
            rng = random.Random(seed)
            async with Group(seed) as group:
                group.engines.lost_share = group.engines.late_share = 0.1
                await until(lambda: group.engines.switches >= 1, 15.0)
                for _ in range(4):
                    copy = group.store.copy()
                    for number in range(rng.randrange(5, 15)):
                        group.engines.hot = number % EXPERTS
                        await asyncio.sleep(0.05)
                    group.store.restore(copy)
                    await asyncio.sleep(rng.uniform(0.0, 1.0))
                group.engines.lost_share = group.engines.late_share = 0.0
                before = group.engines.step
                await until(lambda: group.engines.step > before + 50, 5.0)
                return group.engines.mixed

        for seed in (51, 52):
            with self.subTest(seed=seed):
                self.assertEqual(run(play(seed)), [])


if __name__ == "__main__":
    unittest.main()
