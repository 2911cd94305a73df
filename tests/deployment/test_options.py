import subprocess
import sys
import unittest

from fuchsiahatch_core.exceptions import SettingsError
from tests.deployment.options import choose, read_options
from tests.deployment.programs import ROOT


class TestOptions(unittest.TestCase):
    def test_an_option_that_isnt_allowed_is_refused(self):
        for changes in (
            {"seed": "one"},
            {"seed": -1},
            {"seed": True},
            {"minutes": 0},
            {"minutes": float("nan")},
            {"minutes": "long"},
            {"deployment": "five_entries"},
            {"deployment": 5},
            {"only": "stop"},
            {"only": True},
            {"without": ("stops", 7)},
            {"tree": "/nowhere"},
            {"folder": True},
            {"report": "/nowhere/report.json"},
        ):
            (name,) = changes
            with self.subTest(changes), self.assertRaisesRegex(SettingsError, name):
                read_options(**changes)

    def test_disturbances_are_left_out_by_name(self):
        self.assertEqual(choose("stops,shift", "shift"), ["stops"])
        self.assertNotIn("kill", choose("", ("kill",)))

    def test_a_bad_command_line_starts_nothing_and_has_an_exit_code_of_its_own(self):
        cases = {
            "--seed=one": "[400 SETTINGS_INVALID] seed",
            "--colour=red": "colour",
        }
        for option, said in cases.items():
            with self.subTest(option):
                command = [sys.executable, "-m", "tests.deployment.soak", option]
                ended = subprocess.run(
                    command, cwd=ROOT, capture_output=True, text=True
                )
                self.assertEqual(ended.returncode, 2)
                self.assertIn(said, ended.stderr)
                self.assertNotIn("stops", ended.stderr.replace("--", ""))
