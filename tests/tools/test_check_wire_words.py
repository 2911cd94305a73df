import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from check_wire_words import find_faults, read_names


class TestWireWords(unittest.TestCase):
    def test_names_are_read_and_found_in_any_case(self):
        words = read_names('A = b"x-team"\nB = "op/config"\nC = 3\nD = "Token"\n')
        self.assertEqual(words, {"x-team", "op/config"})
        found = find_faults(sorted(words), "a.py", 'send("X-Team")')
        self.assertEqual(found, ["a.py has 'x-team'"])
