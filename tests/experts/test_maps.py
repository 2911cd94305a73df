import unittest

import numpy as np

from fuchsiahatch_experts.maps import (
    ExpertMap,
    MapError,
    check_map,
    count_moves,
    rank_loads,
)

# Three experts on two ranks; expert 0 has two replicas.
PLACED = [[[True, True], [True, False], [False, True]]]
EXPERT_MAP = ExpertMap(np.array(PLACED))


class TestRankLoads(unittest.TestCase):
    def test_replicas_share_the_load(self):
        loads = rank_loads(EXPERT_MAP, np.array([[4.0, 1.0, 3.0]]))
        self.assertEqual(loads.tolist(), [[3.0, 5.0]])


class TestCountMoves(unittest.TestCase):
    def test_only_new_replicas_count(self):
        target = EXPERT_MAP.placed.copy()
        target[0, 0, 1] = False
        target[0, 1, 1] = True
        self.assertEqual(count_moves(EXPERT_MAP, ExpertMap(target)).tolist(), [1])
        self.assertEqual(count_moves(EXPERT_MAP, EXPERT_MAP).tolist(), [0])


class TestCheckMap(unittest.TestCase):
    def test_good(self):
        check_map(EXPERT_MAP, 2)

    def test_memory_limit(self):
        with self.assertRaises(MapError):
            check_map(EXPERT_MAP, 1)

    def test_expert_on_no_rank(self):
        with self.assertRaises(MapError):
            check_map(ExpertMap(np.zeros((1, 3, 2), dtype=bool)), 2)
