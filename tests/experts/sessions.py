"""A scripted rank group on a manual clock, made of the real state machines."""

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

WINDOW_SETTINGS = WindowSettings(window_steps=4, ahead_steps=2)
SILENCE_MS = 1_000
SETTLE_MS = 500


class Session:
    """Agents, engines and the key-value service; events are logged line by line."""

    def __init__(self, ranks=2, fences=True):
        self.clock = ManualClock()
        self.lines = []
        self.violations = 0
        self.service_up = True
        self.record, self.version = TermRecord(), 0
        self.wanted_map = 1
        self.weights_delayed = False
        self.fences = fences
        self.is_held_back = lambda message: False
        self.held_messages = []
        self.queue = collections.deque()
        self.paused = set()
        self.leaders = {}
        self.incarnations = collections.Counter()
        self.engines = [RankEngine(fences) for _ in range(ranks)]
        for engine in self.engines:
            engine.weights.add(self.wanted_map)
        self.ranks, self.candidates = {}, {}
        for rank in range(ranks):
            self.start(rank)

    def start(self, rank):
        self.incarnations[rank] += 1
        incarnation = f"{rank}.{self.incarnations[rank]}"
        now_ms = self.clock.now_ms()
        gate = OrderGate(self.fences, SETTLE_MS, now_ms)
        self.ranks[rank] = Rank(rank, incarnation, gate)
        silence_ms = SILENCE_MS + 300 * rank
        self.candidates[rank] = Candidate(rank, incarnation, silence_ms, now_ms)
        self.leaders.pop(rank, None)

    def restart(self, rank):
        self.log(f"agent {rank} restarts")
        self.start(rank)

    def set_wanted_map(self, map_version):
        """Set the wanted map, with its weights in place on all ranks."""
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
        """Advance the clock, run the agents' ticks and deliver all messages."""
        self.clock.advance(step_ms)
        for agent, candidate in self.candidates.items():
            if agent in self.paused:
                continue
            if agent in self.leaders:
                self.leaders[agent].wanted_map = self.wanted_map
                self.run_leader_effects(agent, self.leaders[agent].tick())
            self.run_campaign_effects(agent, candidate.tick(self.clock.now_ms()))
        self.deliver()

    def deliver(self):
        while self.queue:
            kind, receiver, message, sender = self.queue.popleft()
            if kind == "answer" and receiver in self.paused:
                self.held_messages.append((kind, receiver, message, sender))
            elif self.is_held_back(message):
                self.log(f"held back: {format_message(message)}")
                self.held_messages.append((kind, receiver, message, sender))
            elif kind == "request":
                self.deliver_to_rank(receiver, message, sender)
            elif receiver in self.leaders:
                self.run_leader_effects(
                    receiver, self.leaders[receiver].receive(message)
                )

    def release(self):
        """Deliver the messages that were held back."""
        self.is_held_back = lambda message: False
        self.queue.extend(self.held_messages)
        self.held_messages.clear()
        self.deliver()

    def deliver_to_rank(self, rank, request, sender):
        rank_state, now_ms = self.ranks[rank], self.clock.now_ms()
        effects = rank_state.receive(request, now_ms)
        if not any(map(is_old_term, effects)):
            self.candidates[rank].note_leader_contact(now_ms)
        self.log(f"leader {sender} to rank {rank}: {format_message(request)}")
        self.run_rank_effects(rank, effects, sender)

    def run_rank_effects(self, rank, effects, sender=None):
        rank_state = self.ranks[rank]
        for effect in effects:
            if isinstance(effect, Reply):
                self.log(
                    f"rank {rank} to leader {sender}: {format_message(effect.answer)}"
                )
                self.queue.append(("answer", sender, effect.answer, rank))
            elif isinstance(effect, LoadWeights):
                self.log(f"rank {rank} loads weights of map {effect.map_version}")
                if not self.weights_delayed:
                    self.engines[rank].weights.add(effect.map_version)
            elif isinstance(effect, Starved):
                self.log(
                    f"rank {rank} stands at step {effect.step}: {effect.code.name}"
                )
            elif isinstance(effect, SendOrder):
                state = self.engines[rank].take(effect.order)
                if state is None:
                    self.log(f"engine {rank} refuses order of term {effect.order.term}")
                    self.run_rank_effects(rank, rank_state.engine_refused(), sender)
                else:
                    self.run_rank_effects(
                        rank, rank_state.engine_answered(state), sender
                    )

    def run_leader_effects(self, agent, effects):
        now_ms = self.clock.now_ms()
        for effect in effects:
            if isinstance(effect, Send):
                self.queue.append(("request", effect.rank, effect.request, agent))
            elif isinstance(effect, StepDown):
                self.log(f"leader {agent} steps down before term {effect.term}")
                effects_of_end = self.candidates[agent].step_down(now_ms, effect.term)
                self.run_campaign_effects(agent, effects_of_end)
            else:
                self.log(f"leader {agent} needs a new term")
                term_effects = self.candidates[agent].take_term(
                    effect.new_epoch, now_ms
                )
                self.run_campaign_effects(agent, term_effects)

    def run_campaign_effects(self, agent, effects):
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
                    WINDOW_SETTINGS,
                )
                self.leaders[agent] = leader
                self.run_leader_effects(agent, leader.tick())
            elif not self.service_up:
                self.log(f"agent {agent} gets no answer from the service")
                self.run_campaign_effects(agent, candidate.step_down(now_ms))
            elif isinstance(effect, ReadTerm):
                record_effects = candidate.record_read(
                    self.record, self.version, now_ms
                )
                self.run_campaign_effects(agent, record_effects)
            else:
                self.run_campaign_effects(
                    agent, candidate.swap_answered(self.swap(effect), now_ms)
                )

    def swap(self, effect: SwapTerm):
        if effect.expected != self.version:
            return False
        self.record, self.version = effect.record, self.version + 1
        return True

    def run_steps(self, count):
        """Run steps in lock-step, as far as they are granted to all engines."""
        for _ in range(count):
            if not all(engine.may_run() for engine in self.engines):
                break
            ran = [engine.run_step() for engine in self.engines]
            maps = {version for _, _, version in ran}
            self.violations += len(maps) > 1
            self.log(f"step {ran[0][1]} runs under map {sorted(maps)}")
        for rank, rank_state in self.ranks.items():
            self.run_rank_effects(rank, rank_state.read_engine(self.clock.now_ms()))


def is_old_term(effect):
    answer = getattr(effect, "answer", None)
    return isinstance(answer, Refused) and answer.code is Code.OLD_TERM


def format_message(message):
    """Return a message as one short line."""
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
