"""A nose2 plugin that keeps each test's outcome, for run_tests.py."""

from nose2 import events, result

OUTCOMES: dict[str, str] = {}


class OutcomeKeeper(events.Plugin):
    """Keeps outcomes by test id; subtests count for their test."""

    alwaysOn = True
    configSection = "outcomes"

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Note one outcome; a failure is never overwritten."""
        test = event.test
        name = getattr(test, "test_case", test).id()
        bad = (
            event.outcome == result.ERROR
            or (event.outcome == result.FAIL and not event.expected)
            or (event.outcome == result.PASS and not event.expected)
            or (event.outcome == result.SUBTEST and event.exc_info is not None)
        )
        word = "failed" if bad else "passed"
        if event.outcome == result.SKIP:
            word = "skipped"
        if OUTCOMES.get(name) != "failed":
            OUTCOMES[name] = word
