import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import compare_scores


def make_entry(number, score, **changes):
    day = {"name": "quiet-1", "G": (score or 0.5) - 0.1, "gate": True, "rules": {}}
    drawn = {**day, "name": f"fresh-{number}"}
    entry = {
        "id": f"e{number}",
        "cmd": "score",
        "site": "alpha",
        "at": [f"2026-01-0{number}T00:00:00Z", ""],
        "score": score,
        "days": [{**day, **changes.pop("day", {})}, drawn],
    }
    return {**entry, **changes}


class TestCompareScores(unittest.TestCase):
    def compare(self, *entries):
        """Return the lines on one site, and whether it holds."""
        with tempfile.TemporaryDirectory() as folder:
            for number, entry in enumerate(entries):
                path = pathlib.Path(folder) / f"{number}.json"
                path.write_text(json.dumps(entry), "utf-8")
            scores = compare_scores.read_scores(pathlib.Path(folder))
        return compare_scores.describe(scores["alpha"])

    def test_a_fall_beyond_noise_is_told(self):
        for score, holds in ((0.72, True), (0.68, True), (0.66, False)):
            _, held = self.compare(make_entry(1, 0.7), make_entry(2, score))
            self.assertEqual(held, holds)

    def test_a_broken_rule_is_told_whatever_the_score(self):
        broken = make_entry(2, 0.9, day={"rules": {"MAP": 1}})
        lines, held = self.compare(make_entry(1, 0.7), broken)
        self.assertFalse(held)
        self.assertIn("  quiet-1: a rule broken, or short", lines)
        _, held = self.compare(make_entry(1, 0.7, day={"gate": False}))
        self.assertFalse(held)

    def test_only_whole_scores_count_and_the_newest_is_the_latest(self):
        entries = (
            make_entry(3, 0.8),
            make_entry(1, 0.7),
            make_entry(4, 0.1, mode="quick"),
            make_entry(5, None),
            make_entry(6, 0.2, cmd="hunt"),
        )
        lines, held = self.compare(*entries)
        self.assertTrue(held)
        self.assertIn("0.800 (e3), +0.100 against e1", lines[0])
        self.assertEqual(lines[1], "  quiet-1: 0.700, +0.100")
        self.assertEqual(len(lines), 2)


if __name__ == "__main__":
    unittest.main()
