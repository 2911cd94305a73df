"""Requests that crash upstreams, and those that are held back because of it.

A request during which an upstream crashed is a suspect. After some crashes it is a held
request: it is refused for a time. Requests are recognized by their fingerprint.
"""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.datagrams import MAX_CRASHES_REPORTED, Clearance, CrashNotice

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Crashes after which a request is held back.
MAX_CRASHES = 3
#: Time for which it is held back; after that, a new version of the model may be able
#: to run it.
HOLD_MS = 600_000
#: Time after the latest crash for which crashes count against a request.
SUSPECT_TTL_MS = 3_600_000
#: Time after a complete answer for which its request can't become a suspect.
COMPLETE_ANSWER_TTL_MS = 60_000
#: Suspects and requests with a complete answer that are remembered, some 620 and 140
#: bytes each. The oldest are dropped first.
MAX_SUSPECTS = 4_096
MAX_COMPLETE_ANSWERS = 4_096


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Incarnations of upstreams that crashed during a request, and the end of its hold.

    `notified` says whether this entry has sent other entries a notice of it.
    """

    incarnations: dict[str, None]
    crashed_ms: int
    held_until_ms: int = 0
    notified: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A request that is held back.

    Attributes
    ----------
    fingerprint : str
    incarnations : tuple of str
        Incarnations of upstreams that crashed during it.
    left_ms : int
        Remaining time.
    """

    fingerprint: str
    incarnations: tuple[str, ...]
    left_ms: int


class CrashingRequests:
    """One entry's counts of crashes by the fingerprints of requests.

    All entries share their counts: each notifies the others of the crashes that it
    detects, and an incarnation of an upstream counts once, whichever entries detect its
    end. Requests that ran beside a crashing one become suspects too, each until it gets
    a complete answer at any entry.

    Parameters
    ----------
    clock : Clock
    broadcast : callable
        Sends a message to all other entries.

    Attributes
    ----------
    on_changed : callable
        Called when a request is held back, or cleared while it was held back.
    """

    __slots__ = (
        "_broadcast",
        "_clock",
        "_completed_ms",
        "_stored_ms",
        "_suspects",
        "on_changed",
    )

    def __init__(
        self,
        clock: "Clock",
        broadcast: t.Callable[[CrashNotice | Clearance], None],
    ) -> None:
        self._clock = clock
        self._broadcast = broadcast
        self._suspects: dict[str, _Suspect] = {}
        self._completed_ms: dict[str, int] = {}
        #: When each request that is held according to the store was first seen there.
        self._stored_ms: dict[str, int] = {}
        self.on_changed: t.Callable[[], None] = lambda: None

    def note_crash(self, fingerprint: str, incarnation: str) -> None:
        """Note that an upstream's process ended while it handled a request."""
        if self.has_complete_answer(fingerprint):
            return
        suspect = self._count(fingerprint, (incarnation,), "own answer")
        if suspect is not None:
            suspect.notified = True
            self._broadcast(CrashNotice(fingerprint, tuple(suspect.incarnations)))

    def receive_notice(self, notice: CrashNotice) -> Clearance | None:
        """Apply another entry's notice of crashes.

        Returns
        -------
        answer : Clearance or None
            Reply to that entry, where the request had a complete answer here.
        """
        if self.has_complete_answer(notice.fingerprint):
            return Clearance(notice.fingerprint)
        self._count(notice.fingerprint, notice.incarnations, "another entry")
        return None

    def note_complete_answer(self, fingerprint: str) -> None:
        """Note that a request got a complete answer, so it crashes no upstream."""
        self._completed_ms.pop(fingerprint, None)
        self._completed_ms[fingerprint] = self._clock.now_ms()
        _drop_oldest(self._completed_ms, MAX_COMPLETE_ANSWERS)
        if fingerprint in self._suspects or fingerprint in self._stored_ms:
            self._clear(fingerprint, "own answer")
            self._broadcast(Clearance(fingerprint))

    def receive_clearance(self, clearance: Clearance) -> None:
        """Apply another entry's clearance of a request with a complete answer.

        An entry that had sent a notice of the request forwards the clearance once: it
        may be the only one that received it.
        """
        suspect = self._suspects.get(clearance.fingerprint)
        self._clear(clearance.fingerprint, "another entry")
        if suspect is not None and suspect.notified:
            self._broadcast(clearance)

    def apply_stored(self, held: set[str], cleared: set[str]) -> None:
        """Apply which requests are held back or cleared according to the store."""
        now_ms = self._clock.now_ms()
        for fingerprint in cleared:
            self._clear(fingerprint, "store")
        for fingerprint in held - self._stored_ms.keys():
            log_event(
                Event.REQUEST_HELD,
                fingerprint=fingerprint,
                source="store",
                crashes=self.crashes(fingerprint),
            )
        self._stored_ms = {
            stored: self._stored_ms.get(stored, now_ms) for stored in held
        }

    def crashes(self, fingerprint: str) -> int:
        """Return how many upstreams are known to have crashed during a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return MAX_CRASHES if fingerprint in self._stored_ms else 0
        return len(suspect.incarnations)

    def held_ms(self, fingerprint: str) -> int:
        """Return the remaining time for which a request is held back, or 0."""
        now_ms = self._clock.now_ms()
        suspect = self._suspects.get(fingerprint)
        local_ms = 0 if suspect is None else suspect.held_until_ms - now_ms
        stored_ms = self._stored_ms.get(fingerprint)
        if stored_ms is None:
            return max(local_ms, 0)
        return max(local_ms, stored_ms + HOLD_MS - now_ms, 1)

    def local_holds(self) -> list[Hold]:
        """Return the requests that this entry holds back by its own counts."""
        now_ms = self._clock.now_ms()
        return [
            Hold(
                fingerprint, tuple(suspect.incarnations), suspect.held_until_ms - now_ms
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.held_until_ms > now_ms
        ]

    def has_complete_answer(self, fingerprint: str) -> bool:
        """Return whether a request recently got a complete answer at this entry."""
        completed_ms = self._completed_ms.get(fingerprint)
        return (
            completed_ms is not None
            and self._clock.now_ms() - completed_ms < COMPLETE_ANSWER_TTL_MS
        )

    @property
    def held(self) -> int:
        """Number of requests that are held back."""
        return len(
            self._stored_ms.keys() | {hold.fingerprint for hold in self.local_holds()}
        )

    @property
    def suspects(self) -> int:
        """Number of suspects."""
        return len(self._suspects)

    def _count(
        self, fingerprint: str, incarnations: t.Iterable[str], source: str
    ) -> _Suspect | None:
        """Count crashes against a request; return its record if one of them is new."""
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        suspect = self._suspects.get(fingerprint) or _Suspect({}, now_ms)
        added = [
            incarnation
            for incarnation in incarnations
            if incarnation not in suspect.incarnations
        ]
        if not added:
            return None
        suspect.incarnations.update(dict.fromkeys(added))
        _drop_oldest(suspect.incarnations, MAX_CRASHES_REPORTED)
        suspect.crashed_ms = now_ms
        # The most recent suspects are at the end, and are dropped last.
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect
        _drop_oldest(self._suspects, MAX_SUSPECTS)
        log_event(
            Event.CRASH_COUNTED,
            fingerprint=fingerprint,
            upstreams=added,
            crashes=len(suspect.incarnations),
            source=source,
        )
        if len(suspect.incarnations) >= MAX_CRASHES:
            self._hold(fingerprint, suspect, source)
        return suspect

    def _hold(self, fingerprint: str, suspect: _Suspect, source: str) -> None:
        was_held = self.held_ms(fingerprint) > 0
        suspect.held_until_ms = self._clock.now_ms() + HOLD_MS
        if not was_held:
            log_event(
                Event.REQUEST_HELD,
                fingerprint=fingerprint,
                source=source,
                crashes=len(suspect.incarnations),
            )
        self.on_changed()

    def _clear(self, fingerprint: str, source: str) -> None:
        was_held = self.held_ms(fingerprint) > 0
        suspect = self._suspects.pop(fingerprint, None)
        self._stored_ms.pop(fingerprint, None)
        if suspect is None and not was_held:
            return
        log_event(
            Event.SUSPECT_CLEARED,
            fingerprint=fingerprint,
            source=source,
            was_held=was_held,
        )
        if was_held:
            self.on_changed()

    def _drop_expired(self, now_ms: int) -> None:
        expired = itertools.takewhile(
            lambda item: now_ms - item[1].crashed_ms > SUSPECT_TTL_MS,
            self._suspects.items(),
        )
        for fingerprint, _ in list(expired):
            del self._suspects[fingerprint]


def _drop_oldest(entries: dict[str, t.Any], limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
