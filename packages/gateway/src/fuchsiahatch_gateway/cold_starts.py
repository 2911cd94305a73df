"""Which upstreams are cold and until when, and what they may be sent meanwhile."""

import collections
import dataclasses
import math
import time
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.answer_statements import MAX_CLOCK_SKEW_MS
from fuchsiahatch_gateway.defaults import MAX_PERMIT_REPLY_MS
from fuchsiahatch_gateway.line_limits import LineLimit
from fuchsiahatch_gateway.stated_rates import StatedRate

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import ColdStart
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time over which requests to a cold upstream are counted.
WINDOW_MS = 1_000
#: Share of the limit that the permits of one issuer may use. Two entries that both
#: issue at the full rate, and a third one that has just begun and issues at
#: `WARM_UP_SHARE` of it, together stay below the limit.
ISSUER_SHARE = 0.425
#: Share of its rate that an entry issues which has just become the issuer. After a loss
#: of all power every upstream is cold and every issuer new: 64 upstreams then take some
#: 170 requests per second.
WARM_UP_SHARE = 0.35
#: Age up to which a permit is valid: connecting takes up to 300 ms. Without a limit, a
#: host that stalls would use its permits together with those that are issued later.
MAX_PERMIT_AGE_MS = 300
#: Largest difference between the times from the issue of a permit to the arrival of its
#: request. The requests of one second may have permits that were issued over a time
#: that is longer by it.
MAX_DELAY_SPREAD_MS = MAX_PERMIT_REPLY_MS + MAX_PERMIT_AGE_MS


@dataclasses.dataclass(slots=True)
class ColdFacts:
    """What an entry knows of the cold periods of an upstream's incarnation.

    All times are of the entry's own clock.

    Attributes
    ----------
    seen_ms : int
        When the incarnation was first seen.
    age_ms : float
        Its age then; infinite if unknown and not known to be new.
    item_version : (int, int) or None
        Version of its item in the store; None before it was read.
    item_seen_ms, item_until_ms : int
        When the first item of a cold period was seen, and until when the upstream is
        cold by its items.
    sends_ms : deque of int
        Latest requests that this entry has sent there without a permit.
    """

    seen_ms: int = 0
    age_ms: float = math.inf
    item_version: tuple[int, int] | None = None
    item_seen_ms: int = 0
    item_until_ms: int = 0
    sends_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimits:
    """The limits on requests to the cold upstreams of a service.

    Attributes
    ----------
    duration_ms : int
        How long an upstream is cold after its start.
    limit_per_s : float
        Most requests in any second, of all entries together.
    permit_rate_per_s : float
        Rate of the permits of one issuer.
    """

    duration_ms: int
    limit_per_s: float
    permit_rate_per_s: float


class _Period(t.NamedTuple):
    """A cold period; periods compare by their ends first."""

    until_ms: int
    begin_ms: int
    source: str


class ColdStarts:
    """Decides which upstreams are cold, and what this entry may send them.

    Nothing is limited where a service or the settings state no figures.

    Parameters
    ----------
    clock : Clock
    figures_of : callable, optional
        Returns the `ColdStart` of a service, or None.
    over, slack : float or None, optional
        As `Bounds.cold_over` and `Bounds.cold_slack`.
    count_entries : callable, optional
        Returns the number of live entries.
    time_of_day : Clock, optional
        Unix time.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_figures_of",
        "_limits",
        "_lines",
        "_over",
        "_slack",
        "_synced",
        "_time_of_day",
        "_zones_returned_ms",
    )

    def __init__(
        self,
        clock: Clock,
        figures_of: "t.Callable[[str], ColdStart | None]" = lambda service: None,
        over: float | None = None,
        slack: float | None = None,
        count_entries: t.Callable[[], int] = lambda: 1,
        time_of_day: Clock | None = None,
    ) -> None:
        self._clock = clock
        self._figures_of = figures_of
        self._over = over
        self._slack = slack
        self._count_entries = count_entries
        self._time_of_day = time_of_day or Clock(time.time_ns)
        self._lines = LineLimit(clock)
        self._limits: dict[str, tuple[ColdStart, ColdLimits]] = {}
        self._synced = False
        self._zones_returned_ms: dict[str, int] = {}

    def note_synced(self) -> None:
        """Note that all items were read: one that comes later is of a new upstream."""
        self._synced = True

    def note_incarnation(self, upstream: "Upstream") -> None:
        """Note that an incarnation of an upstream is seen for the first time."""
        upstream.cold.seen_ms = self._clock.now_ms()
        upstream.cold.age_ms = self._age_ms(upstream.born_ms)
        self._log_begin(upstream)

    def note_start_time(self, upstream: "Upstream") -> None:
        """Note that the start time of an incarnation has become known."""
        facts, was_cold = upstream.cold, self.is_cold(upstream)
        since_seen_ms = self._clock.now_ms() - facts.seen_ms
        age_ms = self._age_ms(upstream.born_ms) - since_seen_ms
        # One that has counted as new until now stays cold for its time.
        facts.age_ms = min(facts.age_ms, age_ms)
        if not was_cold:
            self._log_begin(upstream)

    def note_item(self, upstream: "Upstream", version: tuple[int, int]) -> None:
        """Note the remaining cold time of an upstream's item, if it has changed."""
        facts = upstream.cold
        if facts.item_version == version:
            return
        was_cold = self.is_cold(upstream)
        now_ms = self._clock.now_ms()
        facts.item_version = version
        if facts.item_until_ms <= now_ms:
            facts.item_seen_ms = now_ms
        until_ms = now_ms + upstream.entry.cold_remaining_ms
        facts.item_until_ms = max(facts.item_until_ms, until_ms)
        if not was_cold:
            self._log_begin(upstream)

    def note_zone_returned(self, zone: str, upstreams: t.Iterable["Upstream"]) -> None:
        """Note that the drain of a zone has ended, which leaves its upstreams cold."""
        warm = [
            upstream
            for upstream in upstreams
            if upstream.entry.zone == zone and not self.is_cold(upstream)
        ]
        self._zones_returned_ms[zone] = self._clock.now_ms()
        for upstream in warm:
            self._log_begin(upstream)

    def limits_of(self, service: str) -> ColdLimits | None:
        """Return the limits of a service; None where it has none."""
        figures = self._figures_of(service)
        if figures is None or self._over is None or self._slack is None:
            return None
        known = self._limits.get(service)
        if known is None or known[0] is not figures:
            limits = _make_limits(figures, self._over, self._slack)
            known = self._limits[service] = figures, limits
        return known[1]

    def is_cold(self, upstream: "Upstream") -> bool:
        """Return whether an upstream is known to be cold now."""
        return self._period(upstream) is not None

    def permit_rate(self, upstream: "Upstream") -> StatedRate | None:
        """Return the rate of a cold upstream's permits; None where it isn't cold.

        A lower rate that the upstream states takes precedence.
        """
        limits = self.limits_of(upstream.entry.service)
        period = self._period(upstream)
        if limits is None or period is None:
            return None
        stated = upstream.stated
        if stated is not None and stated.rate_per_s < limits.permit_rate_per_s:
            return stated
        return StatedRate(limits.permit_rate_per_s, period.begin_ms)

    def is_reservation_valid(self, upstream: "Upstream", reserved_ms: int) -> bool:
        """Return whether a request with a reserved slot may still be sent.

        It may not if its permit has expired, or if it needed none and the upstream has
        become cold since.

        Parameters
        ----------
        upstream : Upstream
        reserved_ms : int
            When the request got its slot, and its permit if it needed one then.
        """
        limits = self.limits_of(upstream.entry.service)
        if limits is None:
            return True
        periods = self._periods(upstream, limits.duration_ms)
        # Periods overlap: it has been cold since the earliest of them began.
        cold_since_ms = min((period.begin_ms for period in periods), default=None)
        if cold_since_ms is None:
            return True
        age_ms = self._clock.now_ms() - reserved_ms
        return cold_since_ms <= reserved_ms and age_ms <= MAX_PERMIT_AGE_MS

    def may_send(self, upstream: "Upstream") -> bool:
        """Return whether this entry may send one more request there now.

        An upstream may be cold without being known to be. Without this limit each of
        many entries could send it some requests before they learn of that. A cold
        upstream needs a permit instead.
        """
        if not upstream.cold.sends_ms:
            # The limit is at least one. As most upstreams of a service pass here, a
            # choice doesn't count the entries for each of them.
            return True
        limits = self.limits_of(upstream.entry.service)
        if limits is None or self.is_cold(upstream):
            return True
        return len(self._latest_sends(upstream)) < self._own_limit(limits)

    def note_send(self, upstream: "Upstream") -> int:
        """Count a request that is sent without a permit.

        Returns
        -------
        wait_ms : int
            Time until it counts no more; 0 where none are counted.
        """
        limits = self.limits_of(upstream.entry.service)
        if limits is None or self.is_cold(upstream):
            return 0
        self._latest_sends(upstream).append(self._clock.now_ms())
        return WINDOW_MS

    def _own_limit(self, limits: ColdLimits) -> int:
        """Return this entry's share of the limit, in requests per `WINDOW_MS`."""
        return max(1, int(limits.limit_per_s / max(1, self._count_entries())))

    def _latest_sends(self, upstream: "Upstream") -> collections.deque[int]:
        """Return the times of the sends that still count; drop older ones."""
        sends_ms = upstream.cold.sends_ms
        earliest_ms = self._clock.now_ms() - WINDOW_MS
        while sends_ms and sends_ms[0] <= earliest_ms:
            sends_ms.popleft()
        return sends_ms

    def _period(self, upstream: "Upstream") -> _Period | None:
        """Return the current cold period that ends last; None where there is none."""
        limits = self.limits_of(upstream.entry.service)
        if limits is None:
            return None
        return max(self._periods(upstream, limits.duration_ms), default=None)

    def _periods(self, upstream: "Upstream", duration_ms: int) -> t.Iterator[_Period]:
        """Yield the current cold periods."""
        facts, now_ms = upstream.cold, self._clock.now_ms()
        earliest_ms = now_ms - duration_ms
        if facts.item_until_ms > now_ms:
            yield _Period(facts.item_until_ms, facts.item_seen_ms, "item")
        was_new = facts.age_ms < duration_ms + MAX_CLOCK_SKEW_MS
        if was_new and facts.seen_ms > earliest_ms:
            yield _Period(facts.seen_ms + duration_ms, facts.seen_ms, "start")
        returned_ms = self._zones_returned_ms.get(upstream.entry.zone)
        if returned_ms is not None and returned_ms > earliest_ms:
            yield _Period(returned_ms + duration_ms, returned_ms, "drain")

    def _age_ms(self, born_ms: int) -> float:
        """Return the age of an upstream; `born_ms` is Unix time, 0 if unknown."""
        if born_ms:
            return self._time_of_day.now_ms() - born_ms
        return 0 if self._synced else math.inf

    def _log_begin(self, upstream: "Upstream") -> None:
        period = self._period(upstream)
        instance = upstream.entry.instance
        if period is not None and self._lines.allows(instance):
            log_event(
                Event.UPSTREAM_COLD,
                upstream=instance,
                cold_ms=period.until_ms - self._clock.now_ms(),
                source=period.source,
            )


def _make_limits(figures: "ColdStart", over: float, slack: float) -> ColdLimits:
    limit_per_s = figures.rate_per_s * over + slack
    # The requests of one window have permits that were issued within this time.
    issue_window_s = (WINDOW_MS + MAX_DELAY_SPREAD_MS) / 1000
    # Of evenly spaced permits, some windows have one more than the rate yields.
    share_per_s = (ISSUER_SHARE * limit_per_s - 1) / issue_window_s
    permit_rate_per_s = max(0.0, min(figures.rate_per_s, share_per_s))
    return ColdLimits(figures.duration_ms, limit_per_s, permit_rate_per_s)
