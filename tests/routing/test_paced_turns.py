import random
import statistics
import unittest

from fuchsiahatch_routing.paced_turns import PacedTurns

INTERVAL_MS = 100
ENTRIES = 31


class TestPacedTurns(unittest.TestCase):
    def sent(self, free, seed, for_ms=INTERVAL_MS, step_ms=3):
        """Return how many requests 31 entries send while they see the same room."""
        entries = [PacedTurns(random.Random(seed + n)) for n in range(ENTRIES)]
        return sum(
            turns.take(free / ENTRIES, INTERVAL_MS, now_ms)
            for now_ms in range(0, for_ms, step_ms)
            for turns in entries
        )

    def test_many_entries_send_about_what_fits_within_one_interval(self):
        # Each of 31 entries would send a request for one slot that came free: 31 for 1,
        # and 15 of the 145 that a group has room for are too many.
        for free in (1, 5, 20):
            sent = [self.sent(free, seed * 1_000) for seed in range(40)]
            self.assertLess(statistics.mean(sent), 2.5 * free)
            self.assertGreater(statistics.mean(sent), 0.8 * free)

    def test_the_first_turns_do_not_coincide(self):
        sent = [self.sent(1, seed * 1_000, for_ms=1) for seed in range(40)]
        self.assertLessEqual(max(sent), 6)

    def test_a_large_part_is_given_out_within_an_interval_only(self):
        turns = PacedTurns(random.Random(1))
        sent = sum(turns.take(5.0, INTERVAL_MS, 0) for _ in range(50))
        self.assertLessEqual(sent, 5)

    def test_room_that_stays_free_is_used(self):
        # An entry whose part is a thirtieth of a request would never send any.
        turns = PacedTurns(random.Random(1))
        sent = sum(turns.take(1 / 30, INTERVAL_MS, now) for now in range(0, 9_000, 10))
        self.assertGreaterEqual(sent, 2)


if __name__ == "__main__":
    unittest.main()
