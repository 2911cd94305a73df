import unittest
from types import SimpleNamespace

from fuchsiahatch_gateway.jobs import patience_ms, silence_ms, wait_ms


def job(objective_ms=500, gap_ms=120, stream=True, tried=(), repeatable=True):
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

    def test_silence_is_limited_only_if_a_retry_may_follow(self):
        self.assertEqual(silence_ms(job(), 8_000), 1_000)
        self.assertIsNone(silence_ms(job(tried=["a", "b"]), 8_000))
        self.assertIsNone(silence_ms(job(repeatable=False), 8_000))
