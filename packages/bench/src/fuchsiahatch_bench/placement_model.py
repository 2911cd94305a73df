"""A small model around the real decisions of placement: who says what to whom.

The entries and writes are the ones in production; only the service and the
messages between them are made up here. Tests and searches drive it.
"""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_placement import acceptance, writing
from fuchsiahatch_placement.documents import (
    Change,
    Document,
    next_document,
    read_document,
    republish,
    write_document,
)
from fuchsiahatch_placement.rosters import Voter, change_roster

SERVICE = "service"
PLACEMENT = "placement"
ROSTER = "roster"

MakeEntry = t.Callable[[str, str, str, str], acceptance.EntryConfiguration]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Message:
    """Something on its way; two alike are two all the same."""

    source: str
    target: str
    body: t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call on its way to the service, about one segment."""

    segment: str
    call: acceptance.AskService | writing.Effect


@dataclasses.dataclass(slots=True)
class Writer:
    """A write with the segment that it is about, and its end."""

    name: str
    segment: str
    write: writing.Write
    end: writing.Finished | None = None


class StaleAdmission(Exception):
    """An entry was fresh under a revision older than an accepted one."""


class Reverted(Exception):
    """An entry's revision went down within one life."""


class Model:
    """Entries, a service and writers, with all messages in one place.

    Parameters
    ----------
    voters : sequence of Voter
        Entries that are on the roster from the start.
    observers : sequence of Voter, optional
        Entries that are not.
    make_entry : callable, optional
        Makes an entry's configuration; searches pass one without a guard.

    Attributes
    ----------
    messages : list of Message
        In flight; whoever drives the model delivers or loses them.
    log : list of str
        What was done and what followed, a line each.
    """

    def __init__(
        self,
        voters: t.Sequence[Voter],
        observers: t.Sequence[Voter] = (),
        make_entry: MakeEntry = acceptance.EntryConfiguration,
    ) -> None:
        self.now_ms = 0
        self.service_up = True
        self.values = {ROSTER: (_first_roster(voters), 1), PLACEMENT: (_first(), 1)}
        self.messages: list[Message] = []
        self.writers: dict[str, Writer] = {}
        self.accepted = 0
        self.log: list[str] = []
        self.entries: dict[str, acceptance.EntryConfiguration] = {}
        self._make_entry = make_entry
        self._hosts = {voter.host: voter for voter in (*voters, *observers)}
        self._lives = itertools.count(1)
        self._numbers = itertools.count(1)
        for host in self._hosts:
            self.start_entry(host)

    def start_entry(self, host: str) -> None:
        """Start an entry, or replace it by a life that knows nothing."""
        voter = self._hosts[host]
        life = f"life-{next(self._lives)}"
        self.note(f"{host} starts as {life}")
        entry = self._make_entry(host, life, voter.region, voter.zone)
        self.entries[host] = entry
        region = (one for one in self._hosts.values() if one.region == voter.region)
        listed = acceptance.PeersListed(frozenset(one.host for one in region))
        entry.handle(listed, self.now_ms)

    def advance(self, step_ms: int) -> None:
        """Let time pass, and tick the open writes."""
        self.now_ms += step_ms
        for writer in list(self.writers.values()):
            self.tell_writer(writer, writing.Tick())
        self.check()

    def tick_entry(self, host: str) -> None:
        """Tick one entry."""
        self.tell_entry(host, acceptance.Tick())

    def begin_write(self, expected_revision: int | None = None) -> Writer:
        """Begin a change of the placement segment."""

        def propose(base: Document) -> Document:
            expected = base.revision if expected_revision is None else expected_revision
            return next_document(base, expected, change, ())

        change = self._change()
        return self._begin(PLACEMENT, change.change_id, propose)

    def begin_roster_write(self, host: str) -> Writer:
        """Begin to add a host to the roster, or to remove it when it is there."""

        def propose(base: Document) -> Document:
            listed = any(f'"{host}", "listed": true' in row for row in base.records)
            added = None if listed else self._hosts[host]
            return change_roster(base, base.revision, change, host, added)

        change = self._change()
        return self._begin(ROSTER, change.change_id, propose)

    def begin_republish(self, host: str) -> Writer:
        """Begin to put back what an entry holds."""
        held = read_document(self.entries[host].snapshot.document)
        change = self._change()
        return self._begin(
            PLACEMENT, change.change_id, lambda base: republish(base, held, change)
        )

    def send_watch(self, host: str, value: bytes) -> None:
        """Put a watch event on its way."""
        self.messages.append(Message(SERVICE, host, acceptance.WatchEvent(value)))

    def deliver(self, message: Message) -> None:
        """Deliver a message that is in flight."""
        self.messages.remove(message)
        if message.target == SERVICE:
            self._ask_service(message)
        elif message.target in self.entries:
            self._reach_entry(message)
        elif message.target in self.writers:
            writer = self.writers[message.target]
            if isinstance(message.body, writing.Reported) or writer.end is None:
                self.tell_writer(writer, message.body)

    def lose(self, message: Message) -> None:
        """Lose a message; a writer's call to the service fails by its timeout."""
        self.messages.remove(message)
        if self.service_up:
            self.note(f"lost: {describe(message)}")
        ends = (message.source, message.target)
        caller = next((self.writers[end] for end in ends if end in self.writers), None)
        if caller is not None and SERVICE in ends:
            swap = _is_swap(message.body)
            failed = writing.SwapAmbiguous() if swap else writing.ServiceFailed("lost")
            self.tell_writer(caller, failed)

    def give_up_waiting(self, message: Message) -> None:
        """Let a writer's call time out though it still arrives later."""
        if _is_swap(message.body) and message.source in self.writers:
            late = Message("gone", message.target, message.body)
            self.messages[self.messages.index(message)] = late
            self.note(f"timed out, still on its way: {describe(message)}")
            self.tell_writer(self.writers[message.source], writing.SwapAmbiguous())

    def deliver_all(self) -> None:
        """Deliver everything in order, and what follows from it."""
        while self.messages:
            self.deliver(self.messages[0])

    def tell_entry(self, host: str, event: acceptance.Event) -> None:
        """Hand an event to an entry and put its effects on their way."""
        entry = self.entries[host]
        before = entry.snapshot.revision
        for effect in entry.handle(event, self.now_ms):
            self._follow_entry(host, effect)
        if entry.snapshot.revision < before:
            raise Reverted(f"{host} from {before} to {entry.snapshot.revision}")
        self.check()

    def tell_writer(self, writer: Writer, event: writing.Event) -> None:
        """Hand an event to a write and put its effects on their way."""
        self._follow_writer(writer, writer.write.handle(event, self.now_ms))

    def check(self) -> None:
        """Check that no entry may admit under what an accepted change replaced.

        Raises
        ------
        StaleAdmission
        """
        for host, entry in self.entries.items():
            if entry.snapshot.revision < self.accepted and entry.is_fresh(self.now_ms):
                raise StaleAdmission(
                    f"{host} is fresh at {entry.snapshot.revision}, "
                    f"{self.accepted} is accepted"
                )

    def note(self, text: str) -> None:
        """Add a line to the log."""
        self.log.append(f"{self.now_ms:>6} {text}")

    def _change(self) -> Change:
        return Change(0, f"change-{next(self._numbers)}", 0, "aminah", "")

    def _begin(self, segment: str, change_id: str, propose: writing.Propose) -> Writer:
        name = f"writer-{change_id}"
        write = writing.Write(change_id, propose, self.now_ms, segment == ROSTER)
        writer = self.writers[name] = Writer(name, segment, write)
        self._follow_writer(writer, write.start())
        return writer

    def _ask_service(self, message: Message) -> None:
        if not self.service_up:
            self.messages.append(message)
            self.lose(message)
            return
        answer = self._answer(message.body)
        self.messages.append(Message(SERVICE, message.source, answer))

    def _answer(self, body: ServiceCall) -> acceptance.Event | writing.Event:
        value, version = self.values[body.segment]
        match body.call:
            case acceptance.AskService(question):
                values = (self.values[ROSTER][0], self.values[PLACEMENT][0])
                return acceptance.ServiceAnswer(question, *values)
            case writing.ReadRoster():
                return writing.RosterRead(self.values[ROSTER][0])
            case writing.SwapDocument(new_value, expected_version):
                if expected_version != version:
                    return writing.SwapDone(False)
                self.values[body.segment] = (new_value, version + 1)
                return writing.SwapDone(True)
        return writing.DocumentRead(value, version)

    def _reach_entry(self, message: Message) -> None:
        entry = self.entries[message.target]
        body = message.body
        if isinstance(body, acceptance.Question):
            answer: t.Any = entry.answer_question(body)
            self.messages.append(Message(message.target, message.source, answer))
        elif isinstance(body, writing.AskReports):
            answer = writing.Reported(entry.report())
            self.messages.append(Message(message.target, message.source, answer))
        else:
            self.tell_entry(message.target, body)

    def _follow_entry(self, host: str, effect: acceptance.Effect) -> None:
        if isinstance(effect, acceptance.AskService):
            call = ServiceCall(PLACEMENT, effect)
            self.messages.append(Message(host, SERVICE, call))
        elif isinstance(effect, acceptance.AskPeers):
            self.messages += [
                Message(host, peer, effect.question) for peer in effect.hosts
            ]
        else:
            self.note(f"{host}: {describe_effect(effect)}")

    def _follow_writer(self, writer: Writer, effects: list[writing.Effect]) -> None:
        for effect in effects:
            self._follow_write_effect(writer, effect)

    def _follow_write_effect(self, writer: Writer, effect: writing.Effect) -> None:
        name = writer.name
        if isinstance(effect, writing.AskReports):
            self.messages += [Message(name, host, effect) for host in effect.hosts]
        elif isinstance(effect, _SERVICE_CALLS):
            call = ServiceCall(writer.segment, effect)
            self.messages.append(Message(name, SERVICE, call))
        else:
            self.note(f"{name}: {describe_effect(effect)}")
        if isinstance(effect, writing.Finished):
            self._end(writer, effect)

    def _end(self, writer: Writer, end: writing.Finished) -> None:
        writer.end = end
        accepted = end.outcome is writing.Outcome.ACCEPTED
        if accepted and writer.segment == PLACEMENT:
            self.accepted = max(self.accepted, end.revision)
            self.check()


def describe(message: Message) -> str:
    """Return a message as a line of a session."""
    body = message.body
    if isinstance(body, ServiceCall):
        body = body.call
    name = type(body).__name__
    return f"{name} from {message.source} to {message.target}"


def describe_effect(effect: t.Any) -> str:
    """Return an effect as a line of a session."""
    match effect:
        case acceptance.Applied(snapshot):
            return f"applies revision {snapshot.revision}"
        case acceptance.RosterApplied(roster):
            return f"applies roster {roster.revision}"
        case acceptance.FreshnessChanged(fresh):
            return "fresh" if fresh else "not fresh"
        case acceptance.RevertSeen():
            return (
                f"REVERT_SEEN {effect.segment} by {effect.source}: "
                f"holds {effect.held_revision}, saw {effect.seen_revision}"
            )
        case writing.Progress():
            heard = ", ".join(one.host for one in effect.heard) or "nobody"
            return f"revision {effect.revision} acknowledged by {heard}"
        case writing.Finished():
            return _describe_end(effect)
    return repr(effect)


def _describe_end(end: writing.Finished) -> str:
    missing = ", ".join(f"{one.region}/{one.zone}/{one.host}" for one in end.missing)
    parts = (
        f"{end.outcome.value} at revision {end.revision} ({end.code.name})",
        f"missing {missing}" if missing else "",
        end.detail,
    )
    return "; ".join(filter(None, parts))


def _is_swap(body: t.Any) -> bool:
    call = body.call if isinstance(body, ServiceCall) else body
    return isinstance(call, writing.SwapDocument | writing.SwapDone)


def _first() -> bytes:
    change = Change(0, "change-0", 0, "aminah", "")
    return write_document(next_document(Document(0), 0, change, ()))


def _first_roster(voters: t.Iterable[Voter]) -> bytes:
    document = Document(0)
    for number, voter in enumerate(voters):
        change = Change(0, f"roster-{number + 1}", 0, "aminah", "")
        document = change_roster(document, number, change, voter.host, voter)
    return write_document(document) if document.revision else b""


_SERVICE_CALLS = writing.ReadDocument | writing.SwapDocument | writing.ReadRoster
