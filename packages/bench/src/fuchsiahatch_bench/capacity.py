"""Puts the tables of docs/CAPACITY.md in place, computed from the results."""

import dataclasses
import json
import pathlib
import re
import sys
import typing as t

import fire

from fuchsiahatch_bench import (
    capacity_agent,
    capacity_changes,
    capacity_entry,
    capacity_failures,
    capacity_leader,
    capacity_path,
    capacity_service,
)
from fuchsiahatch_bench.projection import Line, Slopes

PAGE = pathlib.Path("docs/CAPACITY.md")
SLOPES = pathlib.Path("docs/results/slopes.json")
CONFIGURATION = pathlib.Path("docs/results/config.json")

_TABLES: dict[str, t.Callable[[Slopes], str]] = {
    "entry-today": capacity_entry.entry_today,
    "entry-planned": capacity_entry.entry_planned,
    "entry-levers": capacity_entry.entry_levers,
    "entry-grid": capacity_entry.entry_grid,
    "agent": capacity_agent.agent_table,
    "leader": capacity_leader.leader_table,
    "command": capacity_agent.command_table,
    "service": capacity_service.service_table,
    "changes": capacity_changes.changes_table,
    "nodes": capacity_path.nodes_table,
    "share": capacity_path.share_table,
    "failures": capacity_failures.failures_table,
    "rates": capacity_failures.rates_table,
}
_PLACE = re.compile(r"(<!-- table: ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def main(check: bool = False) -> None:
    """Write the page's tables, or only compare them.

    Parameters
    ----------
    check : bool
        Whether to leave the page and exit with 1 when it is out of date.
    """
    slopes = with_configuration(read_slopes(SLOPES), CONFIGURATION)
    old = PAGE.read_text("utf-8")
    new = fill(old, slopes)
    if check:
        _compare(old, new)
        return
    PAGE.write_text(new, "utf-8")
    for name, make in _TABLES.items():
        print(f"{name}\n{make(slopes)}")


def read_slopes(path: pathlib.Path) -> Slopes:
    """Read a results file of the slopes bench."""
    content = json.loads(path.read_text("utf-8"))
    lines = {
        name: Line(line["slope"], line["intercept"])
        for name, line in content["lines"].items()
    }
    values = {**content["values"], **_peer_values(content["peers"])}
    return Slopes(lines, values, content["message_bytes"])


def with_configuration(slopes: Slopes, path: pathlib.Path) -> Slopes:
    """Add the results of the configuration bench, named ``config_``."""
    content = json.loads(path.read_text("utf-8"))
    lines = {
        f"config_{name}": Line(line["slope"], line["intercept"])
        for name, line in content["slopes"].items()
    }
    largest = max(content["sizes"], key=lambda size: size["entries"])
    values = {
        "config_entries": largest["entries"],
        "config_accepted_worst_ms": max(
            spread["accepted_ms"] for spread in largest["spreads"]
        ),
        "config_outage_calls_per_s": _largest_outage(content)["service_calls"],
    }
    return dataclasses.replace(
        slopes,
        lines={**slopes.lines, **lines},
        values={**slopes.values, **values},
    )


def fill(page: str, slopes: Slopes) -> str:
    """Return the page with every marked table made anew.

    Raises
    ------
    KeyError
        For a mark whose table is not known.
    """

    def replace(found: re.Match[str]) -> str:
        return f"{found[1]}{_TABLES[found[2]](slopes)}{found[3]}"

    return _PLACE.sub(replace, page)


def _largest_outage(content: dict[str, t.Any]) -> dict[str, float]:
    """Return what an entry spent in the outage of the largest fleet that had one."""
    sizes = [size for size in content["sizes"] if size["outage"] is not None]
    return max(sizes, key=lambda size: size["entries"])["outage"]["rates"]


def _peer_values(rows: list[dict[str, float]]) -> dict[str, float]:
    # Messages among entries have a bounded size and fan-out, so the largest fleet
    # is carried on as it is, not by a line.
    largest = max(rows, key=lambda row: row["entries"])
    return {
        "beats_wire_bytes_per_s": largest["wire_bytes_per_s"],
        "beats_ms_per_s": largest["cpu_ms_per_s"],
        "service_calls_per_s": largest["calls_per_s"],
        "watches_waiting": largest["watches_waiting"],
    }


def _compare(old: str, new: str) -> None:
    if old != new:
        print("fault: docs/CAPACITY.md differs from its results; `make capacity`")
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main, name="capacity")
