"""Issues permits to send requests to upstreams that state a rate."""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Unused permits that may accumulate, as time at the stated rate.
BURST_MS = 400
#: Minimum rate of permits, also where a lower rate or 0 is stated: only an answer shows
#: that an upstream no longer limits its rate, so some requests must be sent.
MIN_RATE_PER_S = 0.25
#: Time after the first request for an upstream's permits in which this process issues
#: only a share of them: for as long, the previous issuer may still issue permits to
#: entries that don't know of the change yet.
WARM_UP_MS = 4_000
WARM_UP_SHARE = 0.25
#: Time without a permit request after which an upstream's state is dropped: it no
#: longer limits its rate, or another entry has become the issuer.
IDLE_TIMEOUT_MS = 8_000
#: Maximum wait for a permit that is sent to an entry.
MAX_WAIT_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Meter:
    """An upstream's stated rate, and the times of its next permits.

    Attributes
    ----------
    rate_per_s : float
    stated_ms : int
        When the upstream stated it.
    began_ms : int
        When this process began to issue its permits.
    next_ms : float
        When the next permit is due.
    promised_ms : float
        When the next permit is due for which no entry was given a wait.
    """

    rate_per_s: float
    stated_ms: int
    began_ms: int
    next_ms: float
    promised_ms: float


class PermitIssuer:
    """Issues the permits of the upstreams for which this entry is responsible.

    One process issues all permits of an upstream, so that their rate is the stated one
    however many entries send, and the permits go to the entries that have requests.

    Parameters
    ----------
    clock : Clock
    burst_ms : int, optional
        Unused permits that may accumulate, as time at the stated rate.
    max_wait_ms : int, optional
        Maximum wait for a permit that is sent to an entry.
    warm_up_share : float, optional
        Share of the rate that is issued for the first `WARM_UP_MS`.

    Attributes
    ----------
    issued, refused : int
    """

    __slots__ = (
        "_burst_ms",
        "_clock",
        "_max_wait_ms",
        "_meters",
        "_warm_up_share",
        "issued",
        "refused",
    )

    def __init__(
        self,
        clock: "Clock",
        burst_ms: int = BURST_MS,
        max_wait_ms: int = MAX_WAIT_MS,
        warm_up_share: float = WARM_UP_SHARE,
    ) -> None:
        self._clock = clock
        self._burst_ms = burst_ms
        self._max_wait_ms = max_wait_ms
        self._warm_up_share = warm_up_share
        self._meters: dict[str, _Meter] = {}
        self.issued = 0
        self.refused = 0

    def issue(
        self,
        instance: str,
        rate_per_s: float,
        age_ms: int,
        began_ms: int | None = None,
    ) -> int:
        """Issue a permit if one is due.

        Parameters
        ----------
        instance : str
            The upstream.
        rate_per_s : float
            Its stated rate, as known to the entry that asks.
        age_ms : int
            Time since the upstream stated it.
        began_ms : int, optional
            When this process became the issuer; by default when the first permit was
            asked for.

        Returns
        -------
        wait_ms : int
            0 if the permit was issued, else the time until the next attempt.
        """
        now_ms = self._clock.now_ms()
        meter = self._get_meter(instance, rate_per_s, now_ms - age_ms, now_ms)
        if began_ms is not None:
            meter.began_ms = began_ms
        interval_ms = 1_000 / self._permit_rate(meter, now_ms)
        if meter.next_ms <= now_ms:
            meter.next_ms = max(meter.next_ms, now_ms - self._burst_ms) + interval_ms
            self.issued += 1
            return 0
        self.refused += 1
        # Each gets a different wait, so that they don't retry for the same permit.
        due_ms = max(meter.promised_ms, meter.next_ms)
        wait_ms = max(min(due_ms - now_ms, self._max_wait_ms), 1)
        if wait_ms < self._max_wait_ms:
            meter.promised_ms = due_ms + interval_ms
        return int(wait_ms)

    def _get_meter(
        self, instance: str, rate_per_s: float, stated_ms: int, now_ms: int
    ) -> _Meter:
        meter = self._meters.get(instance)
        if meter is None or now_ms - meter.next_ms > IDLE_TIMEOUT_MS:
            self._meters = {
                name: active
                for name, active in self._meters.items()
                if now_ms - active.next_ms <= IDLE_TIMEOUT_MS
            }
            meter = _Meter(rate_per_s, stated_ms, now_ms, now_ms, now_ms)
            self._meters[instance] = meter
        elif stated_ms > meter.stated_ms:
            meter.rate_per_s, meter.stated_ms = rate_per_s, stated_ms
            interval_ms = 1_000 / self._permit_rate(meter, now_ms)
            meter.next_ms = min(meter.next_ms, now_ms + interval_ms)
            meter.promised_ms = min(meter.promised_ms, now_ms + interval_ms)
        return meter

    def _permit_rate(self, meter: _Meter, now_ms: int) -> float:
        rate_per_s = meter.rate_per_s
        if now_ms - meter.began_ms < WARM_UP_MS:
            rate_per_s *= self._warm_up_share
        return max(rate_per_s, MIN_RATE_PER_S)
