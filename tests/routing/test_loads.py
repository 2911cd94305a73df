import collections
import random
import unittest

from fuchsiahatch_routing.loads import LoadTable

HOSTS = [f"engine-{number}" for number in range(8)]


def send(tables, count, rng):
    """Send requests from entries in turn, each to its least loaded host."""
    sent = collections.Counter()
    for number in range(count):
        table = tables[number % len(tables)]
        host = min(HOSTS, key=lambda host: (table.load_of(host), rng.random()))
        table.begin(host)
        sent[host] += 1
    return sent


class TestLoadTable(unittest.TestCase):
    def test_entries_do_not_herd_between_reports(self):
        """Guards against herding: all entries send to one upstream at a time.

        All entries receive the same report that one upstream is idle, and send to
        it until the next report; more entries make it worse.
        """

        def spread(own_weight):
            tables = [LoadTable(own_weight) for _ in range(6)]
            for table in tables:
                table.begin(HOSTS[7])
                for host in HOSTS:
                    table.record_report(host, 0 if host == HOSTS[0] else 6)
            return send(tables, 48, random.Random(2))

        self.assertGreaterEqual(spread(0.0)[HOSTS[0]], 36)
        self.assertLessEqual(spread(0.5)[HOSTS[0]], 24)

    def test_report_is_joined_with_own_work_since(self):
        table = LoadTable(own_weight=0.0)
        table.begin("engine-0")
        table.record_report("engine-0", 4)
        table.begin("engine-0")
        self.assertEqual(table.load_of("engine-0"), 5)
        table.end("engine-0")
        table.end("engine-0")
        self.assertEqual(table.load_of("engine-0"), 3)

    def test_forgets_replaced_hosts(self):
        table = LoadTable()
        for host in HOSTS:
            table.record_report(host, 5)
        table.retain({HOSTS[0]})
        self.assertEqual(len(table), 1)
        self.assertEqual(table.load_of(HOSTS[1]), 0)
