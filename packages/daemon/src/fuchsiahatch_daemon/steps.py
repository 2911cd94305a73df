"""Step grants of a rank group, in the agent of each rank."""

import asyncio
import collections
import dataclasses
import json
import typing as t

from grpclib.exceptions import GRPCError, StreamTerminatedError

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import KEY_PREFIX
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import AmbiguousWriteError, PlatformError
from fuchsiahatch_daemon import stepwire
from fuchsiahatch_daemon.rpc import Channels
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_experts.grants import (
    Answer,
    Ask,
    Commit,
    EngineState,
    GiveOrder,
    LeaderEffect,
    LoadWeights,
    Order,
    Propose,
    RankEffect,
    Refused,
    Reply,
    Request,
    Send,
    StepDown,
)
from fuchsiahatch_experts.health import HealthWatch, Smoother, StepTime
from fuchsiahatch_experts.leaders import Leader, Pace
from fuchsiahatch_experts.orders import OrderGate
from fuchsiahatch_experts.ranks import Rank
from fuchsiahatch_experts.terms import (
    CampaignEffect,
    Candidate,
    Follow,
    Lead,
    ReadTerm,
    SwapTerm,
    TermRecord,
)
from fuchsiahatch_wire.steps_grpc import StepsBase, StepsStub

if t.TYPE_CHECKING:
    from grpclib.server import Stream

    from fuchsiahatch_daemon.settings import GroupSettings
    from fuchsiahatch_daemon.stepengine import StepEngine
    from fuchsiahatch_platform.keyvalue import KeyValueClient
    from fuchsiahatch_wire import steps_pb2

#: Extra silence that each further rank waits out, so that two seldom race.
_STAGGER_MS = 150
_WANTED_MAP_PAUSE_MS = 1_000
_FIRST_MAP = 1
_CALL_FAULTS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class StepService(StepsBase):
    """One rank's part in its group, and the leader's while it holds the term.

    Parameters
    ----------
    settings : GroupSettings
    incarnation : str
        This life of the agent.
    engine : StepEngine
    key_value : KeyValueClient

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
        key_value: "KeyValueClient",
    ) -> None:
        self.stragglers: tuple[str, ...] = ()
        self._settings = settings
        self._engine = engine
        self._key_value = key_value
        self._clock = Clock()
        now_ms = self._clock.now_ms()
        self._gate = OrderGate(settings.engine_fences, settings.settle_ms, now_ms)
        self._rank = Rank(settings.rank, incarnation, self._gate)
        silence_ms = settings.silence_ms + _STAGGER_MS * settings.rank
        self._candidate = Candidate(settings.rank, incarnation, silence_ms, now_ms)
        self._leader: Leader | None = None
        self._health = HealthWatch()
        self._smoother = Smoother()
        self._wanted_map = _FIRST_MAP
        self._channels = Channels()
        self._tasks = Tasks()

    def start(self) -> None:
        """Join the group, once the agent's address is bound."""
        # An earlier life may have given an order until the address was free.
        self._gate.lost(self._clock.now_ms())
        self._tasks.repeat(self._tick, self._settings.heartbeat_ms)
        self._tasks.repeat(self._read_wanted_map, _WANTED_MAP_PAUSE_MS)

    def stop(self) -> None:
        """Fall silent; the next leader takes over."""
        self._tasks.cancel()
        self._channels.close()

    async def Ask(
        self, stream: "Stream[steps_pb2.AskRequest, steps_pb2.StepReply]"
    ) -> None:
        """Promise a term and tell the rank's state."""
        message = await stream.recv_message()
        assert message is not None
        answer = await self._answer(stepwire.from_wire_ask(message))
        await stream.send_message(stepwire.to_wire_answer(answer))

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
        request = stepwire.from_wire_window_request(message, kind)
        answer = await self._answer(request)
        await stream.send_message(stepwire.to_wire_answer(answer))

    async def _answer(self, request: Request) -> Answer:
        now_ms = self._clock.now_ms()
        work = self._tasks.spawn(self._do_rank(self._rank.receive(request, now_ms)))
        # A leader that gives up on its call must not cancel an order that is
        # out: the gate would wait for its answer for ever and the rank would
        # refuse everything.
        answer = await asyncio.shield(work)
        assert answer is not None
        if not _is_old_term(answer):
            self._candidate.heard(self._clock.now_ms())
        return answer

    async def _do_rank(self, effects: list[RankEffect]) -> Answer | None:
        answer = None
        waiting = collections.deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, Reply):
                answer = effect.answer
            elif isinstance(effect, GiveOrder):
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

    async def _tick(self) -> None:
        leader = self._leader
        if leader is not None:
            leader.wanted_map = self._wanted_map
            self._do_leader(leader, leader.tick())
            self._look_at_health(leader)
            return
        now_ms = self._clock.now_ms()
        await self._do_rank(self._rank.look(now_ms))
        await self._campaign(self._candidate.tick(now_ms))

    def _look_at_health(self, leader: Leader) -> None:
        compute_ms = {
            rank: told.engine.compute_ms for rank, told in leader.told.items()
        }
        if len(compute_ms) < len(self._settings.members) or not all(
            compute_ms.values()
        ):
            return
        for change in self._health.look(compute_ms):
            self._name_stragglers(sorted(change.ranks))

    def _name_stragglers(self, ranks: t.Iterable[int]) -> None:
        members = self._settings.members
        self.stragglers = tuple(members[rank].host for rank in ranks)
        log_event(Event.STRAGGLERS_CHANGED, hosts=list(self.stragglers))

    def _do_leader(self, leader: Leader, effects: list[LeaderEffect]) -> None:
        now_ms = self._clock.now_ms()
        for effect in effects:
            if isinstance(effect, Send):
                self._tasks.spawn(self._send(leader, effect))
            elif isinstance(effect, StepDown):
                log_event(Event.TERM_LOST, term=leader.term, other_term=effect.term)
                ending = self._candidate.step_down(now_ms, effect.term)
                self._spawn_campaign(ending)
            else:
                taking = self._candidate.take_term(effect.new_epoch, now_ms)
                self._spawn_campaign(taking)

    async def _send(self, leader: Leader, send: Send) -> None:
        try:
            answer = await self._call(send.rank, send.request)
        except _CALL_FAULTS:
            # The next tick sends it again.
            return
        if self._leader is leader:
            self._do_leader(leader, leader.receive(answer))

    async def _call(self, rank: int, request: Request) -> Answer:
        if rank == self._settings.rank:
            return await self._answer(request)
        member = self._settings.members[rank]
        stub = StepsStub(self._channels.to(member.rpc_address))
        timeout_s = self._settings.call_ms / 1000
        group = self._settings.name
        if isinstance(request, Ask):
            reply = await stub.Ask(
                stepwire.to_wire_ask(group, request), timeout=timeout_s
            )
        else:
            call = stub.Propose if isinstance(request, Propose) else stub.Commit
            message = stepwire.to_wire_window_request(group, request)
            reply = await call(message, timeout=timeout_s)
        return stepwire.from_wire_answer(reply, request)

    def _spawn_campaign(self, effects: list[CampaignEffect]) -> None:
        # Taken at once, before a tick can use the leader that is over.
        self._leader = None
        self._tasks.spawn(self._campaign(effects))

    async def _campaign(self, effects: list[CampaignEffect]) -> None:
        waiting = collections.deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, Follow):
                self._leader = None
                self.stragglers = ()
            elif isinstance(effect, ReadTerm):
                waiting.extend(await self._read_term())
            elif isinstance(effect, SwapTerm):
                waiting.extend(await self._swap_term(effect))
            else:
                self._lead(effect)

    async def _read_term(self) -> list[CampaignEffect]:
        try:
            found = await self._key_value.get(self._key("term"))
            record = _read_record(found.value)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return self._candidate.step_down(self._clock.now_ms())
        now_ms = self._clock.now_ms()
        return self._candidate.record_read(record, found.mod_revision, now_ms)

    async def _swap_term(self, swap: SwapTerm) -> list[CampaignEffect]:
        value = json.dumps(dataclasses.asdict(swap.record)).encode()
        try:
            won = await self._key_value.swap(self._key("term"), value, swap.expected)
        except AmbiguousWriteError:
            return self._candidate.swap_lost()
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return self._candidate.step_down(self._clock.now_ms())
        return self._candidate.swapped(won, self._clock.now_ms())

    def _lead(self, won: Lead) -> None:
        log_event(Event.TERM_WON, term=won.term, epoch=won.epoch)
        settings = self._settings
        leader = Leader(
            won.term,
            won.epoch,
            won.begin,
            len(settings.members),
            self._wanted_map,
            Pace(settings.window_steps, settings.ahead_steps),
        )
        self._leader = leader
        self._do_leader(leader, leader.tick())

    async def _read_wanted_map(self) -> None:
        if self._leader is None:
            return
        found = await self._key_value.get(self._key("map"))
        if not found.value:
            return
        try:
            self._wanted_map = int(json.loads(found.value)["map_version"])
        except (ValueError, TypeError, KeyError) as fault:
            raise PlatformError(f"the wanted map can't be read: {fault!r}") from fault

    def _key(self, name: str) -> str:
        return f"{KEY_PREFIX}groups/{self._settings.name}/{name}"


def _is_old_term(answer: Answer) -> bool:
    return isinstance(answer, Refused) and answer.code is Code.OLD_TERM


def _read_record(value: bytes) -> TermRecord:
    if not value:
        return TermRecord()
    try:
        return TermRecord(**json.loads(value))
    except (ValueError, TypeError) as fault:
        raise PlatformError(f"the group's record can't be read: {fault!r}") from fault
