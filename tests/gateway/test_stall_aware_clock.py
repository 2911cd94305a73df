import unittest

from fuchsiahatch_gateway.stall_aware_clock import MOST_STEP_MS, StallAwareClock


class TestHearing(unittest.TestCase):
    def test_it_goes_on_with_a_loop_that_looks_often(self):
        stall_aware_clock = StallAwareClock(1_000)
        for now_ms in range(1_020, 2_020, 20):
            stall_aware_clock.look(now_ms)
        self.assertEqual(stall_aware_clock.heard_ms, 1_000)

    def test_it_stands_still_with_its_process(self):
        stall_aware_clock = StallAwareClock(1_000)
        stall_aware_clock.look(5_000)
        self.assertEqual(stall_aware_clock.heard_ms, MOST_STEP_MS)
        stall_aware_clock.look(4_990)
        self.assertEqual(stall_aware_clock.heard_ms, MOST_STEP_MS)


if __name__ == "__main__":
    unittest.main()
