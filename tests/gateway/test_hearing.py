import unittest

from fuchsiahatch_gateway.hearing import MOST_STEP_MS, Hearing


class TestHearing(unittest.TestCase):
    def test_it_goes_on_with_a_loop_that_looks_often(self):
        hearing = Hearing(1_000)
        for now_ms in range(1_020, 2_020, 20):
            hearing.look(now_ms)
        self.assertEqual(hearing.heard_ms, 1_000)

    def test_it_stands_still_with_its_process(self):
        hearing = Hearing(1_000)
        hearing.look(5_000)
        self.assertEqual(hearing.heard_ms, MOST_STEP_MS)
        hearing.look(4_990)
        self.assertEqual(hearing.heard_ms, MOST_STEP_MS)


if __name__ == "__main__":
    unittest.main()
