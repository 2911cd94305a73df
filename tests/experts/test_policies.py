import unittest

import numpy as np

from fuchsiahatch_experts.costs import Prices
from fuchsiahatch_experts.maps import ExpertMap, count_moves
from fuchsiahatch_experts.policies import (
    Observation,
    Tuning,
    forecast,
    never,
    payback,
    periodic,
    plan_afresh,
    plan_changes,
    rent_to_buy,
    rent_to_buy_by_layer,
    threshold,
    tuned_policy,
)

# Experts 0 and 1 on rank 0, experts 2 and 3 on rank 1.
START = ExpertMap(np.array([[[True, False]] * 2 + [[False, True]] * 2]))
EVEN = np.array([[1.0, 1.0, 1.0, 1.0]])
# Skew 1.5; one swap, which is two moves, makes it 1.
UNEVEN = np.array([[3.0, 3.0, 1.0, 1.0]])
PRICES = Prices(skew=2.0, move_ms=100.0)
PLAN = plan_changes(2, 0.0)


def observe(now_ms=0, popularity=UNEVEN, exposure_ms=10.0, current=START):
    return Observation(now_ms, current, popularity, exposure_ms)


def first_move(policy, limit=100, **fields):
    """Return the number of observations up to and including the first move."""
    moves = (policy(observe(now_ms=10 * index, **fields)) for index in range(limit))
    return next(
        (index + 1 for index, target in enumerate(moves) if target is not None), None
    )


class TestBaselines(unittest.TestCase):
    def test_never(self):
        self.assertIsNone(first_move(never()))

    def test_periodic_moves_each_period(self):
        policy = periodic(200, PLAN)
        moved = [policy(observe(now_ms=now)) is not None for now in range(0, 500, 100)]
        self.assertEqual(moved, [False, False, True, False, True])

    def test_periodic_stays_when_nothing_would_change(self):
        self.assertIsNone(first_move(periodic(200, PLAN), popularity=EVEN))

    def test_plan_afresh_packs_from_scratch(self):
        target = plan_afresh(2)(observe())
        self.assertEqual(target.placed.sum(), 4)

    def test_threshold(self):
        self.assertIsNone(first_move(threshold(1.5, PLAN)))
        self.assertEqual(first_move(threshold(1.49, PLAN)), 1)


class TestRentToBuy(unittest.TestCase):
    # The swap costs 200; each observation pays 2.0 * 10 * 0.5 = 10.
    BREAK_EVEN = 20

    def test_moves_at_break_even(self):
        first = first_move(rent_to_buy(PRICES, PLAN))
        # An account is checked each time it has grown by a fifth.
        self.assertGreaterEqual(first, self.BREAK_EVEN)
        self.assertLessEqual(first, self.BREAK_EVEN * 1.2 + 1)

    def test_each_layer_moves_at_its_own_break_even(self):
        first = first_move(rent_to_buy_by_layer(PRICES, 2))
        self.assertGreaterEqual(first, self.BREAK_EVEN)
        self.assertLessEqual(first, self.BREAK_EVEN * 1.2 + 1)

    def test_only_the_layer_that_pays_moves(self):
        both = ExpertMap(np.concatenate([START.placed] * 2))
        popularity = np.concatenate([UNEVEN, EVEN])
        policy = rent_to_buy_by_layer(PRICES, 2)
        observation = observe(popularity=popularity, current=both, exposure_ms=10_000.0)
        self.assertEqual(count_moves(both, policy(observation)).tolist(), [2, 0])

    def test_credit_lets_a_layer_move_sooner(self):
        policy = rent_to_buy_by_layer(PRICES, 2, credit_ms=195.0)
        self.assertEqual(first_move(policy), 1)

    def test_the_account_is_reset_after_a_move(self):
        for policy in (rent_to_buy(PRICES, PLAN), rent_to_buy_by_layer(PRICES, 2)):
            self.assertIsNotNone(first_move(policy))
            self.assertGreaterEqual(first_move(policy), self.BREAK_EVEN)

    def test_skew_that_no_move_reduces_causes_no_move(self):
        everywhere = ExpertMap(np.array([[[True, False], [False, True]]]))
        popularity = np.array([[3.0, 1.0]])
        for policy in (
            rent_to_buy(PRICES, plan_changes(1, 0.0)),
            rent_to_buy_by_layer(PRICES, 1),
        ):
            first = first_move(policy, current=everywhere, popularity=popularity)
            self.assertIsNone(first)


class TestPayback(unittest.TestCase):
    def test_moves_at_once_when_it_pays_off_within_the_horizon(self):
        # Within the horizon the swap saves 2.0 * horizon * 0.5, for 200.
        self.assertEqual(first_move(payback(PRICES, 2, 210.0)), 1)
        self.assertIsNone(first_move(payback(PRICES, 2, 190.0)))

    def test_searches_no_more_often_than_its_period(self):
        policy = payback(PRICES, 2, 210.0, period_ms=100)
        moved = [policy(observe(now_ms=now)) is not None for now in (0, 50, 100)]
        self.assertEqual(moved, [True, False, True])


class TestForecast(unittest.TestCase):
    def test_extrapolates_the_trend(self):
        shown = []
        policy = forecast(lambda observation: shown.append(observation.popularity), 100)
        for now_ms in (0, 100, 200):
            rising = 1.0 + now_ms / 100
            policy(observe(now_ms=now_ms, popularity=np.array([[rising, 8.0]])))
        np.testing.assert_allclose(np.concatenate(shown)[:, 0], [1.0, 3.0, 4.0])

    def test_forecast_is_at_least_a_quarter_of_the_popularity(self):
        shown = []
        policy = forecast(lambda observation: shown.append(observation.popularity), 100)
        for now_ms, share in ((0, 9.0), (100, 1.0)):
            policy(observe(now_ms=now_ms, popularity=np.array([[share]])))
        self.assertEqual(shown[1].tolist(), [[0.25]])


class TestTunedPolicy(unittest.TestCase):
    TUNINGS = {2: Tuning(horizon_ms=210.0, lead_ms=100)}

    def test_payback_where_tuned(self):
        policy = tuned_policy(PRICES, 2, 2, self.TUNINGS)
        self.assertEqual(first_move(policy), 1)

    def test_rent_to_buy_elsewhere(self):
        policy = tuned_policy(PRICES, 2, 3, self.TUNINGS)
        self.assertGreaterEqual(first_move(policy), TestRentToBuy.BREAK_EVEN)


class TestDeterminism(unittest.TestCase):
    def test_the_same_observations_cause_the_same_moves(self):
        rng = np.random.default_rng(1)
        popularities = rng.lognormal(0, 1, (40, 1, 4))
        makers = (
            lambda: periodic(100, PLAN),
            lambda: threshold(1.2, PLAN),
            lambda: rent_to_buy(PRICES, PLAN),
            lambda: rent_to_buy_by_layer(PRICES, 2),
            lambda: forecast(payback(PRICES, 2, 1_000.0), 50),
        )
        for make in makers:
            first, second = (_moves(make(), popularities) for _ in range(2))
            self.assertEqual(first, second)
            self.assertTrue(any(first))


def _moves(policy, popularities):
    current = START
    moves = []
    for index, popularity in enumerate(popularities):
        target = policy(observe(10 * index, popularity, 100.0, current))
        current = target or current
        moves.append(b"" if target is None else target.placed.tobytes())
    return moves
