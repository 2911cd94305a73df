import json
import pathlib
import tempfile
import unittest

from fuchsiahatch_core.exceptions import SettingsError
from tests.deployment.layout import FOLDER, read_layout


class TestLayouts(unittest.TestCase):
    def test_each_layout_of_the_package_is_allowed(self):
        for path in FOLDER.glob("*.json"):
            with self.subTest(path.stem):
                self.assertEqual(len(read_layout(path.stem).zones), 3)

    def test_an_unknown_name_is_refused(self):
        with self.assertRaisesRegex(SettingsError, "six_entries"):
            read_layout("five_entries")

    def test_a_field_that_isnt_allowed_is_refused(self):
        for changes in ({"callers": 0}, {"colour": "red"}, {"zones": []}):
            with self.subTest(changes), self.assertRaises(SettingsError):
                self.read_changed(changes)

    def test_ranks_that_dont_fit_the_engines_are_refused(self):
        document = json.loads((FOLDER / "six_entries.json").read_text("utf-8"))
        changed = {**document["engines"], "ranks": 5}
        with self.assertRaisesRegex(SettingsError, "ranks"):
            self.read_changed({"engines": changed})

    def read_changed(self, changes):
        document = json.loads((FOLDER / "six_entries.json").read_text("utf-8"))
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "changed.json"
            path.write_text(json.dumps({**document, **changes}), "utf-8")
            return read_layout(str(path))
