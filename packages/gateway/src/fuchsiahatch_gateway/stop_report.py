"""Log lines about an entry's connections while it stops."""

import collections
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.connection_states import (
        ClosedConnection,
        CloseReason,
        OpenRequest,
    )
    from fuchsiahatch_http1.server import HttpServer

#: Requests that the last line describes; further ones are counted.
MAX_DESCRIBED_REQUESTS = 8
#: Lines about closed connections for each reason; `closed` in the last line counts all.
MAX_CLOSE_LINES = 64


class StopReport:
    """Logs what becomes of a stopping server's connections.

    Parameters
    ----------
    server : HttpServer
    """

    __slots__ = ("_closed", "_lines", "_server")

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._closed: collections.Counter[CloseReason] = collections.Counter()
        self._lines: collections.Counter[CloseReason | None] = collections.Counter()

    def begin(self) -> None:
        """Log the connections by state; from now on, log how each one ends."""
        log_event(
            Event.STOPPING,
            busy=self._server.busy,
            connections=_by_name(self._server.count_states()),
        )
        self._server.report_closes(self._note_close, self._note_closed)

    def end(self) -> None:
        """Log what is still open and the connections closed since `begin`."""
        requests = self._server.open_requests()
        described = requests[:MAX_DESCRIBED_REQUESTS]
        unsent = [one.unsent_bytes for one in self._server.connections]
        log_event(
            Event.STOPPED,
            busy=self._server.busy,
            open=[_describe(request) for request in described],
            open_more=len(requests) - len(described),
            unsent_connections=sum(size > 0 for size in unsent),
            unsent_bytes=sum(unsent),
            closed=_by_name(self._closed),
            connections=_by_name(self._server.count_states()),
        )

    def note_remaining(self) -> None:
        """Log the connections that the end of the process closes."""
        for connection in self._server.describe_connections():
            self._note_closed(connection)

    def _note_close(self, reason: "CloseReason") -> None:
        self._closed[reason] += 1

    def _note_closed(self, closed: "ClosedConnection") -> None:
        self._lines[closed.reason] += 1
        if self._lines[closed.reason] <= MAX_CLOSE_LINES:
            log_event(Event.CONNECTION_CLOSED, **_describe_closed(closed))


def _by_name(counts: t.Mapping[t.Any, int]) -> dict[str, int]:
    # The log's encoder takes no enumeration members as keys.
    return {str(name): count for name, count in counts.items()}


def _describe_closed(closed: "ClosedConnection") -> dict[str, t.Any]:
    return {
        "reason": "open" if closed.reason is None else str(closed.reason),
        "caller": str(closed.peer_end),
        "request": (closed.header(names.REQUEST_ID) or b"").decode("latin-1"),
        "answered_ago_ms": closed.answered_ago_ms,
        "answer_bytes": closed.answer_bytes,
        "unacknowledged_bytes": closed.unacknowledged_bytes,
        "unread_bytes": closed.unread_bytes,
        "discarded_bytes": closed.discarded_bytes,
        "lingered_ms": closed.lingered_ms,
    }


def _describe(request: "OpenRequest") -> dict[str, t.Any]:
    return {
        "request": (request.header(names.REQUEST_ID) or b"").decode("latin-1"),
        "age_ms": request.age_ms,
        "arrived_while_stopping": request.arrived_while_leaving,
        "connected_while_stopping": request.connected_while_leaving,
        "answer_bytes": request.answer_bytes,
    }
