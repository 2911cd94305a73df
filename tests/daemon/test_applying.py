import json
import unittest

from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_daemon.applying import EXIT_STATUSES, read_change, show_line
from fuchsiahatch_placement.writing import Outcome
from tests.golden import check_golden

GYM = {"schema": 1, "team": "gym-bangsar"}
SKIPPERS = {"schema": 1, "team": "skippers"}
UNKNOWN = {"schema": 7, "team": "gym-klang", "what": [1]}
CURRENT = {"revision": 5, "records": [GYM, SKIPPERS, UNKNOWN]}


class TestReadChange(unittest.TestCase):
    def test_one_record_takes_its_team_s_place(self):
        found = read_change(json.dumps(GYM), CURRENT)
        self.assertEqual(found, {"puts": [GYM], "expected_revision": 5})

    def test_a_whole_document_removes_what_it_leaves_out(self):
        """An operator edits a copy that `get` printed some time ago.

        Applied on the present revision it would undo what others did meanwhile,
        so the copy's own revision goes into the compare-and-swap.
        """
        moved = GYM | {"zones": ["kl-b"]}
        copy = {"revision": 4, "records": [moved, UNKNOWN]}
        found = read_change(json.dumps(copy), CURRENT)
        self.assertEqual(
            found, {"puts": [moved], "removes": ["skippers"], "expected_revision": 4}
        )

    def test_anything_else_is_refused(self):
        for text in ("", "[1]", '"gym"', '{"zones": []}'):
            with self.subTest(text=text), self.assertRaises(SettingsError):
                read_change(text, CURRENT)


class TestExitStatuses(unittest.TestCase):
    def test_each_outcome_has_its_own(self):
        statuses = [EXIT_STATUSES[outcome.value] for outcome in Outcome]
        self.assertEqual(len(set(statuses)), len(Outcome))


class TestShowLine(unittest.TestCase):
    def test_pending_names_who_is_missing(self):
        missing = {"kl": {"kl-a": ["entry-a"], "kl-b": ["entry-b", "entry-c"]}}
        lines = [
            {"kind": "difference", "lines": ["- gym-bangsar in kl-a: x@1 with 30%"]},
            {
                "kind": "progress",
                "revision": 6,
                "acknowledged": {"mw": {"ger": ["entry-g"]}},
                "missing": missing,
            },
            {
                "kind": "finished",
                "outcome": "pending",
                "code": 403,
                "name": "PENDING",
                "revision": 6,
                "missing": missing,
                "detail": "committed; not yet in force",
            },
        ]
        shown = [text for line in lines for text in show_line(line)]
        check_golden(__file__, "apply_pending", shown)
