"""Rates that upstreams in need say they take, as this entry has heard of them."""

import dataclasses
import typing as t

from fuchsiahatch_adapter.upstreams import decode_stated_rate
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway.datagrams import RateNotice

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Age of this entry's own last word from which another's counts that a need has ended:
#: the two may have had their answers in the other order.
OWN_WORD_MS = 100
#: Pause between two lines about one upstream's rate.
LINE_PAUSE_MS = 1_000


@dataclasses.dataclass(slots=True)
class StatedRate:
    """What an upstream takes.

    Attributes
    ----------
    rate_per_s : float
        Requests a second, of all entries together.
    said_ms : int
        When it said so.
    """

    rate_per_s: float
    said_ms: int


class StatedRates:
    """Keeps what upstreams say of their rates.

    A statement holds until an answer of the same life doesn't repeat it, be it one to
    another entry: those that get few permits would hear of the end last.

    Parameters
    ----------
    clock : Clock
    tell_others : callable
        Sends a notice to all other entries.
    """

    __slots__ = ("_clock", "_logged_ms", "_tell_others")

    def __init__(
        self, clock: "Clock", tell_others: t.Callable[[RateNotice], None]
    ) -> None:
        self._clock = clock
        self._tell_others = tell_others
        self._logged_ms: dict[str, int] = {}

    def note_answer(self, upstream: "Upstream", value: bytes | None) -> None:
        """Take in what an upstream's answer says of its rate.

        Parameters
        ----------
        upstream : Upstream
        value : bytes or None
            As stated; None where the answer says nothing.
        """
        now_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        try:
            rate_per_s = decode_stated_rate(value)
        except FormError as fault:
            if self._may_log(instance, now_ms):
                log_event(Event.RATE_UNREADABLE, upstream=instance, detail=fault.detail)
            rate_per_s = None
        before = upstream.stated
        upstream.rate_said_ms = now_ms
        if rate_per_s is None:
            if before is not None:
                self._tell_others(RateNotice(instance, upstream.born_ms, None, 0))
            self._end(upstream, now_ms)
            return
        upstream.stated = StatedRate(rate_per_s, now_ms)
        if before is None:
            self._tell_others(RateNotice(instance, upstream.born_ms, rate_per_s, 0))
        if before is None or before.rate_per_s != rate_per_s:
            self._log(upstream, "own answer", now_ms)

    def receive_notice(self, upstream: "Upstream", notice: RateNotice) -> None:
        """Take in what another entry was told, unless this one knows better."""
        now_ms = self._clock.now_ms()
        said_ms = now_ms - notice.age_ms
        if notice.born_ms != upstream.born_ms or said_ms <= upstream.rate_said_ms:
            return
        if notice.rate_per_s is None:
            if said_ms - upstream.rate_said_ms > OWN_WORD_MS:
                upstream.rate_said_ms = said_ms
                self._end(upstream, now_ms)
            return
        upstream.rate_said_ms = said_ms
        upstream.stated = StatedRate(notice.rate_per_s, said_ms)
        self._log(upstream, "another entry", now_ms)

    def _end(self, upstream: "Upstream", now_ms: int) -> None:
        if upstream.stated is None:
            return
        lasted_ms = now_ms - upstream.stated.said_ms
        upstream.stated = None
        upstream.limited_until_ms = 0
        instance = upstream.entry.instance
        log_event(Event.RATE_ENDED, upstream=instance, said_before_ms=lasted_ms)

    def _log(self, upstream: "Upstream", source: str, now_ms: int) -> None:
        instance = upstream.entry.instance
        if upstream.stated is not None and self._may_log(instance, now_ms):
            log_event(
                Event.RATE_STATED,
                upstream=instance,
                rate_per_s=upstream.stated.rate_per_s,
                source=source,
            )

    def _may_log(self, instance: str, now_ms: int) -> bool:
        """Return whether a line is due; an upstream's rate may change each answer."""
        logged_ms = self._logged_ms.get(instance)
        if logged_ms is not None and now_ms - logged_ms < LINE_PAUSE_MS:
            return False
        self._logged_ms[instance] = now_ms
        return True
