"""Stated rates: the request rates that overloaded upstreams state in their answers."""

import dataclasses
import typing as t

from fuchsiahatch_adapter.upstreams import decode_stated_rate
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway.datagrams import RateNotice
from fuchsiahatch_gateway.line_limits import LineLimit

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time after an answer received here for which it takes precedence over another entry's
#: notice without a rate: the upstream may have sent the two answers in either order.
LOCAL_PRECEDENCE_MS = 100


@dataclasses.dataclass(slots=True)
class StatedRate:
    """The rate that an upstream states.

    Attributes
    ----------
    rate_per_s : float
        Requests per second of all entries together.
    stated_ms : int
        When it was stated.
    """

    rate_per_s: float
    stated_ms: int


class StatedRates:
    """Keeps the stated rates of upstreams up to date.

    A stated rate applies until an answer of the same incarnation has none, including
    one to another entry: otherwise entries that get few permits would learn of the end
    late.

    Parameters
    ----------
    clock : Clock
    broadcast : callable
        Sends a notice to all other entries.
    """

    __slots__ = ("_broadcast", "_clock", "_lines")

    def __init__(
        self, clock: "Clock", broadcast: t.Callable[[RateNotice], None]
    ) -> None:
        self._clock = clock
        self._broadcast = broadcast
        self._lines = LineLimit(clock)

    def note_answer(self, upstream: "Upstream", value: bytes | None) -> None:
        """Apply the rate that an upstream's answer states.

        Parameters
        ----------
        upstream : Upstream
        value : bytes or None
            As stated; None where the answer states no rate.
        """
        now_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        try:
            rate_per_s = decode_stated_rate(value)
        except FormError as fault:
            if self._lines.allows(instance):
                log_event(Event.RATE_UNREADABLE, upstream=instance, detail=fault.detail)
            rate_per_s = None
        previous = upstream.stated
        upstream.rate_stated_ms = now_ms
        if rate_per_s is None:
            if previous is not None:
                self._broadcast(RateNotice(instance, upstream.born_ms, None, 0))
            self._end_statement(upstream, now_ms)
            return
        upstream.stated = StatedRate(rate_per_s, now_ms)
        if previous is None:
            self._broadcast(RateNotice(instance, upstream.born_ms, rate_per_s, 0))
        if previous is None or previous.rate_per_s != rate_per_s:
            self._log_rate(upstream, "own answer")

    def receive_notice(self, upstream: "Upstream", notice: RateNotice) -> None:
        """Apply another entry's notice, unless newer information is known here."""
        now_ms = self._clock.now_ms()
        stated_ms = now_ms - notice.age_ms
        if notice.born_ms != upstream.born_ms or stated_ms <= upstream.rate_stated_ms:
            return
        if notice.rate_per_s is None:
            if stated_ms - upstream.rate_stated_ms > LOCAL_PRECEDENCE_MS:
                upstream.rate_stated_ms = stated_ms
                self._end_statement(upstream, now_ms)
            return
        upstream.rate_stated_ms = stated_ms
        upstream.stated = StatedRate(notice.rate_per_s, stated_ms)
        self._log_rate(upstream, "another entry")

    def _end_statement(self, upstream: "Upstream", now_ms: int) -> None:
        if upstream.stated is None:
            return
        stated_before_ms = now_ms - upstream.stated.stated_ms
        upstream.stated = None
        upstream.limited_until_ms = 0
        instance = upstream.entry.instance
        log_event(Event.RATE_ENDED, upstream=instance, said_before_ms=stated_before_ms)

    def _log_rate(self, upstream: "Upstream", source: str) -> None:
        instance = upstream.entry.instance
        if upstream.stated is not None and self._lines.allows(instance):
            log_event(
                Event.RATE_STATED,
                upstream=instance,
                rate_per_s=upstream.stated.rate_per_s,
                source=source,
            )
