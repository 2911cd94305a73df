"""Requests under which upstreams have crashed, and those that are held back for it."""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.datagrams import MOST_CRASHES_TOLD, Clearance, CrashNotice

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Crashes behind which a request is held back.
MOST_CRASHES = 3
#: Time for which it is: a new version of the model may run it.
HOLD_MS = 600_000
#: Time for which crashes count against a request, from the last one on.
SUSPECT_MS = 3_600_000
#: Time for which a request that got a whole answer can't be a suspect.
WHOLE_MS = 60_000
#: Suspects and whole requests that are remembered, some 620 and 140 bytes each. Those
#: that were noted first are forgotten first.
MOST_SUSPECTS = 4_096
MOST_WHOLE = 4_096


@dataclasses.dataclass(slots=True)
class _Suspect:
    """The lives of upstreams that crashed under a request; until when it is held.

    `told` says whether this entry has told others of it.
    """

    lives: dict[str, None]
    crashed_ms: int
    held_until_ms: int = 0
    told: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A request that is held back.

    Attributes
    ----------
    fingerprint : str
    lives : tuple of str
        Upstreams that crashed under it.
    left_ms : int
    """

    fingerprint: str
    lives: tuple[str, ...]
    left_ms: int


class CrashingRequests:
    """What one entry knows of requests that crash upstreams, by their fingerprints.

    All entries count together: each tells the others of the crashes that it saw, and
    the lives of upstreams are counted once, whoever saw them end. Others that ran
    beside a crashing request are suspects too, until one of them gets a whole answer
    anywhere.

    Parameters
    ----------
    clock : Clock
    tell_others : callable
        Sends a message to all other entries.

    Attributes
    ----------
    changed : callable
        Is called when a request is held back, or cleared while it was.
    """

    __slots__ = ("_clock", "_stored", "_suspects", "_tell_others", "_whole", "changed")

    def __init__(
        self,
        clock: "Clock",
        tell_others: t.Callable[[CrashNotice | Clearance], None],
    ) -> None:
        self._clock = clock
        self._tell_others = tell_others
        self._suspects: dict[str, _Suspect] = {}
        self._whole: dict[str, int] = {}
        #: When each request that the store says is held was first seen there.
        self._stored: dict[str, int] = {}
        self.changed: t.Callable[[], None] = lambda: None

    def note_crash(self, fingerprint: str, life: str) -> None:
        """Note that an upstream's process ended while it had a request."""
        if self.is_whole(fingerprint):
            return
        suspect = self._count(fingerprint, (life,), "own answer")
        if suspect is not None:
            suspect.told = True
            self._tell_others(CrashNotice(fingerprint, tuple(suspect.lives)))

    def receive_notice(self, notice: CrashNotice) -> Clearance | None:
        """Take in what another entry knows of a request.

        Returns
        -------
        answer : Clearance or None
            For that entry, where the request had a whole answer here.
        """
        if self.is_whole(notice.fingerprint):
            return Clearance(notice.fingerprint)
        self._count(notice.fingerprint, notice.lives, "another entry")
        return None

    def note_complete_answer(self, fingerprint: str) -> None:
        """Note that a request got a whole answer: it crashes nobody."""
        self._whole.pop(fingerprint, None)
        self._whole[fingerprint] = self._clock.now_ms()
        _drop_first(self._whole, MOST_WHOLE)
        if fingerprint in self._suspects or fingerprint in self._stored:
            self._clear(fingerprint, "own answer")
            self._tell_others(Clearance(fingerprint))

    def receive_clearance(self, clearance: Clearance) -> None:
        """Take in that another entry had a whole answer to a request.

        Whoever made it a suspect hears of that alone, and passes it on once.
        """
        suspect = self._suspects.get(clearance.fingerprint)
        self._clear(clearance.fingerprint, "another entry")
        if suspect is not None and suspect.told:
            self._tell_others(clearance)

    def take_stored(self, held: set[str], cleared: set[str]) -> None:
        """Take in which requests the store says are held back, and which are not."""
        now_ms = self._clock.now_ms()
        for fingerprint in cleared:
            self._clear(fingerprint, "store")
        for fingerprint in held - self._stored.keys():
            log_event(
                Event.REQUEST_HELD,
                fingerprint=fingerprint,
                source="store",
                crashes=self.crashes(fingerprint),
            )
        self._stored = {one: self._stored.get(one, now_ms) for one in held}

    def crashes(self, fingerprint: str) -> int:
        """Return how many upstreams are known to have crashed under a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return MOST_CRASHES if fingerprint in self._stored else 0
        return len(suspect.lives)

    def held_ms(self, fingerprint: str) -> int:
        """Return for how long a request is held back, or 0."""
        now_ms = self._clock.now_ms()
        suspect = self._suspects.get(fingerprint)
        own_ms = 0 if suspect is None else suspect.held_until_ms - now_ms
        stored_ms = self._stored.get(fingerprint)
        if stored_ms is None:
            return max(own_ms, 0)
        return max(own_ms, stored_ms + HOLD_MS - now_ms, 1)

    def own_holds(self) -> list[Hold]:
        """Return what this entry holds back by its own count."""
        now_ms = self._clock.now_ms()
        return [
            Hold(fingerprint, tuple(one.lives), one.held_until_ms - now_ms)
            for fingerprint, one in self._suspects.items()
            if one.held_until_ms > now_ms
        ]

    def is_whole(self, fingerprint: str) -> bool:
        """Return whether this entry had a whole answer to a request of late."""
        whole_ms = self._whole.get(fingerprint)
        return whole_ms is not None and self._clock.now_ms() - whole_ms < WHOLE_MS

    @property
    def held(self) -> int:
        """Requests that are held back."""
        return len(self._stored.keys() | {one.fingerprint for one in self.own_holds()})

    @property
    def suspects(self) -> int:
        """Requests that are remembered for a crash."""
        return len(self._suspects)

    def _count(
        self, fingerprint: str, lives: t.Iterable[str], source: str
    ) -> _Suspect | None:
        """Count lives against a request; return it if one of them is new."""
        now_ms = self._clock.now_ms()
        self._forget_old(now_ms)
        suspect = self._suspects.get(fingerprint) or _Suspect({}, now_ms)
        fresh = [life for life in lives if life not in suspect.lives]
        if not fresh:
            return None
        suspect.lives.update(dict.fromkeys(fresh))
        _drop_first(suspect.lives, MOST_CRASHES_TOLD)
        suspect.crashed_ms = now_ms
        # Those that crashed last are at the end, and are forgotten last.
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect
        _drop_first(self._suspects, MOST_SUSPECTS)
        log_event(
            Event.CRASH_COUNTED,
            fingerprint=fingerprint,
            upstreams=fresh,
            crashes=len(suspect.lives),
            source=source,
        )
        if len(suspect.lives) >= MOST_CRASHES:
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
                crashes=len(suspect.lives),
            )
        self.changed()

    def _clear(self, fingerprint: str, source: str) -> None:
        was_held = self.held_ms(fingerprint) > 0
        suspect = self._suspects.pop(fingerprint, None)
        self._stored.pop(fingerprint, None)
        if suspect is None and not was_held:
            return
        log_event(
            Event.SUSPECT_CLEARED,
            fingerprint=fingerprint,
            source=source,
            was_held=was_held,
        )
        if was_held:
            self.changed()

    def _forget_old(self, now_ms: int) -> None:
        old = itertools.takewhile(
            lambda one: now_ms - one[1].crashed_ms > SUSPECT_MS, self._suspects.items()
        )
        for fingerprint, _ in list(old):
            del self._suspects[fingerprint]


def _drop_first(entries: dict[str, t.Any], most: int) -> None:
    while len(entries) > most:
        del entries[next(iter(entries))]
