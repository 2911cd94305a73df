"""Tracks whether the store answers this process, and since when."""

import asyncio
import dataclasses

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.defaults import (
    LAPSE_GRACE_MS,
    LEASE_RENEWAL_INTERVAL_MS,
    REGISTRATION_TTL_MS,
)

#: Shortest absence of the store in which a lease that is renewed regularly may expire.
#: Upstreams' entries last for three heartbeats, longer than an entry's registration.
MIN_LAPSE_MS = REGISTRATION_TTL_MS - LEASE_RENEWAL_INTERVAL_MS
#: Shortest time between two answers in which the store may have been away and have
#: forgotten its leases; it did in an absence of 963 ms. Longer than the time between
#: the renewals of an entry's registration.
MIN_ABSENCE_MS = 960
#: Grace time of many deletions at once while the store has answered all the time. It
#: may have turned away only the upstreams, so that their leases expired. If they were
#: removed instead, they must get no more requests 2 s later, and the deletions may
#: have been seen 0.8 s late.
ANSWERED_GRACE_MS = 1_000
#: Interval at which deletions that are withheld for a doubt alone are checked again.
DOUBT_RECHECK_MS = 100


def may_have_been_away(answered_ms: int | None, now_ms: int) -> bool:
    """Return whether the store may have been away between two successive answers.

    Parameters
    ----------
    answered_ms : int or None
        The former answer; None if this is the first one.
    now_ms : int
    """
    return answered_ms is None or now_ms - answered_ms >= MIN_ABSENCE_MS


def choose_lapse_grace_ms(away_ms: int | None, now_ms: int) -> int:
    """Return the time for which many deletions at once are withheld.

    Parameters
    ----------
    away_ms : int or None
        The last end of a time in which the store failed or may have been away.
    now_ms : int
    """
    if away_ms is not None and now_ms - away_ms < LAPSE_GRACE_MS:
        return LAPSE_GRACE_MS
    return min(ANSWERED_GRACE_MS, LAPSE_GRACE_MS)


@dataclasses.dataclass(slots=True)
class AnswerGap:
    """A time between two answers in which the store may have been away.

    Attributes
    ----------
    began_ms, ended_ms : int
        The two answers.
    """

    began_ms: int
    ended_ms: int

    def is_excluded_by(self, granted_ms: int, sent_ms: int) -> bool:
        """Return whether a renewed lease shows that no lease was lost in the gap.

        A store that forgets its leases in an absence forgets all of them. A lease that
        was granted before the gap, and is renewed by a call sent behind it, was kept
        throughout. One sent before its end leaves the time from then on; an absence
        needs `MIN_ABSENCE_MS`.

        Parameters
        ----------
        granted_ms : int
            When the store answered that it had granted the lease.
        sent_ms : int
            When the renewal was sent that the store has answered.
        """
        return granted_ms <= self.began_ms and self.ended_ms - sent_ms < MIN_ABSENCE_MS


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """Times at which the store last failed and last answered this process.

    Attributes
    ----------
    failed_ms, answered_ms : int or None
        The last failure and the last answer.
    away_ms : int or None
        The last end of a time in which the store failed, or may have been away for long
        enough for leases to expire one by one.
    gaps : list of AnswerGap
        Shorter times between two answers in which the store may have been away; a
        process that is itself held up sees them too.
    grace_ends_ms : int or None
        End of the grace time in which deletions are withheld.
    gap_grace_ends_ms : int or None
        The same, as long as there are gaps.
    regained : asyncio.Event
        Set, and replaced by a new one, when the store answers again.
    """

    failed_ms: int | None = None
    answered_ms: int | None = None
    away_ms: int | None = None
    gaps: list[AnswerGap] = dataclasses.field(default_factory=list)
    grace_ends_ms: int | None = None
    gap_grace_ends_ms: int | None = None
    regained: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def note_answer(self, now_ms: int) -> None:
        """Note that a call was answered."""
        if self.failed_ms is not None and not self.answers:
            log_event(Event.STORE_REGAINED, silent_ms=now_ms - self.failed_ms)
            if self._may_have_lapsed(now_ms):
                self._extend_grace(now_ms, LAPSE_GRACE_MS)
            self.away_ms = now_ms
            self.regained.set()
            self.regained = asyncio.Event()
        if may_have_been_away(self.answered_ms, now_ms):
            self._note_gap(now_ms)
        self.answered_ms = now_ms

    def _note_gap(self, now_ms: int) -> None:
        if self.answered_ms is None or now_ms - self.answered_ms >= MIN_LAPSE_MS:
            self.away_ms = now_ms
            return
        self.gaps = [
            gap for gap in self.gaps if now_ms - gap.ended_ms < 2 * LAPSE_GRACE_MS
        ]
        self.gaps.append(AnswerGap(self.answered_ms, now_ms))

    def note_lease_renewed(self, granted_ms: int, sent_ms: int) -> None:
        """Note that the store has renewed a lease of this process.

        Guards against a process that is late with a renewal because it was itself held
        up: it would withhold deletions for longer than a removed upstream may get
        requests.

        Parameters
        ----------
        granted_ms : int
            When the store answered that it had granted the lease.
        sent_ms : int
            When the renewal was sent that the store has answered.
        """
        self.gaps = [
            gap for gap in self.gaps if not gap.is_excluded_by(granted_ms, sent_ms)
        ]
        if not self.gaps:
            self.gap_grace_ends_ms = None

    def note_lapse(self, now_ms: int, deleted: int) -> None:
        """Note deletions that show a loss of leases by their number."""
        log_event(Event.LEASES_LAPSED, deleted=deleted)
        self._extend_grace(now_ms, choose_lapse_grace_ms(self.away_ms, now_ms))
        if self.gaps:
            grace_ms = choose_lapse_grace_ms(self.gaps[-1].ended_ms, now_ms)
            self.gap_grace_ends_ms = max(self.gap_grace_ends_ms or 0, now_ms + grace_ms)

    def note_restored(self, now_ms: int) -> None:
        """Note that the store was restored from an older copy, without its leases.

        As after an outage, registrations of other processes are missing until they
        have been written again, and tasks that wait for the store to recover read
        everything again.
        """
        self._extend_grace(now_ms, LAPSE_GRACE_MS)
        self.regained.set()
        self.regained = asyncio.Event()

    def note_failure(self, now_ms: int, detail: str) -> None:
        """Note that a call failed."""
        if self.answers:
            log_event(Event.STORE_LOST, detail=detail)
        self.failed_ms = now_ms

    @property
    def answers(self) -> bool:
        """Whether the last call was answered."""
        if self.failed_ms is None:
            return True
        return self.answered_ms is not None and self.answered_ms > self.failed_ms

    def settles_in_ms(self, now_ms: int) -> int:
        """Return the minimum time until a deletion may count as final."""
        if not self.answers:
            return LAPSE_GRACE_MS // 4
        left_ms = max((self.grace_ends_ms or now_ms) - now_ms, 0)
        if left_ms:
            return left_ms
        return min(self._grace_left_ms(now_ms), DOUBT_RECHECK_MS)

    def settled(self, now_ms: int) -> bool:
        """Whether deletions are final: no owner is about to renew an expired lease."""
        return self.answers and not self._grace_left_ms(now_ms)

    def _may_have_lapsed(self, now_ms: int) -> bool:
        """Return whether leases may have expired in the absence that ends now.

        After a shorter one deletions are real: to withhold them sent requests to an
        upstream 2.2 s after it had left, though the store was gone for only 0.8 s.
        """
        if self._grace_left_ms(now_ms):
            return True
        since_ms = self.failed_ms if self.answered_ms is None else self.answered_ms
        return since_ms is None or now_ms - since_ms >= MIN_LAPSE_MS

    def _extend_grace(self, now_ms: int, grace_ms: int) -> None:
        self.grace_ends_ms = max(self.grace_ends_ms or 0, now_ms + grace_ms)

    def _grace_left_ms(self, now_ms: int) -> int:
        ends_ms = max(self.grace_ends_ms or 0, self.gap_grace_ends_ms or 0)
        return max(ends_ms - now_ms, 0)
