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


class TestMostKnownRed(unittest.TestCase):
    def test_tests_of_an_issue_that_may_have_many_do_not_count(self):
        lines = "a, cause, seen, issue 78\nb, cause, seen, issue 7\n"
        known = run_tests.parse_known_red(lines)
        self.assertEqual(run_tests.count_limited(known), 1)


class TestReviewCases(unittest.TestCase):
    LINES = "review/1, cause, command, seen, issue\n\na, cause, command, seen, issue\n"

    def test_a_case_is_told_from_a_test(self):
        known = run_tests.parse_known_red(self.LINES)
        tests, cases = run_tests.split_known_red(known)
        self.assertEqual((list(tests), list(cases)), (["a"], ["review/1"]))

    def test_a_case_that_the_review_does_not_have_is_an_error(self):
        cases = {"review/1": "", "review/99": ""}
        missing = run_tests.find_missing_cases(cases, run_tests.ROOT)
        self.assertEqual(missing, ["review/99"])


if __name__ == "__main__":
    unittest.main()
