import collections
import json
import pathlib
import tempfile
import unittest

from fuchsiahatch_bench import capacity, capacity_leader
from fuchsiahatch_bench.capacity_path import BUSY_RATIO, busy_cores, entry_processes
from fuchsiahatch_bench.capacity_plan import Plan
from fuchsiahatch_bench.expected_sizes import SIZE
from fuchsiahatch_bench.projection import Line, Slopes

ONES = collections.defaultdict(lambda: Line(slope=1.0, intercept=0.0))
SLOPES = Slopes(ONES, collections.defaultdict(lambda: 1.0), {})


class TestExpectedSize(unittest.TestCase):
    def test_open_answers_follow_rate_and_gap(self):
        self.assertAlmostEqual(SIZE.open_requests, 85_100)

    def test_every_host_is_listed(self):
        self.assertEqual(SIZE.hosts, 5_930)


class TestPlan(unittest.TestCase):
    def test_each_agent_has_its_watchers(self):
        plan = Plan(watchers=3)
        self.assertGreaterEqual(plan.watched * SIZE.entries, 3 * SIZE.upstreams)
        self.assertLess((plan.watched - 1) * SIZE.entries, 3 * SIZE.upstreams)


class TestEntryProcesses(unittest.TestCase):
    def test_a_tenth_of_a_millisecond_a_token(self):
        self.assertAlmostEqual(busy_cores(0.1, SIZE.tokens_per_s), 230.0)

    def test_head_room_is_kept(self):
        processes = entry_processes(token_ms=0.1, request_ms=2.0)
        busy = busy_cores(0.1, SIZE.tokens_per_s) + busy_cores(2.0, SIZE.requests_per_s)
        self.assertLessEqual(busy / processes, BUSY_RATIO)
        self.assertGreater(busy / (processes - 1), BUSY_RATIO)


class TestLeader(unittest.TestCase):
    def test_bytes_grow_with_peers_and_rates(self):
        rows = capacity_leader.call_rows(
            SLOPES, "leader", peers=63, question_ms=200, window_steps=100
        )
        asked, windows, together, _ = (row.value for row in rows)
        self.assertAlmostEqual(asked, 63 * 5)
        self.assertAlmostEqual(windows, 63 * 2 * 1_000 / (100 * 5))
        self.assertAlmostEqual(together, asked + windows)


class TestWithConfiguration(unittest.TestCase):
    def test_largest_fleet_and_its_worst_change_count(self):
        content = {
            "slopes": {"outage_payload_bytes": {"slope": 2.0, "intercept": 1.0}},
            "sizes": [
                self.size(3, 9_000.0),
                self.size(6, 3_000.0, 4_000.0) | {"outage": None},
            ],
        }
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / "config.json"
            path.write_text(json.dumps(content), "utf-8")
            slopes = capacity.with_configuration(SLOPES, path)
        self.assertEqual(slopes.values["config_accepted_worst_ms"], 4_000.0)
        self.assertEqual(slopes.values["config_outage_calls_per_s"], 4.0)
        self.assertEqual(slopes.lines["config_outage_payload_bytes"].at(10), 21.0)

    def size(self, entries, *told_ms):
        return {
            "entries": entries,
            "spreads": [{"told_ms": one} for one in told_ms],
            "outage": {"rates": {"service_calls": 4.0}},
        }


class TestFill(unittest.TestCase):
    def test_tables_are_replaced_and_words_stay(self):
        page = "Before.\n<!-- table: agent -->\nold\n<!-- end -->\nAfter.\n"
        filled = capacity.fill(page, SLOPES)
        self.assertNotIn("old", filled)
        self.assertIn("| reports to 330 entries, each 1 s | 330 B/s ", filled)
        self.assertTrue(filled.startswith("Before.\n"))
        self.assertTrue(filled.endswith("After.\n"))
        self.assertEqual(capacity.fill(filled, SLOPES), filled)

    def test_unknown_table(self):
        with self.assertRaises(KeyError):
            capacity.fill("<!-- table: nothing -->\n<!-- end -->", SLOPES)
