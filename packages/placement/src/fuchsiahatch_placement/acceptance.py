"""An entry's part in acceptance: what it applies, votes for and is fresh under.

Questions go to the service and, where it is silent, to the region's other
entries; the answers raise the revision and renew freshness.
"""

import dataclasses

from fuchsiahatch_placement.records import Snapshot
from fuchsiahatch_placement.rosters import Roster


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What an entry asks: is anything newer than what I hold?

    Attributes
    ----------
    host, incarnation : str
        Who asks. An answer to an earlier life of the same host is dropped.
    number : int
        Counts up within an incarnation.
    roster_revision, revision : int
        What the asker holds, so that an answer carries only newer documents.
    """

    host: str
    incarnation: str
    number: int
    roster_revision: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an entry says of itself, to a question or as an acknowledgement.

    Attributes
    ----------
    host, incarnation : str
    region, zone : str
    roster_revision, revision : int
        What it has applied; saying so acknowledges them and all before.
    roster_change_id, change_id : str
        Which changes made these revisions.
    votes : bool
        Whether it may be counted in a majority: it has read from the service
        in this incarnation.
    """

    host: str
    incarnation: str
    region: str
    zone: str
    roster_revision: int
    revision: int
    roster_change_id: str
    change_id: str
    votes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due about every `TICK_MS`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The service was read on behalf of a question.

    Attributes
    ----------
    question : Question
    roster_document, document : bytes or None
        The values, empty for an absent key; None when the key's version is the
        one whose bytes were handed in last. The roster must be read before the
        placement segment, or both in one transaction.
    """

    question: Question
    roster_document: bytes | None
    document: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Another entry's answer to a question.

    Attributes
    ----------
    question : Question
    report : Report
    roster_document, document : bytes or None
        Its documents where they are newer than the question's revisions.
    """

    question: Question
    report: Report
    roster_document: bytes | None = None
    document: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """A watch on the placement segment delivered a value, perhaps a late one."""

    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RosterHint:
    """A watch on the roster fired: read both segments, in their order."""


Event = Tick | ServiceAnswer | PeerAnswer | WatchEvent | RosterHint


@dataclasses.dataclass(frozen=True, slots=True)
class AskService:
    """Read roster and placement segment from the service."""

    question: Question


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeers:
    """Send a question to other entries of the region, over `answer_question`."""

    question: Question
    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A new snapshot is in force here; tell watching agents and writers."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class RosterApplied:
    """A new roster is in force here."""

    roster: Roster


@dataclasses.dataclass(frozen=True, slots=True)
class RevertSeen:
    """Alarm: somebody holds an older or another document than was seen before.

    Attributes
    ----------
    source : str
        ``service``, ``watch`` or the peer's host name.
    segment : str
        ``placement`` or ``roster``.
    held_revision, seen_revision : int
    """

    source: str
    segment: str
    held_revision: int
    seen_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A document could not be taken over; the node stays on what it holds."""

    source: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """The entry became fresh, or is so no more."""

    fresh: bool


Effect = (
    AskService
    | AskPeers
    | Applied
    | RosterApplied
    | RevertSeen
    | Unreadable
    | FreshnessChanged
)


class EntryConfiguration:
    """What one life of an entry knows of the configuration, and how freshly.

    Parameters
    ----------
    host, incarnation, region, zone : str
        Who the entry is.
    fresh_ms : int, optional
        How long a confirmation counts, from when its question was sent.

    Attributes
    ----------
    snapshot : Snapshot
        In force here; only ever replaced by one of a higher revision.
    roster : Roster

    Notes
    -----
    .. versionadded:: 0.2
    """

    snapshot: Snapshot
    roster: Roster

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take an event and return what is to be done."""
        raise NotImplementedError

    def is_fresh(self, now_ms: int) -> bool:
        """Whether work may be admitted now; ask right before admitting."""
        raise NotImplementedError

    def fresh_until_ms(self) -> int | None:
        """When freshness ends if nothing is heard; None when never fresh."""
        raise NotImplementedError

    def report(self) -> Report:
        """Return what this entry says of itself, for writers and peers."""
        raise NotImplementedError

    def answer_question(self, question: Question) -> PeerAnswer:
        """Answer another entry's question."""
        raise NotImplementedError
