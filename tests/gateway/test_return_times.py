import random
import unittest
from types import SimpleNamespace

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.error_answers import ErrorAnswers
from fuchsiahatch_gateway.return_times import (
    RATE_WINDOW_MS,
    ReturnTimes,
    limit_to_followed,
    retry_after_s,
)


class TestEstimates(unittest.TestCase):
    def setUp(self):
        self.times = ReturnTimes()

    def estimate(self, waiting, now_ms, service="svc"):
        return self.times.estimate_ms(service, waiting, now_ms)

    def test_it_is_the_time_in_which_slots_came_free_for_those_who_wait(self):
        for now_ms in range(0, 2_000, 100):
            self.times.note_freed_slot("svc", now_ms)
        estimates_ms = [self.estimate(waiting, 1_900) for waiting in range(40)]
        self.assertEqual(estimates_ms[:5], [400] * 5)
        self.assertEqual(estimates_ms[5:25], list(range(500, 2_500, 100)))
        self.assertEqual(set(estimates_ms[25:]), {2_500})

    def test_only_slots_that_came_free_lately_count(self):
        """Guards against early returns to engines that have stalled."""
        for now_ms in range(1_000):
            self.times.note_freed_slot("svc", now_ms)
        self.assertEqual(self.estimate(10, 1_000), 400)
        self.assertEqual(self.estimate(10, 1_000, "other"), 2_500)
        self.assertEqual(self.estimate(10, 999 + RATE_WINDOW_MS), 2_500)
        self.assertEqual(self.estimate(0, 999 + RATE_WINDOW_MS), 400)


class TestJitter(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(1)

    def sent_s(self, known_ms):
        """Return the value as the caller reads it."""
        return float(b"%.2f" % retry_after_s(known_ms, self.rng))

    def test_no_caller_returns_before_a_known_time(self):
        """Guards against a time that is rounded down to the two decimals sent."""
        self.rng.uniform = lambda earliest, latest: earliest
        for known_ms in range(1, 5_000):
            self.assertGreaterEqual(round(1000 * self.sent_s(known_ms)), known_ms)
            self.assertLess(round(1000 * self.sent_s(known_ms)), known_ms + 10)

    def test_unknown_times_are_as_before(self):
        sent_s = [self.sent_s(None) for _ in range(1_000)]
        self.assertAlmostEqual(min(sent_s), 0.3, delta=0.01)
        self.assertAlmostEqual(max(sent_s), 0.6, delta=0.01)

    def test_callers_follow_an_estimate_whatever_its_jitter(self):
        """Guards against callers that give up, as the time exceeds what they follow."""
        for left_ms in range(2_000, 9_000, 10):
            sent_s = self.sent_s(limit_to_followed(2_500, left_ms))
            self.assertLessEqual(1000 * sent_s, left_ms / 3)

    def test_a_limited_estimate_is_at_least_the_shortest_time(self):
        self.assertEqual(limit_to_followed(2_500, 8_000), 1_766)
        self.assertEqual(limit_to_followed(500, 8_000), 500)
        self.assertEqual(limit_to_followed(2_500, 1_000), 400)
        self.assertEqual(limit_to_followed(2_500, -10), 400)


class TestRefusals(unittest.TestCase):
    def test_known_times_are_not_shortened(self):
        """Guards against callers that return within a backoff period."""
        clock = ManualClock()
        errors = ErrorAnswers(None, None, clock, random.Random(1))
        job = SimpleNamespace(ends_ms=clock.now_ms() + 4_550)
        for code, job_or_none, return_ms in (
            (Code.BACKING_OFF, job, 2_500),
            (Code.RATE_REACHED, job, 2_500),
            (Code.OVERLOADED, job, 1_000),
            (Code.OVERLOADED, None, 2_500),
        ):
            fault = RefusedError("refused", code, retry_after_ms=2_500)
            self.assertEqual(errors._return_ms(fault, job_or_none), return_ms)
        unknown = RefusedError("refused", Code.OVERLOADED)
        self.assertIsNone(errors._return_ms(unknown, job))
