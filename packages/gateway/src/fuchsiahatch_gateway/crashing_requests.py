"""Requests that crash upstreams, and those that are held back because of it.

A request that ran on an upstream as it crashed is a suspect, and so are the parts of
its prompt. What explains several crashes is held: such requests are refused for a time.
"""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.complete_answers import CompleteAnswers
from fuchsiahatch_gateway.crash_evidence import (
    MAX_CRASHES,
    Crash,
    Pattern,
    Suspect,
    explain_crashes,
    most_suspected,
)
from fuchsiahatch_gateway.crash_messages import (
    MAX_ANSWERS_REPORTED,
    MAX_CRASHES_REPORTED,
    MAX_SUSPECTS_REPORTED,
    Clearance,
    CompleteAnswer,
    CrashNotice,
    CrashReport,
    SuspectReport,
)
from fuchsiahatch_gateway.crash_records import CrashRecords
from fuchsiahatch_gateway.fingerprints import Fingerprints
from fuchsiahatch_gateway.holds import Holds
from fuchsiahatch_gateway.next_steps import CRASH_RETRY_LIMIT

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Time after a crash for which its main suspects are sent to the same rank group only.
CONFINEMENT_MS = 10_000
#: Crashes in one notice: one and the latest with the same suspects.
MAX_REPORTS = 4


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
    holds : Holds
        What is held back.
    on_changed : callable
        Called when requests are held back or no longer are.
    on_suspected : callable
        Called when crashes become known, after `on_changed`.
    on_crash : callable
        Called with the incarnation and the rank group of an upstream that has just
        crashed.
    """

    __slots__ = (
        "_answers",
        "_broadcast",
        "_clock",
        "_confinements",
        "_crashes",
        "_explained",
        "_notified",
        "holds",
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
        self._answers = CompleteAnswers(clock)
        self._crashes = CrashRecords(clock, self._answers)
        #: Incarnations whose crashes have a known cause.
        self._explained: set[str] = set()
        self._confinements: dict[str, _Confinement] = {}
        #: Suspected fingerprints of which this entry has notified others.
        self._notified: set[str] = set()
        self.holds = Holds(clock, self._answers)
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
            key for key in sorted(keys) if self._answers.is_recent(key)
        )

    def note_complete_answer(self, request: Fingerprints) -> None:
        """Note that a request got a complete answer, so it crashes no upstream."""
        for key in request.keys:
            self._answers.note(key)
        suspected = sorted(
            key
            for key in request.keys
            if key in self._crashes.keys or self.holds.stores(key)
        )
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
        news = [
            one.fingerprint
            for one in clearance.answers
            if self._answers.note(one.fingerprint, one.age_ms)
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
        keys = itertools.chain.from_iterable(one.keys for one in cleared.values())
        self._clear(keys, "store", force=True)
        self.holds.apply_stored(held)
        self.on_suspected()

    def crashes(self, request: Fingerprints) -> int:
        """Return how many upstreams crashed during a request or others like it.

        Fingerprints that had a complete answer shortly before don't count.
        """
        counted = (
            len(self._crashes.of(key))
            for key in request.keys
            if not self._was_answered(key)
        )
        most = max(counted, default=0)
        if not most and self.holds.stored_ms(request):
            return MAX_CRASHES
        return min(most, MAX_CRASHES_REPORTED)

    def held_ms(self, request: Fingerprints) -> int:
        """Return the remaining time for which a request is held back, or 0."""
        return self.holds.left_ms(request)

    def confined_to(self, request: Fingerprints) -> str:
        """Return the rank group that alone may be sent a request; empty for any.

        Until the cause of a crash is known, what is suspected most, a prompt part or a
        request at two crashes, isn't sent to another rank group: the service would lose
        that one, too.
        """
        confinement = self._confinements.get(request.service)
        if confinement is None:
            return ""
        # Many that broke beside the cause come again, once each, and are sound.
        is_repeated = len(self._crashes.of(request.request)) >= CRASH_RETRY_LIMIT
        suspected = request.keys if is_repeated else request.parts
        if confinement.keys.isdisjoint(suspected):
            return ""
        if self._clock.now_ms() >= confinement.until_ms:
            return ""
        return confinement.group

    @property
    def suspects(self) -> int:
        """Number of fingerprints that are suspected."""
        return len(self._crashes.keys)

    def _add(
        self, crash: Crash, suspects: t.Iterable[Suspect], source: str
    ) -> list[Suspect]:
        """Add what is known of a crash; return the suspects that are new."""
        is_new = crash.incarnation not in self._crashes
        added = self._crashes.add(crash, suspects)
        if not is_new and not added:
            return []
        most = max((self._count(one) for one in added), default=0)
        log_event(
            Event.CRASH_COUNTED,
            upstream=crash.incarnation,
            group=crash.group,
            fingerprints=[sorted(one.keys) for one in added],
            crashes=most,
            source=source,
        )
        if is_new and self._clock.now_ms() - crash.noted_ms < CONFINEMENT_MS:
            self.on_crash(crash.incarnation, crash.group)
        if most >= MAX_CRASHES:
            self._evaluate(source)
        self._confine(crash.service)
        self.on_suspected()
        return added

    def _count(self, suspect: Suspect) -> int:
        return max(len(self._crashes.of(key)) for key in suspect.keys)

    def _was_answered(self, key: str) -> bool:
        """Return whether a suspect had a complete answer before its first crash."""
        crashes = self._crashes.of(key)
        return bool(crashes) and self._answers.is_shortly_before(
            key, crashes[0].noted_ms
        )

    def _evaluate(self, source: str) -> None:
        """Find the causes of all known crashes anew, and hold these."""
        known = [hold.pattern for hold in self.holds.local()]
        explanation = explain_crashes(
            tuple(self._crashes), self._answers.is_shortly_before, known
        )
        self._explained = {
            crash.incarnation for cause in explanation.causes for crash in cause.crashes
        }
        if self.holds.apply(explanation, source):
            self.on_changed()

    def _confine(self, service: str) -> None:
        """Find out anew which suspects of a service only one rank group is sent."""
        now_ms = self._clock.now_ms()
        recent = [
            crash
            for crash in self._crashes
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
            if self._was_answered(key)
        }
        latest = recent[-1]
        self._confinements[service] = _Confinement(
            latest.group,
            frozenset(most_suspected(recent, exempt)),
            latest.noted_ms + CONFINEMENT_MS,
        )

    def _clear(self, keys: t.Iterable[str], source: str, force: bool = False) -> None:
        """Drop fingerprints from the suspects of the crashes before their answers.

        Parameters
        ----------
        keys : iterable of str
        source : str
        force : bool, optional
            Whether to drop them from all crashes.
        """
        cleared = self._crashes.clear(keys, force)
        if not cleared:
            return
        self._notified &= self._crashes.keys
        was_held = self.holds.with_keys(cleared)
        log_event(
            Event.SUSPECT_CLEARED,
            fingerprints=sorted(cleared),
            source=source,
            was_held=was_held,
        )
        most = max(map(len, map(self._crashes.of, self._crashes.keys)), default=0)
        if was_held or most >= MAX_CRASHES:
            self._evaluate(source)
        for service in set().union(*cleared.values()):
            self._confine(service)

    def _make_notice(
        self, incarnation: str, added: t.Sequence[Suspect], keys: frozenset[str]
    ) -> CrashNotice:
        """Return the notice of a crash and of earlier ones with the same suspects."""
        crash = self._crashes.find(incarnation)
        earlier = [
            (one, [suspect for suspect in one.suspects if suspect.keys & keys])
            for one in self._crashes.related(crash, keys)[1 - MAX_REPORTS :]
        ]
        reports = [self._make_report(*one) for one in (*earlier, (crash, added))]
        return CrashNotice(crash.service, tuple(reports))

    def _make_report(self, crash: Crash, suspects: t.Iterable[Suspect]) -> CrashReport:
        shown = itertools.islice(suspects, MAX_SUSPECTS_REPORTED)
        return CrashReport(
            crash.incarnation,
            crash.group,
            max(0, self._clock.now_ms() - crash.noted_ms),
            tuple(SuspectReport(one.team, tuple(sorted(one.keys))) for one in shown),
        )

    def _make_clearance(self, keys: t.Iterable[str]) -> Clearance | None:
        answers = tuple(
            CompleteAnswer(key, self._answers.age_ms(key))
            for key in itertools.islice(keys, MAX_ANSWERS_REPORTED)
        )
        return Clearance(answers) if answers else None
