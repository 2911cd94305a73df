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
    """Return one step of a lock-step group, which ends with its slowest rank."""
    longest_ms = max(compute_ms)
    return [StepTime(own_ms, longest_ms - own_ms) for own_ms in compute_ms]


class TestStraggler(unittest.TestCase):
    def test_a_straggler_is_found_and_ranks_waiting_for_it_are_not(self):
        """Judging by step time would take load from healthy ranks.

        One rank computes for 10 ms; the others compute for 4 ms and wait 6 ms for
        it. The step takes 10 ms on all four, so the step time alone marks either
        none or all of them as stragglers, while replies slow down on every rank.
        """
        steps = lock_step([4.0, 4.0, STEP_MS, 4.0])
        self.assertEqual({step.compute_ms + step.wait_ms for step in steps}, {STEP_MS})
        compute_ms = {rank: Smoother().add(step) for rank, step in enumerate(steps)}
        self.assertEqual(find_slow_ranks(compute_ms), {2})

    def test_an_even_group_has_no_straggler(self):
        even_ms = {rank: 4.0 + rank / 10 for rank in range(4)}
        self.assertEqual(find_slow_ranks(even_ms), frozenset())

    def test_a_single_rank_is_no_straggler(self):
        self.assertEqual(find_slow_ranks({0: 50.0}), frozenset())

    def test_the_slower_of_two_ranks_is_found(self):
        self.assertEqual(find_slow_ranks({0: 4.0, 1: 9.0}), {1})


class TestStragglerDetector(unittest.TestCase):
    def setUp(self):
        self.detector = StragglerDetector(checks=3)

    def check(self, *compute_ms):
        return self.detector.check(dict(enumerate(compute_ms)))

    def test_one_slow_check_reports_no_straggler(self):
        """A garbage collection pause must not make a rank a straggler.

        The rank would lose its requests, get them back a second later and lose them
        again at the next pause, so several consecutive slow checks are needed.
        """
        for _ in range(4):
            self.assertEqual(self.check(4, 4, 9), [])
            self.assertEqual(self.check(4, 4, 4), [])

    def test_a_lasting_straggler_is_reported_once_and_cleared_once(self):
        reported = [self.check(4, 4, 9) for _ in range(5)]
        self.assertEqual(
            reported, [[], [], [StragglersChanged(frozenset({2}))], [], []]
        )
        cleared = [self.check(4, 4, 4) for _ in range(5)]
        self.assertEqual(cleared, [[], [], [StragglersChanged(frozenset())], [], []])


class TestSmoother(unittest.TestCase):
    def test_it_starts_at_the_first_step_and_follows(self):
        smoother = Smoother(weight=0.5)
        self.assertEqual(smoother.add(StepTime(4.0, 1.0)), 4.0)
        self.assertEqual(smoother.add(StepTime(8.0, 0.0)), 6.0)
