"""Metrics and log lines of callers that reach a limit."""

import typing as t

import aioprometheus

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.line_limits import LineLimit

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_http1.connection_states import Limit


class LimitMetrics:
    """Counts and logs requests and connections that end at a limit.

    Parameters
    ----------
    registry : aioprometheus.Registry
    clock : Clock
    """

    __slots__ = ("_counter", "_counts", "_lines")

    def __init__(self, registry: aioprometheus.Registry, clock: "Clock") -> None:
        self._counter = aioprometheus.Counter(
            "fuchsiahatch_caller_limits_total",
            "Requests and connections of callers that ended at a limit.",
            registry=registry,
        )
        self._counts: dict[Limit, int] = {}
        self._lines = LineLimit(clock)

    def note(self, limit: "Limit") -> None:
        """Count one more; at most one line for each limit and second is written."""
        self._counter.inc({"limit": str(limit)})
        self._counts[limit] = self._counts.get(limit, 0) + 1
        if self._lines.allows(str(limit)):
            total = self._counts[limit]
            log_event(Event.CALLER_LIMITED, limit=str(limit), total=total)
