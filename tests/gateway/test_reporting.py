import types
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_experts.rank_orders import RankReport
from fuchsiahatch_gateway.datagrams import RankState, decode
from fuchsiahatch_gateway.reporting import (
    CHOICES_WINDOW_MS,
    INITIAL_FULL_STATES,
    LOAD_INTERVAL_MS_PER_ENTRY,
    ChoicesAction,
    Reporter,
)

ENTRIES = [("10.0.0.1", port) for port in range(30)]


class TestReporter(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(10_000)
        self.reported = []
        rank = types.SimpleNamespace(
            address="10.0.0.1:80", pass_ms=0.0, last_report=None
        )
        port = types.SimpleNamespace(
            send_encoded=lambda data, peer: self.reported.append(decode(data).running)
        )
        self.rank = rank
        self.reporter = Reporter(rank, port, self.clock, 500_000.0)

    def report(self, running, is_open=True):
        """Report a load 50 ms after the last one; return what the entries received."""
        self.clock.advance(50)
        self.reported.clear()
        self.rank.last_report = types.SimpleNamespace(
            queued=0, running=running, pace=1.0, open=is_open, group="", born_ms=0
        )
        self.reporter.send_load(ENTRIES)
        return set(self.reported)

    def test_a_load_is_reported_when_due(self):
        self.assertEqual(self.report(6), {6})
        self.assertEqual(self.report(2), {2})
        self.assertEqual(self.report(3), set())
        self.clock.advance(LOAD_INTERVAL_MS_PER_ENTRY * len(ENTRIES))
        self.assertEqual(self.report(3), {3})

    def test_an_engine_that_gets_full_or_free_reports_at_once(self):
        self.report(6)
        self.assertEqual(self.report(4), {4})
        self.assertEqual(self.report(5), {5})
        self.assertEqual(self.report(5), set())
        self.assertEqual(self.report(4), {4})
        self.assertEqual(self.report(3), set())

    def test_an_engine_whose_group_opens_or_closes_reports_at_once(self):
        # Otherwise open groups get no requests for 0.3 s after a loss of all power.
        self.report(6)
        self.report(0, is_open=False)
        self.report(0, is_open=False)
        self.assertEqual(self.report(0), {0})
        self.assertEqual(self.report(0), set())

    def test_choices_of_a_large_group_are_sent_often_enough(self):
        # For 1.2 s after each shift of demand streams of briefs pause for 160 ms and
        # more between two events: ranks of a group of 32 send their choices each
        # 470 ms, so the first map change is planned for a mix of old and new demand.
        self.rank.choices_bytes = 1_100
        self.rank.last_report = types.SimpleNamespace(ranks=32)
        sent = 0
        for _ in range(40):
            self.clock.advance(50)
            sent += self.reporter.choices_action() is ChoicesAction.TELL
        self.assertGreaterEqual(sent, 8)

    def test_choices_that_are_sent_rarely_are_recent(self):
        # Chat streams of a group of 96 ranks stall for two seconds after each shift of
        # demand: a rank sends its choices each 1.8 s, and most of those since its last
        # report were made before the shift.
        self.rank.choices_bytes = 2_600
        self.rank.last_report = types.SimpleNamespace(ranks=96)
        actions = []
        for _ in range(60):
            self.clock.advance(100)
            actions.append((self.clock.now_ms(), self.reporter.choices_action()))
        begun = [now_ms for now_ms, action in actions if action is ChoicesAction.BEGIN]
        sent = [now_ms for now_ms, action in actions if action is ChoicesAction.TELL]
        self.assertGreaterEqual(len(sent), 3)
        for began_ms, sent_ms in zip(begun, sent[1:], strict=False):
            self.assertLessEqual(0, sent_ms - began_ms)
            self.assertLessEqual(sent_ms - began_ms, CHOICES_WINDOW_MS + 100)

    def test_experts_are_sent_after_a_change_and_each_second(self):
        # The leader of 96 ranks receives 960 states a second. 16 rows in each that have
        # not changed for seconds would take a third of its link of 3 Mbit/s.
        trimmed = [self.reporter.trim(self.state(4), 8) for _ in range(20)]
        with_experts = [state.report.experts is not None for state in trimmed]
        self.assertEqual(
            with_experts[:INITIAL_FULL_STATES], [True] * INITIAL_FULL_STATES
        )
        self.assertEqual(sum(with_experts), INITIAL_FULL_STATES + 2)
        for changed in ((self.state(5), 8), (self.state(5), 10)):
            full = self.reporter.trim(*changed)
            self.assertEqual(full.report.experts, ((1, 2), (3,)))

    def state(self, map_version):
        report = RankReport(
            3, 1, 8, True, 100, map_version, 0, None, None, ((1, 2), (3,))
        )
        return RankState("g", "10.0.0.1:80", 7, report, 3, 1.0, b"")


if __name__ == "__main__":
    unittest.main()
