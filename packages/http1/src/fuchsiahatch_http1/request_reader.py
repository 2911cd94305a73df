"""Reads the requests of one connection, a small part at a time."""

import enum
import typing as t

import h11

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.server_state import ServerLimits

#: Received bytes that the parser is given at once.
FEED_BYTES = 16_384
_TOO_LONG = 413


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
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"refused with {status}")
        self.status = status


class RequestReader:
    """Parses what a caller sends, and keeps the body of the request in progress.

    Parameters
    ----------
    conn : h11.Connection
    limits : ServerLimits

    Attributes
    ----------
    request : h11.Request or None
        Head of the request in progress.
    """

    __slots__ = (
        "_body",
        "_conn",
        "_limits",
        "_unparsed",
        "request",
    )

    def __init__(self, conn: h11.Connection, limits: "ServerLimits") -> None:
        self._conn = conn
        self._limits = limits
        self._unparsed = bytearray()
        self._body = bytearray()
        self.request: h11.Request | None = None

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that have been received and not been given to the parser."""
        return len(self._unparsed)

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
            raise RequestRefused(status) from fault
        if isinstance(event, h11.Request):
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
        self.request = None

    def _next_event(self) -> t.Any:
        event = self._conn.next_event()
        while event is h11.NEED_DATA and self._unparsed:
            self._feed()
            event = self._conn.next_event()
        return event

    def _feed(self) -> None:
        data = bytes(self._unparsed[:FEED_BYTES])
        del self._unparsed[:FEED_BYTES]
        self._conn.receive_data(data)

    def _keep(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._limits.body_bytes:
            raise RequestRefused(_TOO_LONG)
        self._body += data
