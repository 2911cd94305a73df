import unittest

from fuchsiahatch_core.clock import ManualClock


class TestManualClock(unittest.TestCase):
    def test_moves_only_when_told(self):
        clock = ManualClock(5)
        self.assertEqual(clock.now_ms(), 5)
        self.assertEqual(clock.advance(10), 15)
        self.assertEqual(clock.now_ms(), 15)

    def test_does_not_go_back(self):
        with self.assertRaises(ValueError):
            ManualClock().advance(-1)
