import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.deliveries import deliver_without_key
from fuchsiahatch_delivery.home_calls import Answered, HopFailed, Refused, VerdictReply
from fuchsiahatch_delivery.verdicts import Verdict

FULL = Refused(Verdict.NOT_RUN, Code.OVERLOADED, "full", 700)
FAILED = Refused(Verdict.UNKNOWN, Code.UPSTREAM_FAILED, "no answer")
CUT = HopFailed("cut", first_byte_sent=True)
LOST = HopFailed("lost")


def deliver(replies, idempotent):
    """Drive a delivery over three upstreams; return its calls, outcome and charges."""
    hosts = iter(("engine-1", "engine-2", "engine-3"))
    spent = []
    steps = deliver_without_key(
        lambda tried: Home(next(hosts), "life"), spent.append, idempotent
    )
    calls = [next(steps)]
    try:
        for reply in replies:
            calls.append(steps.send(reply))
    except StopIteration as end:
        return (
            [f"{m.operation.value} {m.home.host[-1]}" for m in calls],
            end.value,
            spent,
        )
    raise AssertionError(f"the delivery goes on: {calls[-1]}")


class TestWithoutKey(unittest.TestCase):
    def test_not_run_goes_on_whatever_it_is(self):
        for idempotent in (True, False):
            calls, outcome, spent = deliver([FULL, FULL, Answered()], idempotent)
            self.assertEqual(calls, ["run 1", "run 2", "run 3"])
            self.assertIs(outcome.verdict, Verdict.DONE)
            self.assertEqual([one and one.code for one in spent], [None, 202, 202])

    def test_every_upstream_full_is_answered_with_when_to_come_back(self):
        _, outcome, _ = deliver([FULL, FULL, FULL], True)
        self.assertEqual(
            (outcome.verdict, outcome.retry_after_ms), (Verdict.NOT_RUN, 700)
        )

    def test_repeatable_request_goes_on_after_a_broken_hop(self):
        calls, outcome, _ = deliver([LOST, FAILED, Answered()], True)
        self.assertEqual(calls, ["run 1", "run 2", "run 3"])
        self.assertIs(outcome.verdict, Verdict.DONE)

    def test_nothing_goes_on_after_a_first_byte(self):
        """Guards against an answer joined from the parts of two runs."""
        calls, outcome, _ = deliver([CUT], True)
        self.assertEqual((calls, outcome.code), (["run 1"], Code.TRUNCATED))

    def test_hold_is_not_sent_again_after_a_failure(self):
        """Guards against a second run of a request without a key.

        Its upstream took it and gave no answer; a second upstream would run it too.
        """
        calls, outcome, _ = deliver([FAILED], False)
        self.assertEqual((calls, outcome.verdict), (["run 1"], Verdict.UNKNOWN))

    def test_hold_goes_on_after_a_broken_hop_only_when_resolved_as_not_run(self):
        calls, outcome, _ = deliver(
            [LOST, VerdictReply(Verdict.NOT_RUN), Answered()], False
        )
        self.assertEqual(calls, ["run 1", "resolve 1", "run 2"])
        calls, outcome, _ = deliver(
            [LOST, VerdictReply(Verdict.RUNNING), Answered()], False
        )
        self.assertEqual(calls, ["run 1", "resolve 1", "find 1"])
        self.assertIs(outcome.verdict, Verdict.DONE)
        calls, outcome, _ = deliver([LOST, LOST], False)
        self.assertEqual(calls, ["run 1", "resolve 1"])
        self.assertIs(outcome.verdict, Verdict.UNKNOWN)
