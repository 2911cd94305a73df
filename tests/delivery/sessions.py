"""Whole sessions of delivery on a manual clock, with fakes at the interfaces.

The deliveries, ledger, tickets, bindings and the intake of frames are the real ones;
the wire, the upstream and the key-value service are fakes, in seeded order.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError, FuchsiahatchError, RefusedError
from fuchsiahatch_core.identities import AttemptId, Home
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.bindings import Create, CreateReply, ReadReply, bind
from fuchsiahatch_delivery.deliveries import deliver_keyed
from fuchsiahatch_delivery.home_calls import (
    Answered,
    HopFailed,
    Operation,
    Outcome,
    Refused,
    Standing,
    VerdictReply,
)
from fuchsiahatch_delivery.intake import Intake
from fuchsiahatch_delivery.keys import LedgerKey, fingerprint_of, text_of_key
from fuchsiahatch_delivery.ledger import Follow, KeptAnswer, Ledger, Replay, RunOrder
from fuchsiahatch_delivery.tickets import Ticket, TicketHome
from fuchsiahatch_delivery.verdicts import Verdict

TEAM, TARGET = "gym-bangsar", "hold-and-cancel"
QUEUE_MS, RUN_MS, SILENT_MS = 10, 100, 3_000


class Session:
    """The clock, the wire and the record of what happened."""

    def __init__(self, seed=7, late_percent=0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.late_percent = late_percent
        self.lines = []
        self.runs = collections.Counter()
        self.homes = {}
        self.not_run = set()
        self.run_all_the_same = []
        self._due = []
        self._ties = itertools.count()

    def say(self, line):
        self.lines.append(f"{self.clock.now_ms():>6} {line}")

    def later(self, pause_ms, work, *arguments):
        at_ms = self.clock.now_ms() + pause_ms
        heapq.heappush(self._due, (at_ms, next(self._ties), work, arguments))

    def send(self, work, *arguments):
        """Put a message on the wire, where some are held up."""
        pause_ms = self.rng.randint(1, 4)
        if self.late_percent and self.rng.randrange(100) < self.late_percent:
            pause_ms += self.rng.randint(1, 3_000)
        self.later(pause_ms, work, *arguments)

    def run(self, until_ms=60_000):
        """Let everything due happen, up to a time."""
        while self._due and self._due[0][0] <= until_ms:
            at_ms, _, work, arguments = heapq.heappop(self._due)
            self.clock.advance(at_ms - self.clock.now_ms())
            work(*arguments)
        self.clock.advance(max(0, until_ms - self.clock.now_ms()))

    def home(self, host, life=1):
        self.homes[host] = FakeHome(self, host, life)
        return self.homes[host]

    def ticket(self):
        now_ms = self.clock.now_ms()
        homes = (TicketHome(one.home, now_ms) for one in self.homes.values())
        return Ticket(TEAM, TARGET, tuple(homes))

    def close(self):
        """Add the upstreams' own counts and return the record."""
        counts = ", ".join(
            f"{key}: {count}" for key, count in sorted(self.runs.items())
        )
        return [*self.lines, f"runs by key: {counts or 'none'}"]


class FakeHome:
    """An agent around a real ledger, and the upstream beside it."""

    def __init__(self, session, host, life=1):
        self.session = session
        self.home = Home(host, f"life-{life}")
        self.ledger = Ledger(self.home.incarnation)
        self.alive = True
        self.frozen = False
        self.leaving = False
        self.known_gone = False
        self._held = []
        self._followers = {}

    def say(self, line):
        self.session.say(f"{self.home.host}: {line}")

    def kill(self):
        self.say("killed")
        self.alive = False
        self.session.later(SILENT_MS, self.note_gone)

    def freeze(self):
        self.say("frozen")
        self.frozen = True
        self.session.later(SILENT_MS, self.note_gone)

    def wake(self):
        self.say("wakes")
        self.frozen = False
        held, self._held = self._held, []
        for work, arguments in held:
            work(*arguments)

    def thaw_without_mail(self):
        """Serve again, and return the messages that are still on their way."""
        self.frozen = False
        late, self._held = self._held, []
        return late

    def note_gone(self):
        self.known_gone = True

    def take_question(self, incarnation, work, *arguments):
        """Handle a request, if it is meant for this incarnation."""
        try:
            self.ledger.check_home(incarnation)
        except RefusedError as fault:
            self.say(f"refuses: {fault.result.name}")
            arguments[-1](refused_by(fault))
            return
        work(*arguments)

    def take(self, work, *arguments):
        """Take a message off the wire, unless dead or frozen."""
        if self.frozen:
            self._held.append((work, arguments))
        elif self.alive:
            work(*arguments)

    def on_run(self, order, reply):
        now_ms = self.session.clock.now_ms()
        try:
            step = self.ledger.begin(order, now_ms)
        except FuchsiahatchError as fault:
            self.say(f"refuses {order.key.text}: {fault.result.name}")
            reply(refused_by(fault))
            return
        if isinstance(step, Replay):
            self.say(f"replays {order.key.text}")
            self._stream(step.answer, reply)
            return
        if isinstance(step, Follow):
            self.say(f"follows {order.key.text}")
            self._followers[order.key].append(reply)
        elif self.leaving:
            self.ledger.release(order.key, order.attempt)
            reply(refused_by(RefusedError("leaving", Code.LEAVING)))
        else:
            followers = self._followers[order.key] = [reply]
            self.session.later(QUEUE_MS, self.take, self._dispatch, order, followers)

    def on_resolve(self, key, attempt, reply):
        verdict = self.ledger.resolve(key, attempt, self.session.clock.now_ms())
        self.say(f"resolves {attempt.entry}/{attempt.counter} as {verdict.name}")
        self._end_queued(key, verdict)
        if verdict is Verdict.NOT_RUN:
            self.session.not_run.add(attempt)
        reply(VerdictReply(verdict))

    def on_fence(self, key, reply):
        verdict = self.ledger.fence(key, self.session.clock.now_ms())
        self.say(f"fence of {key.text}: {verdict.name}")
        self._end_queued(key, verdict)
        reply(VerdictReply(verdict))

    def on_find(self, key, fingerprint, reply):
        now_ms = self.session.clock.now_ms()
        try:
            step = self.ledger.find(key, fingerprint, now_ms)
        except FuchsiahatchError as fault:
            reply(refused_by(fault))
            return
        if isinstance(step, Replay):
            self.say(f"replays {key.text}")
            self._stream(step.answer, reply)
        elif step is None:
            self.say(f"knows nothing of {key.text}")
            reply(Refused(Verdict.UNKNOWN, Code.NOT_FOUND, "not known here"))
        else:
            self._followers[key].append(reply)

    def _end_queued(self, key, verdict):
        if verdict is Verdict.NOT_RUN:
            fault = RefusedError("resolved or fenced while queued", Code.NOT_RUN)
            self._tell(self._followers.pop(key, []), refused_by(fault))

    def _dispatch(self, order, followers):
        if not self.ledger.dispatch(order.key, order.attempt):
            return
        if order.attempt in self.session.not_run:
            self.session.run_all_the_same.append(order.attempt)
        self.session.runs[order.key.text] += 1
        count = self.session.runs[order.key.text]
        self.say(f"upstream runs {order.key.text} (run {count})")
        self.session.later(RUN_MS, self.take, self._end, order.key, count, followers)

    def _end(self, key, count, followers):
        now_ms = self.session.clock.now_ms()
        pieces = (f"hold {count} ".encode(), b"is yours")
        answer = KeptAnswer(200, (), pieces)
        self.ledger.finish(key, answer, now_ms)
        for reply in followers:
            self._stream(answer, reply)

    def _tell(self, followers, refusal):
        for reply in followers:
            reply(refusal)

    def _stream(self, answer, reply):
        meter = AnswerMeter()
        for piece in answer.pieces:
            meter.add(piece)
        end = (meter.length_bytes, meter.digest())
        reply(list(enumerate([*answer.pieces, end])))


@dataclasses.dataclass
class Call:
    """One request of a caller to one entry."""

    entry: "FakeEntry"
    key: str
    body: bytes
    ticket: Ticket
    delivery: object = None
    attempt: AttemptId | None = None
    question: int = 0
    intake: Intake | None = None
    text: bytes = b""
    outcome: Outcome | None = None
    frames: list = dataclasses.field(default_factory=list)


class FakeEntry:
    """An entry that drives real deliveries over the fake wire."""

    def __init__(self, session, name):
        self.session = session
        self.name = name
        self.alive = True
        self.hop_broken = False
        self.lag_ms = 0
        self.calls = []
        self._counter = itertools.count(1)

    def say(self, line):
        self.session.say(f"{self.name}: {line}")

    def kill(self):
        self.say("killed")
        self.alive = False

    def call(self, key, ticket, body=b"07:00"):
        """Take a caller's request."""
        call = Call(self, key, body, ticket)
        self.calls.append(call)
        order = [one.home for one in ticket.rank(key)]
        call.delivery = deliver_keyed(order, self.standing)
        self.say(f"caller asks for {key} with {body.decode()}")
        self._step(call, None)
        return call

    def standing(self, home):
        fake = self.session.homes[home.host]
        if fake.known_gone:
            return Standing.UNREACHABLE
        known_leaving = fake.leaving and not self.lag_ms
        return Standing.LEAVING if known_leaving else Standing.SERVING

    def _step(self, call, reply):
        if not self.alive or call.outcome is not None:
            return
        try:
            move = call.delivery.send(reply)
        except StopIteration as end:
            call.outcome = end.value
            self._say_end(call)
            return
        self._ask(call, move)

    def _ask(self, call, move):
        fake = self.session.homes[move.home.host]
        self.say(f"{move.operation.value} {call.key} at {move.home.host}")
        key = LedgerKey(TEAM, text_of_key(call.key))
        digest = fingerprint_of("POST", "/holds", TARGET, call.body)
        previous = call.attempt
        if move.operation in (Operation.RUN, Operation.FIND):
            call.attempt = AttemptId(self.name, "life-1", next(self._counter))
            call.intake = Intake(call.attempt)
        attempt = call.attempt
        call.question += 1
        reply = self._replier(call, attempt)
        ask = functools.partial(
            self.session.send, fake.take, fake.take_question, move.home.incarnation
        )
        if move.operation is Operation.RUN:
            issued_ms = next(
                one.issued_ms for one in call.ticket.homes if one.home == move.home
            )
            order = RunOrder(key, attempt, digest, issued_ms)
            ask(fake.on_run, order, reply)
            self.session.later(
                SILENT_MS + 10, self._note_silence, call, call.question, fake
            )
        elif move.operation is Operation.RESOLVE:
            ask(fake.on_resolve, key, previous, reply)
        elif move.operation is Operation.FENCE:
            ask(fake.on_fence, key, reply)
        else:
            ask(fake.on_find, key, digest, reply)
        if not fake.alive or fake.known_gone:
            reply(HopFailed("no connection"))

    def _replier(self, call, attempt):
        question = call.question

        def reply(message):
            self.session.send(self._on_reply, call, question, attempt, message)

        return reply

    def _note_silence(self, call, question, fake):
        if fake.known_gone:
            self._on_reply(call, question, call.attempt, HopFailed("silent"))

    def break_hop(self, call):
        """Break the connection that a call waits on."""
        self.say("hop breaks")
        self._step(call, HopFailed("connection lost"))

    def _on_reply(self, call, question, attempt, message):
        if not self.alive:
            return
        if not isinstance(message, list):
            if question == call.question:
                self._step(call, message)
            return
        for sequence, frame in message:
            self.on_frame(call, attempt, sequence, frame)

    def on_frame(self, call, attempt, sequence, message):
        """Take a frame of an answer, as the daemon does."""
        try:
            if not call.intake.accepts(attempt, sequence):
                self.say(f"drops a frame of {attempt.entry}/{attempt.counter}")
                return
            self._take_frame(call, sequence, message)
        except AttemptError as fault:
            self._step(call, HopFailed(fault.detail, call.intake.first_byte_sent))

    def _take_frame(self, call, sequence, message):
        call.frames.append((call.attempt, sequence, message))
        if isinstance(message, tuple):
            call.intake.end(*message)
            self._step(call, Answered())
            return
        call.intake.head()
        call.intake.chunk(message)
        call.text += message

    def _say_end(self, call):
        outcome = call.outcome
        if outcome.verdict is Verdict.DONE:
            self.say(f"caller has {call.text.decode()!r} for {call.key}")
            return
        scope = " for the whole key" if outcome.whole_key else ""
        self.say(f"caller has {outcome.verdict.name} ({outcome.code.name}){scope}")


class FakeService:
    """The key-value service: down, or losing the answers of writes, when told."""

    def __init__(self, session):
        self.session = session
        self.rows = {}
        self.down = False
        self.loses_answers = 0

    def bind(self, entry, key, ticket):
        """Drive the binding of a key and return its ticket."""
        steps = bind(TEAM, key, ticket)
        reply = None
        while True:
            try:
                ask = steps.send(reply)
            except StopIteration as end:
                homes = ",".join(one.home.host for one in end.value.homes)
                entry.say(f"{key} is bound to {homes}")
                return end.value
            reply = self._answer(entry, ask)

    def _answer(self, entry, ask):
        if isinstance(ask, Create):
            created = not self.down and ask.key not in self.rows
            if created:
                self.rows[ask.key] = ask.value
            lost = self.down or self.loses_answers > 0
            self.loses_answers -= 1
            entry.say("create: " + ("answer lost" if lost else str(created)))
            return CreateReply(None if lost else created)
        entry.say("read: " + ("no answer" if self.down else "answered"))
        return ReadReply(None if self.down else self.rows.get(ask.key, b""))


def refused_by(fault):
    not_run = not isinstance(fault, AttemptError)
    verdict = Verdict.NOT_RUN if not_run else Verdict.UNKNOWN
    return Refused(verdict, fault.result, fault.detail, fault.retry_after_ms)
