import math
import unittest

from fuchsiahatch_gateway.route_durations import (
    BUCKET_MS,
    MIN_OBSERVED_MS,
    RouteDurations,
)
from fuchsiahatch_gateway.stop_admission import StopAdmission

NOW_MS, ENDS_MS = 100_000, 107_000


def stopping(longest_ms=None):
    admission = StopAdmission()
    if longest_ms is not None:
        admission.durations.note("chat", longest_ms, NOW_MS - MIN_OBSERVED_MS)
    admission.begin(ENDS_MS)
    return admission


class TestStopAdmission(unittest.TestCase):
    def test_a_running_entry_refuses_nothing(self):
        latest_ms = StopAdmission().latest_start_ms("chat", 10**9, NOW_MS)
        self.assertEqual(latest_ms, math.inf)

    def test_a_request_whose_deadline_comes_before_the_end_is_passed_on(self):
        admission = stopping(longest_ms=60_000)
        latest_ms = admission.latest_start_ms("chat", ENDS_MS, NOW_MS)
        self.assertEqual(latest_ms, math.inf)

    def test_a_route_whose_answers_fit_is_passed_on_while_they_do(self):
        # 4 s with a margin of a quarter.
        admission = stopping(longest_ms=4_000)
        latest_ms = admission.latest_start_ms("chat", ENDS_MS + 1, NOW_MS)
        self.assertEqual(latest_ms, ENDS_MS - 5_000)

    def test_a_route_without_recent_answers_is_refused(self):
        latest_ms = stopping().latest_start_ms("chat", ENDS_MS + 1, NOW_MS)
        self.assertEqual(latest_ms, -math.inf)

    def test_those_that_wait_decide_anew_when_the_stop_begins(self):
        admission, calls = StopAdmission(), []
        kept, removed = (lambda: calls.append("kept")), (lambda: calls.append("no"))
        admission.add_waiter(kept)
        admission.add_waiter(removed)
        admission.remove_waiter(removed)
        admission.begin(ENDS_MS)
        self.assertEqual(calls, ["kept"])

    def test_an_entry_that_has_just_started_does_not_go_by_its_first_short_answers(
        self,
    ):
        admission = StopAdmission()
        admission.durations.note("chat", 300, NOW_MS - MIN_OBSERVED_MS + 1)
        admission.durations.note("chat", 400, NOW_MS)
        admission.begin(ENDS_MS)
        latest_ms = admission.latest_start_ms("chat", ENDS_MS + 1, NOW_MS)
        self.assertEqual(latest_ms, -math.inf)


class TestRouteDurations(unittest.TestCase):
    def test_the_longest_of_a_route_counts_for_one_to_two_buckets(self):
        durations = RouteDurations()
        began_ms = NOW_MS
        durations.note("chat", 5_000, began_ms)
        durations.note("chat", 3_000, began_ms + 1)
        durations.note("plain", 10, began_ms + 1)
        durations.note("chat", 40, began_ms + BUCKET_MS)
        self.assertEqual(durations.longest_ms("chat", began_ms + BUCKET_MS), 5_000)
        later_ms = began_ms + 2 * BUCKET_MS
        self.assertEqual(durations.longest_ms("chat", later_ms), 40)
        self.assertIsNone(durations.longest_ms("plain", later_ms))

    def test_nothing_counts_after_a_long_silence(self):
        durations = RouteDurations()
        durations.note("chat", 5_000, NOW_MS)
        later_ms = NOW_MS + 2 * BUCKET_MS
        self.assertIsNone(durations.longest_ms("chat", later_ms))
        durations.note("chat", 40, later_ms)
        self.assertIsNone(durations.longest_ms("chat", later_ms))
