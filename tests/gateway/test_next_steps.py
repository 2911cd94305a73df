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
    def test_nothing_that_may_have_run_runs_again_unless_it_may(self):
        # A trainer is booked twice: a hold went to a second upstream after a try that
        # may have run.
        for result, progress, step in all_cases():
            if step is Step.RETRY and progress.may_have_run:
                self.assertTrue(progress.repeatable, (result, progress))

    def test_a_refusal_is_true(self):
        # A caller is told "not run" of a hold that ran.
        for result, progress, step in all_cases():
            if step is Step.REFUSE:
                self.assertFalse(progress.may_have_run, (result, progress))

    def test_a_whole_success_always_goes_to_the_caller(self):
        for result, progress, step in all_cases():
            if result is Result.ANSWERED and not progress.upstream_failed:
                self.assertIs(step, Step.RELAY)

    def test_a_upstreams_failure_is_relayed_when_it_is_not_tried_again(self):
        for result, _, step in all_cases():
            if result is Result.ANSWERED:
                self.assertIn(step, (Step.RELAY, Step.RETRY))

    def test_the_route_bounds_the_upstreams(self):
        for result, progress, step in all_cases():
            if step is Step.RETRY and result is not Result.UNSENT:
                self.assertLess(progress.sends, progress.max_sends)

    def test_no_try_begins_without_time(self):
        for _, progress, step in all_cases():
            if step is Step.RETRY:
                self.assertTrue(progress.time_left)

    def test_whoever_crashed_two_upstreams_or_a_group_is_sent_on_by_nobody(self):
        for result, progress, step in all_cases():
            if step is not Step.RETRY or result is Result.UNSENT:
                continue
            twice = dataclasses.replace(progress, crashes=CRASH_RETRY_LIMIT)
            group = dataclasses.replace(progress, group_crashed=True)
            self.assertIsNot(decide(result, twice), Step.RETRY)
            self.assertIsNot(decide(result, group), Step.RETRY)

    def test_a_crash_of_one_plain_upstream_is_made_up_for(self):
        progress = Progress(True, 1, 2, 0, True, False, True, crashes=1)
        self.assertIs(decide(Result.BROKEN, progress), Step.RETRY)

    def test_tries_without_a_connection_end(self):
        for result, progress, step in all_cases():
            if result is Result.UNSENT and progress.unsent >= MAX_UNSENT:
                self.assertIsNot(step, Step.RETRY)
