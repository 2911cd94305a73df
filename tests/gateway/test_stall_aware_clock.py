import unittest

from fuchsiahatch_gateway.stall_aware_clock import MAX_STEP_MS, StallAwareClock


class TestHearing(unittest.TestCase):
    def test_advances_with_frequent_updates(self):
        clock = StallAwareClock(1_000)
        for now_ms in range(1_020, 2_020, 20):
            clock.update(now_ms)
        self.assertEqual(clock.active_ms, 1_000)

    def test_stops_while_the_process_is_stalled(self):
        clock = StallAwareClock(1_000)
        clock.update(5_000)
        self.assertEqual(clock.active_ms, MAX_STEP_MS)
        clock.update(4_990)
        self.assertEqual(clock.active_ms, MAX_STEP_MS)


if __name__ == "__main__":
    unittest.main()
