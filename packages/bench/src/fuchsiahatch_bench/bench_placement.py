"""Searches the placement rule with all guards and without each; writes the counts.

Run as ``python -m fuchsiahatch_bench.bench_placement --schedules 2000``.
"""

import dataclasses
import json
import pathlib
import time
import typing as t

import fire

from fuchsiahatch_bench.placement_guards import WITHOUT_GUARD
from fuchsiahatch_bench.placement_search import Scope, Tally, search
from fuchsiahatch_placement.rosters import Voter

_REGION = "klang-valley"
_RESULT = "results/placement_search.json"
_TABLE = "measurements/placement_search.md"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One search's counts."""

    scope: str
    guard_out: str
    schedules: int
    accepted: int
    broken: int
    first_seed: int | None
    duration_ms: int


def scopes() -> dict[str, Scope]:
    """Return the sizes that are searched, by name."""
    far = tuple(Voter("midwest", "dongara", f"far-{number}") for number in range(2))
    observers = tuple(Voter(_REGION, "kl-a", f"new-{name}") for name in "xy")
    return {
        "3 voters": Scope(_voters(3)),
        "5 voters": Scope(_voters(5)),
        "3 + 2 voters in two regions, 1 observer": Scope(
            (*_voters(3), *far), observers[:1]
        ),
        "1 voter, 2 joining and leaving": Scope(_voters(1), observers, 9, True),
        "2 voters, 2 joining and leaving": Scope(_voters(2), observers, 9, True),
        "3 voters, 2 joining and leaving": Scope(_voters(3), observers, 9, True),
    }


def run(
    schedules: int = 2_000,
    docs: str = "docs",
    guards: t.Sequence[str] = tuple(WITHOUT_GUARD),
) -> None:
    """Search every scope, with all guards and with each one out.

    Parameters
    ----------
    schedules : int
        Schedules of each search, seeds 0 and up.
    docs : str
        Folder that the result and its table go into.
    guards : sequence of str, optional
        Guards to leave out, one at a time; ``none`` leaves out none. Rows of
        others are kept as an earlier run left them.
    """
    rows = [
        _search_one(scope_name, scope, guard, schedules)
        for guard in guards
        for scope_name, scope in scopes().items()
    ]
    folder = pathlib.Path(docs)
    result = folder / _RESULT
    result.parent.mkdir(parents=True, exist_ok=True)
    kept = [row for row in _read_rows(result) if row.guard_out not in guards]
    rows = sorted(kept + rows, key=lambda row: list(WITHOUT_GUARD).index(row.guard_out))
    content = {"rows": [dataclasses.asdict(row) for row in rows]}
    result.write_text(json.dumps(content, indent=2) + "\n", "utf-8")
    table = folder / _TABLE
    table.parent.mkdir(parents=True, exist_ok=True)
    table.write_text(_table(rows), "utf-8")


def _read_rows(result: pathlib.Path) -> list[Row]:
    if not result.exists():
        return []
    return [Row(**row) for row in json.loads(result.read_text("utf-8"))["rows"]]


def _voters(count: int) -> tuple[Voter, ...]:
    return tuple(Voter(_REGION, f"kl-{n}", f"entry-{n}") for n in "abcdefg"[:count])


def _search_one(name: str, scope: Scope, guard: str, schedules: int) -> Row:
    make_entry, patched = WITHOUT_GUARD[guard]
    start_ns = time.perf_counter_ns()
    with patched():
        tally = search(scope, range(schedules), make_entry, most_found=schedules)
    duration_ms = (time.perf_counter_ns() - start_ns) // 1_000_000
    row = _row(name, guard, tally, duration_ms)
    print(json.dumps(dataclasses.asdict(row)), flush=True)
    return row


def _row(name: str, guard: str, tally: Tally, duration_ms: int) -> Row:
    return Row(
        scope=name,
        guard_out=guard,
        schedules=tally.schedules,
        accepted=tally.ends["placement accepted"],
        broken=len(tally.found),
        first_seed=tally.found[0].seed if tally.found else None,
        duration_ms=duration_ms,
    )


def _table(rows: t.Sequence[Row]) -> str:
    lines = [
        "# Search for a stale admission",
        "",
        "`python -m fuchsiahatch_bench.bench_placement` runs seeded random schedules",
        "of the real entry and write decisions and counts those in which an entry was",
        "fresh under a revision older than an accepted one. The baseline of each guard",
        "is the same search without it.",
        "",
        "| guard left out | scope | schedules | accepted writes | broken | per 1,000 |",
        "| --- | --- | ---: | ---: | ---: | ---: |",
    ]
    cells = [
        f"| {row.guard_out} | {row.scope} | {row.schedules:,} | {row.accepted:,} "
        f"| {row.broken:,} | {1000 * row.broken / row.schedules:.2f} |"
        for row in rows
    ]
    return "\n".join([*lines, *cells]) + "\n"


if __name__ == "__main__":
    fire.Fire(run)
