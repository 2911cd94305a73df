"""Compares the newest score of each site with the one before it in the journal.

Usage: ``python tools/compare_scores.py [SITE ...] [--journal FOLDER]``; all sites by
default. Exits with 1 if a site fell by more than noise, or if a day of its newest score
broke a rule or fell short of its floors.
"""

import argparse
import dataclasses
import json
import pathlib
import sys
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Fall of a score that is no noise, as processor time is measured.
MOST_FALL = 0.03
#: Name of the days that are drawn for one score alone; they have no counterpart.
DRAWN = "fresh"


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """One whole score of a site.

    Attributes
    ----------
    site, entry, began : str
        `entry` is the journal's, and `began` when it was.
    score : float
    worths : dict of str to float
        By day.
    failed : tuple of str
        Days that broke a rule or fell short.
    """

    site: str
    entry: str
    began: str
    score: float
    worths: dict[str, float]
    failed: tuple[str, ...]


def read_scores(folder: pathlib.Path) -> dict[str, list[Score]]:
    """Return all whole scores of a journal by site, the oldest first."""
    scores: dict[str, list[Score]] = {}
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text("utf-8"))
        if entry["cmd"] == "score" and entry["score"] is not None:
            if entry.get("mode") is None:
                scores.setdefault(entry["site"], []).append(read_score(entry))
    for found in scores.values():
        found.sort(key=lambda score: score.began)
    return scores


def read_score(entry: dict[str, t.Any]) -> Score:
    """Return one entry of the journal as a score."""
    days = entry["days"]
    worths = {
        day["name"]: day["G"] for day in days if not day["name"].startswith(DRAWN)
    }
    failed = tuple(day["name"] for day in days if not day["gate"] or day["rules"])
    return Score(
        entry["site"], entry["id"], entry["at"][0], entry["score"], worths, failed
    )


def describe(scores: t.Sequence[Score]) -> tuple[list[str], bool]:
    """Return lines on a site's newest score, and whether it holds."""
    newest = scores[-1]
    before = scores[-2] if len(scores) > 1 else newest
    change = newest.score - before.score
    holds = change >= -MOST_FALL and not newest.failed
    lines = [
        f"{newest.site}: {newest.score:.3f} ({newest.entry}), {change:+.3f} against "
        f"{before.entry}: {'holds' if holds else 'FELL'}"
    ]
    lines += [
        f"  {day}: {worth:.3f}, {worth - before.worths.get(day, worth):+.3f}"
        for day, worth in newest.worths.items()
    ]
    lines += [f"  {day}: a rule broken, or short" for day in newest.failed]
    return lines, holds


def main() -> None:
    """Print what became of each site, and exit with 1 if one fell."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="*")
    parser.add_argument("--journal", type=pathlib.Path, default=ROOT / "journal")
    options = parser.parse_args()
    scores = read_scores(options.journal)
    unknown = sorted(set(options.sites) - scores.keys())
    if unknown:
        sys.exit(f"no score in the journal of {', '.join(unknown)}")
    all_hold = True
    for site in options.sites or sorted(scores):
        lines, holds = describe(scores[site])
        print("\n".join(lines))
        all_hold = all_hold and holds
    sys.exit(0 if all_hold else 1)


if __name__ == "__main__":
    main()
