"""Backoff periods that upstreams ask for with Retry-After."""

import asyncio
import typing as t

from fuchsiahatch_adapter.names import REQUEST_ID, RETRY_AFTER
from fuchsiahatch_adapter.upstreams import decode_retry_after_ms
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway.line_limits import LineLimit

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_http1.answers import Head

#: Statuses with which an upstream rejects a request for the time being.
REJECTIONS = (429, 503)
#: The clock's reading is up to this much less than the time.
CLOCK_STEP_MS = 1


class Backoffs:
    """Applies the Retry-After of upstreams' rejections.

    An upstream gets no further request of this entry until the latest end that any of
    its answers has named: neither a shorter time nor a success ends it early.

    Parameters
    ----------
    clock : Clock
    on_begun, on_ended : callable
        Called with the service of an upstream that begins, or no longer has, a backoff
        period.

    Attributes
    ----------
    begun : int
        Backoff periods so far.
    """

    __slots__ = ("_clock", "_lines", "_on_begun", "_on_ended", "begun")

    def __init__(
        self,
        clock: "Clock",
        on_begun: t.Callable[[str], None],
        on_ended: t.Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._on_begun = on_begun
        self._on_ended = on_ended
        self._lines = LineLimit(clock)
        self.begun = 0

    def note_head(self, upstream: "Upstream", head: "Head") -> None:
        """Apply the Retry-After of an upstream's answer, if it is a rejection."""
        if head.status not in REJECTIONS:
            upstream.note_accepted()
            return
        delay_ms = max(self._decode_delays_ms(upstream, head), default=0)
        now_ms = self._clock.now_ms()
        until_ms = now_ms + delay_ms + CLOCK_STEP_MS
        if not delay_ms or until_ms <= upstream.statements.backoff_until_ms:
            return
        begins = not upstream.backoff_left_ms(now_ms)
        self.begun += begins
        upstream.statements.backoff_until_ms = until_ms
        upstream.statements.backoff_stated_ms = now_ms
        upstream.start_slowly()
        if self._lines.allows(upstream.entry.instance) or begins:
            _log_begin(upstream, head, delay_ms)
        loop = asyncio.get_running_loop()
        loop.call_later((until_ms - now_ms) / 1000, self._end, upstream, until_ms)
        self._on_begun(upstream.entry.service)

    def _decode_delays_ms(self, upstream: "Upstream", head: "Head") -> t.Iterator[int]:
        for value in head.values(RETRY_AFTER):
            try:
                yield decode_retry_after_ms(value)
            except FormError as fault:
                instance = upstream.entry.instance
                if self._lines.allows(instance):
                    log_event(
                        Event.STATEMENT_UNREADABLE,
                        upstream=instance,
                        detail=fault.detail,
                    )

    def _end(self, upstream: "Upstream", until_ms: int) -> None:
        if upstream.statements.backoff_until_ms != until_ms:
            # A later answer has extended it.
            return
        log_event(Event.UPSTREAM_BACKOFF_ENDED, upstream=upstream.entry.instance)
        self._on_ended(upstream.entry.service)


def _log_begin(upstream: "Upstream", head: "Head", delay_ms: int) -> None:
    log_event(
        Event.UPSTREAM_BACKOFF,
        upstream=upstream.entry.instance,
        service=upstream.entry.service,
        status=head.status,
        backoff_ms=delay_ms,
        request=(head.header(REQUEST_ID) or b"").decode("latin-1"),
        own=upstream.local_requests,
    )
