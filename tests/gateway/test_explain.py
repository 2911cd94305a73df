import unittest

import orjson

from fuchsiahatch_gateway.explain import explain_request, read_lines


def line(kind, t_ms, node="front-1", **fields):
    fields = {"message_type": kind, "event": 1, "t_ms": t_ms, "node": node, **fields}
    return f"  3.1 {node} " + orjson.dumps(fields).decode()


class TestExplain(unittest.TestCase):
    def test_cut_stream_is_shown_with_its_cause(self):
        lines = [
            line("upstream_leaving", 900, upstream="i-1"),
            line("upstream_leaving", 900, node="front-2", upstream="i-9"),
            line("attempt_retried", 1_500, request="q-1", upstream="i-1"),
            line("request_ended", 2_000, request="q-1", end="502"),
            line("request_ended", 2_100, request="q-2", end="answered"),
            "not a log line",
            "{broken",
        ]
        found = explain_request("q-1", read_lines(lines))
        self.assertEqual(len(found), 3)
        self.assertIn("-1100 ms  front-1  an upstream began to leave", found[0])
        self.assertIn("-500 ms  front-1  attempt retried", found[1])
        self.assertIn("request ended", found[2])

    def test_held_request_shows_crashes_with_the_same_fingerprint(self):
        lines = [
            line("crash_counted", 900, node="front-2", fingerprints=[["f", "p"]]),
            line("crash_counted", 900, node="front-2", fingerprints=[["g"]]),
            line("request_ended", 2_000, request="q-1", fingerprint="f", end="503"),
        ]
        found = explain_request("q-1", read_lines(lines))
        self.assertEqual(len(found), 2)
        self.assertIn("front-2  crash counted", found[0])

    def test_held_request_shows_crashes_with_one_of_its_prompt_parts(self):
        lines = [
            line("crash_counted", 900, node="front-2", fingerprints=[["g", "p"]]),
            line("request_held", 901, node="front-3", fingerprints=["p"]),
            line("suspect_cleared", 902, node="front-3", fingerprints=["h"]),
            line("request_ended", 2_000, request="q-1", fingerprint="f", parts=["p"]),
        ]
        found = explain_request("q-1", read_lines(lines))
        self.assertEqual(len(found), 3)
        self.assertIn("front-3  request held", found[1])

    def test_lines_of_its_connection_hide_no_crash(self):
        lines = [
            line("crash_counted", 900, fingerprints=["f"]),
            line("request_ended", 2_000, request="q-1", fingerprint="f", end="502"),
            line("request_cut", 2_001, request="q-1", reason="reset"),
        ]
        found = explain_request("q-1", read_lines(lines))
        self.assertEqual(len(found), 3)
        self.assertIn("0 ms  front-1  request ended", found[1])
        self.assertIn("1 ms  front-1  request cut", found[2])

    def test_unknown_request_mentions_sampling(self):
        self.assertIn("sampled", explain_request("q-9", [])[0])
