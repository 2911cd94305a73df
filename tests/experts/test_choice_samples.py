import random
import unittest

from fuchsiahatch_experts.choice_samples import DRAWN_PER_EXPERT, draw_evenly


class TestDrawEvenly(unittest.TestCase):
    def test_few_choices_are_returned_unchanged(self):
        for start in (0.0, 0.99):
            self.assertEqual(draw_evenly([0, 2, 1, 0], start), bytes([0, 2, 1, 0]))
        self.assertEqual(draw_evenly([0, 0], 0.5), bytes(2))

    def test_no_choice_is_lost_in_a_sum_over_many_ranks(self):
        # Without it, an expert that each rank chooses once in a hundred times is never
        # reported to the leader and isn't moved, even when 96 ranks together make it
        # the most loaded one.
        rng = random.Random(1)
        row = [2_000, *[40] * 9, *[3] * 90]
        samples = DRAWN_PER_EXPERT * len(row)
        drawn = [draw_evenly(row, rng.random()) for _ in range(400)]
        for expert, count in enumerate(row):
            mean = sum(sample[expert] for sample in drawn) / len(drawn)
            expected = samples * count / sum(row)
            self.assertAlmostEqual(mean, expected, delta=0.15)

    def test_each_sampled_count_is_within_one_of_its_share(self):
        rng = random.Random(2)
        row = [rng.randrange(500) for _ in range(192)]
        drawn = draw_evenly(row, rng.random())
        samples = DRAWN_PER_EXPERT * len(row)
        self.assertLessEqual(abs(sum(drawn) - samples), 1)
        for count, sampled in zip(row, drawn, strict=True):
            self.assertLess(abs(sampled - samples * count / sum(row)), 1.0)


if __name__ == "__main__":
    unittest.main()
