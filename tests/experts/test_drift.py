import unittest

import numpy as np

from fuchsiahatch_experts import drift
from fuchsiahatch_experts.drift import (
    DECAY_TIME_MS,
    SMALL_GROUP_REQUESTS,
    Demand,
    IndexedMap,
    as_map,
    as_placement,
    copies_in_a_pass,
    decay_time_for,
    finish_search,
    plan_change,
)
from fuchsiahatch_experts.maps import check_map, count_moves, rank_loads

LAYERS, EXPERTS, RANKS, PLACES = 2, 16, 4, 6


def first_map():
    layer = tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))
    return (layer,) * LAYERS


def indexed(placement):
    return IndexedMap(placement, EXPERTS)


def shares(hot):
    rows = np.full((LAYERS, EXPERTS), 0.5 / EXPERTS)
    rows[:, hot] += 0.5
    return rows


class TestPlan(unittest.TestCase):
    def make(self, hot=3, running=6):
        demand = Demand(LAYERS, EXPERTS)
        demand.add(shares(hot), running, 0)
        return demand

    def test_a_plan_lowers_the_skew_by_few_copies(self):
        plan = finish_search(plan_change(indexed(first_map()), self.make(), PLACES))
        self.assertLess(plan.skew_after, plan.skew_before)
        before, after = as_map(first_map(), EXPERTS), as_map(plan.placement, EXPERTS)
        check_map(after, PLACES)
        new = after.placed & ~before.placed
        self.assertLessEqual(new.sum(axis=(0, 1)).max(), drift.COPIES_PER_RANK)
        self.assertEqual(count_moves(before, after).sum(), plan.copies)

    def test_an_even_demand_gets_no_plan(self):
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        self.assertIsNone(
            finish_search(plan_change(indexed(first_map()), demand, PLACES))
        )

    def test_a_steady_demand_ends_in_no_more_plans(self):
        placement, demand = first_map(), self.make()
        for _ in range(30):
            plan = finish_search(plan_change(indexed(placement), demand, PLACES))
            if plan is None:
                return
            placement = plan.placement
        self.fail("plans for a steady demand don't end")

    def test_a_slow_rank_is_relieved(self):
        # Unrelieved, a rank at a fifth of its usual speed slows down all streams of the
        # group, as all other ranks wait for it in each pass.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        placement, paces = first_map(), [5.0, 1.0, 1.0, 1.0]
        for _ in range(20):
            plan = finish_search(plan_change(indexed(placement), demand, PLACES, paces))
            if plan is None:
                break
            self.assertLess(plan.skew_after, plan.skew_before)
            placement = plan.placement
        check_map(as_map(placement, EXPERTS), PLACES)
        loads = rank_loads(as_map(placement, EXPERTS), demand.weights)
        self.assertLess(loads[:, 0].max(), 0.4 * loads[:, 1].max())

    def test_a_slow_rank_is_relieved_in_one_change_where_passes_are_long(self):
        # With one copy per rank and change, all streams of a service are slow for
        # 3.7 s: passes take a second, and each change of map waits for two of them.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        paces = [12.0, 1.0, 1.0, 1.0]
        copies = copies_in_a_pass(1_000.0, 98.0, 3 * LAYERS)
        self.assertEqual(copies, 3 * LAYERS)
        few = finish_search(plan_change(indexed(first_map()), demand, PLACES, paces))
        many = finish_search(
            plan_change(indexed(first_map()), demand, PLACES, paces, copies, 3)
        )
        self.assertLess(many.skew_after, 0.6 * few.skew_after)
        after = as_map(many.placement, EXPERTS)
        check_map(after, PLACES)
        new = after.placed & ~as_map(first_map(), EXPERTS).placed
        self.assertLessEqual(new.sum(axis=1).max(), 3)

    def test_short_passes_leave_time_for_one_copy(self):
        self.assertEqual(copies_in_a_pass(55.0, 98.0, 12), drift.COPIES_PER_RANK)
        self.assertEqual(copies_in_a_pass(300.0, 98.0, 12), 3)
        self.assertEqual(copies_in_a_pass(9_000.0, 98.0, 12), 12)
        self.assertEqual(copies_in_a_pass(300.0, 0.0, 12), drift.COPIES_PER_RANK)

    def test_a_placement_survives_conversion(self):
        self.assertEqual(as_placement(as_map(first_map(), EXPERTS)), first_map())


class TestDecayTime(unittest.TestCase):
    def follow(self, requests):
        """Return the share of a new demand 0.3 s after a small shift to it."""
        demand = Demand(LAYERS, EXPERTS)
        demand.decay_time_ms = decay_time_for(requests)
        for at_ms in range(0, 2_000, 20):
            demand.add(shares(3), 6, at_ms)
        for at_ms in range(2_000, 2_300, 20):
            demand.add(shares(9), 6, at_ms)
        new = demand.weights[:, 9] / (demand.weights[:, 3] + demand.weights[:, 9])
        return float(new.min())

    def test_a_large_group_follows_sooner(self):
        # With the time constant of 8 ranks' few requests, a group of 32 ranks makes its
        # maps for a mixture of old and new demand for a second after each shift, and
        # half of all briefs pause for 160 ms and more on a day of high load.
        self.assertGreater(self.follow(120), 0.5)

    def test_a_small_group_keeps_the_longest_time_constant(self):
        self.assertEqual(decay_time_for(0), DECAY_TIME_MS)
        self.assertEqual(decay_time_for(SMALL_GROUP_REQUESTS), DECAY_TIME_MS)
        self.assertLess(self.follow(SMALL_GROUP_REQUESTS), 0.4)


class TestDemand(unittest.TestCase):
    def test_a_shift_is_followed_at_once(self):
        # Otherwise maps are made for the old demand, and briefs are slow for half a
        # second after each shift.
        demand = Demand(LAYERS, EXPERTS)
        for at_ms in range(0, 2_000, 100):
            demand.add(shares(3), 6, at_ms)
        for at_ms in range(2_000, 2_200, 100):
            demand.add(shares(9), 6, at_ms)
        demand.forget_shifted()
        self.assertEqual(demand.shifts, LAYERS)
        self.assertEqual(demand.weights.argmax(axis=1).tolist(), [9] * LAYERS)

    def test_a_change_of_the_mix_is_no_shift(self):
        demand = Demand(LAYERS, EXPERTS)
        for number, at_ms in enumerate(range(0, 2_000, 100)):
            mixed = 0.85 * shares(3) + 0.15 * shares(number % EXPERTS)
            demand.add(mixed, 6, at_ms)
            demand.forget_shifted()
        self.assertEqual(demand.shifts, 0)

    def count_shifts(self, common):
        """Return the number of layers that have shifted 0.2 s after a shift of demand.

        The share `common` of all choices is the same for all requests and stays.
        """
        demand = Demand(LAYERS, EXPERTS)
        for at_ms in range(0, 10_200, 20):
            hot = 3 if at_ms < 10_000 else 9
            mixed = common * shares(5) + (1 - common) * shares(hot)
            demand.add(mixed, 6, at_ms)
            demand.forget_shifted()
        return demand.shifts

    def test_a_shift_of_a_small_part_is_detected_where_the_mix_is_steady(self):
        # With a fixed threshold, no shift is detected where three quarters of all
        # choices are common to all requests, and following each takes two changes of
        # map, 0.4 s apart.
        self.assertGreaterEqual(self.count_shifts(0.0), LAYERS)
        self.assertGreaterEqual(self.count_shifts(0.85), LAYERS)
        self.assertEqual(self.count_shifts(0.99), 0)

    def test_prompts_have_no_more_weight_than_answers(self):
        # A rank that reads a long prompt reports more choices than seven that generate.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(shares(1), 1, 0)
        demand.add(shares(2), 6, 0)
        self.assertEqual(demand.weights.argmax(axis=1).tolist(), [2] * LAYERS)
