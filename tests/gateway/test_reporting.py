import types
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.datagrams import decode
from fuchsiahatch_gateway.reporting import LOAD_PAUSE_MS_PER_ENTRY, Reporter

ENTRIES = [types.SimpleNamespace(peer=("10.0.0.1", port)) for port in range(30)]


class TestReporter(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(10_000)
        self.told = []
        rank = types.SimpleNamespace(address="10.0.0.1:80", pass_ms=0.0, seen=None)
        port = types.SimpleNamespace(
            send_encoded=lambda data, peer: self.told.append(decode(data).running)
        )
        self.rank = rank
        self.reporter = Reporter(rank, port, self.clock, 500_000.0)

    def tell(self, running, is_open=True):
        """Report a load 50 ms after the last one; return what all entries heard."""
        self.clock.advance(50)
        self.told.clear()
        self.rank.seen = types.SimpleNamespace(
            queued=0, running=running, pace=1.0, open=is_open, group="", born_ms=0
        )
        self.reporter.send_load(ENTRIES)
        return set(self.told)

    def test_a_load_is_told_in_its_turn(self):
        self.assertEqual(self.tell(6), {6})
        self.assertEqual(self.tell(2), {2})
        self.assertEqual(self.tell(3), set())
        self.clock.advance(LOAD_PAUSE_MS_PER_ENTRY * len(ENTRIES))
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
        self.rank.seen = types.SimpleNamespace(ranks=32)
        told = 0
        for _ in range(40):
            self.clock.advance(50)
            told += self.reporter.owes_choices()
        self.assertGreaterEqual(told, 8)


if __name__ == "__main__":
    unittest.main()
