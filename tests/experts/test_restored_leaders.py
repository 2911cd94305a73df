import os
import unittest

from fuchsiahatch_standins.rank_rules import MixedMaps
from tests.experts.restored_model import RestoredModel, SettledModel

#: Schedules of one test run, of 600 turns each; more by hand.
SCHEDULES = int(os.environ.get("RESTORED_SCHEDULES", "150"))
FIRST_SEED = int(os.environ.get("RESTORED_FIRST", "0"))
#: Schedules after which a guard that is taken out must have been found.
GUARDLESS_SCHEDULES = 3_000
#: Schedules that mix maps where the later leader begins switches at once: one of 1,300.
WITHOUT_WAIT = (879,)


def play(seed, **guards):
    model = RestoredModel(seed, **guards)
    model.run(600)
    return model


def find_mixed(**guards):
    """Return the first schedule that mixes maps, or None."""
    for seed in range(GUARDLESS_SCHEDULES):
        try:
            play(seed, **guards)
        except MixedMaps:
            return seed
    return None


#: Schedules that mix maps where the item of an older copy counts: one of 4,500.
WITHOUT_ERA = (1_101,)


class TestRestoredLeaders(unittest.TestCase):
    """A pass never runs with two maps while the store forgets who leads.

    The store comes back from a copy without a leader's lease. That leader goes on by
    its clock, another is elected at once, and both speak with the engines of agents
    that stand still, which refuse nobody; or revisions come again, and both lead under
    one term.
    """

    def test_no_maps_are_mixed(self):
        played = [play(FIRST_SEED + seed) for seed in range(SCHEDULES)]
        self.assertGreater(sum(one.restored for one in played), SCHEDULES)
        # Not idle ones: a schedule lasts 3 s, and behind each of some four returns no
        # switch begins for 0.6 s.
        self.assertGreater(sum(one.switched for one in played), SCHEDULES / 4)

    def test_no_group_is_held_for_good(self):
        for seed in range(SCHEDULES // 4):
            model = play(seed)
            model.settle(900)
            before = model.step
            model.settle(200)
            self.assertGreater(model.step, before, f"seed {seed}")

    def test_a_term_that_comes_twice_is_found(self):
        self.assertIsNotNone(find_mixed(eras=False))

    def test_a_later_leader_that_does_not_wait_is_found(self):
        for seed in WITHOUT_WAIT:
            play(seed)
            with self.assertRaises(MixedMaps):
                play(seed, waits=False)


class TestLeadersThatHaveJustStarted(unittest.TestCase):
    """A pass never runs with two maps where an item spares a leader its wait.

    All processes are killed; the new leader finds the store's word that its era has
    lasted for a lease. The word came back with an older copy, and an earlier leader
    still believes in its lease.
    """

    def play(self, seed, **guards):
        model = SettledModel(seed, **guards)
        model.run(600)
        return model

    def test_no_maps_are_mixed(self):
        played = [self.play(FIRST_SEED + seed) for seed in range(SCHEDULES)]
        self.assertGreater(sum(one.restored for one in played), SCHEDULES)
        self.assertGreater(sum(one.spared for one in played), SCHEDULES / 2)

    def test_an_older_copys_word_is_found(self):
        for seed in WITHOUT_ERA:
            self.play(seed)
            with self.assertRaises(MixedMaps):
                self.play(seed, checks_era=False)
