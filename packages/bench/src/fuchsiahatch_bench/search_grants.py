"""Runs the model of step grants many times and writes down what it found.

``python -m fuchsiahatch_bench.search_grants --runs 20000`` from the root.
"""

import dataclasses
import json
import pathlib
import time
import typing as t

import fire

from fuchsiahatch_bench.grant_model import GroupModel, Parts
from fuchsiahatch_bench.guardless import GUARDLESS, WHOLE

ACTIONS = 100
_RESULTS = pathlib.Path("docs/results/step-search.json")
_PAGE = pathlib.Path("docs/measurements/step-search.md")
_RANKS = (2, 3)


@dataclasses.dataclass(slots=True)
class Row:
    """What the search found in one setting.

    Attributes
    ----------
    violating_seeds : list of int
        Seeds of the runs in which a step ran under two maps.
    """

    setting: str
    guard_out: bool
    ranks: int
    runs: int
    steps: int
    terms: int
    violating_seeds: list[int]


def search(
    setting: str, parts: Parts, ranks: int, seeds: t.Sequence[int], guard_out: bool
) -> Row:
    """Run the model once for each seed."""
    row = Row(setting, guard_out, ranks, len(seeds), 0, 0, [])
    for seed in seeds:
        model = GroupModel(seed, ranks, parts)
        if model.run(ACTIONS) is not None:
            row.violating_seeds.append(seed)
        row.steps += len(model.ran)
        row.terms += model.term
    return row


def main(runs: int = 20_000, only: str = "", write: bool = True) -> None:
    """Search every setting, print the rows and write results and table.

    Parameters
    ----------
    runs : int
        Seeds for each setting and number of ranks, from 0 up.
    only : str
        Take only the settings whose name holds this; nothing is written then.
    write : bool
        Whether to write the files.
    """
    started_s = time.monotonic()
    settings = [(name, parts, False) for name, parts in WHOLE.items()]
    settings += [(name, parts, True) for name, parts in GUARDLESS.items()]
    rows = []
    for name, parts, guard_out in settings:
        if only not in name:
            continue
        for ranks in _RANKS:
            rows.append(search(name, parts, ranks, range(runs), guard_out))
            print(rows[-1], flush=True)
    seconds = round(time.monotonic() - started_s, 1)
    print(f"{seconds} s")
    if write and not only:
        _write(rows, seconds)


def _write(rows: list[Row], seconds: float) -> None:
    document = {
        "actions": ACTIONS,
        "seconds": seconds,
        "rows": list(map(dataclasses.asdict, rows)),
    }
    _RESULTS.write_text(json.dumps(document, indent=1) + "\n", "utf-8")
    _PAGE.write_text("\n".join([*_head(rows), *map(_line, rows), ""]), "utf-8")


def _head(rows: list[Row]) -> list[str]:
    runs = rows[0].runs
    return [
        "# Search of step grants",
        "",
        f"{runs} seeded runs of {ACTIONS} random actions each, over the real state",
        "machines; a violation is a step that two ranks ran under different maps.",
        "Made by `make search-grants`. It does not show long quiet stretches: a run",
        "gets through two or three steps.",
        "",
        "| setting | ranks | runs | steps run | terms | runs with a violation |",
        "| --- | --- | --- | --- | --- | --- |",
    ]


def _line(row: Row) -> str:
    name = f"without: {row.setting}" if row.guard_out else f"all guards, {row.setting}"
    found = len(row.violating_seeds)
    return (
        f"| {name} | {row.ranks} | {row.runs} | {row.steps} | {row.terms} | {found} |"
    )


if __name__ == "__main__":
    fire.Fire(main)
