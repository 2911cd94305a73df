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
    PIPELINED = "pipelined too much"
    FAILED = "failed"
    CALLER = "by the caller"
    END = "at the end"
    CROWDED = "for another one"


class Limit(enum.StrEnum):
    """Limits at which a caller is refused or its connection closed.

    Attributes
    ----------
    MEMORY
        What is held of all callers' requests.
    CONNECTIONS
        Open connections.
    BODY
        Length of a body.
    PIECES
        Pieces in which a body comes.
    HEADERS
        Length and number of headers.
    PIPELINED
        Bytes sent ahead while a request is answered.
    """

    MEMORY = "memory"
    CONNECTIONS = "connections"
    BODY = "body"
    PIECES = "pieces"
    HEADERS = "headers"
    PIPELINED = "pipelined"


class PeerEnd(enum.StrEnum):
    """How the peer has ended a connection."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    TIMED_OUT = "timed out"
    FAILED = "failed"


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
        return first_value(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection has ended before its answer.

    Attributes
    ----------
    request : OpenRequest
    reason : CloseReason
    peer_end : PeerEnd
    state : ConnectionState
        Whether it was being read or answered.
    unacknowledged_bytes : int
        Bytes of its answer that were sent and not acknowledged.
    stopping : bool
        Whether the server was shutting down.
    """

    request: OpenRequest
    reason: CloseReason
    peer_end: PeerEnd
    state: ConnectionState
    unacknowledged_bytes: int
    stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedConnection:
    """A connection whose socket has been closed, or is about to be.

    Attributes
    ----------
    reason : CloseReason or None
        Why its close began; None if it hasn't.
    headers : sequence of (bytes, bytes)
        Of the last request that was answered; empty without one.
    answered_ago_ms : int or None
        Time since that answer was finished; None without one.
    answer_bytes : int
        Length of that answer.
    unacknowledged_bytes : int
        Bytes that were sent and not acknowledged.
    unread_bytes : int
        Bytes that were received and not read, so that the close sends a reset.
    discarded_bytes : int
        Bytes that were received since the close began.
    lingered_ms : int or None
        Time since the close began; None if it hasn't.
    peer_end : PeerEnd
    """

    reason: CloseReason | None
    headers: Headers
    answered_ago_ms: int | None
    answer_bytes: int
    unacknowledged_bytes: int
    unread_bytes: int
    discarded_bytes: int
    lingered_ms: int | None
    peer_end: PeerEnd

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; None without one."""
    return next((value for key, value in headers if key == name), None)
