import os
import unittest

from fuchsiahatch_standins.rank_rules import MixedMaps
from tests.experts.restored_model import RestoredModel, SettledModel

#: Schedules of one test run, of 600 turns each; the environment can set more.
SCHEDULES = int(os.environ.get("RESTORED_SCHEDULES", "150"))
FIRST_SEED = int(os.environ.get("RESTORED_FIRST", "0"))
#: Schedules within which a missing guard must be detected.
MAX_GUARDLESS_SCHEDULES = 3_000
#: Schedules that mix maps if the later leader begins switches at once: one of 1,300.
NO_WAIT_SEEDS = (879,)


def play(seed, **guards):
    model = RestoredModel(seed, **guards)
    model.run(600)
    return model


def find_mixed_maps(**guards):
    """Return the first schedule that mixes maps, or None."""
    for seed in range(MAX_GUARDLESS_SCHEDULES):
        try:
            play(seed, **guards)
        except MixedMaps:
            return seed
    return None


#: Schedules that mix maps if the item of an older copy counts: one of 4,500.
NO_ERA_CHECK_SEEDS = (1_101,)


class TestRestoredLeaders(unittest.TestCase):
    """A pass never runs with two maps when the store loses a leader's lease.

    The store is restored from a copy without the lease. The leader continues by its
    clock, another one is elected at once, and both send orders directly to the engines
    of stalled agents, which refuse no leader. Or revisions are reused after the
    restore, and both lead under one term.
    """

    def test_no_maps_are_mixed(self):
        models = [play(FIRST_SEED + seed) for seed in range(SCHEDULES)]
        self.assertGreater(sum(model.restored for model in models), SCHEDULES)
        # The bound is low because a schedule lasts 3 s, and no switch begins for 0.6 s
        # after each of some four restores.
        self.assertGreater(sum(model.switched for model in models), SCHEDULES / 4)

    def test_no_group_is_held_for_good(self):
        for seed in range(SCHEDULES // 4):
            model = play(seed)
            model.settle(900)
            before = model.step
            model.settle(200)
            self.assertGreater(model.step, before, f"seed {seed}")

    def test_a_term_that_is_used_twice_is_found(self):
        self.assertIsNotNone(find_mixed_maps(eras=False))

    def test_a_later_leader_that_does_not_wait_is_found(self):
        for seed in NO_WAIT_SEEDS:
            play(seed)
            with self.assertRaises(MixedMaps):
                play(seed, waits=False)


class TestLeadersThatHaveJustStarted(unittest.TestCase):
    """A pass never runs with two maps when a stored item lets a leader skip its wait.

    All processes are killed, and the new leader reads an item which says that the era
    has lasted for a lease. The item was restored from an older copy, and an earlier
    leader still believes that it holds the lease.
    """

    def play(self, seed, **guards):
        model = SettledModel(seed, **guards)
        model.run(600)
        return model

    def test_no_maps_are_mixed(self):
        models = [self.play(FIRST_SEED + seed) for seed in range(SCHEDULES)]
        self.assertGreater(sum(model.restored for model in models), SCHEDULES)
        self.assertGreater(sum(model.skipped_waits for model in models), SCHEDULES / 2)

    def test_an_older_copys_item_is_found(self):
        for seed in NO_ERA_CHECK_SEEDS:
            self.play(seed)
            with self.assertRaises(MixedMaps):
                self.play(seed, checks_era=False)
