import itertools
import unittest

import numpy as np

from fuchsiahatch_bench.experts_runs import (
    STORE,
    Size,
    _cheapest_path,
    best_in_hindsight,
    exposures_ms,
    run_policy,
)
from fuchsiahatch_bench.workloads import INTERVAL_MS, booking_rushes
from fuchsiahatch_experts.costs import GERAK_BERSAMA, find_prices, total_cost_ms
from fuchsiahatch_experts.maps import count_moves
from fuchsiahatch_experts.policies import never, payback, periodic, plan_afresh

SIZE = Size(ranks=16, slots=5)
PRICES = find_prices(GERAK_BERSAMA, STORE)


class TestRunPolicy(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.workload = booking_rushes(50, SIZE.ranks)

    def test_never_moves(self):
        done = run_policy(self.workload, SIZE, never())
        self.assertEqual((done.moves, done.moved_ms, len(done.maps)), (0, 0.0, 1))
        lost_ms = (exposures_ms(self.workload) * (done.skews - 1)).sum()
        self.assertAlmostEqual(done.lost_ms, lost_ms)

    def test_a_map_waits_for_its_weights(self):
        """The skew changes only once the store can have sent every expert."""
        still = run_policy(self.workload, SIZE, never())
        done = run_policy(self.workload, SIZE, periodic(3_600_000, plan_afresh(5)))
        changed = int(np.flatnonzero(done.skews != still.skews)[0])
        moves = count_moves(done.maps[0], done.maps[1]).sum()
        fetch_ms = moves * STORE.expert_bytes * 1_000 / STORE.rate_bytes_per_s
        decided_ms = 3_600_000
        self.assertGreaterEqual(changed * INTERVAL_MS, decided_ms + fetch_ms)

    def test_bytes_follow_from_the_maps(self):
        done = run_policy(self.workload, SIZE, payback(PRICES, 5, 60_000.0))
        moves = sum(
            count_moves(first, second).sum()
            for first, second in itertools.pairwise(done.maps)
        )
        self.assertEqual(done.moved_bytes, moves * STORE.expert_bytes)


class TestBestInHindsight(unittest.TestCase):
    def test_no_dearer_than_the_policies_whose_maps_it_is_given(self):
        workload = booking_rushes(51, SIZE.ranks)
        runs = [
            run_policy(workload, SIZE, policy)
            for policy in (never(), payback(PRICES, 5, 60_000.0))
        ]
        maps = [one for done in runs for one in done.maps]
        best, lost_ms, moved_ms = best_in_hindsight(
            workload, SIZE, PRICES.skew, PRICES.move_ms, maps
        )
        for done in runs:
            cost = total_cost_ms(GERAK_BERSAMA, done.lost_ms, done.moved_ms)
            self.assertLess(best, cost)
        again = total_cost_ms(GERAK_BERSAMA, lost_ms, moved_ms)
        self.assertAlmostEqual(best / again, 1.0, places=6)

    def test_cheapest_path_is_exact(self):
        rng = np.random.default_rng(9)
        rents, fees = rng.uniform(0, 2, (5, 3)), rng.uniform(0, 2, (3, 3))
        np.fill_diagonal(fees, 0.0)

        def cost(path):
            stops = (0, *path)
            moved = sum(fees[pair] for pair in itertools.pairwise(stops))
            return moved + sum(
                rents[interval, one] for interval, one in enumerate(path)
            )

        cheapest = min(map(cost, itertools.product(range(3), repeat=5)))
        self.assertAlmostEqual(cost(_cheapest_path(rents, fees)), cheapest, places=6)
