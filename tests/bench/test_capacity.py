import collections
import unittest

from fuchsiahatch_bench import capacity
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


class TestFill(unittest.TestCase):
    def test_tables_are_replaced_and_words_stay(self):
        page = "Before.\n<!-- table: agent -->\nold\n<!-- end -->\nAfter.\n"
        filled = capacity.fill(page, SLOPES)
        self.assertNotIn("old", filled)
        self.assertIn("| reports on the wire, all entries watch it | 330 B/s ", filled)
        self.assertTrue(filled.startswith("Before.\n"))
        self.assertTrue(filled.endswith("After.\n"))
        self.assertEqual(capacity.fill(filled, SLOPES), filled)

    def test_unknown_table(self):
        with self.assertRaises(KeyError):
            capacity.fill("<!-- table: nothing -->\n<!-- end -->", SLOPES)
