"""A small model of one rank group over the real step-grant state machines.

Random order, loss, repeats, delays, restarts, pauses, leader changes and lost
engines, all from one seed; it looks for a step that ran under two maps.
"""

import collections
import dataclasses
import functools
import itertools
import random
import typing as t

from fuchsiahatch_experts.grants import (
    Answer,
    Commit,
    LoadWeights,
    Order,
    Propose,
    RankEffect,
    Reply,
    Request,
    Send,
    SendOrder,
    StepDown,
)
from fuchsiahatch_experts.leaders import Leader, WindowSettings
from fuchsiahatch_experts.orders import OrderGate
from fuchsiahatch_experts.ranks import Rank
from fuchsiahatch_standins.lockstep import RankEngine

_PACE = WindowSettings(window_steps=2, ahead_steps=1)
_LOSS = 0.03
_SWARM = (0, 1, 1, 5)
_FAULT_SHARE = (0.03, 0.3)
_LATE_KEPT = 8
_LATE_KINDS = ((object,), (Propose, Commit))
_CRASH_SHARES = (0.0, 0.3, 0.6)
_PROMPT_SHARES = (0.0, 0.8, 1.0)
_MOST_LATE = 0.2
_MOST_REPEAT = 0.6
_LANDS = 0.5
_WEIGHTS_READY = 0.7
_TERM_TAKEN = 0.8


_Item = t.TypeVar("_Item", bound=tuple)


class Mail(t.Generic[_Item]):
    """Messages under way: most come in order, some late, lost or twice."""

    __slots__ = (
        "_fresh",
        "_in_order",
        "_late",
        "_late_kinds",
        "_late_share",
        "_random",
        "_repeat_share",
    )

    def __init__(self, chance: random.Random, late_kinds: tuple[type, ...]) -> None:
        self._random = chance
        self._late_kinds = late_kinds
        self._in_order = chance.random() < 0.5
        self._late_share = chance.uniform(0, _MOST_LATE)
        self._repeat_share = chance.uniform(0, _MOST_REPEAT)
        self._fresh: collections.deque[_Item] = collections.deque()
        self._late: collections.deque[_Item] = collections.deque(maxlen=_LATE_KEPT)

    def put(self, item: _Item) -> None:
        """Send a message; its last part says of what kind it is."""
        self._fresh.append(item)

    def take(self) -> _Item | None:
        """Return the next message to arrive, if one does."""
        if not self._fresh:
            return None
        index = 0 if self._in_order else self._random.randrange(len(self._fresh))
        item = self._fresh[index]
        del self._fresh[index]
        fate = self._random.random()
        if fate < _LOSS:
            return None
        if not isinstance(item[-1], self._late_kinds):
            return item
        if fate < _LOSS + self._late_share + self._repeat_share:
            self._late.append(item)
        return None if fate < _LOSS + self._late_share else item

    def put_late(self, item: _Item) -> None:
        """Send a message that comes late."""
        self._late.append(item)

    @property
    def waiting(self) -> bool:
        """Whether a message is under way that is not late."""
        return bool(self._fresh)

    @property
    def late_count(self) -> int:
        """How many late messages and copies there are."""
        return len(self._late)

    def take_late(self, in_order: bool = False) -> _Item | None:
        """Return one of the late messages and copies."""
        if not self._late:
            return None
        index = 0 if in_order else self._random.randrange(len(self._late))
        item = self._late[index]
        del self._late[index]
        return item


@dataclasses.dataclass(slots=True)
class _Flight:
    """An order on its way to an engine."""

    order: Order
    incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The state machines a run is made of; tests put ones without a guard here."""

    make_rank: t.Callable[[int, str, OrderGate], Rank] = Rank
    make_leader: t.Callable[..., Leader] = Leader
    engine_fences: bool = True
    agent_settles: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A step that ran under two maps, with what led to it."""

    seed: int
    epoch: int
    step: int
    maps: tuple[int, int]
    trace: tuple[str, ...]


class GroupModel:
    """One run.

    Parameters
    ----------
    seed : int
        Everything random comes from it.
    ranks : int
        Ranks in the group.
    parts : Parts, optional
    """

    def __init__(self, seed: int, ranks: int, parts: Parts | None = None) -> None:
        self.seed = seed
        self.parts = Parts() if parts is None else parts
        self.random = random.Random(seed)
        self.now_ms = 0
        self.term = 0
        self.epoch = 1
        self.wanted_map = 1
        self.trace: list[str] = []
        self.ran: dict[tuple[int, int], int] = {}
        self.violation: Violation | None = None
        self._lives = itertools.count(1)
        self._numbers = itertools.count(1)
        self._group = range(ranks)
        self._outstanding: dict[int, int] = {}
        late_kinds = self.random.choice(_LATE_KINDS)
        self._requests: Mail[tuple[int, int, Request]] = Mail(self.random, late_kinds)
        self._answers: Mail[tuple[int, Answer]] = Mail(self.random, (object,))
        self._late_weight = self.random.choice((0, 1, 4))
        # Faults strike most where a window has just been agreed or granted.
        self._crash_share = self.random.choice(_CRASH_SHARES)
        self._prompt_share = self.random.choice(_PROMPT_SHARES)
        self._flights: dict[int, list[_Flight]] = {rank: [] for rank in self._group}
        self._leaders: dict[int, Leader] = {}
        self._engines = {rank: self._new_engine() for rank in self._group}
        for engine in self._engines.values():
            engine.epoch = self.epoch
        self._ranks = {rank: self._new_rank(rank) for rank in self._group}
        self._fault_share = self.random.uniform(*_FAULT_SHARE)
        self._faults = self._list_faults()
        self._idle = [self._tick, self._look, self._run_step]
        self._take_term(0, False)

    def run(self, actions: int) -> Violation | None:
        """Do so many random actions, or fewer up to the first violation."""
        for _ in range(actions):
            self.now_ms += 1
            self._choose()()
            if self.violation is not None:
                return self.violation
        for rank in self._group:
            while self.violation is None and self._run_step_of(rank):
                continue
        return self.violation

    def _choose(self) -> t.Callable[[], None]:
        if self.random.random() < self._fault_share:
            faults, weights = zip(*self._faults, strict=True)
            return self.random.choices(faults, weights)[0]
        work = [
            *[self._deliver_late_request]
            * self._late_weight
            * bool(self._requests.late_count),
            *[self._deliver_request] * 3 * self._requests.waiting,
            *[self._deliver_answer] * 3 * self._answers.waiting,
            *[self._deliver_order] * 3 * any(self._flights.values()),
        ]
        return self.random.choice([*work, self._run_step] if work else self._idle)

    def _list_faults(self) -> list[tuple[t.Callable[[], None], float]]:
        # Each run leaves some faults out and has more of others: what takes five
        # faults of two kinds is hardly ever met when all kinds are equally likely.
        likely = {
            self._tick: 6,
            self._deliver_late_request: 4,
            self._deliver_late_answer: 2,
            self._look: 2,
            self._heal: 2,
            self._restart: 3,
            self._restart_all: 1,
            self._wish: 1.5,
            self._campaign: 1,
            self._lose_order: 0.5,
            self._replace_engine: 0.05,
        }
        return [
            (fault, weight * self.random.choice(_SWARM))
            for fault, weight in likely.items()
        ] + [(self._tick, 1)]

    def _deliver_request(self) -> None:
        self._hand_request(self._requests.take())

    def _deliver_late_request(self) -> None:
        self._hand_request(self._requests.take_late())

    def _heal(self) -> None:
        """Let all late requests arrive in order, as after a broken link."""
        for _ in range(self._requests.late_count):
            self._hand_request(self._requests.take_late(in_order=True))

    def _hand_request(self, sent: tuple[int, int, Request] | None) -> None:
        if sent is None:
            return
        leader, rank, request = sent
        effects = self._ranks[rank].receive(request, self.now_ms)
        self._note(f"rank {rank} ({self._ranks[rank].incarnation}) gets {request}")
        self._do_rank(rank, effects, leader)

    def _deliver_answer(self) -> None:
        self._hand_answer(self._answers.take())

    def _deliver_late_answer(self) -> None:
        self._hand_answer(self._answers.take_late())

    def _hand_answer(self, sent: tuple[int, Answer] | None) -> None:
        if sent is None:
            return
        agent, answer = sent
        leader = self._leaders.get(agent)
        if leader is None:
            return
        self._note(f"leader {agent} of term {leader.term} gets {answer}")
        self._do_leader(agent, leader.receive(answer))

    def _deliver_order(self) -> None:
        waiting = [rank for rank, flights in self._flights.items() if flights]
        if not waiting:
            return
        rank = self.random.choice(waiting)
        flights = self._flights[rank]
        flight = flights.pop(self.random.randrange(len(flights)))
        self._land(rank, flight)

    def _land(self, rank: int, flight: _Flight) -> None:
        state = self._engines[rank].take(flight.order)
        self._note(f"engine {rank} gets {flight.order}: {state}")
        machine = self._ranks[rank]
        granted = state is not None and flight.order.window is not None
        if granted and self.random.random() < self._crash_share:
            self._restart_agent(self.random.choice(self._group))
            self._heal()
        if self._outstanding.get(rank) != flight.number:
            return
        leader = self._order_leaders.pop(rank)
        del self._outstanding[rank]
        effects = (
            machine.engine_refused()
            if state is None
            else machine.engine_answered(state)
        )
        self._do_rank(rank, effects, leader)

    def _run_step(self) -> None:
        self._run_step_of(self.random.choice(self._group))

    def _run_step_of(self, rank: int) -> bool:
        ran = self._engines[rank].run_step()
        if ran is None:
            return False
        epoch, step, version = ran
        self._note(f"engine {rank} runs step {step} of epoch {epoch}, map {version}")
        first = self.ran.setdefault((epoch, step), version)
        if first != version:
            trace = tuple(self.trace)
            self.violation = Violation(self.seed, epoch, step, (first, version), trace)
        return True

    def _tick(self) -> None:
        if not self._leaders:
            return self._campaign()
        agent, leader = self.random.choice(list(self._leaders.items()))
        leader.wanted_map = self.wanted_map
        self._do_leader(agent, leader.tick())

    def _look(self) -> None:
        rank = self.random.choice(self._group)
        self._do_rank(rank, self._ranks[rank].read_engine(self.now_ms), 0)

    def _restart(self) -> None:
        self._restart_agent(self.random.choice(self._group))

    def _restart_all(self) -> None:
        for rank in self._group:
            self._restart_agent(rank)

    def _restart_agent(self, rank: int) -> None:
        self._note(f"agent {rank} restarts")
        self._leaders.pop(rank, None)
        self._forget_order(rank)
        self._start_rank(rank)

    def _campaign(self) -> None:
        self._wish()
        self._take_term(self.random.choice(self._group), False)

    def _wish(self) -> None:
        self.wanted_map += 1
        for engine in self._engines.values():
            if self.random.random() < _WEIGHTS_READY:
                engine.weights.add(self.wanted_map)

    def _lose_order(self) -> None:
        rank = self.random.choice(self._group)
        if rank not in self._outstanding:
            return
        self._note(f"agent {rank} gets no answer from its engine")
        leader = self._order_leaders[rank]
        self._forget_order(rank)
        self._do_rank(rank, self._ranks[rank].engine_lost(self.now_ms), leader)

    def _replace_engine(self) -> None:
        rank = self.random.choice(self._group)
        self._note(f"host of rank {rank} is lost and replaced")
        self._flights[rank].clear()
        self._engines[rank] = self._new_engine()
        self._restart_on(rank)

    def _restart_on(self, rank: int) -> None:
        self._leaders.pop(rank, None)
        self._outstanding.pop(rank, None)
        self._start_rank(rank)

    def _start_rank(self, rank: int) -> None:
        machine = self._new_rank(rank)
        self._ranks[rank] = machine
        self._do_rank(rank, machine.read_engine(self.now_ms), rank)

    def _forget_order(self, rank: int) -> None:
        # What is on its way may still arrive: at an engine that checks fencing
        # numbers at any time, at another one before the agent's gate opens.
        self._outstanding.pop(rank, None)
        if self.parts.engine_fences or not self.parts.agent_settles:
            return
        flights, self._flights[rank] = self._flights[rank], []
        for flight in flights:
            if self.random.random() < _LANDS:
                self._land(rank, flight)

    def _do_rank(self, rank: int, effects: list[RankEffect], leader: int) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                self._answers.put((leader, effect.answer))
            elif isinstance(effect, SendOrder):
                self._give(rank, effect.order, leader)
            elif isinstance(effect, LoadWeights):
                self._engines[rank].weights.add(effect.map_version)

    def _give(self, rank: int, order: Order, leader: int) -> None:
        number = next(self._numbers)
        incarnation = self._ranks[rank].incarnation
        self._outstanding[rank] = number
        self._order_leaders[rank] = leader
        flight = _Flight(order, incarnation, number)
        self._flights[rank].append(flight)
        if order.window is not None and self.random.random() < self._crash_share:
            self._restart_all()
        elif self.random.random() < self._prompt_share:
            self._flights[rank].pop()
            self._land(rank, flight)

    def _do_leader(self, agent: int, effects: list) -> None:
        commits = any(
            isinstance(effect, Send) and isinstance(effect.request, Commit)
            for effect in effects
        )
        strikes = commits and self.random.random() < self._crash_share
        for effect in effects:
            if isinstance(effect, Send):
                put = self._requests.put_late if strikes else self._requests.put
                put((agent, effect.rank, effect.request))
            elif isinstance(effect, StepDown):
                self._leaders.pop(agent, None)
            elif self.random.random() < _TERM_TAKEN:
                self._take_term(agent, effect.new_epoch)
        if strikes:
            self._wish()
            self.random.choice((self._restart_all, self._restart, self._heal))()

    def _take_term(self, agent: int, begin: bool) -> None:
        self.term += 1
        self.epoch += begin
        self._note(f"agent {agent} wins term {self.term} of epoch {self.epoch}")
        leader = self.parts.make_leader(
            self.term, self.epoch, begin, len(self._group), self.wanted_map, _PACE
        )
        self._leaders[agent] = leader
        self._do_leader(agent, leader.tick())

    def _new_engine(self) -> RankEngine:
        engine = RankEngine(self.parts.engine_fences)
        engine.weights.add(self.wanted_map)
        return engine

    def _new_rank(self, rank: int) -> Rank:
        # The time that the gate waits passes at once, see `_forget_order`.
        gate = OrderGate(self.parts.engine_fences, 0, self.now_ms)
        return self.parts.make_rank(rank, f"life-{next(self._lives)}", gate)

    @functools.cached_property
    def _order_leaders(self) -> dict[int, int]:
        return {}

    def _note(self, line: str) -> None:
        self.trace.append(f"{self.now_ms:4d} {line}")
