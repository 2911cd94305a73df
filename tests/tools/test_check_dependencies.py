import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import check_dependencies

PINS = {"zope-interface": "8.7"}


class TestFindFaults(unittest.TestCase):
    def test_pinned_installed_and_explained(self):
        rows = ["zope.interface"]
        self.assertEqual(check_dependencies.find_faults(PINS, PINS, rows), [])

    def test_dependency_without_a_row(self):
        faults = check_dependencies.find_faults(PINS, PINS, [])
        self.assertEqual(faults, ["zope-interface has no row"])

    def test_row_without_a_dependency(self):
        faults = check_dependencies.find_faults(PINS, PINS, ["zope.interface", "x"])
        self.assertEqual(faults, ["x has a row only"])

    def test_other_version_installed(self):
        other = {"zope-interface": "8.6"}
        faults = check_dependencies.find_faults(PINS, other, ["zope.interface"])
        self.assertEqual(
            faults, ["zope-interface is 8.7 in its package, 8.6 installed"]
        )

    def test_not_pinned(self):
        loose = check_dependencies.read_pins(["treq"])
        faults = check_dependencies.find_faults(loose, {"treq": "1"}, ["treq"])
        self.assertEqual(faults, ["treq is not pinned"])
