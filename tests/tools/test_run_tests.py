import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import run_tests

RED = {"a": "a, cause, command, seen, issue"}
FLAKY = {"b": "b, flaky: failed once beside load, command, seen, issue"}


class TestStaleLines(unittest.TestCase):
    def test_a_red_test_that_passes_is_an_error(self):
        self.assertEqual(run_tests.find_stale(RED, set(), {"a"}), ["a"])
        self.assertEqual(run_tests.find_stale(RED, {"a"}, {"a"}), [])

    def test_one_that_failed_once_may_pass_or_fail(self):
        # A test that failed once, and isn't traced, can't be listed: each run in
        # which it passes fails, and without its line nobody hears of it.
        self.assertEqual(run_tests.find_stale(FLAKY, set(), {"b"}), [])
        self.assertEqual(run_tests.find_stale(FLAKY, {"b"}, {"b"}), [])

    def test_one_that_is_gone_is_an_error(self):
        self.assertEqual(run_tests.find_stale(FLAKY, set(), {"c"}), ["b"])


if __name__ == "__main__":
    unittest.main()
