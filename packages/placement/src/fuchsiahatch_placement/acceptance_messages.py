"""What an entry's part in acceptance takes and returns."""

import dataclasses

from fuchsiahatch_placement.records import KNOWN_SCHEMAS, Snapshot
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
    reverted : bool
        Whether the service, when last read, held less than this entry or
        something else under the same revision.
    schemas : frozenset of int
        Record schemas that it reads.
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
    reverted: bool = False
    schemas: frozenset[int] = KNOWN_SCHEMAS


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
        placement segment, or both in one transaction, and one read must have
        ended before the next starts.
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


@dataclasses.dataclass(frozen=True, slots=True)
class PeersListed:
    """The host list names these entries of the region, itself among them or not.

    An entry that starts during an outage of the service has no roster yet and
    finds the others by this alone.
    """

    hosts: frozenset[str]


Event = Tick | ServiceAnswer | PeerAnswer | WatchEvent | RosterHint | PeersListed


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
    """A document could not be taken over; the node stays on what it holds.

    Told once for each source and fault.
    """

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
