"""The roster: which entries' acknowledgements count, region by region."""

import collections
import dataclasses
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.documents import Change, Document, next_document
from fuchsiahatch_placement.documents import read_document as _read_document

#: Fewest roster hosts of a region that may confirm each other without the service.
FEWEST_CONFIRMING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """Entries by region, as of one revision of the roster segment.

    Attributes
    ----------
    revision : int
        0 while no roster was ever written.
    regions : dict of str to frozenset of str
        Names of the entry hosts in each region.
    previous : dict of str to frozenset of str
        The same of the revision before.
    change_id : str
        The change that made this revision.
    """

    revision: int
    regions: t.Mapping[str, frozenset[str]]
    previous: t.Mapping[str, frozenset[str]]
    change_id: str = ""


EMPTY_ROSTER = Roster(0, {}, {})


def decode_roster(value: bytes) -> Roster:
    """Decode the roster segment's bytes.

    Raises
    ------
    SettingsError
        When they can't be read.
    """
    document = _read_document(value)
    try:
        rows = [json.loads(text) for text in document.records]
        regions = _by_region(row for row in rows if row["listed"])
        previous = _by_region(row for row in rows if row["was_listed"])
    except (KeyError, TypeError) as fault:
        raise SettingsError(
            "records", type(fault).__name__, "rows of a roster", Code.RECORD_INVALID
        ) from fault
    return Roster(document.revision, regions, previous, document.change_id)


def change_roster(
    base: Document,
    expected_revision: int,
    change: Change,
    host: str,
    region: str | None,
) -> Document:
    """Return the roster's next document with one host added or removed.

    Parameters
    ----------
    base : Document
    expected_revision : int
        Revision that the operator read.
    change : Change
    host : str
    region : str or None
        Where the host is added; None removes it.

    Raises
    ------
    ConflictError
        When the base isn't the revision that was read.
    SettingsError
        When the host already is as asked.

    Notes
    -----
    Majorities of two rosters meet only when they differ by one host, so a
    revision moves no more than one. The revision before must have been
    acknowledged first; `writing.Write` sees to that.
    """
    listed = {
        row["host"]: row["region"]
        for row in map(json.loads, base.records)
        if row["listed"]
    }
    if (host in listed) == (region is not None):
        state = "on the roster already" if region else "not on the roster"
        raise SettingsError("host", host, f"this host is {state}", Code.RECORD_INVALID)
    rows = [_row(name, place, name != host, True) for name, place in listed.items()]
    if region is not None:
        rows.append(_row(host, region, True, False))
    return next_document(base, expected_revision, change, sorted(rows))


def missing_by_region(
    regions: t.Mapping[str, frozenset[str]], heard: t.Container[str]
) -> dict[str, tuple[str, ...]]:
    """Return the hosts not heard from, for each region that lacks a majority."""
    missing = {
        region: tuple(sorted(host for host in hosts if host not in heard))
        for region, hosts in regions.items()
    }
    return {
        region: hosts
        for region, hosts in sorted(missing.items())
        if not is_majority(len(regions[region]) - len(hosts), len(regions[region]))
    }


def is_majority(count: int, of: int) -> bool:
    """Whether a count is more than half."""
    return 2 * count > of


def _by_region(rows: t.Iterable[dict[str, t.Any]]) -> dict[str, frozenset[str]]:
    regions: dict[str, set[str]] = collections.defaultdict(set)
    for row in rows:
        regions[row["region"]].add(row["host"])
    return {region: frozenset(hosts) for region, hosts in regions.items()}


def _row(host: str, region: str, listed: bool, was_listed: bool) -> str:
    row = {"host": host, "region": region, "listed": listed, "was_listed": was_listed}
    return json.dumps(row)
