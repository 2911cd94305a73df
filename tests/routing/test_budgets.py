import unittest

from fuchsiahatch_routing.budgets import RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_retry_storm_is_bounded(self):
        """Guards against retries that multiply the load on full upstreams.

        Every upstream refuses, and each request is retried twice: without a budget
        an overload of a tenth becomes threefold.
        """
        budget = RetryBudget(floor_per_s=1.0, burst=10.0)
        retries = 0
        for number in range(10_000):
            budget.note_request(number)
            retries += budget.take(number) + budget.take(number)
        self.assertLessEqual(retries, 10_000 * 0.1 + 10 * 1.0 + 10)
        self.assertGreater(retries, 900)

    def test_few_requests_may_still_be_retried(self):
        budget = RetryBudget(floor_per_s=1.0, burst=1.0)
        budget.note_request(0)
        self.assertTrue(budget.take(0))
        self.assertFalse(budget.take(0))
        self.assertTrue(budget.take(1_000))
