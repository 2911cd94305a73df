"""Calls of an entry to homes, their replies, and the outcome of a request."""

import dataclasses
import enum
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.verdicts import Verdict


class Standing(enum.Enum):
    """How an entry sees a home.

    Attributes
    ----------
    SERVING
        It may be given the request.
    LEAVING
        It is leaving, or the placement records no longer allow it.
    GONE
        It has been silent for too long, was restarted or is off the host list.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    UNREACHABLE = "gone"


class Operation(enum.Enum):
    """What an entry requests of a home.

    Attributes
    ----------
    RUN
        Run the request, or return the answer that its key already has.
    RESOLVE
        Return the verdict on the last attempt, and fence it if it hasn't run.
    FENCE
        Forbid the key, unless it has run.
    FIND
        Return the answer that the key already has, without running it.
    """

    RUN = "run"
    RESOLVE = "resolve"
    FENCE = "fence"
    FIND = "find"


@dataclasses.dataclass(frozen=True, slots=True)
class HomeCall:
    """One operation requested of one home."""

    operation: Operation
    home: Home


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer has gone to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The home refused, or had no answer to give."""

    verdict: Verdict
    code: Code
    detail: str
    retry_after_ms: int | None = None
    first_byte_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HopFailed:
    """The connection to the home was lost or couldn't be made."""

    detail: str
    first_byte_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VerdictReply:
    """The home's verdict on an attempt or a key."""

    verdict: Verdict


Reply = Answered | Refused | HopFailed | VerdictReply


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The final outcome of a request.

    Attributes
    ----------
    verdict : Verdict
        NOT_RUN, UNKNOWN or DONE.
    code : Code
    detail : str
    retry_after_ms : int or None
    whole_key : bool
        Whether NOT_RUN holds for all requests with the key, not for this one alone.
    """

    verdict: Verdict
    code: Code = Code.OK
    detail: str = ""
    retry_after_ms: int | None = None
    whole_key: bool = False


DONE = Outcome(Verdict.DONE)

Delivery = t.Generator[HomeCall, Reply, Outcome]
