"""Plays days without one mechanism at a time, each on a scratch copy, as a table.

Usage: ``python tools/ablation.py BENCH SITE FOLDER --days quiet-1,scale-1 --seeds 2``.
FOLDER is where the copies go; `--only` names some mechanisms. Days of one variant are
played together. Each row has the mean worth, its spread over the plays, and how far it
is from the row of the whole program.
"""

import argparse
import concurrent.futures
import dataclasses
import pathlib
import re
import shutil
import statistics
import subprocess
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
GATEWAY = "packages/gateway/src/fuchsiahatch_gateway"
EXPERTS = "packages/experts/src/fuchsiahatch_experts"
#: What a copy doesn't need, or must not share.
LEFT_OUT = (".git", ".venv", "target", "journal", "__pycache__", ".hypothesis")
#: Plays of one variant at a time.
JOBS = 4
_ROW = re.compile(r"^\S+\s+\d+/\d+\s+[\d.]+\s+(?P<worth>-?[\d.]+)", re.MULTILINE)
_BROKEN = re.compile(r"\b(MIXED|UNASKED|TWICE|REFUSED|MAP|LOST|DRAIN|ROUTE) broken")


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """One mechanism and the change of one line that takes it out."""

    name: str
    path: str
    line: str
    without: str


MECHANISMS = (
    Mechanism(
        "standby takes over",
        f"{GATEWAY}/standby.py",
        "SILENCE_MS = 120",
        "SILENCE_MS = 1_000_000_000",
    ),
    Mechanism(
        "copies by the time of a pass",
        f"{EXPERTS}/drift.py",
        "    if copy_ms <= 0:",
        "    if copy_ms >= 0:",
    ),
    Mechanism(
        "next pass held where passes are long",
        f"{GATEWAY}/hold_timing.py",
        "LONG_PASS_MS = 200",
        "LONG_PASS_MS = 1_000_000_000",
    ),
    Mechanism(
        "places by a rank's step",
        f"{GATEWAY}/known_upstream.py",
        "        if engine is None or not engine.expert_layers:",
        "        if True:",
    ),
    Mechanism(
        "streams leave slow ranks",
        f"{GATEWAY}/fleet.py",
        "        if not upstream.movers or not upstream.group:",
        "        if True:",
    ),
    Mechanism(
        "silent agents chosen last",
        f"{GATEWAY}/upstream_comparison.py",
        "SILENT_COST = 50.0",
        "SILENT_COST = 0.0",
    ),
    Mechanism(
        "early socket",
        f"{GATEWAY}/main.py",
        "    if settings.callers is None:",
        "    if True:",
    ),
    Mechanism(
        "heartbeats of entries",
        f"{GATEWAY}/entry_liveness.py",
        "SILENCE_MS = 1_000",
        "SILENCE_MS = 1_000_000_000",
    ),
    Mechanism(
        "forecast of passes",
        f"{EXPERTS}/pass_forecast.py",
        "        return pass_ms * (1.0 + self._expert_share * growth)",
        "        return pass_ms",
    ),
    Mechanism(
        "shift detection",
        f"{EXPERTS}/drift.py",
        "        shifted = change > self._shift_threshold()",
        "        shifted = change > 9.0",
    ),
    Mechanism(
        "easy passes left alone",
        f"{EXPERTS}/planning.py",
        "SHORT_PASS_SHARE = 0.42",
        "SHORT_PASS_SHARE = 0.0",
    ),
    Mechanism(
        "failures' cost",
        f"{GATEWAY}/upstream_comparison.py",
        "FAILURE_COST = 3.0",
        "FAILURE_COST = 0.0",
    ),
    Mechanism(
        "first reports awaited",
        f"{GATEWAY}/upstream_gate.py",
        "FIRST_REPORT_TIMEOUT_MS = 700",
        "FIRST_REPORT_TIMEOUT_MS = 0",
    ),
    Mechanism(
        "zone cost",
        f"{GATEWAY}/upstream_comparison.py",
        "ZONE_COST = 0.2",
        "ZONE_COST = 0.0",
    ),
    Mechanism(
        "latency mean",
        f"{GATEWAY}/upstream_comparison.py",
        "        if upstream.latency_ms and fastest.latency_ms:",
        "        if False:",
    ),
    Mechanism(
        "spread of when to come back",
        f"{GATEWAY}/defaults.py",
        "RETRY_AFTER_SPREAD = (0.75, 1.5)",
        "RETRY_AFTER_SPREAD = (1.0, 1.0)",
    ),
)


def make_copy(folder: pathlib.Path, mechanism: Mechanism | None) -> pathlib.Path:
    """Copy the repository, without a mechanism if one is given."""
    name = "whole" if mechanism is None else mechanism.name.replace(" ", "-")
    copy = folder / name.replace("'", "")
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(*LEFT_OUT))
    if mechanism is not None:
        path = copy / mechanism.path
        text = path.read_text("utf-8")
        if text.count(mechanism.line) != 1:
            raise SystemExit(f"{mechanism.name}: {mechanism.line!r} isn't there once")
        path.write_text(text.replace(mechanism.line, mechanism.without), "utf-8")
    return copy


def play(bench: str, site: str, copy: pathlib.Path, day: str, seed: int) -> str:
    """Play one day and return what the bench printed; seed 0 is the day's own."""
    words = [bench, "run", site, day]
    words += ["--seed", str(seed)] if seed else []
    done = subprocess.run(words, cwd=copy, capture_output=True, text=True, check=False)
    return done.stdout + done.stderr


def read_worth(output: str) -> float | None:
    """Return a play's worth, or None when it has none."""
    found = _ROW.search(output)
    return None if found is None else float(found["worth"])


def measure(
    options: argparse.Namespace, mechanism: Mechanism | None
) -> tuple[list[float], int]:
    """Return the worths of a variant's plays, and in how many a rule was broken."""
    copy = make_copy(options.folder, mechanism)
    subprocess.run([options.bench, "build"], cwd=copy, capture_output=True, check=True)
    plays = [
        (day, seed) for day in options.days.split(",") for seed in range(options.seeds)
    ]
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        outputs = list(
            pool.map(lambda one: play(options.bench, options.site, copy, *one), plays)
        )
    worths = [worth for worth in map(read_worth, outputs) if worth is not None]
    broken = sum(1 for output in outputs if _BROKEN.search(output))
    return worths, broken


def write_row(name: str, worths: t.Sequence[float], broken: int, whole: float) -> str:
    """Return one row of the table."""
    mean = statistics.fmean(worths)
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    cells = (
        f"{mean:.3f} | {mean - whole:+.3f} | {spread:.3f} | {len(worths)} | {broken}"
    )
    return f"| {name} | {cells} |"


def main() -> None:
    """Measure the whole program and each variant, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--days", default="quiet-1,scale-1,trouble-2,trouble-3")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    print("| Without | Mean worth | To the whole | Spread | Plays | Broken |")
    print("| --- | --- | --- | --- | --- | --- |")
    worths, broken = measure(options, None)
    whole = statistics.fmean(worths)
    print(write_row("nothing", worths, broken, whole), flush=True)
    wanted = [one for one in MECHANISMS if options.only in one.name]
    for mechanism in wanted:
        row = write_row(mechanism.name, *measure(options, mechanism), whole)
        print(row, flush=True)


if __name__ == "__main__":
    main()
