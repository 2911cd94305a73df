import dataclasses
import itertools
import unittest

from fuchsiahatch_gateway.next_steps import (
    CRASH_RETRY_LIMIT,
    MAX_UNSENT,
    Progress,
    Result,
    Step,
    decide,
)


def all_cases():
    for (
        result,
        repeatable,
        sends,
        limit,
        unsent,
        ran,
        failed,
        left,
    ) in itertools.product(
        Result,
        (False, True),
        range(4),
        (1, 2, 3),
        range(MAX_UNSENT + 1),
        (False, True),
        (False, True),
        (False, True),
    ):
        if result in (Result.ANSWERED, Result.BROKEN) and not ran:
            continue
        progress = Progress(repeatable, sends, limit, unsent, ran, failed, left)
        yield result, progress, decide(result, progress)


class TestDecide(unittest.TestCase):
    def test_request_that_may_have_run_is_retried_only_if_repeatable(self):
        # Otherwise a hold may run at two upstreams, and a trainer is booked twice.
        for result, progress, step in all_cases():
            if step is Step.RETRY and progress.may_have_run:
                self.assertTrue(progress.repeatable, (result, progress))

    def test_refusal_means_that_nothing_ran(self):
        # Otherwise a caller gets "not run" for a hold that ran.
        for result, progress, step in all_cases():
            if step is Step.REFUSE:
                self.assertFalse(progress.may_have_run, (result, progress))

    def test_complete_success_is_always_relayed(self):
        for result, progress, step in all_cases():
            if result is Result.ANSWERED and not progress.upstream_failed:
                self.assertIs(step, Step.RELAY)

    def test_error_of_an_upstream_is_relayed_or_retried(self):
        for result, _, step in all_cases():
            if result is Result.ANSWERED:
                self.assertIn(step, (Step.RELAY, Step.RETRY))

    def test_attempts_are_limited_by_the_route(self):
        for result, progress, step in all_cases():
            if step is Step.RETRY and result is not Result.UNSENT:
                self.assertLess(progress.sends, progress.max_sends)

    def test_no_retry_without_time_left(self):
        for _, progress, step in all_cases():
            if step is Step.RETRY:
                self.assertTrue(progress.time_left)

    def test_request_that_crashed_two_upstreams_or_a_group_is_not_retried(self):
        for result, progress, step in all_cases():
            if step is not Step.RETRY or result is Result.UNSENT:
                continue
            twice = dataclasses.replace(progress, crashes=CRASH_RETRY_LIMIT)
            group = dataclasses.replace(progress, group_crashed=True)
            self.assertIsNot(decide(result, twice), Step.RETRY)
            self.assertIsNot(decide(result, group), Step.RETRY)

    def test_request_is_retried_after_one_crash_of_a_plain_upstream(self):
        progress = Progress(True, 1, 2, 0, True, False, True, crashes=1)
        self.assertIs(decide(Result.BROKEN, progress), Step.RETRY)

    def test_attempts_without_a_connection_are_limited(self):
        for result, progress, step in all_cases():
            if result is Result.UNSENT and progress.unsent >= MAX_UNSENT:
                self.assertIsNot(step, Step.RETRY)
