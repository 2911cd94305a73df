"""An entry's part in acceptance: what it applies, votes for and is fresh under.

Questions go to the service and, where it is silent, to the region's other
entries; the answers raise the revision and renew freshness.
"""

import dataclasses

from fuchsiahatch_core.defaults import FRESH_MS
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.acceptance_messages import (
    Applied,
    AskPeers,
    AskService,
    Effect,
    Event,
    FreshnessChanged,
    PeerAnswer,
    PeersListed,
    Question,
    Report,
    RevertSeen,
    RosterApplied,
    RosterHint,
    ServiceAnswer,
    Tick,
    Unreadable,
    WatchEvent,
)
from fuchsiahatch_placement.records import (
    EMPTY_SNAPSHOT,
    Snapshot,
    decode_document,
)
from fuchsiahatch_placement.rosters import (
    EMPTY_ROSTER,
    FEWEST_CONFIRMING,
    Roster,
    decode_roster,
    is_majority,
)

#: How often a new question goes out.
TICK_MS = 1_000
#: Silence of the service after which the region's other entries are asked too.
SERVICE_SILENT_MS = 1_500
#: Open questions that are remembered; a later answer confirms nothing.
MAX_OPEN_QUESTIONS = 8


@dataclasses.dataclass(slots=True)
class _OpenQuestion:
    question: Question
    sent_ms: int
    heard: set[str]


class EntryConfiguration:
    """What one life of an entry knows of the configuration, and how freshly.

    Parameters
    ----------
    host, incarnation, region, zone : str
        Who the entry is.
    fresh_ms : int, optional
        How long a confirmation counts, from when its question was sent.

    Attributes
    ----------
    snapshot : Snapshot
        In force here; only ever replaced by one of a higher revision.
    roster : Roster

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_alarmed",
        "_complaints",
        "_confirmed_ms",
        "_fresh_ms",
        "_host",
        "_incarnation",
        "_listed",
        "_number",
        "_open",
        "_region",
        "_reverted",
        "_service_ms",
        "_service_seen",
        "_settled",
        "_was_fresh",
        "_zone",
        "roster",
        "snapshot",
    )

    def __init__(
        self,
        host: str,
        incarnation: str,
        region: str,
        zone: str,
        fresh_ms: int = FRESH_MS,
    ) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.roster: Roster = EMPTY_ROSTER
        self._host = host
        self._incarnation = incarnation
        self._region = region
        self._zone = zone
        self._fresh_ms = fresh_ms
        self._listed: frozenset[str] = frozenset()
        self._number = 0
        self._open: dict[int, _OpenQuestion] = {}
        self._settled = False
        self._reverted = False
        self._confirmed_ms: int | None = None
        self._service_ms: int | None = None
        self._service_seen: dict[str, _Seen | None] = {}
        self._complaints: dict[str, str] = {}
        self._alarmed: dict[tuple[str, str], _Seen] = {}
        self._was_fresh = False

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take an event and return what is to be done."""
        match event:
            case Tick() | RosterHint():
                effects = self._ask(now_ms)
            case ServiceAnswer():
                effects = self._take_service(event, now_ms)
            case PeerAnswer():
                effects = self._take_peer(event)
            case WatchEvent():
                effects = self._take_watch(event, now_ms)
            case PeersListed():
                self._listed = event.hosts
                effects = []
        return effects + self._freshness_change(now_ms)

    def is_fresh(self, now_ms: int) -> bool:
        """Whether work may be admitted now; ask right before admitting."""
        until_ms = self.fresh_until_ms()
        return until_ms is not None and now_ms < until_ms and self.snapshot.revision > 0

    def fresh_until_ms(self) -> int | None:
        """When freshness ends if nothing is heard; None when never confirmed."""
        if self._confirmed_ms is None:
            return None
        return self._confirmed_ms + self._fresh_ms

    def report(self) -> Report:
        """Return what this entry says of itself, for writers and peers."""
        return Report(
            host=self._host,
            incarnation=self._incarnation,
            region=self._region,
            zone=self._zone,
            roster_revision=self.roster.revision,
            revision=self.snapshot.revision,
            roster_change_id=self.roster.change_id,
            change_id=self.snapshot.change_id,
            votes=self.votes(),
            reverted=self._reverted,
        )

    def votes(self) -> bool:
        """Whether this entry may be counted in a majority.

        A restarted entry has forgotten what it acknowledged. Were it counted,
        a change could gather its majority out of the forgotten acknowledgement
        while this life confirms, as part of another majority, the revision
        before: requests would go to a place that was just forbidden. What it
        acknowledged was committed first, so one read of the service in this
        life brings back at least that much.
        """
        return self._settled

    def answer_question(self, question: Question) -> PeerAnswer:
        """Answer another entry's question."""
        newer_roster = self.roster.revision > question.roster_revision
        newer = self.snapshot.revision > question.revision
        return PeerAnswer(
            question,
            self.report(),
            self.roster.document if newer_roster else None,
            self.snapshot.document if newer else None,
        )

    def _ask(self, now_ms: int) -> list[Effect]:
        self._number += 1
        question = Question(
            self._host,
            self._incarnation,
            self._number,
            self.roster.revision,
            self.snapshot.revision,
        )
        self._open[self._number] = _OpenQuestion(question, now_ms, set())
        self._open.pop(self._number - MAX_OPEN_QUESTIONS, None)
        effects: list[Effect] = [AskService(question)]
        peers = self._peers()
        if peers and self._service_is_silent(now_ms):
            effects.append(AskPeers(question, tuple(sorted(peers))))
        return effects

    def _peers(self) -> frozenset[str]:
        known = self._listed | self.roster.hosts_in(self._region)
        return known - {self._host}

    def _service_is_silent(self, now_ms: int) -> bool:
        silent_since = self._service_ms
        return silent_since is None or now_ms - silent_since > SERVICE_SILENT_MS

    def _take_service(self, answer: ServiceAnswer, now_ms: int) -> list[Effect]:
        if not self._is_own(answer.question):
            return []
        seen = self._service_seen
        effects: list[Effect] = []
        if answer.roster_document is not None:
            seen[_ROSTER], faults = self._take_roster(answer.roster_document, _SERVICE)
            effects += faults
        if answer.document is not None:
            seen[_PLACEMENT], faults = self._take_placement(answer.document, _SERVICE)
            effects += faults
        alarms = self._compare_service(answer.question)
        agrees = all(seen.get(segment) == self._held(segment) for segment in _SEGMENTS)
        if agrees:
            self._settled = True
            self._reverted = False
            self._service_ms = now_ms
            self._confirm(answer.question, now_ms)
        return effects + alarms

    def _compare_service(self, question: Question) -> list[Effect]:
        asked = {_ROSTER: question.roster_revision, _PLACEMENT: question.revision}
        alarms: list[Effect] = []
        for segment in _SEGMENTS:
            seen = self._service_seen.get(segment)
            # An answer below what was held when the question went out is no late
            # answer: the service was set back, as by a restored backup. Applying
            # it would bring back a place that was forbidden since.
            below = seen is not None and seen.revision < asked[segment]
            if below or self._is_fork(segment, seen):
                self._reverted = True
                alarms += self._alarm(_SERVICE, segment, seen)
        return alarms

    def _take_peer(self, answer: PeerAnswer) -> list[Effect]:
        if not self._is_own(answer.question):
            return []
        report = answer.report
        effects: list[Effect] = []
        taken = True
        if answer.document is not None:
            seen, effects = self._take_placement(answer.document, report.host)
            taken = seen is not None
        # The peer's roster came with a placement at least as new as the roster;
        # taken without that, this entry could confirm an older placement under
        # a roster that no longer meets the majorities which accepted it.
        if answer.roster_document is not None and taken:
            _, faults = self._take_roster(answer.roster_document, report.host)
            effects = effects + faults
        return effects + self._count_peer(answer)

    def _count_peer(self, answer: PeerAnswer) -> list[Effect]:
        report = answer.report
        theirs = {
            _ROSTER: _Seen(report.roster_revision, report.roster_change_id),
            _PLACEMENT: _Seen(report.revision, report.change_id),
        }
        forks = [one for one in _SEGMENTS if self._is_fork(one, theirs[one])]
        if forks:
            return self._alarm(report.host, forks[0], theirs[forks[0]])
        knows_no_newer = report.revision <= self.snapshot.revision
        same_roster = report.roster_revision == self.roster.revision
        found = self._open.get(answer.question.number)
        if found and report.votes and knows_no_newer and same_roster:
            found.heard.add(report.host)
            if self._has_majority(found.heard):
                self._confirm(answer.question, found.sent_ms)
        return []

    def _has_majority(self, heard: set[str]) -> bool:
        """Whether enough voters of the region know of nothing newer.

        An accepted change was acknowledged by a majority of the region. Any two
        majorities share a voter, so one of those heard would have known it. With
        a single voter the rule says nothing about a roster to which that voter
        is just being added, so the service alone confirms there.
        """
        hosts = self.roster.hosts_in(self._region)
        own = {self._host} if self.votes() else set()
        enough = is_majority(len(hosts & (heard | own)), len(hosts))
        return enough and len(hosts) >= FEWEST_CONFIRMING

    def _confirm(self, question: Question, now_ms: int) -> None:
        """Renew freshness, counted from when the question was sent.

        Counted from the answer, a slow answer or a paused process would renew
        freshness for a state of long ago, and work would be admitted under a
        revision that was replaced meanwhile.
        """
        found = self._open.get(question.number)
        if found is None:
            return
        last_ms = self._confirmed_ms
        sent_ms = self._counts_from(found, now_ms)
        self._confirmed_ms = sent_ms if last_ms is None else max(last_ms, sent_ms)

    def _counts_from(self, found: _OpenQuestion, now_ms: int) -> int:
        return found.sent_ms

    def _take_watch(self, event: WatchEvent, now_ms: int) -> list[Effect]:
        held_revision = self.snapshot.revision
        seen, effects = self._take_placement(event.document, "watch")
        # A watch may deliver late, so less than is held is no alarm by itself;
        # a question to the service tells a late event from a restored backup.
        if seen is not None and seen.revision < held_revision:
            effects = effects + self._ask(now_ms)
        return effects

    def _take_placement(
        self, value: bytes, source: str
    ) -> "tuple[_Seen | None, list[Effect]]":
        if value and value == self.snapshot.document:
            return self._held(_PLACEMENT), []
        try:
            snapshot = decode_document(value)
        except SettingsError as fault:
            return None, self._complain(source, str(fault))
        seen = _Seen(snapshot.revision, snapshot.change_id)
        # Only upwards: a late watch event or a restored backup would otherwise
        # bring back a placement that an accepted change has replaced.
        if snapshot.revision <= self.snapshot.revision:
            return seen, []
        self.snapshot = snapshot
        return seen, [Applied(snapshot)]

    def _take_roster(
        self, value: bytes, source: str
    ) -> "tuple[_Seen | None, list[Effect]]":
        if value and value == self.roster.document:
            return self._held(_ROSTER), []
        try:
            roster = decode_roster(value)
        except SettingsError as fault:
            return None, self._complain(source, str(fault))
        seen = _Seen(roster.revision, roster.change_id)
        if roster.revision <= self.roster.revision:
            return seen, []
        self.roster = roster
        # What was heard under the roster before is no majority of this one.
        for found in self._open.values():
            found.heard.clear()
        return seen, [RosterApplied(roster)]

    def _complain(self, source: str, detail: str) -> list[Effect]:
        # A peer sends its newer document with every answer, once a second.
        if self._complaints.get(source) == detail:
            return []
        self._complaints[source] = detail
        return [Unreadable(source, detail)]

    def _held(self, segment: str) -> "_Seen":
        if segment == _ROSTER:
            return _Seen(self.roster.revision, self.roster.change_id)
        return _Seen(self.snapshot.revision, self.snapshot.change_id)

    def _is_fork(self, segment: str, seen: "_Seen | None") -> bool:
        held = self._held(segment)
        return seen is not None and seen != held and seen.revision == held.revision

    def _alarm(self, source: str, segment: str, seen: "_Seen") -> list[Effect]:
        if self._alarmed.get((source, segment)) == seen:
            return []
        self._alarmed[source, segment] = seen
        held_revision = self._held(segment).revision
        return [RevertSeen(source, segment, held_revision, seen.revision)]

    def _is_own(self, question: Question) -> bool:
        # Numbers start anew with each life: an answer to the life before would
        # confirm a question that this life has only just sent.
        return (question.host, question.incarnation) == (self._host, self._incarnation)

    def _freshness_change(self, now_ms: int) -> list[Effect]:
        fresh = self.is_fresh(now_ms)
        if fresh == self._was_fresh:
            return []
        self._was_fresh = fresh
        return [FreshnessChanged(fresh)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    revision: int
    change_id: str


_PLACEMENT = "placement"
_ROSTER = "roster"
_SEGMENTS = (_ROSTER, _PLACEMENT)
_SERVICE = "service"
