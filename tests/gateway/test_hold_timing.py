import unittest

from fuchsiahatch_experts.switching import HOLD_AHEAD, MOST_AHEAD, Phase
from fuchsiahatch_gateway.hold_timing import HoldTiming
from tests.gateway.led_groups import LedGroup
from tests.loopback import run

PASS_MS = 60.0
#: Arms of 72 ranks with and without a tenth of the orders unanswered.
QUICK_MS, SLOW_MS = 50.0, 150.0


class TestHoldTiming(unittest.TestCase):
    def test_arms_that_were_late_hold_no_pass_of_the_next_switch(self):
        # Each change held a pass for 100 ms while a tenth of the orders had no answer,
        # and made all streams of the group late.
        timing = HoldTiming()
        timing.note(SLOW_MS)
        ahead = timing.passes_ahead(PASS_MS)
        earliest_ms = (ahead - 1) * PASS_MS
        self.assertGreaterEqual(earliest_ms, SLOW_MS)

    def test_quick_arms_hold_the_second_next_pass(self):
        timing = HoldTiming()
        self.assertEqual(timing.passes_ahead(0.0), HOLD_AHEAD)
        timing.note(QUICK_MS)
        self.assertEqual(timing.passes_ahead(PASS_MS), HOLD_AHEAD)

    def test_a_slow_switch_is_forgotten_behind_quick_ones(self):
        timing = HoldTiming()
        timing.note(SLOW_MS)
        for _ in range(15):
            timing.note(QUICK_MS)
        self.assertEqual(timing.passes_ahead(PASS_MS), HOLD_AHEAD)

    def test_no_hold_is_farther_ahead_than_a_new_leader_waits(self):
        timing = HoldTiming()
        timing.note(10 * SLOW_MS)
        self.assertEqual(timing.passes_ahead(10.0), MOST_AHEAD)

    def test_long_passes_are_held_at_once(self):
        timing = HoldTiming()
        timing.note(SLOW_MS)
        self.assertEqual(timing.passes_ahead(1_500.0), 1)


class TestLeader(unittest.TestCase):
    def test_a_phase_that_passed_unseen_makes_no_switch_look_slow(self):
        # The hold is taken and all ranks are heard armed between two looks.
        async def play():
            group = LedGroup(8, 6, 64, 11)
            leader = group.leader
            for phase, after_ms in (
                (Phase.COPYING, 60_000),
                (Phase.ARMING, 100),
                (Phase.RELEASING, 50),
                (Phase.IDLE, 20),
            ):
                group.clock.advance(after_ms)
                leader.switch.phase = phase
                leader._note_phase(group.clock.now_ms())
            return leader._hold_timing.arming_ms

        self.assertEqual(run(play()), 50)
