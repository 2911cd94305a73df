import asyncio
import unittest
from unittest import mock

from fuchsiahatch_experts import planning
from fuchsiahatch_experts.switching import Switch
from fuchsiahatch_gateway import silent_agents
from tests.gateway.led_groups import LedGroup
from tests.loopback import run

#: Ranks, layers, experts and places of groups of the users' sizes, with what a state
#: and a plan took on a whole core, in ms (measured before they were made cheaper).
SIZES = (
    (8, 6, 64, 11, 0.045, 3.1),
    (63, 8, 252, 5, 0.114, 22.4),
    (96, 16, 192, 3, 0.144, 39.2),
)
#: Share of its processor time that a leader may plan for where no plan pays.
MOST_PLANNING = 0.25


class TestLateLeader(unittest.TestCase):
    """A leader that is late itself takes nobody else for silent.

    On a quiet day each request of a service is late for sixteen seconds, and no host
    has failed: a leader of 63 ranks looks at the demand each 20 ms and plans for most
    of that time, as no plan pays. It reads what the agents said 0.4 s late, judges all
    others as soon as it has read the first of them, and takes over the engines of 57
    ranks at once, which fills its link and loses it its lease. Evidence: 57 agents
    given up within 0.2 s, each time within 40 ms of the end of a change.
    """

    def test_what_has_arrived_is_read_before_anybody_is_judged(self):
        async def play():
            group = LedGroup(63, 8, 252, 5)
            with mock.patch.object(planning, "plan_change", group.plan):
                stall_ms = silent_agents.SILENCE_TIMEOUT_MS + 100
                await group.run(2_000, stall=(1_000, stall_ms))
            return group.asked

        self.assertEqual(run(play()), [])

    def test_planning_in_vain_leaves_the_leader_time_to_hear(self):
        async def play(size):
            group = LedGroup(*size)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(4_000)
            return group.asked, group.planned_ms / 4_000

        for size in SIZES:
            with self.subTest(ranks=size[0]):
                asked, share = run(play(size))
                self.assertEqual(asked, [])
                self.assertLess(share, MOST_PLANNING)

    def test_a_host_that_stood_still_hears_before_it_judges(self):
        # A leader's host wakes behind two seconds. What the agents said meanwhile is
        # lost with its socket's buffer: all look silent, though each of them speaks
        # within 100 ms.
        async def play():
            group = LedGroup(32, 12, 128, 5)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_000)
                group.clock.advance(2_000)
                group.leader.work()
                await group.run(500)
            return group.asked

        self.assertEqual(run(play()), [])

    def test_a_few_engines_are_asked_at_once(self):
        # Half of all agents are killed for two seconds. The leader asks all of their
        # engines at once, each 150 ms: its link is full, and it loses its lease too.
        async def play():
            group = LedGroup(96, 16, 192, 3)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_000)
                group.silent = set(range(1, 60))
                await group.run(2_000)
            return group.asked

        link_share = 7 * silent_agents.POLL_BYTES / 0.15 / 500_000
        self.assertLess(link_share, 0.1)
        self.assertEqual(len(run(play())), 7)

    def test_all_silent_agents_engines_are_asked_in_turn(self):
        async def play():
            group = LedGroup(32, 12, 128, 5)
            group.answers = True
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_000)
                group.silent = set(range(1, 30))
                for _ in range(12):
                    await group.run(200)
                    await asyncio.sleep(silent_agents.POLL_INTERVAL_MS / 1000 + 0.02)
            return set(group.asked)

        self.assertEqual(len(run(play())), 29)

    def test_a_leader_that_stops_orders_nothing_more(self):
        # A leader that has lost its lease sends orders once more: a state came in the
        # same turn of the loop.
        async def play():
            group = LedGroup(8, 6, 64, 11)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(500)
            group.leader.take_state(group.state(1), ("10.0.0.1", 1))
            group.leader.stop()
            with mock.patch.object(Switch, "orders") as orders:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            return orders.call_count

        self.assertEqual(run(play()), 0)
