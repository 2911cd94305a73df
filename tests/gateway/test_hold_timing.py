import unittest

from fuchsiahatch_experts.switching import (
    HOLD_AHEAD_PASSES,
    MAX_HOLD_AHEAD_PASSES,
    Phase,
)
from fuchsiahatch_gateway.hold_timing import HoldTiming
from tests.gateway.led_groups import LedGroup
from tests.loopback import run

PASS_MS = 60.0
#: Time to arm 72 ranks with no order and with a tenth of the orders unanswered.
QUICK_MS, SLOW_MS = 50.0, 150.0


class TestHoldTiming(unittest.TestCase):
    def test_slow_arming_moves_the_next_hold_later(self):
        # With a tenth of the orders unanswered, each map change held a pass for 100 ms
        # and made all streams of the group late.
        timing = HoldTiming()
        timing.note(SLOW_MS)
        ahead = timing.passes_ahead(PASS_MS)
        earliest_ms = (ahead - 1) * PASS_MS
        self.assertGreaterEqual(earliest_ms, SLOW_MS)

    def test_quick_arming_holds_the_second_next_pass(self):
        timing = HoldTiming()
        self.assertEqual(timing.passes_ahead(0.0), HOLD_AHEAD_PASSES)
        timing.note(QUICK_MS)
        self.assertEqual(timing.passes_ahead(PASS_MS), HOLD_AHEAD_PASSES)

    def test_a_slow_switch_is_forgotten_after_quick_ones(self):
        timing = HoldTiming()
        timing.note(SLOW_MS)
        for _ in range(15):
            timing.note(QUICK_MS)
        self.assertEqual(timing.passes_ahead(PASS_MS), HOLD_AHEAD_PASSES)

    def test_a_hold_is_at_most_as_far_ahead_as_a_new_leader_waits(self):
        timing = HoldTiming()
        timing.note(10 * SLOW_MS)
        self.assertEqual(timing.passes_ahead(10.0), MAX_HOLD_AHEAD_PASSES)

    def test_the_next_pass_is_held_if_passes_are_long(self):
        timing = HoldTiming()
        timing.note(SLOW_MS)
        self.assertEqual(timing.passes_ahead(1_500.0), 1)


class TestLeader(unittest.TestCase):
    def test_a_skipped_phase_does_not_make_the_switch_look_slow(self):
        # The hold is accepted and all ranks report being armed between two polls, so
        # that the holding phase is never observed.
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
