"""Metrics and log lines of answers that callers may lack when connections end."""

import typing as t

import aioprometheus

from fuchsiahatch_adapter import names
from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.connection_states import ClosedConnection, CutRequest
    from fuchsiahatch_http1.server import HttpServer

#: What a close that isn't acknowledged yet takes in the kernel's queue.
FIN_BYTES = 1


class ConnectionMetrics:
    """Counts and logs requests that are cut, and counts lossy closes.

    Parameters
    ----------
    registry : aioprometheus.Registry
    """

    __slots__ = ("_cuts", "_lossy")

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._cuts = aioprometheus.Counter(
            "fuchsiahatch_cut_requests_total",
            "Requests whose connections ended before their answers.",
            registry=registry,
        )
        self._lossy = aioprometheus.Counter(
            "fuchsiahatch_lossy_closes_total",
            "Connections of callers closed with unacknowledged or unread bytes.",
            registry=registry,
        )

    def observe(self, server: "HttpServer") -> None:
        """Count and log from now on what happens to a server's connections."""
        server.report_cuts(self._note_cut, self._note_closed)

    def _note_cut(self, cut: "CutRequest") -> None:
        labels = {
            "reason": str(cut.reason),
            "caller": str(cut.peer_end),
            "state": str(cut.state),
        }
        self._cuts.inc(labels)
        request = cut.request
        log_event(
            Event.REQUEST_CUT,
            request=(request.header(names.REQUEST_ID) or b"").decode("latin-1"),
            **labels,
            age_ms=request.age_ms,
            answer_bytes=request.answer_bytes,
            unacknowledged_bytes=cut.unacknowledged_bytes,
            stopping=cut.stopping,
        )

    def _note_closed(self, closed: "ClosedConnection") -> None:
        labels = {"reason": str(closed.reason), "caller": str(closed.peer_end)}
        if closed.unacknowledged_bytes > FIN_BYTES:
            self._lossy.inc({**labels, "bytes": "unacknowledged"})
        if closed.unread_bytes:
            self._lossy.inc({**labels, "bytes": "unread"})
