"""One rank of a group, in its agent: answers the leader and orders its engine."""

import asyncio
import collections
import dataclasses
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_daemon import step_wire
from fuchsiahatch_experts.grants import (
    Answer,
    Commit,
    EngineState,
    LoadWeights,
    Order,
    Propose,
    RankEffect,
    Refused,
    Reply,
    Request,
    SendOrder,
)
from fuchsiahatch_experts.health import Smoother, StepTime
from fuchsiahatch_experts.orders import OrderGate
from fuchsiahatch_experts.ranks import Rank
from fuchsiahatch_wire.steps_grpc import StepsBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream

    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_daemon.settings import GroupSettings
    from fuchsiahatch_daemon.step_engine import StepEngine
    from fuchsiahatch_daemon.tasks import Tasks
    from fuchsiahatch_wire import steps_pb2


class RankService(StepsBase):
    """The gRPC service of one rank.

    Parameters
    ----------
    settings : GroupSettings
    incarnation : str
        This life of the agent.
    engine : StepEngine
    clock : Clock
    tasks : Tasks
        Ended with the process.
    heard : callable
        Told the time of each request whose term the rank did not refuse.

    Notes
    -----
    The agent binds its address before it reads the engine: a paused earlier
    life still holds the address, so no two agents order one engine about.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        settings: "GroupSettings",
        incarnation: str,
        engine: "StepEngine",
        clock: "Clock",
        tasks: "Tasks",
        heard: t.Callable[[int], None],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._tasks = tasks
        self._heard = heard
        self._smoother = Smoother()
        now_ms = clock.now_ms()
        self._gate = OrderGate(settings.engine_fences, settings.settle_ms, now_ms)
        self._rank = Rank(settings.rank, incarnation, self._gate)

    def start(self) -> None:
        """Take orders from now on, with the agent's address bound."""
        # An earlier life may have given an order until the address was free.
        self._gate.note_lost(self._clock.now_ms())

    async def look(self) -> None:
        """Read the engine, while no leader asks for its state."""
        await self._do(self._rank.read_engine(self._clock.now_ms()))

    async def Ask(
        self, stream: "Stream[steps_pb2.AskRequest, steps_pb2.StepReply]"
    ) -> None:
        """Promise a term and tell the rank's state."""
        message = await stream.recv_message()
        assert message is not None
        answer = await self.answer(step_wire.from_wire_ask(message))
        await stream.send_message(step_wire.to_wire_answer(answer))

    async def Propose(
        self, stream: "Stream[steps_pb2.WindowRequest, steps_pb2.StepReply]"
    ) -> None:
        """Accept a window, or say why not."""
        await self._answer_window(stream, Propose)

    async def Commit(
        self, stream: "Stream[steps_pb2.WindowRequest, steps_pb2.StepReply]"
    ) -> None:
        """Grant an accepted window to the engine."""
        await self._answer_window(stream, Commit)

    async def _answer_window(
        self,
        stream: "Stream[steps_pb2.WindowRequest, steps_pb2.StepReply]",
        kind: type[Propose] | type[Commit],
    ) -> None:
        message = await stream.recv_message()
        assert message is not None
        request = step_wire.from_wire_window_request(message, kind)
        answer = await self.answer(request)
        await stream.send_message(step_wire.to_wire_answer(answer))

    async def answer(self, request: Request) -> Answer:
        """Answer a request of the leader."""
        now_ms = self._clock.now_ms()
        work = self._tasks.spawn(self._do(self._rank.receive(request, now_ms)))
        # A leader that gives up on its call must not cancel an order that is
        # out: the gate would wait for its answer for ever and the rank would
        # refuse everything.
        answer = await asyncio.shield(work)
        assert answer is not None
        if not _is_old_term(answer):
            self._heard(self._clock.now_ms())
        return answer

    async def _do(self, effects: list[RankEffect]) -> Answer | None:
        answer = None
        waiting = collections.deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, Reply):
                answer = effect.answer
            elif isinstance(effect, SendOrder):
                waiting.extend(await self._give(effect.order))
            elif isinstance(effect, LoadWeights):
                self._tasks.spawn(self._load_weights(effect.map_version))
            else:
                log_event(Event.STEPS_STARVED, step=effect.step, code=int(effect.code))
        return answer

    async def _give(self, order: Order) -> list[RankEffect]:
        try:
            state = await self._engine.order(order)
        except PlatformError as fault:
            log_event(Event.ORDER_LOST, term=order.term, detail=fault.detail)
            return self._rank.engine_lost(self._clock.now_ms())
        if state is None:
            log_event(Event.ORDER_REFUSED, term=order.term)
            return self._rank.engine_refused()
        return self._rank.engine_answered(self._smoothed(state))

    def _smoothed(self, state: EngineState) -> EngineState:
        compute_ms = self._smoother.add(StepTime(state.compute_ms, wait_ms=0.0))
        return dataclasses.replace(state, compute_ms=compute_ms)

    async def _load_weights(self, map_version: int) -> None:
        try:
            await self._engine.load_weights(map_version)
        except PlatformError as fault:
            log_event(Event.ORDER_LOST, map_version=map_version, detail=fault.detail)


def _is_old_term(answer: Answer) -> bool:
    return isinstance(answer, Refused) and answer.code is Code.OLD_TERM
