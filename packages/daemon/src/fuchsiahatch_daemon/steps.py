"""Leading a rank group, in the agent of each rank."""

import collections
import dataclasses
import json
import typing as t

from grpclib.exceptions import GRPCError, StreamTerminatedError

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import KEY_PREFIX
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import AmbiguousWriteError, PlatformError
from fuchsiahatch_daemon import step_wire
from fuchsiahatch_daemon.rpc import Channels
from fuchsiahatch_daemon.step_rank import RankService
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_experts.grants import (
    Answer,
    Ask,
    LeaderEffect,
    Propose,
    Request,
    Send,
    StepDown,
)
from fuchsiahatch_experts.health import StragglerDetector
from fuchsiahatch_experts.leaders import Leader, WindowSettings
from fuchsiahatch_experts.terms import (
    CampaignEffect,
    Candidate,
    Follow,
    Lead,
    ReadTerm,
    SwapTerm,
    TermRecord,
)
from fuchsiahatch_wire.steps_grpc import StepsStub

if t.TYPE_CHECKING:
    from fuchsiahatch_daemon.settings import GroupSettings
    from fuchsiahatch_daemon.step_engine import StepEngine
    from fuchsiahatch_platform.keyvalue import KeyValueClient

#: Extra silence that each further rank waits out, so that two seldom race.
_STAGGER_MS = 150
_WANTED_MAP_PAUSE_MS = 1_000
_FIRST_MAP = 1
_CALL_FAULTS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class StepGroup:
    """One agent's part in its group: campaigns for terms, and leads when it wins.

    Parameters
    ----------
    settings : GroupSettings
    incarnation : str
        This life of the agent.
    engine : StepEngine
    key_value : KeyValueClient

    Attributes
    ----------
    service : RankService
        To be served to the group's agents.
    stragglers : tuple of str
        Hosts that straggle, as far as this agent leads.

    Notes
    -----
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
        self._key_value = key_value
        self._clock = Clock()
        now_ms = self._clock.now_ms()
        silence_ms = settings.silence_ms + _STAGGER_MS * settings.rank
        self._candidate = Candidate(settings.rank, incarnation, silence_ms, now_ms)
        self._leader: Leader | None = None
        self._health = StragglerDetector()
        self._wanted_map = _FIRST_MAP
        self._channels = Channels()
        self._tasks = Tasks()
        self.service = RankService(
            settings,
            incarnation,
            engine,
            self._clock,
            self._tasks,
            self._candidate.note_leader_contact,
        )

    def start(self) -> None:
        """Join the group, once the agent's address is bound."""
        self.service.start()
        self._tasks.repeat(self._tick, self._settings.heartbeat_ms)
        self._tasks.repeat(self._read_wanted_map, _WANTED_MAP_PAUSE_MS)

    def stop(self) -> None:
        """Fall silent; the next leader takes over."""
        self._tasks.cancel()
        self._channels.close()

    async def _tick(self) -> None:
        leader = self._leader
        if leader is not None:
            leader.wanted_map = self._wanted_map
            self._do_leader(leader, leader.tick())
            self._look_at_health(leader)
            return
        now_ms = self._clock.now_ms()
        await self.service.look()
        await self._campaign(self._candidate.tick(now_ms))

    def _look_at_health(self, leader: Leader) -> None:
        compute_ms = {
            rank: told.engine.compute_ms for rank, told in leader.rank_states.items()
        }
        if len(compute_ms) < len(self._settings.members) or not all(
            compute_ms.values()
        ):
            return
        for change in self._health.check(compute_ms):
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
            return await self.service.answer(request)
        member = self._settings.members[rank]
        stub = StepsStub(self._channels.to(member.rpc_address))
        timeout_s = self._settings.call_ms / 1000
        group = self._settings.name
        if isinstance(request, Ask):
            reply = await stub.Ask(
                step_wire.to_wire_ask(group, request), timeout=timeout_s
            )
        else:
            call = stub.Propose if isinstance(request, Propose) else stub.Commit
            message = step_wire.to_wire_window_request(group, request)
            reply = await call(message, timeout=timeout_s)
        return step_wire.from_wire_answer(reply, request)

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
        return self._candidate.swap_answered(won, self._clock.now_ms())

    def _lead(self, won: Lead) -> None:
        log_event(Event.TERM_WON, term=won.term, epoch=won.epoch)
        settings = self._settings
        leader = Leader(
            won.term,
            won.epoch,
            won.begin,
            len(settings.members),
            self._wanted_map,
            WindowSettings(settings.window_steps, settings.ahead_steps),
        )
        self._leader = leader
        # An earlier watch would not name again whom it has named before.
        self._health = StragglerDetector()
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


def _read_record(value: bytes) -> TermRecord:
    if not value:
        return TermRecord()
    try:
        return TermRecord(**json.loads(value))
    except (ValueError, TypeError) as fault:
        raise PlatformError(f"the group's record can't be read: {fault!r}") from fault
