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
        self.told = []
        rank = types.SimpleNamespace(
            address="10.0.0.1:80", pass_ms=0.0, last_report=None
        )
        port = types.SimpleNamespace(
            send_encoded=lambda data, peer: self.told.append(decode(data).running)
        )
        self.rank = rank
        self.reporter = Reporter(rank, port, self.clock, 500_000.0)

    def tell(self, running, is_open=True):
        """Report a load 50 ms after the last one; return what all entries heard."""
        self.clock.advance(50)
        self.told.clear()
        self.rank.last_report = types.SimpleNamespace(
            queued=0, running=running, pace=1.0, open=is_open, group="", born_ms=0
        )
        self.reporter.send_load(ENTRIES)
        return set(self.told)

    def test_a_load_is_told_in_its_turn(self):
        self.assertEqual(self.tell(6), {6})
        self.assertEqual(self.tell(2), {2})
        self.assertEqual(self.tell(3), set())
        self.clock.advance(LOAD_INTERVAL_MS_PER_ENTRY * len(ENTRIES))
        self.assertEqual(self.tell(3), {3})

    def test_one_that_fills_up_or_has_room_again_is_told_at_once(self):
        self.tell(6)
        self.assertEqual(self.tell(4), {4})
        self.assertEqual(self.tell(5), {5})
        self.assertEqual(self.tell(5), set())
        self.assertEqual(self.tell(4), {4})
        self.assertEqual(self.tell(3), set())

    def test_one_whose_group_opens_or_closes_is_told_at_once(self):
        # For 0.3 s behind a loss of all power nobody is served by groups that are open.
        self.tell(6)
        self.tell(0, is_open=False)
        self.tell(0, is_open=False)
        self.assertEqual(self.tell(0), {0})
        self.assertEqual(self.tell(0), set())

    def test_choices_of_a_large_group_are_told_often_enough(self):
        # For 1.2 s behind each shift of demand all briefs stand still for 160 ms and
        # more between two events: ranks of a group of 32 told their leader each 470 ms
        # what had been chosen, and its first change of map was made for a mixture of
        # what was and what is.
        self.rank.choices_bytes = 1_100
        self.rank.last_report = types.SimpleNamespace(ranks=32)
        told = 0
        for _ in range(40):
            self.clock.advance(50)
            told += self.reporter.choices_action() is ChoicesAction.TELL
        self.assertGreaterEqual(told, 8)

    def test_choices_that_are_told_seldom_are_of_late(self):
        # Chats of a group of 96 ranks stumble for two seconds behind each shift of
        # demand: a rank tells its leader each 1.8 s what has been chosen since it last
        # did, most of it before the shift.
        self.rank.choices_bytes = 2_600
        self.rank.last_report = types.SimpleNamespace(ranks=96)
        turns = []
        for _ in range(60):
            self.clock.advance(100)
            turns.append((self.clock.now_ms(), self.reporter.choices_action()))
        begun = [at for at, turn in turns if turn is ChoicesAction.BEGIN]
        told = [at for at, turn in turns if turn is ChoicesAction.TELL]
        self.assertGreaterEqual(len(told), 3)
        for began_ms, told_ms in zip(begun, told[1:], strict=False):
            self.assertLessEqual(0, told_ms - began_ms)
            self.assertLessEqual(told_ms - began_ms, CHOICES_WINDOW_MS + 100)

    def test_experts_are_told_behind_a_change_and_each_second(self):
        # The leader of 96 ranks hears 960 states a second, each with 16 rows that have
        # not changed for seconds: a third of its link of 3 Mbit/s.
        trimmed = [self.reporter.trim(self.state(4), 8) for _ in range(20)]
        with_experts = [state.report.experts is not None for state in trimmed]
        self.assertEqual(
            with_experts[:INITIAL_FULL_STATES], [True] * INITIAL_FULL_STATES
        )
        self.assertEqual(sum(with_experts), INITIAL_FULL_STATES + 2)
        for changed in ((self.state(5), 8), (self.state(5), 10)):
            told = self.reporter.trim(*changed)
            self.assertEqual(told.report.experts, ((1, 2), (3,)))

    def state(self, map_version):
        report = RankReport(
            3, 1, 8, True, 100, map_version, 0, None, None, ((1, 2), (3,))
        )
        return RankState("g", "10.0.0.1:80", 7, report, 3, 1.0, b"")


if __name__ == "__main__":
    unittest.main()
