"""One change of a segment, from reading the document to its acceptance."""

import dataclasses
import enum
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_placement.acceptance import Report
from fuchsiahatch_placement.documents import Document

#: Makes the next document of a base, or raises a coded error.
Propose = t.Callable[[Document], Document]


class Outcome(enum.Enum):
    """How a write ended."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRead:
    """The segment's value and the version that a compare-and-swap names."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceFailed:
    """A read (of segment or roster) had no usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwapDone:
    """The compare-and-swap was answered."""

    succeeded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SwapAmbiguous:
    """The compare-and-swap's answer was lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterRead:
    """The roster segment's value, read from the service after the commit."""

    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """An entry's report arrived."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    DocumentRead
    | ServiceFailed
    | SwapDone
    | SwapAmbiguous
    | RosterRead
    | Reported
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """Read the segment from the service: linearizable, never from a cache."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwapDocument:
    """Compare-and-swap the segment, once; the client must not retry it."""

    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRoster:
    """Read the roster segment from the service."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskReports:
    """Ask these entries for their reports, now and at each tick."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Who has not acknowledged yet, by region; for the operator to see.

    Attributes
    ----------
    missing : dict of str to tuple of str
        Hosts by region, only regions that lack a majority.
    heard : dict of str to tuple of str
        Hosts that have acknowledged, by region.
    """

    missing: t.Mapping[str, tuple[str, ...]]
    heard: t.Mapping[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The write's end; nothing follows.

    Attributes
    ----------
    outcome : Outcome
    code : Code
    revision : int
        The change's revision where it is committed, else the current one.
    missing : dict of str to tuple of str
        For `pending`: who has not acknowledged, by region.
    detail : str
    """

    outcome: Outcome
    code: Code
    revision: int
    missing: t.Mapping[str, tuple[str, ...]]
    detail: str


Effect = ReadDocument | SwapDocument | ReadRoster | AskReports | Progress | Finished


class Write:
    """One change on its way: read, compare-and-swap, resolve, wait, end.

    Parameters
    ----------
    change_id : str
        Unique, chosen before the first try, kept for all of them.
    propose : callable
        Makes the next document; may raise a coded error.
    started_ms : int
    is_roster : bool, optional
        Whether the segment is the roster itself: then the revision before must
        have been acknowledged, and its hosts are those who acknowledge.
    give_up_ms : int, optional
        Longest time until an end is told.

    Notes
    -----
    .. versionadded:: 0.2
    """

    def __init__(
        self,
        change_id: str,
        propose: Propose,
        started_ms: int,
        is_roster: bool = False,
        give_up_ms: int = 16_000,
    ) -> None:
        raise NotImplementedError

    def start(self) -> list[Effect]:
        """Return the first effects."""
        raise NotImplementedError

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take an event and return what is to be done."""
        raise NotImplementedError
