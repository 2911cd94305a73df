import unittest

from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.documents import write_document
from fuchsiahatch_placement.rosters import (
    Voter,
    change_roster,
    decode_roster,
    missing_voters,
)
from tests.placement.samples import change, one_region, roster_of


class TestChangeRoster(unittest.TestCase):
    def test_one_host_a_revision_with_the_roster_before(self):
        voters = one_region(3)
        roster = decode_roster(write_document(roster_of(*voters)))
        self.assertEqual(roster.revision, 3)
        self.assertEqual(roster.voters, set(voters))
        self.assertEqual(roster.previous, set(voters[:2]))

    def test_removed_host_stands_among_the_previous_only(self):
        voters = one_region(3)
        base = roster_of(*voters)
        after = change_roster(base, 3, change(4), voters[0].host, None)
        roster = decode_roster(write_document(after))
        self.assertEqual(roster.voters, set(voters[1:]))
        self.assertEqual(roster.previous, set(voters))

    def test_host_already_as_asked_is_refused(self):
        voters = one_region(2)
        base = roster_of(*voters)
        with self.assertRaises(SettingsError):
            change_roster(base, 2, change(3), voters[0].host, voters[0])
        with self.assertRaises(SettingsError):
            change_roster(base, 2, change(3), "nobody", None)


class TestMissingVoters(unittest.TestCase):
    def test_each_region_needs_its_own_majority(self):
        far = [Voter("midwest", "dongara", f"far-{number}") for number in range(2)]
        voters = [*one_region(3), *far]
        heard = {"entry-a", "entry-b", "far-0"}
        self.assertEqual(missing_voters(voters, heard), (far[1],))
        self.assertEqual(missing_voters(voters, {*heard, "far-1"}), ())
