"""What callers get of a rank group at loads below, at and above what fits."""

import unittest

from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.rank_group_model import Deployment

RANKS = 16
SECONDS = 10
#: Streams per second that a rank serves with 0.85 of the room in use.
FITTING_PER_S = 4.0
#: Streams of one rank group that may still be late: one pass that is too long.
ONE_PASS = 5 * RANKS


def play(load, entries, limited, seed=1):
    """Return a deployment after streams have arrived at a multiple of what fits."""

    async def work(loop):
        deployment = Deployment(loop, entries, RANKS, limited, seed)
        await deployment.play(load * FITTING_PER_S * RANKS, SECONDS)
        return deployment

    return run_virtually(work)


class TestDemandThatFits(unittest.TestCase):
    def test_nothing_is_refused_or_held_back(self):
        for entries, seed in ((31, 1), (31, 2), (1, 2)):
            played = play(0.7, entries, True, seed)
            self.assertGreater(played.served(), 400)
            self.assertEqual(played.refused.total(), 0)
            self.assertEqual(played.waited.total(), 0)
            self.assertEqual(played.late(), play(0.7, entries, False, seed).late())

    def test_at_the_limit_hardly_any_urgent_stream_is_held_back(self):
        for entries in (31, 17, 1):
            played = play(1.0, entries, True)
            self.assertEqual(played.refused[0], 0)
            self.assertLess(played.waited[0], 0.02 * played.served(0))
            self.assertLess(played.late(0), 0.15 * played.served(0))

    def test_at_the_limit_the_reserve_costs_few_streams_in_time(self):
        for seed in (1, 2, 3):
            played, without = play(1.0, 31, True, seed), play(1.0, 31, False, seed)
            self.assertGreater(played.in_time(), 0.95 * without.in_time())


class TestExcessDemand(unittest.TestCase):
    """A burst: without the limit all streams share passes that are too long.

    Entries learn of free slots by the same reports. 31 of them fill each slot many
    times over; streams wait at the engines, whatever their priority, and most are late.
    """

    def test_31_entries_serve_urgent_streams_in_time(self):
        for seed in (1, 2, 3):
            played, without = play(1.4, 31, True, seed), play(1.4, 31, False, seed)
            self.assertEqual(played.refused[0], 0)
            self.assertLess(played.waited[0], 0.1 * played.served(0))
            self.assertLess(played.late(0), 0.2 * played.served(0))
            self.assertGreater(without.late(0), 0.5 * without.served(0))

    def test_31_entries_serve_more_streams_in_time_and_fewer_late(self):
        for seed in (1, 2, 3):
            played, without = play(1.4, 31, True, seed), play(1.4, 31, False, seed)
            self.assertLess(played.late(), 0.5 * without.late())
            self.assertGreater(played.in_time(), 1.4 * without.in_time())

    def test_a_single_entry_holds_back_the_least_urgent(self):
        for seed in (1, 2, 3):
            played, without = play(1.4, 1, True, seed), play(1.4, 1, False, seed)
            self.assertEqual(played.refused[0], 0)
            self.assertLess(played.waited[0], 0.1 * without.waited[0])
            self.assertLessEqual(played.late(), without.late())
            self.assertLessEqual(played.late(0), ONE_PASS // 2)

    def test_entries_together_keep_the_room(self):
        # Each entry fills the room that it sees, while 30 others do the same: without
        # turns there are 94 streams on 80 slots.
        for seed in (1, 2, 3):
            played = play(1.4, 31, True, seed)
            self.assertLessEqual(played.most, 1.05 * 5 * RANKS)


if __name__ == "__main__":
    unittest.main()
