import unittest

from fuchsiahatch_gateway.losses import SUCCESS_SAMPLE, cause_of, describe_losses


def ended(at_s=10.0, end="answered", **fields):
    return {
        "message_type": "request_ended",
        "timestamp": at_s,
        "end": end,
        "tried": ["i-1"],
        "waited_ms": 0,
        "longest_gap_ms": 0,
        "on_time": end == "answered",
        **fields,
    }


class TestLosses(unittest.TestCase):
    def test_each_end_has_one_cause(self):
        for line, cause in (
            (ended(), "in time"),
            (ended(end="caller left"), "caller left"),
            (ended(end="503 no place came free"), "refused: no place"),
            (ended(end="503 not run: status 503"), "refused: not run"),
            (ended(end="504 the time is over"), "failed: time over"),
            (ended(end="502 no whole answer"), "failed: answer broken"),
            (ended(end="404 no route matches"), "denied"),
            (ended(on_time=False, tried=["a", "b"]), "late: sent again"),
            (ended(on_time=False, waited_ms=300), "late: waited for a place"),
            (ended(on_time=False, longest_gap_ms=190), "late: pause in its stream"),
            (ended(on_time=False), "late: slow first byte"),
        ):
            self.assertEqual(cause_of(line), cause)

    def test_intervals_add_up_to_the_total(self):
        # Operators have only the logs to find out when requests failed and why.
        lines = [
            ended(10.0),
            ended(10.5, "503 no place came free"),
            ended(12.1, on_time=False, longest_gap_ms=190),
            {"message_type": "started", "timestamp": 9.0},
        ]
        first, second, whole = describe_losses(lines, 2_000)
        self.assertIn(f"in time {SUCCESS_SAMPLE}", first)
        self.assertIn("refused: no place 1", first)
        self.assertIn("2.0 s  late: pause in its stream 1", second)
        self.assertIn("late: pause in its stream 1", whole)

    def test_no_lines(self):
        self.assertEqual(list(describe_losses([], 2_000)), ["     all  none"])
