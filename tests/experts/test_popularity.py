import unittest

import numpy as np

from fuchsiahatch_experts.popularity import PopularityEstimate


class TestPopularityEstimate(unittest.TestCase):
    def test_first_counts_replace_the_initial_estimate(self):
        estimate = PopularityEstimate(1, 2, half_life_ms=1_000)
        estimate.observe(np.array([[30, 10]]), 0)
        self.assertEqual(estimate.shares.tolist(), [[0.75, 0.25]])

    def test_half_is_retained_after_a_half_life(self):
        estimate = PopularityEstimate(1, 2, half_life_ms=1_000)
        estimate.observe(np.array([[10, 0]]), 0)
        estimate.observe(np.array([[0, 70]]), 1_000)
        self.assertEqual(estimate.shares.tolist(), [[0.5, 0.5]])

    def test_a_layer_without_tokens_keeps_its_estimate(self):
        estimate = PopularityEstimate(2, 2, half_life_ms=1_000)
        estimate.observe(np.array([[30, 10], [1, 1]]), 0)
        estimate.observe(np.array([[0, 0], [2, 0]]), 1_000)
        self.assertEqual(estimate.shares.tolist(), [[0.75, 0.25], [0.75, 0.25]])

    def test_shares_sum_to_one(self):
        estimate = PopularityEstimate(3, 8, half_life_ms=500)
        rng = np.random.default_rng(1)
        for now_ms in range(0, 5_000, 100):
            estimate.observe(rng.integers(0, 50, (3, 8)), now_ms)
        np.testing.assert_allclose(estimate.shares.sum(axis=1), 1.0)
