import unittest

import numpy as np

from fuchsiahatch_experts import drift
from fuchsiahatch_experts.drift import (
    FEW_REQUESTS,
    MEMORY_MS,
    Demand,
    GroupMap,
    as_map,
    as_placement,
    copies_in_a_pass,
    finish,
    memory_for,
    plan_change,
)
from fuchsiahatch_experts.maps import check_map, count_moves, rank_loads

LAYERS, EXPERTS, RANKS, PLACES = 2, 16, 4, 6


def first_map():
    layer = tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))
    return (layer,) * LAYERS


def laid_out(placement):
    return GroupMap(placement, EXPERTS)


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
        plan = finish(plan_change(laid_out(first_map()), self.make(), PLACES))
        self.assertLess(plan.skew_after, plan.skew_before)
        before, after = as_map(first_map(), EXPERTS), as_map(plan.placement, EXPERTS)
        check_map(after, PLACES)
        new = after.placed & ~before.placed
        self.assertLessEqual(new.sum(axis=(0, 1)).max(), drift.COPIES_PER_RANK)
        self.assertEqual(count_moves(before, after).sum(), plan.copies)

    def test_nothing_moves_for_little(self):
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        self.assertIsNone(finish(plan_change(laid_out(first_map()), demand, PLACES)))

    def test_plans_come_to_an_end(self):
        placement, demand = first_map(), self.make()
        for _ in range(30):
            plan = finish(plan_change(laid_out(placement), demand, PLACES))
            if plan is None:
                return
            placement = plan.placement
        self.fail("a steady demand is never satisfied")

    def test_a_slow_rank_is_relieved(self):
        # All streams of a group crawl: one rank works at a fifth of its pace, and all
        # others wait for it in each pass.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        placement, paces = first_map(), [5.0, 1.0, 1.0, 1.0]
        for _ in range(20):
            plan = finish(plan_change(laid_out(placement), demand, PLACES, paces))
            if plan is None:
                break
            self.assertLess(plan.skew_after, plan.skew_before)
            placement = plan.placement
        check_map(as_map(placement, EXPERTS), PLACES)
        loads = rank_loads(as_map(placement, EXPERTS), demand.weights)
        self.assertLess(loads[:, 0].max(), 0.4 * loads[:, 1].max())

    def test_a_slow_rank_is_relieved_in_one_change_where_passes_are_long(self):
        # All streams of a service crawl for 3.7 s: its passes took a second, and each
        # change of map, of one copy a rank, waited for two of them.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(np.full((LAYERS, EXPERTS), 1 / EXPERTS), 6, 0)
        paces = [12.0, 1.0, 1.0, 1.0]
        copies = copies_in_a_pass(1_000.0, 98.0, 3 * LAYERS)
        self.assertEqual(copies, 3 * LAYERS)
        few = finish(plan_change(laid_out(first_map()), demand, PLACES, paces))
        many = finish(
            plan_change(laid_out(first_map()), demand, PLACES, paces, copies, 3)
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

    def test_a_placement_comes_back_as_it_was(self):
        self.assertEqual(as_placement(as_map(first_map(), EXPERTS)), first_map())


class TestMemory(unittest.TestCase):
    def follow(self, requests):
        """Return the share of a new demand 0.3 s behind a small move of it."""
        demand = Demand(LAYERS, EXPERTS)
        demand.memory_ms = memory_for(requests)
        for at_ms in range(0, 2_000, 20):
            demand.add(shares(3), 6, at_ms)
        for at_ms in range(2_000, 2_300, 20):
            demand.add(shares(9), 6, at_ms)
        new = demand.weights[:, 9] / (demand.weights[:, 3] + demand.weights[:, 9])
        return float(new.min())

    def test_a_large_group_follows_sooner(self):
        # Half of all briefs stand still for 160 ms and more on a day of high load: for
        # a second behind each move of the demand a group of 32 ranks made its maps for
        # a mixture of what was and what is, as if it had the few requests of 8 ranks.
        self.assertGreater(self.follow(120), 0.5)

    def test_a_small_group_forgets_as_before(self):
        self.assertEqual(memory_for(0), MEMORY_MS)
        self.assertEqual(memory_for(FEW_REQUESTS), MEMORY_MS)
        self.assertLess(self.follow(FEW_REQUESTS), 0.4)


class TestDemand(unittest.TestCase):
    def test_a_shift_is_followed_at_once(self):
        # Briefs stumble for half a second after each move of the demand: the map went
        # on being made for what had been asked for before.
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

    def move(self, common):
        """Return the layers that have shifted 0.2 s behind a move of the rest.

        A share of all choices is common to all requests and stays.
        """
        demand = Demand(LAYERS, EXPERTS)
        for at_ms in range(0, 10_200, 20):
            hot = 3 if at_ms < 10_000 else 9
            mixed = common * shares(5) + (1 - common) * shares(hot)
            demand.add(mixed, 6, at_ms)
            demand.forget_shifted()
        return demand.shifts

    def test_a_shift_of_a_small_part_is_seen_where_the_mix_is_steady(self):
        # Each move of the demand was followed in two changes 0.4 s apart: with three
        # quarters of all choices common to all requests no move ever counted as one.
        self.assertGreaterEqual(self.move(0.0), LAYERS)
        self.assertGreaterEqual(self.move(0.85), LAYERS)
        self.assertEqual(self.move(0.99), 0)

    def test_prompts_that_are_read_weigh_no_more_than_answers(self):
        # A rank that read a long prompt says more choices than seven that write.
        demand = Demand(LAYERS, EXPERTS)
        demand.add(shares(1), 1, 0)
        demand.add(shares(2), 6, 0)
        self.assertEqual(demand.weights.argmax(axis=1).tolist(), [2] * LAYERS)
