"""Reads the requests of one connection, a small part at a time."""

import enum
import typing as t

import h11

from fuchsiahatch_http1.connection_states import Limit, first_value

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.server_state import ServerLimits

#: Received bytes that the parser is given at once. What it holds can't be counted.
FEED_BYTES = 16_384
#: Pieces of a body, as chunks, that are read whatever their length.
FREE_PIECES = 4_096
#: Mean length of the further pieces. Each one takes the same time, however short.
MIN_PIECE_BYTES = 64
_TOO_LONG = 413
_TOO_LARGE_HEADERS = 431


class Part(enum.Enum):
    """What has been read of a request.

    Attributes
    ----------
    NOTHING
        More bytes must arrive first.
    HEAD
    BODY
        A piece of the body.
    END
        The request is whole.
    """

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"
    END = "end"


class RequestRefused(Exception):
    """A request is invalid or over a limit, and its connection can't be read on.

    Parameters
    ----------
    status : int
        Of the answer.
    limit : Limit or None
        Which one was reached; None for a request that is invalid.
    """

    def __init__(self, status: int, limit: Limit | None = None) -> None:
        super().__init__(f"refused with {status}")
        self.status = status
        self.limit = limit


class RequestReader:
    """Parses what a caller sends, and keeps the body of the request in progress.

    Parameters
    ----------
    conn : h11.Connection
    limits : ServerLimits
    max_body_bytes : int
        What the process has room for, whatever the limits say.

    Attributes
    ----------
    request : h11.Request or None
        Head of the request in progress.
    """

    __slots__ = (
        "_body",
        "_conn",
        "_limits",
        "_max_body_bytes",
        "_partial_bytes",
        "_pieces",
        "_unparsed",
        "request",
    )

    def __init__(
        self, conn: h11.Connection, limits: "ServerLimits", max_body_bytes: int
    ) -> None:
        self._conn = conn
        self._limits = limits
        self._max_body_bytes = max_body_bytes
        self._unparsed = bytearray()
        self._partial_bytes = 0
        self._body = bytearray()
        self._pieces = 0
        self.request: h11.Request | None = None

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that have been received and not been given to the parser."""
        return len(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Bytes that are kept of requests that aren't whole."""
        return len(self._unparsed) + self._partial_bytes + len(self._body)

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes belong to no request that has been read."""
        return bool(self._unparsed or self._conn.trailing_data[0])

    def receive(self, data: bytes) -> None:
        """Keep received bytes until they are parsed."""
        self._unparsed += data

    def read_part(self) -> Part:
        """Parse the next part of the request.

        Raises
        ------
        RequestRefused
        """
        try:
            event = self._next_event()
        except h11.RemoteProtocolError as fault:
            status = fault.error_status_hint or 400
            limit = Limit.HEADERS if status == _TOO_LARGE_HEADERS else None
            raise RequestRefused(status, limit) from fault
        if isinstance(event, h11.Request):
            self._check_head(event)
            self.request = event
            return Part.HEAD
        if isinstance(event, h11.Data):
            self._keep(event.data)
            return Part.BODY
        return Part.END if isinstance(event, h11.EndOfMessage) else Part.NOTHING

    def take_body(self) -> bytes:
        """Return the body of a whole request, which isn't kept any more."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def forget(self) -> None:
        """Drop all that was received, as nobody reads it any more."""
        self._unparsed = bytearray()
        self._body = bytearray()
        self._partial_bytes = 0
        self.request = None

    def _next_event(self) -> t.Any:
        event = self._conn.next_event()
        while event is h11.NEED_DATA and self._unparsed:
            self._feed()
            event = self._conn.next_event()
        if event is not h11.NEED_DATA:
            self._partial_bytes = 0
        return event

    def _feed(self) -> None:
        data = bytes(self._unparsed[:FEED_BYTES])
        del self._unparsed[:FEED_BYTES]
        self._partial_bytes += len(data)
        self._conn.receive_data(data)

    def _check_head(self, request: h11.Request) -> None:
        """Refuse what its head alone says to be too much, before it is read."""
        if len(request.headers) > self._limits.headers:
            raise RequestRefused(_TOO_LARGE_HEADERS, Limit.HEADERS)
        length = first_value(request.headers, b"content-length")
        if length is not None:
            self._check_body_bytes(int(length))
        self._pieces = 0

    def _keep(self, data: bytes) -> None:
        self._check_body_bytes(len(self._body) + len(data))
        self._body += data
        self._pieces += 1
        if has_too_many_pieces(self._pieces, len(self._body)):
            raise RequestRefused(_TOO_LONG, Limit.PIECES)

    def _check_body_bytes(self, body_bytes: int) -> None:
        if body_bytes > min(self._limits.body_bytes, self._max_body_bytes):
            raise RequestRefused(_TOO_LONG, Limit.BODY)


def has_too_many_pieces(pieces: int, body_bytes: int) -> bool:
    """Return whether a body comes in so many pieces that they cost too much time."""
    return pieces > FREE_PIECES + body_bytes / MIN_PIECE_BYTES
