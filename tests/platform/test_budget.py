import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import UnsentError
from fuchsiahatch_platform.budget import CallBudget


class TestCallBudget(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.budget = CallBudget(self.clock, calls_per_second=2, burst=3)

    def test_calls_over_the_rate_are_refused(self):
        """A fault makes one process call the service in a tight loop.

        Without a budget it would use up the service's rate for all hosts, and no
        change of another host would succeed.
        """
        for _ in range(3):
            self.budget.spend("range")
        with self.assertRaises(UnsentError) as seen:
            self.budget.spend("range")
        self.assertIs(seen.exception.result, Code.CALL_BUDGET_SPENT)
        self.assertEqual(seen.exception.retry_after_ms, 501)
        self.assertEqual((self.budget.calls["range"], self.budget.refused), (3, 1))

    def test_the_budget_refills_over_time(self):
        for _ in range(3):
            self.budget.spend("range")
        self.clock.advance(500)
        self.budget.spend("swap")
        with self.assertRaises(UnsentError):
            self.budget.spend("swap")

    def test_a_waiting_watch_is_counted_while_it_waits(self):
        with self.budget.waiting_watch():
            self.assertEqual((self.budget.waiting, self.budget.calls["watch"]), (1, 1))
        self.assertEqual(self.budget.waiting, 0)
