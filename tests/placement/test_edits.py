import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.edits import Edit, propose
from tests.placement.samples import change, document_of, record_v1, record_v2

BASE = document_of(1, record_v1("gym-bangsar", share_percent=60))


class TestPropose(unittest.TestCase):
    def refused(self, edit, **options):
        with self.assertRaises(SettingsError) as seen:
            propose(BASE, 1, change(2), edit, **options)
        return seen.exception

    def test_shares_of_a_zone_end_at_100_percent(self):
        over = record_v2("gym-subang", kl_a_percent=40, kl_b_percent=41)
        fault = self.refused(Edit((over,)))
        self.assertIs(fault.result, Code.RECORD_INVALID)
        self.assertIn("kl-b", fault.path)
        fits = record_v2("gym-subang", kl_a_percent=40, kl_b_percent=40)
        self.assertEqual(propose(BASE, 1, change(2), Edit((fits,))).revision, 2)

    def test_one_record_a_team(self):
        fault = self.refused(Edit((record_v1("gym-x", ("cj-c",)),) * 2))
        self.assertIs(fault.result, Code.RECORD_INVALID)

    def test_put_and_remove_of_one_team_is_refused(self):
        self.refused(Edit((record_v1(),), ("gym-bangsar",)))

    def test_removing_an_unknown_team_is_refused(self):
        self.refused(Edit(removes=("gym-nowhere",)))

    def test_schema_that_a_live_entry_cannot_read_is_refused(self):
        """A team loses entries one by one while a new build rolls out.

        An operator writes schema 2 when half of the entries know schema 1 only.
        These close the team, and its members are refused there.
        """
        fault = self.refused(Edit((record_v2(),)), readable_schemas={1})
        self.assertIs(fault.result, Code.SCHEMA_UNKNOWN)

    def test_invalid_record_is_refused(self):
        fault = self.refused(Edit(({"schema": 2, "team": "x", "places": []},)))
        self.assertIs(fault.result, Code.RECORD_INVALID)

    def test_nothing_to_change_gives_the_base(self):
        same = record_v1("gym-bangsar", share_percent=60)
        self.assertIs(propose(BASE, 1, change(2), Edit((same,))), BASE)
