"""What an operator's file asks for, and how a change's lines are shown."""

import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError

EXIT_STATUSES = {
    "accepted": 0,
    "refused": 1,
    "pending": 3,
    "conflict": 4,
    "undecided": 5,
}
EXIT_REFUSED = EXIT_STATUSES["refused"]
EXIT_UNDECIDED = EXIT_STATUSES["undecided"]

_FORMS = "one record, a list of records, or a document as `get` prints it"


def read_change(text: str, current: t.Mapping[str, t.Any]) -> dict[str, t.Any]:
    """Make the body of a change out of an operator's file.

    Parameters
    ----------
    text : str
        One record or a list of them, each put in the place of its team's; or a
        whole document, whose missing teams are removed.
    current : dict
        The segment as it was just read.

    Raises
    ------
    SettingsError
        When the text is none of these.
    """
    try:
        content = json.loads(text)
    except ValueError as fault:
        raise _fault(str(fault)) from fault
    if isinstance(content, dict) and "records" in content:
        return _whole(content, current)
    records = content if isinstance(content, list) else [content]
    if not all(isinstance(one, dict) and "team" in one for one in records):
        raise _fault("no record")
    return {"puts": records, "expected_revision": current["revision"]}


def show_line(line: t.Mapping[str, t.Any]) -> list[str]:
    """Return a change's line as text for a reader."""
    kind = line["kind"]
    if kind == "difference":
        return [*line["lines"]] or ["no difference"]
    if kind == "progress":
        return _show_progress(line)
    if kind == "finished":
        return _show_finished(line)
    return [f"change {line['change_id']}"]


def _whole(
    content: dict[str, t.Any], current: t.Mapping[str, t.Any]
) -> dict[str, t.Any]:
    kept = {record["team"] for record in content["records"]}
    known = (record.get("team") for record in current["records"])
    removes = [team for team in known if team is not None and team not in kept]
    # The revision that the operator's copy shows, not the present one: a change
    # made since then must come to light as a conflict, not be undone.
    expected_revision = content.get("revision", current["revision"])
    return {
        "puts": [one for one in content["records"] if one not in current["records"]],
        "removes": removes,
        "expected_revision": expected_revision,
    }


def _show_progress(line: t.Mapping[str, t.Any]) -> list[str]:
    rows = [
        f"{region} {zone}: {', '.join(hosts)} {word}"
        for word in ("acknowledged", "missing")
        for region, zones in line[word].items()
        for zone, hosts in zones.items()
    ]
    waiting = [] if line["missing"] else ["majorities are there; old freshness ends"]
    return [f"revision {line['revision']}", *(f"  {row}" for row in rows + waiting)]


def _show_finished(line: t.Mapping[str, t.Any]) -> list[str]:
    missing = [
        f"  missing: {region} {zone} {host}"
        for region, zones in line["missing"].items()
        for zone, hosts in zones.items()
        for host in hosts
    ]
    detail = [f"  [{line['code']} {line['name']}] {line['detail']}"]
    shown = detail if line["detail"] else []
    return [f"{line['outcome']}: revision {line['revision']}", *shown, *missing]


def _fault(found: str) -> SettingsError:
    return SettingsError("(file)", found, _FORMS, Code.RECORD_INVALID)
