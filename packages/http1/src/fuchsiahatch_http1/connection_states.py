"""What a server tells of its connections: their states, requests and ends."""

import collections.abc
import dataclasses
import enum

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class ConnectionState(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    CLOSING = "closing"


class CloseReason(enum.StrEnum):
    """Why a connection was closed."""

    IDLE = "idle"
    ANSWERED = "answered"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    RESET = "reset"
    CALLER = "by the caller"
    END = "at the end"


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that is being read or answered.

    Attributes
    ----------
    headers : sequence of (bytes, bytes)
    age_ms : int
        Time since its head was read.
    arrived_while_leaving : bool
        Whether its head was read while the server was shutting down.
    connected_while_leaving : bool
        Whether its connection was opened while the server was shutting down.
    answer_bytes : int
        Bytes of its answer written so far.
    """

    headers: Headers
    age_ms: int
    arrived_while_leaving: bool
    connected_while_leaving: bool
    answer_bytes: int

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)
