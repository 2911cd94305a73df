import unittest
from types import SimpleNamespace
from unittest import mock

from fuchsiahatch_gateway.jobs import patience_ms, silence_ms, wait_ms


def job(
    objective_ms=500,
    gap_ms=120,
    stream=True,
    tried=(),
    repeatable=True,
    suspended=None,
):
    route = SimpleNamespace(
        objective_ms=objective_ms,
        gap_ms=gap_ms,
        repeatable=repeatable,
        max_attempts=2,
    )
    return SimpleNamespace(
        match=SimpleNamespace(route=route),
        events=object() if stream else None,
        tried=list(tried),
        suspended=suspended,
        arrived_ms=1_000,
        ends_ms=9_000,
    )


class TestPatience(unittest.TestCase):
    def test_patience_is_the_longest_of_three_limits(self):
        self.assertEqual(patience_ms(job().match.route), 2_000)
        self.assertEqual(patience_ms(job(objective_ms=1_500).match.route), 6_000)
        self.assertEqual(patience_ms(job(gap_ms=400).match.route), 3_200)

    def test_wait_is_a_share_of_the_remaining_patience(self):
        self.assertEqual(wait_ms(job(), 1_000), 800)
        self.assertEqual(wait_ms(job(), 2_000), 400)
        self.assertEqual(wait_ms(job(), 4_000), 1)
        self.assertEqual(wait_ms(job(stream=False), 1_000), 3_200)

    def test_a_patient_callers_wait_leaves_enough_for_the_upstream(self):
        """Guards against patient streams that are refused within a burst."""
        patient = job(objective_ms=1_007)
        self.assertEqual(wait_ms(patient, 1_000), 0.4 * 4_028)
        self.assertEqual(wait_ms(patient, 1_000, has_classes=True), 2_828)
        self.assertEqual(wait_ms(patient, 2_500, has_classes=True), 1_328)
        # Here the share is longer, as without classes.
        self.assertEqual(wait_ms(patient, 3_500, has_classes=True), 0.4 * 1_528)
        self.assertEqual(wait_ms(job(), 1_000, has_classes=True), 800)
        self.assertEqual(wait_ms(job(stream=False), 1_000, has_classes=True), 3_200)
        # The deadline ends the wait of a caller whose patience lasts longer.
        self.assertEqual(wait_ms(patient, 6_900, has_classes=True), 1)
        hurried = job(objective_ms=5_000)
        self.assertEqual(wait_ms(hurried, 5_000, has_classes=True), 2_800)

    def test_silence_is_limited_only_if_a_retry_may_follow(self):
        self.assertEqual(silence_ms(job(), 8_000), 1_000)
        self.assertIsNone(silence_ms(job(tried=["a", "b"]), 8_000))
        self.assertIsNone(silence_ms(job(repeatable=False), 8_000))
        self.assertIsNone(silence_ms(job(suspended=mock.Mock()), 8_000))
