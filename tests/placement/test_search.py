"""Seeded searches for a stale admission; `bench_placement` runs larger ones."""

import unittest

from fuchsiahatch_bench.placement_guards import WITHOUT_GUARD
from fuchsiahatch_bench.placement_search import Scope, search
from fuchsiahatch_placement.rosters import Voter
from tests.placement.samples import one_region

THREE = Scope(tuple(one_region(3)))
FIVE = Scope(tuple(one_region(5)), phases=5)
OBSERVERS = tuple(Voter("klang-valley", "kl-a", f"new-{name}") for name in "xy")
JOINING_ONE = Scope(tuple(one_region(1)), OBSERVERS, 9, roster_changes=True)
JOINING_TWO = Scope(tuple(one_region(2)), OBSERVERS, 9, roster_changes=True)


class TestWithoutGuard(unittest.TestCase):
    def assert_found(self, guard, scope, seeds):
        make_entry, patched = WITHOUT_GUARD[guard]
        with patched():
            tally = search(scope, seeds, make_entry)
        self.assertTrue(tally.found, f"none in {tally.schedules} schedules")
        self.assertIn("is fresh at", tally.found[0].fault)

    def test_restarted_voter_is_counted(self):
        """A forgotten acknowledgement makes a majority, and an entry misses it."""
        self.assert_found("restarted voter not counted", THREE, range(17, 80))

    def test_one_peer_is_enough(self):
        """Two entries that were cut off together confirm each other's old word."""
        self.assert_found("majority of the region", THREE, range(70, 120))

    def test_freshness_counts_from_the_answer(self):
        """An answer that hung in a cut link makes an entry fresh when it arrives."""
        self.assert_found("freshness from the question", THREE, range(10, 60))

    def test_accepted_is_told_at_once(self):
        """An entry that asked just before the last acknowledgement is still fresh."""
        self.assert_found("accepted after old freshness", THREE, range(100))

    def test_single_voter_confirms_itself(self):
        """A region's first voter vouches for itself while others accept without it."""
        self.assert_found("two voters to confirm", JOINING_ONE, range(95, 125))

    def test_roster_changes_follow_at_once(self):
        """Majorities of rosters two hosts apart don't meet."""
        self.assert_found("roster acknowledged first", JOINING_TWO, range(100, 115))


class TestWithGuards(unittest.TestCase):
    def assert_none(self, scope, seeds):
        tally = search(scope, seeds)
        self.assertEqual(tally.found, [])
        self.assertGreater(tally.ends["placement accepted"], 0)
        return tally

    def test_three_entries(self):
        self.assert_none(THREE, range(250))

    def test_five_entries(self):
        self.assert_none(FIVE, range(60))

    def test_two_regions_and_an_observer(self):
        far = [Voter("midwest", "dongara", f"far-{number}") for number in range(2)]
        observer = Voter("klang-valley", "kl-a", "entry-x")
        scope = Scope((*one_region(3), *far), (observer,), phases=5)
        self.assert_none(scope, range(50))

    def test_roster_changes(self):
        tally = self.assert_none(JOINING_TWO, range(80))
        self.assertGreater(tally.ends["roster accepted"], 0)
