"""What is held back: by an entry's own findings, and according to the store."""

import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.crash_evidence import (
    HOLD_MS,
    MAX_CRASHES,
    Cause,
    Explanation,
    Pattern,
)
from fuchsiahatch_gateway.crash_messages import MAX_CRASHES_REPORTED
from fuchsiahatch_gateway.fingerprints import Fingerprints, digest_of_keys

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.complete_answers import CompleteAnswers

#: Holds that have ended here before their time, remembered until the store shows that,
#: too.
MAX_OBSOLETE = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Requests that are held back.

    Attributes
    ----------
    name : str
        Of their item in the store.
    pattern : Pattern
        What they have in common.
    incarnations : tuple of str
        Incarnations of upstreams that crashed during them.
    until_ms : int
    """

    name: str
    pattern: Pattern
    incarnations: tuple[str, ...]
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredHold:
    """A pattern that is held according to the store, and when that was first seen."""

    pattern: Pattern
    since_ms: int


class Holds:
    """What is held back at one entry.

    Parameters
    ----------
    clock : Clock
    answers : CompleteAnswers
        Fingerprints that had one since the store's hold was seen are no longer part of
        it.
    """

    __slots__ = ("_answers", "_clock", "_local", "_obsolete", "_stored")

    def __init__(self, clock: "Clock", answers: "CompleteAnswers") -> None:
        self._clock = clock
        self._answers = answers
        self._local: dict[str, Hold] = {}
        self._stored: dict[str, _StoredHold] = {}
        self._obsolete: dict[str, None] = {}

    def apply(self, explanation: Explanation, source: str) -> bool:
        """Hold the causes of crashes, and these only; return whether that changed.

        Parameters
        ----------
        explanation : Explanation
        source : str
            For the log.
        """
        former, now_ms = self._local, self._clock.now_ms()
        holds = [_make_hold(cause, explanation) for cause in explanation.causes]
        self._local = {hold.name: hold for hold in holds}
        for hold in holds:
            self._obsolete.pop(hold.name, None)
            was = former.get(hold.name)
            was_held = was is not None and was.until_ms > now_ms
            if hold.until_ms > now_ms and not was_held:
                _log_held(hold.name, hold.pattern, source, len(hold.incarnations))
        self._obsolete |= dict.fromkeys(former.keys() - self._local.keys())
        while len(self._obsolete) > MAX_OBSOLETE:
            del self._obsolete[next(iter(self._obsolete))]
        return former != self._local

    def apply_stored(self, held: t.Mapping[str, Pattern]) -> None:
        """Apply what is held according to the store, by the names of its items."""
        now_ms = self._clock.now_ms()
        for name in held.keys() - self._stored.keys():
            _log_held(name, held[name], "store", MAX_CRASHES)
        self._stored = {
            name: self._stored.get(name) or _StoredHold(pattern, now_ms)
            for name, pattern in held.items()
        }

    def left_ms(self, request: Fingerprints) -> int:
        """Return the remaining time for which a request is held back, or 0."""
        now_ms = self._clock.now_ms()
        local_ms = (
            hold.until_ms - now_ms
            for hold in self._local.values()
            if hold.pattern.matches(request.keys, request.team)
        )
        return max((*local_ms, self.stored_ms(request), 0))

    def stored_ms(self, request: Fingerprints) -> int:
        """Return for how long the store holds a request back, or 0."""
        now_ms = self._clock.now_ms()
        left_ms = (
            stored.since_ms + HOLD_MS - now_ms
            for stored in self._stored.values()
            if (left := self._left_of(stored))
            and Pattern(left, stored.pattern.team).matches(request.keys, request.team)
        )
        # A hold lasts for as long as the store has it.
        return max((max(one, 1) for one in left_ms), default=0)

    def local(self) -> list[Hold]:
        """Return what is held by this entry's own findings."""
        now_ms = self._clock.now_ms()
        return [hold for hold in self._local.values() if hold.until_ms > now_ms]

    def names(self) -> set[str]:
        """Return the names of all holds."""
        return self._stored.keys() | {hold.name for hold in self.local()}

    def with_keys(self, keys: t.Collection[str]) -> list[str]:
        """Return the names of the local holds with one of some fingerprints."""
        return [
            name
            for name, hold in self._local.items()
            if not hold.pattern.keys.isdisjoint(keys)
        ]

    def stores(self, key: str) -> bool:
        """Return whether a fingerprint is part of what the store holds."""
        return any(key in stored.pattern.keys for stored in self._stored.values())

    def is_cleared(self, name: str) -> bool:
        """Return whether all that a stored item holds had a complete answer since."""
        stored = self._stored.get(name)
        return stored is not None and not self._left_of(stored)

    def is_obsolete(self, name: str) -> bool:
        """Return whether what was held here turned out to be no cause of crashes."""
        return name in self._obsolete

    def note_removed(self, name: str) -> None:
        """Note that the store no longer has what turned out to be no cause.

        Another entry that knows less may write it again, and isn't contradicted twice.
        """
        self._obsolete.pop(name, None)

    def _left_of(self, stored: _StoredHold) -> frozenset[str]:
        """Return the fingerprints of a stored hold without complete answer since."""
        return frozenset(
            key
            for key in stored.pattern.keys
            if not self._answers.is_since(key, stored.since_ms)
        )


def _make_hold(cause: Cause, explanation: Explanation) -> Hold:
    pattern = cause.pattern
    (*others, key) = pattern.keys
    is_single = not others and not pattern.team
    return Hold(
        key if is_single else digest_of_keys(pattern.keys, pattern.team),
        pattern,
        tuple(crash.incarnation for crash in cause.crashes)[-MAX_CRASHES_REPORTED:],
        explanation.hold_until_ms(cause),
    )


def _log_held(name: str, pattern: Pattern, source: str, crashes: int) -> None:
    log_event(
        Event.REQUEST_HELD,
        name=name,
        fingerprints=sorted(pattern.keys),
        team=pattern.team,
        source=source,
        crashes=crashes,
    )
