"""Checks that every code, event, metric and setting has its row in docs/.

A row without its source is a fault as well.
"""

import ast
import enum
import pathlib
import re
import sys
import typing as t

from make_settings_page import PAGE as SETTINGS_PAGE
from make_settings_page import read_settings_rows, settings_page

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
DAEMON = ROOT / "packages/daemon/src/fuchsiahatch_daemon"
GATEWAY = ROOT / "packages/gateway/src/fuchsiahatch_gateway"
_GATEWAY_MODULES = (
    "request_metrics.py",
    "connection_metrics.py",
    "limit_metrics.py",
    "loop_watch.py",
    "entry_gauges.py",
    "agent.py",
)
METRICS_MODULES = [
    *sorted(DAEMON.glob("*metrics.py")),
    *(GATEWAY / name for name in _GATEWAY_MODULES),
]

_NUMBERED_ROW = re.compile(r"^\| (\d+) \| `(\w+)` \|", re.MULTILINE)
_NAMED_ROW = re.compile(r"^\| `([\w.]+)` \|", re.MULTILINE)
_METRIC_NAME = re.compile(r"fuchsiahatch_[a-z0-9_]+")


class Comparison(t.NamedTuple):
    """What one page lacks, and what it has too much.

    Attributes
    ----------
    missing : list of str
        Names in the source that have no row.
    stale : list of str
        Rows whose name the source does not have.
    """

    missing: list[str]
    stale: list[str]


def compare(known: t.Iterable[str], rows: t.Iterable[str]) -> Comparison:
    """Compare the names in the source with the rows of a page."""
    in_source, in_page = set(known), set(rows)
    return Comparison(sorted(in_source - in_page), sorted(in_page - in_source))


def enum_names(members: type[enum.IntEnum]) -> list[str]:
    """Return number and name of each member, as the rows are compared by."""
    return [f"{member.value} {member.name}" for member in members]


def numbered_rows(page: str) -> list[str]:
    """Return number and name of each row of a page of codes or events."""
    return [f"{number} {name}" for number, name in _NUMBERED_ROW.findall(page)]


def named_rows(page: str) -> list[str]:
    """Return the name of each row of a page of metrics or settings."""
    return _NAMED_ROW.findall(page)


def metric_names(source: str) -> list[str]:
    """Return the metrics that a module's source names in whole strings."""
    strings = (
        node.value
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )
    return sorted(set(filter(_METRIC_NAME.fullmatch, strings)))


def compare_all() -> dict[str, Comparison]:
    """Compare every page with its source, by the page's name."""
    metrics = "\n".join(path.read_text("utf-8") for path in METRICS_MODULES)
    return {
        "CODES.md": compare(enum_names(Code), numbered_rows(_read("CODES.md"))),
        "EVENTS.md": compare(enum_names(Event), numbered_rows(_read("EVENTS.md"))),
        "METRICS.md": compare(metric_names(metrics), named_rows(_read("METRICS.md"))),
        "SETTINGS.md": compare(
            (row.path for row in read_settings_rows()),
            named_rows(_read("SETTINGS.md")),
        ),
    }


def main() -> None:
    """Print each fault and exit with 1 when there is one."""
    faults = [
        sentence
        for page, found in compare_all().items()
        for sentence in _sentences(page, found)
    ]
    if SETTINGS_PAGE.read_text("utf-8") != settings_page():
        faults.append("docs/SETTINGS.md differs from its schema; `make settings-page`")
    for fault in faults:
        print(f"fault: {fault}")
    sys.exit(1 if faults else 0)


def _sentences(page: str, found: Comparison) -> t.Iterator[str]:
    for name in found.missing:
        yield f"docs/{page} has no row for {name}"
    for name in found.stale:
        yield f"docs/{page} has a row for {name}, which is not there"


def _read(page: str) -> str:
    return (DOCS / page).read_text("utf-8")


if __name__ == "__main__":
    main()
