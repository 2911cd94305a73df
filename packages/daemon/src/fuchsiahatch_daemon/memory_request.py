"""Requests whose bodies are kept in memory, within limits."""

import io
import typing as t

from twisted.web.server import Request, Site

from fuchsiahatch_core.defaults import (
    MAX_BODY_BYTES,
    MAX_EXCESS_BODY_BYTES,
    MAX_RECEIVED_BYTES,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_http1.received_bytes import ReceivedBytes
from fuchsiahatch_http1.request_reader import has_too_many_pieces

if t.TYPE_CHECKING:
    from twisted.python.failure import Failure

_REFUSAL = (
    b"HTTP/1.1 %b\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
_TOO_LARGE = b"413 Content Too Large"
_UNAVAILABLE = b"503 Service Unavailable"


class CallerSite(Site):
    """Serves callers, and counts what is held of their requests.

    Attributes
    ----------
    received : ReceivedBytes
    """

    def __init__(self, *arguments: t.Any, **options: t.Any) -> None:
        super().__init__(*arguments, **options)
        self.received = ReceivedBytes(MAX_RECEIVED_BYTES)


class MemoryRequest(Request):
    """Keeps a request's body in memory, up to one byte beyond the limit.

    Notes
    -----
    twisted spools a long body into a file; the hosts have no disks, and a caller
    that sends without end would fill whatever stands in for one.

    .. versionadded:: 0.1
    """

    _sent_bytes = 0
    _pieces = 0
    _is_refused = False

    def gotLength(self, length: int | None) -> None:
        """Make room for the body."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a piece of the body, as far as it fits."""
        if self._is_refused:
            return
        self._sent_bytes += len(data)
        self._pieces += 1
        room = MAX_BODY_BYTES + 1 - self.content.tell()
        self.content.write(data[:room])
        if self._sent_bytes > MAX_BODY_BYTES + MAX_EXCESS_BODY_BYTES:
            self._refuse(_TOO_LARGE)
        elif has_too_many_pieces(self._pieces, self._sent_bytes):
            self._refuse(_TOO_LARGE)
        else:
            self._received.note_held(self, self.content.tell())

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Handle the request, whose body is whole, if there is room for it."""
        if self._is_refused:
            return
        # The request has no channel any more when it ends.
        received, connection = self._received, self.channel.transport
        received.note_dropped(self)
        body_bytes = self.content.tell()
        if not received.begin_handling(self, body_bytes):
            self._refuse(_UNAVAILABLE)
            return
        connection.note_request_begun()

        def end(result: t.Any) -> None:
            received.end_handling(body_bytes)
            connection.note_request_ended()

        self.notifyFinish().addBoth(end)
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: "Failure") -> None:
        """Hold nothing any more."""
        self._received.note_dropped(self)
        super().connectionLost(reason)

    def give_way(self) -> None:
        """Refuse the request, whose body isn't whole, as there is no room for it."""
        self._refuse(_UNAVAILABLE)

    @property
    def _received(self) -> ReceivedBytes:
        return self.channel.site.received

    def _refuse(self, status: bytes) -> None:
        """Answer before the request is whole, and close."""
        self._is_refused = True
        self._received.note_dropped(self)
        self.content = io.BytesIO()
        log_event(Event.CALLER_LIMITED, limit="body", status=status.decode())
        self.channel.transport.write(_REFUSAL % status)
        self.channel.loseConnection()
