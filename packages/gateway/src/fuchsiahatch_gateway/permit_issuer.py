"""Gives out permits to send to upstreams that name the rate they take."""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Permits that may pile up unused, as time at the stated rate.
BURST_MS = 400
#: Rate of permits where less is stated, none included: only an answer tells that an
#: upstream's need has ended, and somebody must get one.
LEAST_RATE_PER_S = 0.25
#: Time behind the first permit asked of this process for which it gives out fewer, and
#: what share of them: whoever gave them out before may do so for as long, where others
#: haven't heard of this one yet.
WARM_UP_MS = 4_000
WARM_UP_SHARE = 0.25
#: Time without a question behind which an upstream is forgotten: its need is over, or
#: another entry was asked meanwhile.
IDLE_MS = 8_000
#: Longest time that somebody is told to wait for a permit.
MOST_WAIT_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Meter:
    """An upstream's stated rate, and when its next permits are due.

    Attributes
    ----------
    rate_per_s : float
    said_ms : int
        When the upstream said so.
    began_ms : int
        When the first permit was asked for.
    next_ms : float
        When the next permit is due.
    promised_ms : float
        When the next one is due that nobody was told to come back for.
    """

    rate_per_s: float
    said_ms: int
    began_ms: int
    next_ms: float
    promised_ms: float


class PermitIssuer:
    """Gives out the permits of the upstreams that this entry is asked for.

    One process gives out all of an upstream's permits, so that they are spaced by the
    stated rate however many entries send, and whoever has the callers gets them.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    issued, refused : int
    """

    __slots__ = ("_clock", "_meters", "issued", "refused")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._meters: dict[str, _Meter] = {}
        self.issued = 0
        self.refused = 0

    def issue(self, instance: str, rate_per_s: float, age_ms: int) -> int:
        """Return 0 where a permit is given out, or when to ask again.

        Parameters
        ----------
        instance : str
            The upstream.
        rate_per_s : float
            What whoever asks knows of its rate.
        age_ms : int
            How long ago the upstream said so.

        Returns
        -------
        wait_ms : int
        """
        now_ms = self._clock.now_ms()
        meter = self._find(instance, rate_per_s, now_ms - age_ms, now_ms)
        pause_ms = 1_000 / self._rate(meter, now_ms)
        if meter.next_ms <= now_ms:
            meter.next_ms = max(meter.next_ms, now_ms - BURST_MS) + pause_ms
            self.issued += 1
            return 0
        self.refused += 1
        # Each is told another time, so that they don't come back for the same permit.
        due_ms = max(meter.promised_ms, meter.next_ms)
        wait_ms = max(min(due_ms - now_ms, MOST_WAIT_MS), 1)
        if wait_ms < MOST_WAIT_MS:
            meter.promised_ms = due_ms + pause_ms
        return int(wait_ms)

    def _find(
        self, instance: str, rate_per_s: float, said_ms: int, now_ms: int
    ) -> _Meter:
        meter = self._meters.get(instance)
        if meter is None or now_ms - meter.next_ms > IDLE_MS:
            self._meters = {
                name: one
                for name, one in self._meters.items()
                if now_ms - one.next_ms <= IDLE_MS
            }
            meter = _Meter(rate_per_s, said_ms, now_ms, now_ms, now_ms)
            self._meters[instance] = meter
        elif said_ms > meter.said_ms:
            meter.rate_per_s, meter.said_ms = rate_per_s, said_ms
            pause_ms = 1_000 / self._rate(meter, now_ms)
            meter.next_ms = min(meter.next_ms, now_ms + pause_ms)
            meter.promised_ms = min(meter.promised_ms, now_ms + pause_ms)
        return meter

    def _rate(self, meter: _Meter, now_ms: int) -> float:
        rate_per_s = meter.rate_per_s
        if now_ms - meter.began_ms < WARM_UP_MS:
            rate_per_s *= WARM_UP_SHARE
        return max(rate_per_s, LEAST_RATE_PER_S)
