import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.retry_budget import RetryBudget

WINDOW_MS = 10_000
RATIO = 0.2
SLACK = 90


def make(clock, entries=7, first_start=True):
    return RetryBudget(RATIO, SLACK, WINDOW_MS, clock, lambda: entries, first_start)


class TestRetryBudget(unittest.TestCase):
    def test_all_entries_together_stay_within_the_budget(self):
        # Otherwise overloaded upstreams get the retries of all entries at once.
        clock = ManualClock()
        budgets = [make(clock) for _ in range(7)]
        spent = []
        for _ in range(400):
            clock.advance(100)
            for budget in budgets:
                budget.note_request("svc")
                spent += [clock.now_ms() for _ in range(5) if budget.spend("svc")]
        requests_in_window = 7 * WINDOW_MS / 100
        for end_ms in range(WINDOW_MS, 40_000, 500):
            within = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in spent)
            self.assertLessEqual(within, RATIO * requests_in_window + SLACK)

    def test_restarted_entry_gets_at_most_half_of_its_share(self):
        # Otherwise entries that are killed one after another spend their share twice.
        clock = ManualClock()
        first = make(clock)
        spent = sum(first.spend("svc") for _ in range(50))
        again = make(clock, first_start=False)
        extra = sum(again.spend("svc") for _ in range(50))
        self.assertLessEqual(extra, spent / 2)

    def test_restart_of_all_entries_stays_within_the_budget(self):
        # All entries are killed after a burst of retries, and restart.
        clock = ManualClock()
        spent = 0
        for first_start in (True, False):
            budgets = [make(clock, first_start=first_start) for _ in range(7)]
            spent += sum(budget.spend("svc") for budget in budgets for _ in range(50))
        self.assertLessEqual(spent, SLACK)

    def test_services_have_separate_budgets(self):
        clock = ManualClock()
        budget = make(clock)
        while budget.spend("a"):
            pass
        self.assertTrue(budget.spend("b"))
        self.assertEqual(budget.refused, 1)
