import unittest

import numpy as np

from fuchsiahatch_experts.costs import (
    CostWeights,
    StepShape,
    WeightStore,
    find_prices,
    layer_skew,
    move_bytes,
    move_ms,
    step_ms,
    total_cost_ms,
)
from fuchsiahatch_experts.maps import ExpertMap

# Two layers of two experts on two ranks, one on each.
APART = ExpertMap(np.array([[[True, False], [False, True]]] * 2))
BOTH = ExpertMap(np.ones((2, 2, 2), dtype=bool))
POPULARITY = np.array([[3.0, 1.0], [1.0, 1.0]])
STORE = WeightStore(expert_bytes=20_000_000, rate_bytes_per_s=100_000_000)


class TestSkew(unittest.TestCase):
    def test_skew_is_the_highest_load_over_the_mean_in_each_layer(self):
        self.assertEqual(layer_skew(APART, POPULARITY).tolist(), [1.5, 1.0])
        self.assertEqual(layer_skew(BOTH, POPULARITY).tolist(), [1.0, 1.0])

    def test_a_layer_without_load_has_no_skew(self):
        self.assertEqual(layer_skew(APART, np.zeros((2, 2))).tolist(), [1.0, 1.0])

    def test_step_waits_for_the_slowest_in_each_layer(self):
        shape = StepShape(fixed_ms=3.0, expert_ms=4.0)
        self.assertEqual(step_ms(shape, APART, POPULARITY), 3.0 + 4.0 * 1.25)


class TestMoves(unittest.TestCase):
    def test_bytes_and_time_at_the_rate_limit(self):
        self.assertEqual(move_bytes(STORE, APART, BOTH), 80_000_000)
        self.assertEqual(move_ms(STORE, APART, BOTH), 800.0)

    def test_dropping_replicas_is_free(self):
        self.assertEqual(move_ms(STORE, BOTH, APART), 0.0)


class TestWeights(unittest.TestCase):
    def test_total_cost(self):
        weights = CostWeights(skew=4.0, move=1.0)
        self.assertEqual(total_cost_ms(weights, 100.0, 50.0), 450.0)

    def test_price_of_one_expert(self):
        prices = find_prices(CostWeights(skew=2.0, move=3.0), STORE)
        self.assertEqual((prices.skew, prices.move_ms), (2.0, 600.0))
