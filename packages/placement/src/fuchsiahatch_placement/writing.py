"""One change of a segment, from reading the document to its acceptance."""

import dataclasses
import typing as t

from automat import TypeMachineBuilder

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import FRESH_MS
from fuchsiahatch_core.exceptions import ConflictError, FuchsiahatchError
from fuchsiahatch_placement.acceptance_messages import Report
from fuchsiahatch_placement.documents import (
    Document,
    change_id_at,
    find_change,
    read_document,
    write_document,
)
from fuchsiahatch_placement.rosters import (
    Voter,
    decode_roster,
    missing_voters,
)
from fuchsiahatch_placement.writing_messages import (
    AskReports,
    DocumentRead,
    Effect,
    Event,
    Finished,
    Outcome,
    Progress,
    ReadDocument,
    ReadRoster,
    Reported,
    RosterRead,
    ServiceFailed,
    SwapAmbiguous,
    SwapDocument,
    SwapDone,
    Tick,
)

#: Longest time until an operator is told an end.
GIVE_UP_MS = 16_000
#: Added to the wait for old freshness, for clocks that run at unequal rates.
DRIFT_MARGIN_MS = 100

#: Time kept back for a compare-and-swap whose answer may be lost.
RESOLVE_MS = 3_000

#: Makes the next document of a base, or raises a coded error.
Propose = t.Callable[[Document], Document]


class Write:
    """One change on its way: read, compare-and-swap, resolve, wait, end.

    Parameters
    ----------
    change_id : str
        Unique, chosen before the first try, kept for all of them.
    propose : callable
        Makes the next document of the one just read. It may raise a coded
        error, or return the base itself when there is nothing to change.
    started_ms : int
    is_roster : bool, optional
        Whether the segment is the roster itself: then the revision before must
        have been acknowledged, and its voters are those who acknowledge.
    give_up_ms : int, optional
        Longest time until an end is told.
    fresh_ms : int, optional
        The entries' own, or longer.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_core", "_machine")

    def __init__(
        self,
        change_id: str,
        propose: Propose,
        started_ms: int,
        is_roster: bool = False,
        give_up_ms: int = GIVE_UP_MS,
        fresh_ms: int = FRESH_MS,
    ) -> None:
        self._core = _Core(
            change_id,
            propose,
            is_roster,
            started_ms + give_up_ms,
            fresh_ms + DRIFT_MARGIN_MS,
        )
        self._machine = _make_machine(self._core)

    @property
    def done(self) -> bool:
        """Whether `Finished` was returned."""
        return self._core.done

    def start(self) -> list[Effect]:
        """Return the first effects."""
        return [ReadDocument()]

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take an event and return what is to be done."""
        core = self._core
        core.now_ms = now_ms
        machine = self._machine
        match event:
            case DocumentRead():
                machine.document_read(event)
            case ServiceFailed():
                machine.service_failed()
            case SwapDone(succeeded=True):
                machine.swapped()
            case SwapDone() | SwapAmbiguous():
                machine.swap_in_doubt()
            case RosterRead():
                machine.roster_read(event)
            case Reported():
                machine.reported(event.report)
            case Tick():
                machine.tick()
        effects = core.effects
        core.effects = []
        return effects


@dataclasses.dataclass(slots=True)
class _Core:
    change_id: str
    propose: Propose
    is_roster: bool
    give_up_at_ms: int
    settle_ms: int
    now_ms: int = 0
    done: bool = False
    effects: list[Effect] = dataclasses.field(default_factory=list)
    read_again: Effect | None = None
    base: Document | None = None
    version: int = 0
    proposed: Document | None = None
    value: bytes = b""
    # Revision whose acknowledgements are being collected, and of whom.
    wanted: tuple[int, str] = (0, "")
    voters: frozenset[Voter] = frozenset()
    heard: set[str] = dataclasses.field(default_factory=set)
    # When a majority of every region had acknowledged.
    majority_ms: int | None = None

    @property
    def late(self) -> bool:
        return self.now_ms >= self.give_up_at_ms

    @property
    def settled(self) -> bool:
        """Whether no entry can still be fresh under an older revision.

        An entry that asked just before a voter acknowledged stays fresh for the
        freshness time. Told `accepted` before that has passed, an operator could
        still see a request admitted in the place that was just forbidden.
        """
        if self.majority_ms is None:
            return False
        return self.now_ms >= self.majority_ms + self.settle_ms

    def missing(self) -> tuple[Voter, ...]:
        return missing_voters(self.voters, self.heard)

    def emit(self, *effects: Effect) -> None:
        self.effects.extend(effects)

    def retry(self) -> None:
        if self.read_again is not None:
            self.emit(self.read_again)
            self.read_again = None

    def collect(self, revision: int, change_id: str, voters: t.Iterable[Voter]) -> None:
        self.wanted = (revision, change_id)
        self.voters = frozenset(voters)
        self.heard = set()
        self.majority_ms = None
        self.note_majority()
        self.ask()

    def ask(self) -> None:
        hosts = tuple(one.host for one in sorted(self.voters))
        unheard = tuple(host for host in hosts if host not in self.heard)
        if unheard:
            self.emit(AskReports(unheard))

    def note(self, report: Report) -> None:
        if report.host in self.heard or not self._acknowledges(report):
            return
        self.heard.add(report.host)
        self.note_majority()
        self.progress()

    def note_majority(self) -> None:
        if self.majority_ms is None and not self.missing():
            self.majority_ms = self.now_ms

    def progress(self) -> None:
        heard = tuple(one for one in sorted(self.voters) if one.host in self.heard)
        self.emit(Progress(self.wanted[0], heard, self.missing()))

    def _acknowledges(self, report: Report) -> bool:
        if not report.votes or report.reverted:
            return False
        held = (report.revision, report.change_id)
        if self.is_roster:
            held = (report.roster_revision, report.roster_change_id)
        # The same number under another change is a fork left by a restored
        # backup: that entry has never seen this change.
        return held[0] > self.wanted[0] or held == self.wanted

    def end(
        self, outcome: Outcome, code: Code, revision: int, detail: str = ""
    ) -> None:
        self.done = True
        missing = self.missing() if outcome is Outcome.PENDING else ()
        self.emit(Finished(outcome, code, revision, missing, detail))


class _Inputs(t.Protocol):
    def document_read(self, event: DocumentRead) -> None:
        """The segment was read."""

    def service_failed(self) -> None:
        """A read failed."""

    def proposed(self) -> None:
        """There is a next document to write."""

    def unacknowledged(self) -> None:
        """The roster that is to be changed must be acknowledged first."""

    def acknowledged(self) -> None:
        """All majorities are there, and the freshness of before has passed."""

    def committed(self) -> None:
        """The change is in the service."""

    def swapped(self) -> None:
        """A compare-and-swap was answered with yes, perhaps late."""

    def swap_in_doubt(self) -> None:
        """The compare-and-swap was lost, or lost its race."""

    def absent(self) -> None:
        """The change is not in the service and its version hasn't moved."""

    def roster_read(self, event: RosterRead) -> None:
        """The roster was read after the commit."""

    def counted(self) -> None:
        """The voters are known."""

    def reported(self, report: Report) -> None:
        """An entry said what it has applied."""

    def tick(self) -> None:
        """Time has passed."""

    def finished(self) -> None:
        """The end was told."""


_builder = TypeMachineBuilder(_Inputs, _Core)
_reading = _builder.state("reading")
_awaiting_base = _builder.state("awaiting_base")
_swapping = _builder.state("swapping")
_resolving = _builder.state("resolving")
_reading_roster = _builder.state("reading_roster")
_collecting = _builder.state("collecting")
_finished = _builder.state("finished")
_STATES = (
    _reading,
    _awaiting_base,
    _swapping,
    _resolving,
    _reading_roster,
    _collecting,
    _finished,
)


@_reading.upon(_Inputs.document_read).loop()
def _judge_base(inputs: _Inputs, core: _Core, event: DocumentRead) -> None:
    core.version = event.version
    try:
        base = core.base = read_document(event.value)
        landed = find_change(base.history, core.change_id)
        if landed is not None:
            core.proposed = dataclasses.replace(base, revision=landed.revision)
            inputs.committed()
            return
        core.proposed = core.propose(base)
        core.value = write_document(core.proposed)
    except ConflictError as fault:
        _refuse(inputs, core, Outcome.CONFLICT, fault)
        return
    except FuchsiahatchError as fault:
        _refuse(inputs, core, Outcome.REFUSED, fault)
        return
    if core.proposed is base:
        inputs.committed()
    elif _needs_acknowledged_base(core):
        inputs.unacknowledged()
    else:
        inputs.proposed()


@_reading.upon(_Inputs.tick).loop()
def _reading_tick(inputs: _Inputs, core: _Core) -> None:
    if core.late:
        detail = "the service did not answer; nothing was written"
        core.end(Outcome.REFUSED, Code.SERVICE_UNAVAILABLE, 0, detail)
        inputs.finished()
    else:
        core.retry()


@_reading.upon(_Inputs.unacknowledged).to(_awaiting_base)
def _await_base(inputs: _Inputs, core: _Core) -> None:
    # Two rosters that are two hosts apart may have majorities that never meet:
    # a change accepted under one could be missed by a fresh entry under the
    # other. So the roster before must be in force first.
    roster = decode_roster(write_document(core.base))
    core.collect(roster.revision, roster.change_id, roster.previous)
    _check_settled(inputs, core)


@_awaiting_base.upon(_Inputs.reported).loop()
def _note_base_report(inputs: _Inputs, core: _Core, report: Report) -> None:
    core.note(report)


@_collecting.upon(_Inputs.reported).loop()
def _note_report(inputs: _Inputs, core: _Core, report: Report) -> None:
    core.note(report)
    _check_settled(inputs, core)


@_awaiting_base.upon(_Inputs.tick).loop()
def _awaiting_tick(inputs: _Inputs, core: _Core) -> None:
    # With all majorities there, too: a swap sent now could not be resolved in time.
    if core.now_ms >= core.give_up_at_ms - RESOLVE_MS:
        revision = core.wanted[0]
        detail = f"roster revision {revision} isn't accepted yet; nothing was written"
        core.end(Outcome.REFUSED, Code.PENDING, revision, detail)
        inputs.finished()
        return
    core.ask()
    _check_settled(inputs, core)


@_awaiting_base.upon(_Inputs.acknowledged).to(_swapping)
@_reading.upon(_Inputs.proposed).to(_swapping)
@_resolving.upon(_Inputs.absent).to(_swapping)
def _swap(inputs: _Inputs, core: _Core) -> None:
    core.emit(SwapDocument(core.value, core.version))


@_swapping.upon(_Inputs.swap_in_doubt).to(_resolving)
def _resolve(inputs: _Inputs, core: _Core) -> None:
    # Also after a plain "no": an earlier try, whose answer was lost, may have
    # landed meanwhile, and a change that landed must not be told as failed.
    core.emit(ReadDocument())


@_resolving.upon(_Inputs.document_read).loop()
def _judge_doubt(inputs: _Inputs, core: _Core, event: DocumentRead) -> None:
    try:
        found = read_document(event.value)
    except FuchsiahatchError:
        core.read_again = ReadDocument()
        return
    revision = core.proposed.revision
    change_id = change_id_at(found.history, revision)
    if change_id == core.change_id:
        inputs.committed()
    elif event.version == core.version:
        inputs.absent()
    elif change_id is not None:
        detail = f"revision {found.revision} is current; read it and decide anew"
        core.end(Outcome.CONFLICT, Code.CONFLICT, found.revision, detail)
        inputs.finished()
    else:
        # The history no longer reaches back to where the change would stand.
        detail = f"revision {found.revision} is current; its history can't tell"
        core.end(Outcome.UNDECIDED, Code.AMBIGUOUS_WRITE, found.revision, detail)
        inputs.finished()


@_swapping.upon(_Inputs.tick).loop()
@_resolving.upon(_Inputs.tick).loop()
def _doubtful_tick(inputs: _Inputs, core: _Core) -> None:
    if core.late:
        detail = "the service did not say whether it landed; apply the same id again"
        revision = core.base.revision
        core.end(Outcome.UNDECIDED, Code.AMBIGUOUS_WRITE, revision, detail)
        inputs.finished()
    else:
        core.retry()


@_reading.upon(_Inputs.committed).to(_reading_roster)
@_swapping.upon(_Inputs.swapped).to(_reading_roster)
@_resolving.upon(_Inputs.swapped).to(_reading_roster)
@_resolving.upon(_Inputs.committed).to(_reading_roster)
def _committed(inputs: _Inputs, core: _Core) -> None:
    core.wanted = (core.proposed.revision, core.proposed.change_id)
    if core.is_roster:
        core.voters = decode_roster(write_document(core.proposed)).previous
        inputs.counted()
    else:
        # Read after the commit: rosters later than that are only used by voters
        # that have read this change with them, and of the earlier ones only the
        # neighbour may still be in use, whose majorities meet this one's.
        core.emit(ReadRoster())


@_reading_roster.upon(_Inputs.roster_read).loop()
def _take_roster(inputs: _Inputs, core: _Core, event: RosterRead) -> None:
    try:
        core.voters = decode_roster(event.value).voters
        inputs.counted()
    except FuchsiahatchError:
        core.read_again = ReadRoster()


@_reading_roster.upon(_Inputs.tick).loop()
def _roster_tick(inputs: _Inputs, core: _Core) -> None:
    if core.late:
        detail = "committed, but the service did not say who must acknowledge"
        core.end(Outcome.PENDING, Code.PENDING, core.wanted[0], detail)
        inputs.finished()
    else:
        core.retry()


@_reading_roster.upon(_Inputs.counted).to(_collecting)
def _collect(inputs: _Inputs, core: _Core) -> None:
    core.collect(*core.wanted, core.voters)
    core.progress()
    _check_settled(inputs, core)


@_collecting.upon(_Inputs.tick).loop()
def _collecting_tick(inputs: _Inputs, core: _Core) -> None:
    if core.late and core.missing():
        detail = "committed; it will be in force when a majority has acknowledged it"
        core.end(Outcome.PENDING, Code.PENDING, core.wanted[0], detail)
        inputs.finished()
        return
    if core.missing():
        core.ask()
    _check_settled(inputs, core)


@_collecting.upon(_Inputs.acknowledged).loop()
def _accept(inputs: _Inputs, core: _Core) -> None:
    core.end(Outcome.ACCEPTED, Code.OK, core.wanted[0])
    inputs.finished()


@_reading.upon(_Inputs.service_failed).loop()
@_resolving.upon(_Inputs.service_failed).loop()
def _read_failed(inputs: _Inputs, core: _Core) -> None:
    core.read_again = ReadDocument()


@_reading_roster.upon(_Inputs.service_failed).loop()
def _roster_failed(inputs: _Inputs, core: _Core) -> None:
    core.read_again = ReadRoster()


def _refuse(
    inputs: _Inputs, core: _Core, outcome: Outcome, fault: FuchsiahatchError
) -> None:
    revision = core.base.revision if core.base else 0
    core.end(outcome, fault.result, revision, fault.detail)
    inputs.finished()


def _needs_acknowledged_base(core: _Core) -> bool:
    return core.is_roster and core.base.revision > 0


def _check_settled(inputs: _Inputs, core: _Core) -> None:
    if core.settled:
        inputs.acknowledged()


for _state in _STATES[:-1]:
    _state.upon(_Inputs.finished).to(_finished).returns(None)

# Answers to what an earlier state asked for, and all that follows the end.
_LATE = (
    (_Inputs.document_read, (_awaiting_base, _swapping, _reading_roster, _collecting)),
    (_Inputs.service_failed, (_awaiting_base, _swapping, _collecting)),
    (_Inputs.swap_in_doubt, (_reading, _awaiting_base, _resolving)),
    (_Inputs.swap_in_doubt, (_reading_roster, _collecting)),
    (_Inputs.swapped, (_reading, _awaiting_base, _reading_roster, _collecting)),
    (_Inputs.roster_read, (_reading, _awaiting_base, _swapping, _resolving)),
    (_Inputs.roster_read, (_collecting,)),
    (_Inputs.reported, (_reading, _swapping, _resolving, _reading_roster)),
)
_OUTER = (
    _Inputs.document_read,
    _Inputs.service_failed,
    _Inputs.swapped,
    _Inputs.swap_in_doubt,
    _Inputs.roster_read,
    _Inputs.reported,
    _Inputs.tick,
)
for _input, _states in (*_LATE, *((_input, (_finished,)) for _input in _OUTER)):
    for _state in _states:
        _state.upon(_input).loop().returns(None)

_make_machine = _builder.build()
