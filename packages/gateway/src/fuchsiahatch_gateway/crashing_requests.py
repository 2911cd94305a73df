"""Requests that crash upstreams, and those that are held back because of it.

A request that ran on an upstream as it crashed is a suspect, and so are the parts of
its prompt. What explains several crashes is held: such requests are refused for a time.
"""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.crash_evidence import (
    HOLD_MS,
    MAX_CRASHES,
    Cause,
    Crash,
    Explanation,
    Pattern,
    Suspect,
    explain_crashes,
    is_answered_before,
    most_suspected,
)
from fuchsiahatch_gateway.datagrams import (
    MAX_ANSWERS_REPORTED,
    MAX_CRASHES_REPORTED,
    MAX_SUSPECTS_REPORTED,
    Clearance,
    CompleteAnswer,
    CrashNotice,
    CrashReport,
    SuspectReport,
)
from fuchsiahatch_gateway.fingerprints import Fingerprints, digest_of_keys

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Time for which a crash counts.
SUSPECT_TTL_MS = 3_600_000
#: Time after a complete answer in which its fingerprints are hardly suspected.
COMPLETE_ANSWER_TTL_MS = 60_000
#: Time after a crash for which its main suspects are sent to the same rank group only.
CONFINEMENT_MS = 10_000
#: Suspects and fingerprints with a complete answer that are remembered, some 900 and
#: 140 bytes each. The oldest are dropped first.
MAX_SUSPECTS = 4_096
MAX_COMPLETE_ANSWERS = 16_384
#: Crashes in one notice: one and the latest with the same suspects.
MAX_REPORTS = 4
#: Causes that were held back here and no longer are, remembered until the store shows
#: that, too.
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Confinement:
    """A rank group that crashed, and the main suspects, which only it is sent."""

    group: str
    keys: frozenset[str]
    until_ms: int


class CrashingRequests:
    """One entry's knowledge of crashes and of the requests that cause them.

    All entries share what they know: each notifies the others of the crashes that it
    detects and of the requests that ran there. A request that gets a complete answer at
    any entry clears its own fingerprint and those of its prompt parts.

    Parameters
    ----------
    clock : Clock
    broadcast : callable
        Sends a message to all other entries.

    Attributes
    ----------
    on_changed : callable
        Called when requests are held back or no longer are.
    on_suspected : callable
        Called when crashes become known, after `on_changed`.
    on_crash : callable
        Called with the incarnation and the rank group of an upstream that has just
        crashed.
    """

    __slots__ = (
        "_broadcast",
        "_clock",
        "_completed_ms",
        "_confinements",
        "_crashes",
        "_crashes_of",
        "_explained",
        "_holds",
        "_notified",
        "_obsolete",
        "_stored",
        "on_changed",
        "on_crash",
        "on_suspected",
    )

    def __init__(
        self,
        clock: "Clock",
        broadcast: t.Callable[[CrashNotice | Clearance], None],
    ) -> None:
        self._clock = clock
        self._broadcast = broadcast
        #: By incarnation, in the order of time.
        self._crashes: dict[str, Crash] = {}
        self._crashes_of: dict[str, list[Crash]] = {}
        #: Incarnations whose crashes have a known cause.
        self._explained: set[str] = set()
        self._confinements: dict[str, _Confinement] = {}
        self._completed_ms: dict[str, int] = {}
        #: Suspected fingerprints of which this entry has notified others.
        self._notified: set[str] = set()
        self._holds: dict[str, Hold] = {}
        self._stored: dict[str, _StoredHold] = {}
        self._obsolete: dict[str, None] = {}
        self.on_changed: t.Callable[[], None] = lambda: None
        self.on_suspected: t.Callable[[], None] = lambda: None
        self.on_crash: t.Callable[[str, str], None] = lambda incarnation, group: None

    def note_crash(
        self,
        incarnation: str,
        service: str,
        group: str,
        requests: t.Iterable[Fingerprints],
    ) -> None:
        """Note that an upstream's process ended while it handled requests.

        Parameters
        ----------
        incarnation, service, group : str
            Of the upstream; the group is empty where it has none.
        requests : iterable of Fingerprints
        """
        suspects = [Suspect(one.team, one.keys) for one in requests]
        crash = Crash(incarnation, service, group, self._clock.now_ms())
        added = self._add(crash, suspects, "own answer")
        if added:
            keys = frozenset(itertools.chain.from_iterable(one.keys for one in added))
            self._notified |= keys
            self._broadcast(self._make_notice(incarnation, added, keys))

    def receive_notice(self, notice: CrashNotice) -> Clearance | None:
        """Apply another entry's notice of crashes.

        Returns
        -------
        answer : Clearance or None
            Reply to that entry, where some of the fingerprints had a complete answer
            here.
        """
        now_ms = self._clock.now_ms()
        keys: set[str] = set()
        for report in notice.crashes:
            suspects = [
                Suspect(one.team, frozenset(one.keys)) for one in report.suspects
            ]
            keys.update(itertools.chain.from_iterable(one.keys for one in suspects))
            crash = Crash(
                report.incarnation, notice.service, report.group, now_ms - report.age_ms
            )
            self._add(crash, suspects, "another entry")
        return self._make_clearance(
            key for key in sorted(keys) if self._is_recently_completed(key)
        )

    def note_complete_answer(self, request: Fingerprints) -> None:
        """Note that a request got a complete answer, so it crashes no upstream."""
        now_ms = self._clock.now_ms()
        keys = request.keys
        for key in keys:
            self._note_completed(key, now_ms)
        stored = {key for one in self._stored.values() for key in one.pattern.keys}
        suspected = sorted(keys & (stored | self._crashes_of.keys()))
        if suspected:
            self._clear(suspected, "own answer")
            clearance = self._make_clearance(suspected)
            assert clearance is not None
            self._broadcast(clearance)

    def receive_clearance(self, clearance: Clearance) -> None:
        """Apply another entry's clearance of fingerprints with a complete answer.

        An entry that had sent a notice of them forwards the clearance once: it may be
        the only one that received it.
        """
        now_ms = self._clock.now_ms()
        news = [
            one.fingerprint
            for one in clearance.answers
            if self._note_completed(one.fingerprint, now_ms - one.age_ms)
        ]
        forwarded = self._notified.intersection(news)
        self._notified -= forwarded
        self._clear(news, "another entry")
        further = self._make_clearance(sorted(forwarded))
        if further is not None:
            self._broadcast(further)

    def apply_stored(
        self, held: t.Mapping[str, Pattern], cleared: t.Mapping[str, Pattern]
    ) -> None:
        """Apply which requests are held back or cleared according to the store.

        Parameters
        ----------
        held, cleared : mapping of str to Pattern
            By the names of their items.
        """
        now_ms = self._clock.now_ms()
        keys = itertools.chain.from_iterable(one.keys for one in cleared.values())
        self._clear(keys, "store", force=True)
        for name in held.keys() - self._stored.keys():
            self._log_held(name, held[name], "store", MAX_CRASHES)
        self._stored = {
            name: self._stored.get(name) or _StoredHold(pattern, now_ms)
            for name, pattern in held.items()
        }
        self.on_suspected()

    def crashes(self, request: Fingerprints) -> int:
        """Return how many upstreams crashed during a request or others like it.

        Fingerprints that had a complete answer shortly before don't count.
        """
        found = {key: self._crashes_of.get(key, ()) for key in request.keys}
        counted = (
            len(those)
            for key, those in found.items()
            if not self._is_answered_before(key, those)
        )
        most = max(counted, default=0)
        if not most and self._stored_ms(request):
            return MAX_CRASHES
        return min(most, MAX_CRASHES_REPORTED)

    def held_ms(self, request: Fingerprints) -> int:
        """Return the remaining time for which a request is held back, or 0."""
        if not self._holds and not self._stored:
            return 0
        now_ms = self._clock.now_ms()
        local_ms = (
            hold.until_ms - now_ms
            for hold in self._holds.values()
            if hold.pattern.matches(request.keys, request.team)
        )
        return max((*local_ms, self._stored_ms(request), 0))

    def confined_to(self, request: Fingerprints) -> str:
        """Return the rank group that alone may be sent a request; empty for any.

        Until the cause of a crash is known, the prompt parts that are suspected most
        are not sent to another rank group: the service would lose that one, too.
        """
        confinement = self._confinements.get(request.service)
        if confinement is None or confinement.keys.isdisjoint(request.parts):
            return ""
        if self._clock.now_ms() >= confinement.until_ms:
            return ""
        return confinement.group

    def local_holds(self) -> list[Hold]:
        """Return what this entry holds back by what it knows itself."""
        now_ms = self._clock.now_ms()
        return [hold for hold in self._holds.values() if hold.until_ms > now_ms]

    def left_ms(self, hold: Hold) -> int:
        """Return the remaining time of a hold."""
        return max(0, hold.until_ms - self._clock.now_ms())

    def is_cleared(self, name: str) -> bool:
        """Return whether all that a stored item holds had a complete answer since."""
        stored = self._stored.get(name)
        return stored is not None and not self._left_of(stored)

    def is_obsolete(self, name: str) -> bool:
        """Return whether a cause that was held here is known to be none."""
        return name in self._obsolete

    @property
    def held(self) -> int:
        """Number of causes that are held back."""
        return len(self._stored.keys() | {hold.name for hold in self.local_holds()})

    @property
    def suspects(self) -> int:
        """Number of fingerprints that are suspected."""
        return len(self._crashes_of)

    def _add(
        self, crash: Crash, suspects: t.Iterable[Suspect], source: str
    ) -> list[Suspect]:
        """Add what is known of a crash; return the suspects that are new."""
        self._drop_expired()
        known = self._crashes.get(crash.incarnation)
        if known is None:
            self._insert(crash)
        else:
            crash = known
        left = (
            Suspect(one.team, frozenset(filter(self._is_open(crash), one.keys)))
            for one in suspects
        )
        added = [one for one in left if one.keys and one not in crash.suspects]
        if known is not None and not added:
            return []
        self._add_suspects(crash, added)
        log_event(
            Event.CRASH_COUNTED,
            upstream=crash.incarnation,
            group=crash.group,
            fingerprints=[sorted(one.keys) for one in added],
            crashes=max((self._count(one) for one in added), default=0),
            source=source,
        )
        if known is None and self._clock.now_ms() - crash.noted_ms < CONFINEMENT_MS:
            self.on_crash(crash.incarnation, crash.group)
        if any(self._count(one) >= MAX_CRASHES for one in added):
            self._evaluate(source)
        self._confine(crash.service)
        self.on_suspected()
        return added

    def _insert(self, crash: Crash) -> None:
        """Add a crash in the order of time; notices may come late."""
        latest = next(reversed(self._crashes.values()), None)
        self._crashes[crash.incarnation] = crash
        if latest is not None and latest.noted_ms > crash.noted_ms:
            ordered = sorted(self._crashes.values(), key=lambda one: one.noted_ms)
            self._crashes = {one.incarnation: one for one in ordered}

    def _add_suspects(self, crash: Crash, added: t.Iterable[Suspect]) -> None:
        for suspect in added:
            crash.suspects[suspect] = None
            for key in suspect.keys:
                those = self._crashes_of.setdefault(key, [])
                if crash not in those:
                    those.append(crash)
                    those.sort(key=lambda one: one.noted_ms)
        while len(self._crashes_of) > MAX_SUSPECTS or len(self._crashes) > MAX_SUSPECTS:
            self._drop_oldest_suspect()

    def _drop_oldest_suspect(self) -> None:
        incarnation, crash = next(iter(self._crashes.items()))
        suspect = next(iter(crash.suspects), None)
        if suspect is None:
            del self._crashes[incarnation]
            return
        del crash.suspects[suspect]
        for key in suspect.keys - crash.keys:
            self._unlink(key, crash)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        expired = itertools.takewhile(
            lambda crash: now_ms - crash.noted_ms > SUSPECT_TTL_MS,
            self._crashes.values(),
        )
        for crash in list(expired):
            del self._crashes[crash.incarnation]
            for key in crash.keys:
                self._unlink(key, crash)

    def _unlink(self, key: str, crash: Crash) -> None:
        those = self._crashes_of[key]
        those.remove(crash)
        if not those:
            del self._crashes_of[key]
            self._notified.discard(key)

    def _is_open(self, crash: Crash) -> t.Callable[[str], bool]:
        """Return a test for fingerprints without a complete answer since a crash."""
        return lambda key: self._completed_ms.get(key, -1) < crash.noted_ms

    def _count(self, suspect: Suspect) -> int:
        return max(len(self._crashes_of.get(key, ())) for key in suspect.keys)

    def _evaluate(self, source: str) -> None:
        """Find the causes of all known crashes anew, and hold these."""
        explanation = explain_crashes(
            tuple(self._crashes.values()), self._completed_ms, COMPLETE_ANSWER_TTL_MS
        )
        former, now_ms = self._holds, self._clock.now_ms()
        holds = [_make_hold(cause, explanation) for cause in explanation.causes]
        self._holds = {hold.name: hold for hold in holds}
        self._explained = {
            crash.incarnation for cause in explanation.causes for crash in cause.crashes
        }
        for hold in holds:
            self._obsolete.pop(hold.name, None)
            was = former.get(hold.name)
            was_held = was is not None and was.until_ms > now_ms
            if hold.until_ms > now_ms and not was_held:
                crashes = len(hold.incarnations)
                self._log_held(hold.name, hold.pattern, source, crashes)
        for name in former.keys() - self._holds.keys():
            self._obsolete[name] = None
        _drop_oldest(self._obsolete, MAX_OBSOLETE)
        if former != self._holds:
            self.on_changed()

    def _log_held(self, name: str, pattern: Pattern, source: str, crashes: int) -> None:
        log_event(
            Event.REQUEST_HELD,
            name=name,
            fingerprints=sorted(pattern.keys),
            team=pattern.team,
            source=source,
            crashes=crashes,
        )

    def _confine(self, service: str) -> None:
        """Find out anew which suspects of a service only one rank group is sent."""
        now_ms = self._clock.now_ms()
        recent = [
            crash
            for crash in self._crashes.values()
            if crash.service == service
            and crash.group
            and now_ms - crash.noted_ms < CONFINEMENT_MS
            and crash.incarnation not in self._explained
        ]
        if not recent:
            self._confinements.pop(service, None)
            return
        exempt = {
            key
            for key in itertools.chain.from_iterable(crash.keys for crash in recent)
            if self._is_answered_before(key, self._crashes_of[key])
        }
        latest = recent[-1]
        self._confinements[service] = _Confinement(
            latest.group,
            frozenset(most_suspected(recent, exempt)),
            latest.noted_ms + CONFINEMENT_MS,
        )

    def _clear(self, keys: t.Iterable[str], source: str, force: bool = False) -> None:
        """Drop fingerprints from the suspects of the crashes before their answer.

        Parameters
        ----------
        keys : iterable of str
        source : str
        force : bool, optional
            Whether to drop them from all crashes.
        """
        cleared = {
            key: [
                crash
                for crash in self._crashes_of.get(key, ())
                if force or not self._is_open(crash)(key)
            ]
            for key in keys
        }
        services = {crash.service for those in cleared.values() for crash in those}
        if not services:
            return
        was_held = [
            name
            for name, hold in self._holds.items()
            if not hold.pattern.keys.isdisjoint(cleared)
        ]
        for key, those in cleared.items():
            for crash in those:
                crash.discard(key)
                self._unlink(key, crash)
        log_event(
            Event.SUSPECT_CLEARED,
            fingerprints=sorted(key for key, those in cleared.items() if those),
            source=source,
            was_held=was_held,
        )
        if any(len(those) >= MAX_CRASHES for those in self._crashes_of.values()):
            self._evaluate(source)
        elif self._holds:
            self._evaluate(source)
        for service in services:
            self._confine(service)

    def _note_completed(self, key: str, completed_ms: int) -> bool:
        """Note a complete answer; return whether it is the latest one."""
        if completed_ms <= self._completed_ms.get(key, -1):
            return False
        self._completed_ms.pop(key, None)
        self._completed_ms[key] = completed_ms
        _drop_oldest(self._completed_ms, MAX_COMPLETE_ANSWERS)
        return True

    def _is_recently_completed(self, key: str) -> bool:
        completed_ms = self._completed_ms.get(key)
        if completed_ms is None:
            return False
        return self._clock.now_ms() - completed_ms < COMPLETE_ANSWER_TTL_MS

    def _is_answered_before(self, key: str, crashes: t.Sequence[Crash]) -> bool:
        if not crashes:
            return False
        completed_ms = self._completed_ms.get(key)
        return is_answered_before(crashes[0], completed_ms, COMPLETE_ANSWER_TTL_MS)

    def _left_of(self, stored: _StoredHold) -> frozenset[str]:
        """Return the fingerprints of a stored hold without complete answer since."""
        return frozenset(
            key
            for key in stored.pattern.keys
            if self._completed_ms.get(key, -1) < stored.since_ms
        )

    def _stored_ms(self, request: Fingerprints) -> int:
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

    def _make_notice(
        self, incarnation: str, added: t.Sequence[Suspect], keys: frozenset[str]
    ) -> CrashNotice:
        """Return the notice of a crash and of earlier ones with the same suspects."""
        crash = self._crashes[incarnation]
        earlier = [
            (one, [suspect for suspect in one.suspects if suspect.keys & keys])
            for one in self._crashes.values()
            if one is not crash and one.service == crash.service
        ]
        related = [(one, suspects) for one, suspects in earlier if suspects]
        return CrashNotice(
            crash.service,
            tuple(
                self._make_report(one, suspects)
                for one, suspects in (*related[1 - MAX_REPORTS :], (crash, added))
            ),
        )

    def _make_report(self, crash: Crash, suspects: t.Iterable[Suspect]) -> CrashReport:
        shown = itertools.islice(suspects, MAX_SUSPECTS_REPORTED)
        return CrashReport(
            crash.incarnation,
            crash.group,
            max(0, self._clock.now_ms() - crash.noted_ms),
            tuple(SuspectReport(one.team, tuple(sorted(one.keys))) for one in shown),
        )

    def _make_clearance(self, keys: t.Iterable[str]) -> Clearance | None:
        now_ms = self._clock.now_ms()
        answers = tuple(
            CompleteAnswer(key, now_ms - self._completed_ms[key])
            for key in itertools.islice(keys, MAX_ANSWERS_REPORTED)
        )
        return Clearance(answers) if answers else None


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


def _drop_oldest(entries: dict[str, t.Any], limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
