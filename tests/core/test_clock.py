import time
import unittest
from unittest import mock

from fuchsiahatch_core.clock import Clock, ManualClock


class TestClock(unittest.TestCase):
    def test_time_asleep_counts(self):
        """A suspended host wakes and serves under records replaced meanwhile.

        The monotonic clock stood still, so the entry's freshness seemed to be as
        young as when the host fell asleep.
        """
        asked = []

        def read(clock_id):
            asked.append(clock_id)
            return 7_000_000

        with mock.patch.object(time, "clock_gettime_ns", read):
            self.assertEqual(Clock().now_ms(), 7)
        self.assertEqual(asked, [time.CLOCK_BOOTTIME])


class TestManualClock(unittest.TestCase):
    def test_moves_only_when_told(self):
        clock = ManualClock(5)
        self.assertEqual(clock.now_ms(), 5)
        self.assertEqual(clock.advance(10), 15)
        self.assertEqual(clock.now_ms(), 15)

    def test_does_not_go_back(self):
        with self.assertRaises(ValueError):
            ManualClock().advance(-1)
