"""A scripted rank group on a manual clock, over the real state machines."""

import collections

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_experts.grants import (
    Ask,
    Commit,
    LoadWeights,
    Propose,
    Refused,
    Reply,
    Send,
    SendOrder,
    Starved,
    StepDown,
    Told,
)
from fuchsiahatch_experts.leaders import Leader, WindowSettings
from fuchsiahatch_experts.orders import OrderGate
from fuchsiahatch_experts.ranks import Rank
from fuchsiahatch_experts.terms import (
    Candidate,
    Follow,
    Lead,
    ReadTerm,
    SwapTerm,
    TermRecord,
)
from fuchsiahatch_standins.lockstep import RankEngine

PACE = WindowSettings(window_steps=4, ahead_steps=2)
SILENCE_MS = 1_000
SETTLE_MS = 500


class Session:
    """Agents, engines and the service; what happens is kept line by line."""

    def __init__(self, ranks=2, fences=True):
        self.clock = ManualClock()
        self.lines = []
        self.violations = 0
        self.service_up = True
        self.record, self.version = TermRecord(), 0
        self.wanted_map = 1
        self.slow_store = False
        self.fences = fences
        self.hold = lambda message: False
        self.held = []
        self.queue = collections.deque()
        self.paused = set()
        self.leaders = {}
        self.lives = collections.Counter()
        self.engines = [RankEngine(fences) for _ in range(ranks)]
        for engine in self.engines:
            engine.weights.add(self.wanted_map)
        self.ranks, self.candidates = {}, {}
        for rank in range(ranks):
            self.start(rank)

    def start(self, rank):
        self.lives[rank] += 1
        life = f"{rank}.{self.lives[rank]}"
        now_ms = self.clock.now_ms()
        gate = OrderGate(self.fences, SETTLE_MS, now_ms)
        self.ranks[rank] = Rank(rank, life, gate)
        silence_ms = SILENCE_MS + 300 * rank
        self.candidates[rank] = Candidate(rank, life, silence_ms, now_ms)
        self.leaders.pop(rank, None)

    def restart(self, rank):
        self.log(f"agent {rank} restarts")
        self.start(rank)

    def want(self, map_version):
        """Want a new map, with its weights in place everywhere."""
        self.wanted_map = map_version
        for engine in self.engines:
            engine.weights.add(map_version)

    def replace_host(self, rank):
        self.log(f"host of rank {rank} is lost and replaced")
        self.engines[rank] = RankEngine(self.fences)
        self.start(rank)

    def log(self, line):
        self.lines.append(f"{self.clock.now_ms():5d} {line}")

    def after(self, step_ms):
        """Let time pass, then let the agents tick and all messages arrive."""
        self.clock.advance(step_ms)
        for agent, candidate in self.candidates.items():
            if agent in self.paused:
                continue
            if agent in self.leaders:
                self.leaders[agent].wanted_map = self.wanted_map
                self.lead(agent, self.leaders[agent].tick())
            self.campaign(agent, candidate.tick(self.clock.now_ms()))
        self.deliver()

    def deliver(self):
        while self.queue:
            kind, where, message, sender = self.queue.popleft()
            if kind == "answer" and where in self.paused:
                self.held.append((kind, where, message, sender))
            elif self.hold(message):
                self.log(f"held back: {show(message)}")
                self.held.append((kind, where, message, sender))
            elif kind == "request":
                self.ask_rank(where, message, sender)
            elif where in self.leaders:
                self.lead(where, self.leaders[where].receive(message))

    def release(self):
        """Let the messages that were held back arrive now."""
        self.hold = lambda message: False
        self.queue.extend(self.held)
        self.held.clear()
        self.deliver()

    def ask_rank(self, rank, request, sender):
        machine, now_ms = self.ranks[rank], self.clock.now_ms()
        effects = machine.receive(request, now_ms)
        if not any(map(is_old_term, effects)):
            self.candidates[rank].note_leader_contact(now_ms)
        self.log(f"leader {sender} to rank {rank}: {show(request)}")
        self.do_rank(rank, effects, sender)

    def do_rank(self, rank, effects, sender=None):
        machine = self.ranks[rank]
        for effect in effects:
            if isinstance(effect, Reply):
                self.log(f"rank {rank} to leader {sender}: {show(effect.answer)}")
                self.queue.append(("answer", sender, effect.answer, rank))
            elif isinstance(effect, LoadWeights):
                self.log(f"rank {rank} loads weights of map {effect.map_version}")
                if not self.slow_store:
                    self.engines[rank].weights.add(effect.map_version)
            elif isinstance(effect, Starved):
                self.log(
                    f"rank {rank} stands at step {effect.step}: {effect.code.name}"
                )
            elif isinstance(effect, SendOrder):
                state = self.engines[rank].take(effect.order)
                if state is None:
                    self.log(f"engine {rank} refuses order of term {effect.order.term}")
                    self.do_rank(rank, machine.engine_refused(), sender)
                else:
                    self.do_rank(rank, machine.engine_answered(state), sender)

    def lead(self, agent, effects):
        now_ms = self.clock.now_ms()
        for effect in effects:
            if isinstance(effect, Send):
                self.queue.append(("request", effect.rank, effect.request, agent))
            elif isinstance(effect, StepDown):
                self.log(f"leader {agent} steps down before term {effect.term}")
                ending = self.candidates[agent].step_down(now_ms, effect.term)
                self.campaign(agent, ending)
            else:
                self.log(f"leader {agent} needs a new term")
                taking = self.candidates[agent].take_term(effect.new_epoch, now_ms)
                self.campaign(agent, taking)

    def campaign(self, agent, effects):
        candidate, now_ms = self.candidates[agent], self.clock.now_ms()
        for effect in effects:
            if isinstance(effect, Follow):
                self.leaders.pop(agent, None)
            elif isinstance(effect, Lead):
                self.log(
                    f"agent {agent} leads term {effect.term}, epoch {effect.epoch}"
                )
                leader = Leader(
                    effect.term,
                    effect.epoch,
                    effect.begin,
                    len(self.ranks),
                    self.wanted_map,
                    PACE,
                )
                self.leaders[agent] = leader
                self.lead(agent, leader.tick())
            elif not self.service_up:
                self.log(f"agent {agent} gets no answer from the service")
                self.campaign(agent, candidate.step_down(now_ms))
            elif isinstance(effect, ReadTerm):
                read = candidate.record_read(self.record, self.version, now_ms)
                self.campaign(agent, read)
            else:
                self.campaign(agent, candidate.swap_answered(self.swap(effect), now_ms))

    def swap(self, effect: SwapTerm):
        if effect.expected != self.version:
            return False
        self.record, self.version = effect.record, self.version + 1
        return True

    def run_steps(self, count):
        """Run steps in lock-step, as far as all engines are granted them."""
        for _ in range(count):
            if not all(engine.may_run() for engine in self.engines):
                break
            ran = [engine.run_step() for engine in self.engines]
            maps = {version for _, _, version in ran}
            self.violations += len(maps) > 1
            self.log(f"step {ran[0][1]} runs under map {sorted(maps)}")
        for rank, machine in self.ranks.items():
            self.do_rank(rank, machine.read_engine(self.clock.now_ms()))


def is_old_term(effect):
    answer = getattr(effect, "answer", None)
    return isinstance(answer, Refused) and answer.code is Code.OLD_TERM


def show(message):
    """Write a message in one short line."""
    name = type(message).__name__.lower()
    if isinstance(message, Ask):
        return f"{name}, term {message.term}"
    if isinstance(message, Told):
        granted = message.engine.granted or "nothing"
        accepted = message.accepted.window if message.accepted else "nothing"
        return (
            f"{name} by {message.incarnation}, granted {granted}, accepted {accepted}"
        )
    if isinstance(message, Refused):
        return f"{name} by {message.incarnation}, {message.code.name}"
    if isinstance(message, Propose | Commit):
        return f"{name} to {message.incarnation}, term {message.term}, {message.window}"
    return f"{name} by {message.incarnation}, {message.window}"
