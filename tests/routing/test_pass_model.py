import unittest

from fuchsiahatch_routing import pass_model
from fuchsiahatch_routing.pass_model import ImbalanceEstimate, PassModel

SLOTS = 5
MODEL = PassModel(fixed_ms=5 * 4.55, per_request_ms=5 * 2.18, expert_share=0.85)
#: Time by which the initial assumption has decayed.
LONG_MS = 600_000


class TestPassModel(unittest.TestCase):
    def test_a_pass_without_imbalance_takes_what_the_engine_states(self):
        self.assertAlmostEqual(MODEL.expected_ms(5, 1.0), 5 * (4.55 + 2.18 * 5))

    def test_imbalance_lengthens_the_experts_share_only(self):
        even_ms = MODEL.expected_ms(4, 1.0)
        skewed_ms = MODEL.expected_ms(4, 2.0)
        self.assertAlmostEqual(skewed_ms - even_ms, 0.85 * 4 * MODEL.per_request_ms)

    def test_imbalance_and_requests_follow_from_a_pass(self):
        for imbalance in (1.2, 1.7, 2.5):
            pass_ms = MODEL.expected_ms(4.0, imbalance)
            self.assertAlmostEqual(MODEL.imbalance(pass_ms, 4.0), imbalance)
            self.assertAlmostEqual(MODEL.max_running(pass_ms, imbalance), 4.0)

    def test_an_engine_without_experts_has_no_imbalance(self):
        model = PassModel(22.75, 10.9, expert_share=0.0)
        self.assertEqual(model.imbalance(500.0, 5.0), 1.0)
        self.assertAlmostEqual(model.expected_ms(2, 2.5), 22.75 + 2 * 10.9)

    def test_no_requests_fit_an_objective_below_the_fixed_part(self):
        self.assertEqual(MODEL.max_running(20.0, 1.0), 0.0)


class TestImbalanceEstimate(unittest.TestCase):
    def setUp(self):
        self.estimate = ImbalanceEstimate()
        self.now_ms = 0

    def note(self, imbalance, running=5.0, for_ms=0, pass_ms=None):
        if pass_ms is None:
            pass_ms = MODEL.expected_ms(running, imbalance)
        ends_ms = self.now_ms + for_ms
        while True:
            self.now_ms += 50
            self.estimate.note_pass(MODEL, SLOTS, running, pass_ms, self.now_ms)
            if self.now_ms >= ends_ms:
                return

    def test_a_group_that_was_not_measured_is_taken_to_be_unbalanced(self):
        # The first shift of demand would otherwise meet a full group.
        self.assertEqual(self.estimate.value, pass_model.INITIAL_IMBALANCE)
        self.note(1.0, pass_ms=0.0)
        self.assertEqual(self.estimate.value, pass_model.INITIAL_IMBALANCE)

    def test_measured_passes_replace_the_initial_assumption(self):
        for imbalance in (1.2, 1.7, 2.5):
            self.estimate = ImbalanceEstimate()
            self.note(imbalance, for_ms=LONG_MS)
            self.assertAlmostEqual(self.estimate.value, imbalance, places=2)

    def test_a_jump_counts_at_once_and_outlasts_the_next_shift(self):
        # Demand shifts every 2.4 to 4.3 s. If the estimate fell with the passes, the
        # room would be largest just before a shift, and all streams would be late.
        self.note(1.2, for_ms=LONG_MS)
        self.note(2.8)
        self.assertAlmostEqual(self.estimate.value, 2.8, places=2)
        self.note(1.2, for_ms=4_300)
        self.assertGreater(self.estimate.value, 2.5)

    def test_the_excess_halves_in_the_half_life(self):
        self.note(1.2, for_ms=LONG_MS)
        self.note(3.0)
        self.note(1.0, for_ms=pass_model.IMBALANCE_HALF_LIFE_MS)
        self.assertAlmostEqual(self.estimate.value, 2.0, delta=0.02)

    def test_a_group_that_is_idle_keeps_its_maximum(self):
        # After a quiet hour the first burst meets a shift of demand with room for all.
        self.note(2.8)
        for _ in range(100):
            self.now_ms += 60_000
            self.estimate.note_pass(MODEL, SLOTS, 0.0, 0.0, self.now_ms)
        self.assertAlmostEqual(self.estimate.value, 2.8, places=2)

    def test_a_load_that_falls_is_no_imbalance(self):
        # Pass times lag: those of 5 requests per rank, compared with the 2 that are
        # left, look like an imbalance of 3, and the room would fall to half.
        self.note(1.2, for_ms=LONG_MS)
        full_ms = MODEL.expected_ms(5.0, 1.2)
        self.note(1.2, running=2.5, pass_ms=full_ms, for_ms=250)
        self.assertLess(self.estimate.value, 1.3)

    def test_passes_of_few_requests_are_not_measured(self):
        # A prompt that is read adds 40 ms to a pass, as much as 3 requests.
        self.note(1.2, for_ms=LONG_MS)
        self.note(1.2, running=1.0, pass_ms=80.0, for_ms=1_000)
        self.assertLess(self.estimate.value, 1.3)

    def test_a_stalled_group_is_no_imbalance(self):
        # When a rank or the leader fails, a pass takes 1.5 s. It grows through each
        # plausible time, and the running mean falls through them again afterwards.
        # Counted as imbalance, it would leave half of the room for half a minute.
        self.note(1.2, for_ms=LONG_MS)
        usual_ms = MODEL.expected_ms(5.0, 1.2)
        for took_ms in range(int(usual_ms), 1_500, 50):
            self.note(1.2, pass_ms=float(took_ms))
        mean_ms = 1_500.0
        while mean_ms > usual_ms + 1.0:
            mean_ms = (mean_ms + usual_ms) / 2
            self.note(1.2, pass_ms=mean_ms, for_ms=200)
        self.note(1.2, for_ms=2_000)
        self.assertLess(self.estimate.value, 1.3)

    def test_a_jump_after_a_stall_counts(self):
        self.note(1.2, for_ms=LONG_MS)
        self.note(1.2, pass_ms=1_500.0, for_ms=1_500)
        self.note(1.2, for_ms=pass_model.STALL_RECOVERY_MS)
        self.note(2.8)
        self.assertAlmostEqual(self.estimate.value, 2.8, places=2)


if __name__ == "__main__":
    unittest.main()
