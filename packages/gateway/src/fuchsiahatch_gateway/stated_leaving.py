"""Upstreams that state in their answers that they leave."""

import typing as t

from fuchsiahatch_adapter.names import LEAVING
from fuchsiahatch_adapter.upstreams import decode_leaving
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway.line_limits import LineLimit

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_http1.answers import Head


class StatedLeaving:
    """Takes upstreams out of use whose answers state that they leave.

    Leaving is final for an incarnation, whatever its entry in the store says: that may
    be late, missing, or of an older copy.

    Parameters
    ----------
    clock : Clock
    on_leaving : callable
        Called with the entry of each upstream that begins to leave.
    """

    __slots__ = ("_clock", "_lines", "_on_leaving")

    def __init__(
        self, clock: "Clock", on_leaving: t.Callable[["UpstreamEntry"], None]
    ) -> None:
        self._clock = clock
        self._on_leaving = on_leaving
        self._lines = LineLimit(clock)

    def note_head(self, upstream: "Upstream", head: "Head") -> None:
        """Apply what the head of an upstream's answer states."""
        instance = upstream.entry.instance
        try:
            leaving = decode_leaving(head.header(LEAVING))
        except FormError as fault:
            if self._lines.allows(instance):
                log_event(
                    Event.STATEMENT_UNREADABLE, upstream=instance, detail=fault.detail
                )
            return
        if not leaving:
            return
        upstream.statements.leaving_stated_ms = self._clock.now_ms()
        if upstream.statements.leaving:
            return
        upstream.statements.leaving = True
        log_event(
            Event.UPSTREAM_LEAVING,
            upstream=instance,
            own=upstream.local_requests,
            source="own answer",
        )
        self._on_leaving(upstream.entry)
