"""A nose2 plugin that runs tests in the order of their names, for run_tests.py.

Discovery lists folders as the file system does. The tests of a fresh clone would run in
another order, and what one of them leaves behind would meet another test.
"""

import typing as t
import unittest

from nose2 import events


class SortedOrder(events.Plugin):
    """Sorts the tests of a run; those of a class stay together."""

    alwaysOn = True
    configSection = "sorted-order"

    def startTestRun(self, event: events.StartTestRunEvent) -> None:
        """Replace the suite of the run."""
        event.suite = sort_suite(event.suite)


def sort_suite(suite: unittest.TestSuite) -> unittest.TestSuite:
    """Return a flat suite with the tests of a nested one, sorted by their ids."""
    return unittest.TestSuite(sorted(_flatten(suite), key=lambda test: test.id()))


def _flatten(suite: unittest.TestSuite) -> t.Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test
