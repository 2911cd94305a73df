import asyncio
import unittest
from unittest import mock

from fuchsiahatch_experts import planning
from fuchsiahatch_experts.switching import Switch
from fuchsiahatch_gateway import silent_agents
from tests.gateway.led_groups import LedGroup
from tests.loopback import run

#: Ranks, layers, experts and places of groups of the users' sizes, and the processor
#: time of a state and a plan on a whole core, in ms.
SIZES = (
    (8, 6, 64, 11, 0.045, 3.1),
    (63, 8, 252, 5, 0.114, 22.4),
    (96, 16, 192, 3, 0.144, 39.2),
)
#: Share of its processor time that a leader may spend on planning if no plan pays off.
MAX_PLANNING_SHARE = 0.25


class TestLateLeader(unittest.TestCase):
    """A leader that is late itself does not judge agents as silent.

    A leader of 63 ranks that checks the demand each 20 ms and finds no plan that pays
    off spends most of its time on planning. It reads the agents' states 0.4 s late,
    judges all others as silent after the first one, and calls the engines of 57 ranks
    itself, which fills its link and costs it its lease: all requests of a service are
    late for sixteen seconds though no host has failed. In the log, 57 agents are lost
    within 0.2 s, within 40 ms of the end of a change.
    """

    def test_waiting_datagrams_are_read_before_agents_are_judged(self):
        async def play():
            group = LedGroup(63, 8, 252, 5)
            with mock.patch.object(planning, "plan_change", group.plan):
                stall_ms = silent_agents.SILENCE_TIMEOUT_MS + 100
                await group.run(2_000, stall=(1_000, stall_ms))
            return group.asked

        self.assertEqual(run(play()), [])

    def test_futile_planning_leaves_time_to_receive(self):
        async def play(size):
            group = LedGroup(*size)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(4_000)
            return group.asked, group.planned_ms / 4_000

        for size in SIZES:
            with self.subTest(ranks=size[0]):
                asked, share = run(play(size))
                self.assertEqual(asked, [])
                self.assertLess(share, MAX_PLANNING_SHARE)

    def test_a_resumed_host_receives_before_it_judges(self):
        # A leader's host resumes after two seconds. The states sent meanwhile are lost
        # with its socket's buffer: all agents look silent, though each sends within
        # 100 ms.
        async def play():
            group = LedGroup(32, 12, 128, 5)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_000)
                group.clock.advance(2_000)
                group.leader.work()
                await group.run(500)
            return group.asked

        self.assertEqual(run(play()), [])

    def test_few_engines_are_asked_at_once(self):
        # Half of all agents are killed for two seconds. A leader that asks all of their
        # engines at once, each 150 ms, fills its link and loses its lease too.
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
            group.refuses_calls = True
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(1_000)
                group.silent = set(range(1, 30))
                for _ in range(12):
                    await group.run(200)
                    await asyncio.sleep(silent_agents.POLL_INTERVAL_MS / 1000 + 0.02)
            return set(group.asked)

        self.assertEqual(len(run(play())), 29)

    def test_a_stopped_leader_gives_no_orders(self):
        # A leader that has lost its lease must not send orders once more because a
        # state arrived in the same loop iteration.
        async def play():
            group = LedGroup(8, 6, 64, 11)
            with mock.patch.object(planning, "plan_change", group.plan):
                await group.run(500)
            group.leader.receive_state(group.state(1), ("10.0.0.1", 1))
            group.leader.stop()
            with mock.patch.object(Switch, "orders") as orders:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            return orders.call_count

        self.assertEqual(run(play()), 0)
