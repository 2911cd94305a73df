"""Runs keys at most once at one home, and keeps and replays their answers."""

import asyncio
import contextlib
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import MAX_DEADLINE_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    AttemptError,
    FuchsiahatchError,
    RefusedError,
)
from fuchsiahatch_daemon import rpc
from fuchsiahatch_daemon.recording import Parts, Recording, make_head, replay
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_delivery.keys import LedgerKey
from fuchsiahatch_delivery.ledger import KeptAnswer, Replay, RunOrder, Start, Step
from fuchsiahatch_delivery.verdicts import Verdict

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_core.identities import AttemptId
    from fuchsiahatch_delivery.ledger import Ledger
    from fuchsiahatch_platform.upstream import UpstreamClient
    from fuchsiahatch_wire import attempts_pb2

Admit = t.Callable[["attempts_pb2.RunRequest"], t.AsyncContextManager[None]]


class KeyedRuns:
    """Does what the ledger decides.

    Parameters
    ----------
    ledger : Ledger
    admit : callable
        Opens a place for a request that may run here, or refuses it as not run.
    upstream : UpstreamClient
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_admit",
        "_clock",
        "_ledger",
        "_recordings",
        "_tasks",
        "_upstream",
    )

    def __init__(
        self,
        ledger: "Ledger",
        admit: Admit,
        upstream: "UpstreamClient",
        clock: "Clock",
    ) -> None:
        self._ledger = ledger
        self._admit = admit
        self._upstream = upstream
        self._clock = clock
        self._recordings: dict[LedgerKey, Recording] = {}
        self._tasks = Tasks()

    async def run(self, request: "attempts_pb2.RunRequest") -> Parts:
        """Yield the answer of a key, run for it or kept from an earlier run.

        Raises
        ------
        FuchsiahatchError
            When there is none.
        """
        order = RunOrder(
            LedgerKey(request.team, request.key),
            rpc.from_wire_attempt(request.attempt),
            request.fingerprint,
            request.issued_ms,
        )
        self._ledger.check_home(request.home_incarnation)
        step = self._ledger.begin(order, self._clock.now_ms())
        if isinstance(step, Start):
            recording = self._recordings[order.key] = Recording()
            self._tasks.spawn(self._queue(request, order, recording))
        async for part in self._parts(step, order.key):
            yield part

    async def find(self, request: "attempts_pb2.FindRequest") -> Parts:
        """Yield the answer of a key without running it.

        Raises
        ------
        FuchsiahatchError
            When there is none.
        """
        key = LedgerKey(request.team, request.key)
        self._ledger.check_home(request.home_incarnation)
        step = self._ledger.find(key, request.fingerprint, self._clock.now_ms())
        if step is None:
            raise AttemptError("no run of this key is known here", Code.NOT_FOUND)
        async for part in self._parts(step, key):
            yield part

    def resolve(self, key: LedgerKey, attempt: "AttemptId") -> Verdict:
        """Say what became of an attempt; fence it when it hasn't run."""
        verdict = self._ledger.resolve(key, attempt, self._clock.now_ms())
        self._end_queued(key, verdict)
        return verdict

    def fence(self, key: LedgerKey) -> Verdict:
        """Fence a key, unless it has been dispatched."""
        verdict = self._ledger.fence(key, self._clock.now_ms())
        self._end_queued(key, verdict)
        return verdict

    def _parts(self, step: Step, key: LedgerKey) -> Parts:
        if isinstance(step, Replay):
            return replay(step.answer)
        return self._recordings[key].parts()

    def _end_queued(self, key: LedgerKey, verdict: Verdict) -> None:
        recording = self._recordings.get(key)
        if verdict is Verdict.NOT_RUN and recording is not None:
            recording.fail(_fenced_while_queued())

    async def _queue(
        self, request: "attempts_pb2.RunRequest", order: RunOrder, recording: Recording
    ) -> None:
        async with contextlib.AsyncExitStack() as place:
            try:
                await place.enter_async_context(self._admit(request))
            except FuchsiahatchError as fault:
                self._ledger.release(order.key, order.attempt)
                self._end(order.key, recording, fault)
                return
            await self._dispatch(request, order, recording)

    async def _dispatch(
        self, request: "attempts_pb2.RunRequest", order: RunOrder, recording: Recording
    ) -> None:
        if not self._ledger.dispatch(order.key, order.attempt):
            self._end(order.key, recording, _fenced_while_queued())
            return
        try:
            # Nobody's deadline ends a run that goes on without its caller; a hung
            # upstream would keep its place, and a stopping agent, for ever.
            async with asyncio.timeout(MAX_DEADLINE_MS / 1000):
                answer = await self._record(request, recording)
        except RefusedError as fault:
            self._ledger.withdraw(order.key, order.attempt)
            self._end(order.key, recording, fault)
            return
        except Exception as fault:
            self._ledger.lose(order.key, self._clock.now_ms())
            self._end(order.key, recording, _as_attempt_error(fault))
            return
        self._ledger.finish(order.key, answer, self._clock.now_ms())
        self._end(order.key, recording, None)

    async def _record(
        self, request: "attempts_pb2.RunRequest", recording: Recording
    ) -> KeptAnswer:
        headers = [(header.name, header.value) for header in request.headers]
        answer = await self._upstream.send(
            request.method, request.path, headers, request.body
        )
        recording.add(make_head(answer.status, answer.headers))
        pieces = []
        try:
            async for piece in answer.pieces:
                recording.add(piece)
                pieces.append(piece)
        except BaseException:
            answer.abort()
            raise
        return KeptAnswer(answer.status, answer.headers, tuple(pieces))

    def _end(
        self, key: LedgerKey, recording: Recording, fault: FuchsiahatchError | None
    ) -> None:
        if self._recordings.get(key) is recording:
            del self._recordings[key]
        if fault is None:
            recording.close()
        else:
            recording.fail(fault)


def _fenced_while_queued() -> RefusedError:
    return RefusedError("it was fenced while it was queued", Code.NOT_RUN, 0)


def _as_attempt_error(fault: Exception) -> AttemptError:
    if isinstance(fault, AttemptError):
        return fault
    log_event(Event.INTERNAL_ERROR, detail=repr(fault))
    return AttemptError("the run broke off at its home", Code.UNKNOWN)
