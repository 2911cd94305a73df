"""A request of a caller and its answer."""

import typing as t

import h11

from fuchsiahatch_http1.connection_states import Headers, first_value


class AnswerWriter(t.Protocol):
    """The connection that an answer is written to."""

    lost: bool

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    def send(self, event: t.Any) -> None:
        """Send an h11 event of the answer."""

    def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Reset the connection."""

    def cut(self) -> None:
        """Close in the middle of the answer."""

    async def drained(self) -> None:
        """Wait until the write buffer has space."""


class Exchange:
    """A request and its answer.

    Attributes
    ----------
    method, target : bytes
    headers : sequence of (bytes, bytes)
        Names in lower case.
    body : bytes
    started : bool
        Whether the head of the answer has been sent.
    caller_disconnected : bool
        Whether the caller has closed the connection.
    """

    __slots__ = ("_connection", "body", "headers", "method", "started", "target")

    def __init__(
        self, connection: AnswerWriter, request: h11.Request, body: bytes
    ) -> None:
        self._connection = connection
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers: Headers = [(name, value) for name, value in request.headers]
        self.body = body
        self.started = False

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._connection.lost

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)

    def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete answer."""
        self.start(status, [*headers, (b"content-length", b"%d" % len(body))])
        self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a Content-Length, the body is sent in chunks."""
        self.started = True
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data:
            self._connection.send(h11.Data(data=data))

    def finish(self) -> None:
        """Send the end of the body."""
        self._connection.finish()

    def abort(self) -> None:
        """Reset the connection, so that a partial answer can't seem complete."""
        self._connection.abort()

    def cut(self) -> None:
        """End a partial answer so that it can't seem complete, but send it so far."""
        self._connection.cut()

    async def drained(self) -> None:
        """Wait until the write buffer has space; backpressure for slow callers."""
        await self._connection.drained()
