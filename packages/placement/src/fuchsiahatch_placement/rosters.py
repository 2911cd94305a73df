"""The roster: which entries are counted in majorities, region by region."""

import collections
import dataclasses
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.documents import (
    Change,
    Document,
    next_document,
    read_document,
)

#: Fewest roster hosts of a region that may confirm each other without the service.
FEWEST_CONFIRMING = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Voter:
    """An entry host that is counted in its region's majority."""

    region: str
    zone: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The voters as of one revision of the roster segment.

    Attributes
    ----------
    revision : int
        0 while no roster was ever written.
    voters, previous : frozenset of Voter
        Of this revision, and of the one before.
    change_id : str
        The change that made this revision.
    document : bytes
        The bytes as they are in the key-value service.
    """

    revision: int
    voters: frozenset[Voter]
    previous: frozenset[Voter]
    change_id: str = ""
    document: bytes = b""

    def hosts_in(self, region: str) -> frozenset[str]:
        """Return the names of a region's voters."""
        return frozenset(one.host for one in self.voters if one.region == region)


EMPTY_ROSTER = Roster(0, frozenset(), frozenset())


def decode_roster(value: bytes) -> Roster:
    """Decode the roster segment's bytes.

    Raises
    ------
    SettingsError
        When they can't be read.
    """
    document = read_document(value)
    try:
        rows = list(map(json.loads, document.records))
        voters = frozenset(_voter(row) for row in rows if row["listed"])
        previous = frozenset(_voter(row) for row in rows if row["was_listed"])
    except (KeyError, TypeError) as fault:
        raise SettingsError(
            "records", type(fault).__name__, "rows of a roster", Code.RECORD_INVALID
        ) from fault
    return Roster(document.revision, voters, previous, document.change_id, value)


def change_roster(
    base: Document,
    expected_revision: int,
    change: Change,
    host: str,
    added: Voter | None,
) -> Document:
    """Return the roster's next document with one host added or removed.

    Parameters
    ----------
    base : Document
    expected_revision : int
        Revision that the operator read.
    change : Change
    host : str
        Whom the change is about.
    added : Voter or None
        None removes the host.

    Raises
    ------
    ConflictError
        When the base isn't the revision that was read.
    SettingsError
        When the host already is as asked.

    Notes
    -----
    Majorities of two rosters are sure to meet only when the rosters differ by
    one host, so a revision moves no more than one, and the revision before must
    have been acknowledged first; `writing.Write` sees to that.
    """
    rows = map(json.loads, base.records)
    before = [_voter(row) for row in rows if row["listed"]]
    known = any(voter.host == host for voter in before)
    if known == (added is not None):
        state = "is on the roster already" if known else "isn't on the roster"
        raise SettingsError("host", host, f"this host {state}", Code.RECORD_INVALID)
    kept = [_row_text(voter, voter.host != host, True) for voter in before]
    new = [] if added is None else [_row_text(added, True, False)]
    return next_document(base, expected_revision, change, sorted(kept + new))


def missing_voters(
    voters: t.Iterable[Voter], heard: t.Container[str]
) -> tuple[Voter, ...]:
    """Return the voters not heard from, of each region that lacks a majority."""
    by_region: dict[str, list[Voter]] = collections.defaultdict(list)
    for voter in sorted(voters):
        by_region[voter.region].append(voter)
    return tuple(
        voter
        for region in by_region.values()
        if not is_majority(sum(one.host in heard for one in region), len(region))
        for voter in region
        if voter.host not in heard
    )


def is_majority(count: int, of: int) -> bool:
    """Whether a count is more than half."""
    return 2 * count > of


def _voter(row: dict[str, t.Any]) -> Voter:
    return Voter(row["region"], row["zone"], row["host"])


def _row_text(voter: Voter, listed: bool, was_listed: bool) -> str:
    row = dataclasses.asdict(voter)
    return json.dumps({**row, "listed": listed, "was_listed": was_listed})
