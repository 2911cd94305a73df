import unittest

from fuchsiahatch_experts.health import (
    Smoother,
    StepTime,
    StragglerDetector,
    StragglersChanged,
    find_slow_ranks,
)

STEP_MS = 10.0


def lock_step(compute_ms):
    """Return a lock-step group's step: all end with the slowest."""
    longest_ms = max(compute_ms)
    return [StepTime(own_ms, longest_ms - own_ms) for own_ms in compute_ms]


class TestStraggler(unittest.TestCase):
    def test_it_is_named_and_those_that_wait_for_it_are_not(self):
        """Replies slow down on every rank of a group at once.

        One rank computes for 10 ms, the others for 4 ms and then wait 6 ms for
        it, so all four show a step of 10 ms. Judged by step time nobody or
        everybody straggles, and routing takes load from healthy ranks.
        """
        steps = lock_step([4.0, 4.0, STEP_MS, 4.0])
        self.assertEqual({step.compute_ms + step.wait_ms for step in steps}, {STEP_MS})
        compute_ms = {rank: Smoother().add(step) for rank, step in enumerate(steps)}
        self.assertEqual(find_slow_ranks(compute_ms), {2})

    def test_an_even_group_has_none(self):
        even_ms = {rank: 4.0 + rank / 10 for rank in range(4)}
        self.assertEqual(find_slow_ranks(even_ms), frozenset())

    def test_a_single_rank_has_nobody_to_straggle_behind(self):
        self.assertEqual(find_slow_ranks({0: 50.0}), frozenset())

    def test_two_ranks_name_the_slower(self):
        self.assertEqual(find_slow_ranks({0: 4.0, 1: 9.0}), {1})


class TestStragglerDetector(unittest.TestCase):
    def setUp(self):
        self.detector = StragglerDetector(looks=3)

    def check(self, *compute_ms):
        return self.detector.check(dict(enumerate(compute_ms)))

    def test_one_long_look_names_nobody(self):
        """A rank is named for one garbage collection and loses its requests.

        They come back a second later and go again with the next pause. A rank
        is named only after several slow looks in a row.
        """
        for _ in range(4):
            self.assertEqual(self.check(4, 4, 9), [])
            self.assertEqual(self.check(4, 4, 4), [])

    def test_a_lasting_one_is_named_once_and_cleared_once(self):
        named = [self.check(4, 4, 9) for _ in range(5)]
        self.assertEqual(named, [[], [], [StragglersChanged(frozenset({2}))], [], []])
        cleared = [self.check(4, 4, 4) for _ in range(5)]
        self.assertEqual(cleared, [[], [], [StragglersChanged(frozenset())], [], []])


class TestSmoother(unittest.TestCase):
    def test_it_starts_at_the_first_step_and_follows(self):
        smoother = Smoother(weight=0.5)
        self.assertEqual(smoother.add(StepTime(4.0, 1.0)), 4.0)
        self.assertEqual(smoother.add(StepTime(8.0, 0.0)), 6.0)
