import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import ablation

ROW = "quiet-1                18/15   0.71  0.848  0.994   0.000  0.004  nines 0.79"


class TestAblation(unittest.TestCase):
    def test_each_line_is_there_once(self):
        # A table says that a mechanism is worth nothing: its line had been renamed,
        # and both plays were of the whole program.
        for one in ablation.MECHANISMS:
            with self.subTest(one.name):
                text = (ablation.ROOT / one.path).read_text("utf-8")
                self.assertEqual(text.count(one.line), 1)
                self.assertNotEqual(one.line, one.without)

    def test_a_copy_lacks_its_mechanism_alone(self):
        mechanism = ablation.MECHANISMS[0]
        with tempfile.TemporaryDirectory() as folder:
            copy = ablation.make_copy(pathlib.Path(folder), mechanism)
            changed = (copy / mechanism.path).read_text("utf-8")
            self.assertIn(mechanism.without, changed)
            self.assertFalse((copy / ".git").exists())

    def test_the_worth_of_a_play(self):
        self.assertEqual(ablation.read_worth(f"built in 3 s\n{ROW}\n"), 0.848)
        self.assertIsNone(ablation.read_worth("given up"))

    def test_a_row(self):
        row = ablation.write_row("zone cost", [0.5, 0.7], 0, 0.65)
        self.assertEqual(row, "| zone cost | 0.600 | -0.050 | 0.141 | 2 | 0 |")
