"""Answers of servers: their head, how they state their end, and what ended them."""

import dataclasses
import enum
import typing as t

if t.TYPE_CHECKING:
    import h11

_STATUSES_WITHOUT_BODY = (204, 304)


class AnswerBroken(Exception):
    """The answer ended before it was complete; the request may have run."""


class CallUnsent(AnswerBroken):
    """The connection ended before any byte of the call left the process."""


class Bound(enum.Enum):
    """Bounds on the bytes of an answer.

    Attributes
    ----------
    KEPT
        What is kept of an answer before it is relayed.
    MEMORY
        What the process keeps of all answers.
    SKIPPED
        The body of an answer that nobody needs.
    INFORMATIONAL
        Informational heads before the head of an answer.
    EVENT
        One event of a stream.
    COMMENTS
        What a stream has between two events.
    """

    KEPT = "kept"
    MEMORY = "memory"
    SKIPPED = "skipped"
    INFORMATIONAL = "informational"
    EVENT = "event"
    COMMENTS = "comments"


class AnswerTooLong(AnswerBroken):
    """The answer was given up at a bound, and may go on without end.

    Parameters
    ----------
    bound : Bound
    detail : str
    """

    def __init__(self, bound: Bound, detail: str) -> None:
        super().__init__(detail)
        self.bound = bound


class Framing(enum.Enum):
    """How an answer states where its body ends.

    Attributes
    ----------
    LENGTH
        By its length; also an answer that has no body.
    CHUNKED
        By a last chunk.
    UNTIL_CLOSE
        By neither: the body ends with the connection.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


class AnswerEnd(enum.Enum):
    """What ended an answer on its connection.

    Attributes
    ----------
    FRAMED
        Its length was reached, or its last chunk arrived.
    CLOSED
        The server closed the connection.
    RESET
        The connection was reset or lost.
    MALFORMED
        Bytes arrived that aren't HTTP.
    TOO_LONG
        It reached a bound, and this side gave it up.
    """

    FRAMED = "framed"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TOO_LONG = "too long"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next(iter(self.values(name)), None)

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in their order."""
        return [value for key, value in self.headers if key == name]


def framing_of(method: bytes, response: "h11.Response") -> Framing:
    """Return how an answer to a request states where its body ends.

    These are the rules of RFC 9112, section 6.3, which h11 applies as well.
    """
    names = {name for name, _ in response.headers}
    if method == b"HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.UNTIL_CLOSE
