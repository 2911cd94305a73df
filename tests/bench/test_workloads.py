import unittest

import numpy as np

from fuchsiahatch_bench.experts import REPORTING_SEEDS, TUNING_SEEDS
from fuchsiahatch_bench.workloads import (
    DAY_MS,
    EXPERTS,
    RUN_INTERVALS,
    RUNS,
    booking_rushes,
    moving_fronts,
)

MAKERS = (booking_rushes, moving_fronts)


class TestSeeds(unittest.TestCase):
    def test_policies_are_not_tuned_on_reporting_seeds(self):
        self.assertFalse(set(TUNING_SEEDS) & set(REPORTING_SEEDS))
        self.assertGreaterEqual(len(REPORTING_SEEDS), 20)


class TestWorkloads(unittest.TestCase):
    def test_a_seed_gives_the_same_workload(self):
        for make in MAKERS:
            first, second, other = make(1, 16), make(1, 16), make(2, 16)
            np.testing.assert_array_equal(first.step, second.step)
            self.assertFalse(np.array_equal(first.step, other.step))

    def test_shares_and_counts(self):
        for make in MAKERS:
            workload = make(3, 16)
            np.testing.assert_allclose(workload.truth.sum(axis=2), 1.0)
            tokens = workload.step.sum(axis=2)
            self.assertTrue((tokens == tokens[:, :1]).all())
            self.assertEqual(workload.truth.shape[2], EXPERTS)

    def test_popularity_drifts(self):
        for make in MAKERS:
            truth = make(4, 16).truth
            shift = np.abs(truth[0] - truth[-1]).sum() / 2
            self.assertGreater(shift, 0.1)


class TestMovingFronts(unittest.TestCase):
    def test_short_runs_a_day_apart(self):
        times_ms = moving_fronts(1, 16).times_ms
        starts = times_ms[::RUN_INTERVALS]
        self.assertEqual(starts.tolist(), [day * DAY_MS for day in range(RUNS)])
