"""Runs every test with nose2 and closes with a line of counts.

Tests named in KNOWN-RED.txt may fail; they are printed, and one that passes
again is an error until its line is taken out. A test that failed once and isn't
traced is listed with a cause that begins with "flaky"; it may pass. A line may also
name a case of the review by its folder; such a case is printed and never run here.
"""

import collections
import pathlib
import sys

from nose2.main import PluggableTestProgram
from outcomes import OUTCOMES

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST_KNOWN_RED = 3
#: Issues whose tests may all land before what they ask for; each has a line.
UNCOUNTED_ISSUES = ("issue 78",)
FLAKY = "flaky"
#: Folder of the review's cases, one folder each.
REVIEW_PREFIX = "review/"


def read_known_red() -> dict[str, str]:
    """Return the known red entries by name, with what the file says of each."""
    path = ROOT / "KNOWN-RED.txt"
    text = path.read_text("utf-8") if path.exists() else ""
    known = parse_known_red(text)
    tests, _ = split_known_red(known)
    counted = count_limited(tests)
    if counted > MOST_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt has {counted} tests, {MOST_KNOWN_RED} at most")
    return known


def count_limited(tests: dict[str, str]) -> int:
    """Return how many of the known red tests count against the most."""
    return sum(not line.endswith(UNCOUNTED_ISSUES) for line in tests.values())


def parse_known_red(text: str) -> dict[str, str]:
    """Return the lines of known red entries by their names."""
    lines = (line for line in text.splitlines() if line.strip())
    return {line.split(",")[0].strip(): line for line in lines}


def split_known_red(known: dict[str, str]) -> tuple[dict[str, str], dict[str, str]]:
    """Return the known red tests and the known red cases of the review."""
    cases = {name: line for name, line in known.items() if is_review_case(name)}
    tests = {name: line for name, line in known.items() if name not in cases}
    return tests, cases


def is_review_case(name: str) -> bool:
    """Return whether an entry names a case of the review."""
    return name.startswith(REVIEW_PREFIX)


def find_missing_cases(cases: dict[str, str], root: pathlib.Path) -> list[str]:
    """Return the listed cases that the review doesn't have."""
    return sorted(name for name in cases if not (root / name / "run.sh").is_file())


def find_stale(known: dict[str, str], red: set[str], ran: set[str]) -> list[str]:
    """Return the listed tests whose lines must go.

    Parameters
    ----------
    known : dict of str to str
        Lines of the known red tests, by id.
    red, ran : set of str
        Tests that failed, and all that ran.
    """
    return sorted(
        name
        for name, line in known.items()
        if name not in red and not (_is_flaky(line) and name in ran)
    )


def _is_flaky(line: str) -> bool:
    fields = line.split(",")
    return len(fields) > 1 and fields[1].strip().startswith(FLAKY)


def run_all() -> collections.Counter[str]:
    """Run every test below tests/ and count the outcomes."""
    arguments = ["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT)]
    PluggableTestProgram(
        module=None,
        argv=[*arguments, *sys.argv[1:]],
        exit=False,
        plugins=["outcomes", "sorted_order"],
    )
    _end_reactor()
    return collections.Counter(OUTCOMES.values())


def _end_reactor() -> None:
    # A test that resolved a name left a thread of the reactor's pool behind, and the
    # run hung after its last line: the reactor of the tests is never stopped.
    loopback = sys.modules.get("tests.loopback")
    if loopback is not None:
        loopback.close()


def main() -> None:
    """Run, compare with what is known red, and exit."""
    known, cases = split_known_red(read_known_red())
    missing = find_missing_cases(cases, ROOT)
    counts = run_all()
    red = {name for name, outcome in OUTCOMES.items() if outcome == "failed"}
    for name in sorted(red & known.keys()):
        print(f"known red: {known[name]}")
    stale = find_stale(known, red, set(OUTCOMES))
    for name in sorted(known.keys() - red - set(stale)):
        print(f"known flaky, passed this time: {known[name]}")
    for name in stale:
        print(f"known red, but it passes or is gone: {name}")
    for name in sorted(cases.keys() - set(missing)):
        print(f"known red, not run: {cases[name]}")
    for name in missing:
        print(f"known red, but the review has no such case: {name}")
    new = sorted(red - known.keys())
    for name in new:
        print(f"failed: {name}")
    passed, failed, skipped = (counts[word] for word in ("passed", "failed", "skipped"))
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    sys.exit(1 if new or stale or missing or not passed else 0)


if __name__ == "__main__":
    main()
