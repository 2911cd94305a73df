import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError, RefusedError
from fuchsiahatch_daemon.retries import Retries
from fuchsiahatch_routing.budgets import RetryBudget

FULL = RefusedError("this upstream is full", Code.OVERLOADED, 700)


class TestRetries(unittest.TestCase):
    def setUp(self):
        self.noted = []
        self.retries = Retries(ManualClock(), RetryBudget(0.0, 0.0, 1.0))
        self.retries.note_retry = lambda: self.noted.append(1)

    def test_first_try_is_free_and_the_budget_ends(self):
        self.retries.spend(None)
        self.retries.spend(FULL)
        with self.assertRaises(RefusedError) as seen:
            self.retries.spend(FULL)
        self.assertIs(seen.exception.result, Code.RETRY_BUDGET_SPENT)
        self.assertEqual(seen.exception.retry_after_ms, 700)
        self.assertEqual(len(self.noted), 1)

    def test_leaving_costs_nothing(self):
        for _ in range(5):
            self.retries.spend(RefusedError("leaving", Code.LEAVING, 0))
        self.retries.spend(FULL)

    def test_a_request_that_may_have_run_is_not_called_refused(self):
        """A brief that may have run is reported as not run, and is sent twice."""
        self.retries.spend(FULL)
        broken = AttemptError("the agent broke off", Code.UNKNOWN)
        with self.assertRaises(AttemptError) as seen:
            self.retries.spend(broken)
        self.assertIs(seen.exception, broken)
