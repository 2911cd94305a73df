"""What a write of a segment takes and returns."""

import dataclasses
import enum

from fuchsiahatch_core.codes import Code
from fuchsiahatch_placement.acceptance_messages import Report
from fuchsiahatch_placement.rosters import Voter


class Outcome(enum.Enum):
    """How a write ended.

    ``REFUSED`` and ``CONFLICT`` say that the change did not land,
    ``UNDECIDED`` that nobody could tell.
    """

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
    """Ask these entries for their reports."""

    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Where a committed change stands.

    Attributes
    ----------
    revision : int
    heard : tuple of Voter
        Those that have acknowledged.
    missing : tuple of Voter
        Those that have not, of the regions that lack a majority; when empty,
        only the freshness of before is still waited for.
    """

    revision: int
    heard: tuple[Voter, ...]
    missing: tuple[Voter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The write's end; nothing follows.

    Attributes
    ----------
    outcome : Outcome
    code : Code
    revision : int
        The change's revision where it is committed, else the current one.
    missing : tuple of Voter
        For ``PENDING``: who has not acknowledged.
    detail : str
    """

    outcome: Outcome
    code: Code
    revision: int
    missing: tuple[Voter, ...] = ()
    detail: str = ""


Effect = ReadDocument | SwapDocument | ReadRoster | AskReports | Progress | Finished
