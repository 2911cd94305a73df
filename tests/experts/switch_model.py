"""A seeded model of one rank group, its agents and its leaders, for searches."""

import dataclasses
import random
import typing as t

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult, RankReport
from fuchsiahatch_experts.switching import Phase, Switch
from fuchsiahatch_standins.rank_rules import Rank, begin_pass, carry_out, end_copies

RANKS = 3
#: Time that one turn of the model takes.
TURN_MS = 5
COPY_MS = 60
LEASE_MS = 600
#: Age up to which an agent's word that it obeys a leader counts.
OBEYED_MS = 300
#: Age of what an engine tells of itself to another host than its own.
FAR_REPORT_MS = 200
#: Silence of a leader behind which its standby takes over where passes are held.
SILENCE_MS = 40


@dataclasses.dataclass(slots=True)
class Agent:
    """What one rank's agent remembers."""

    term: int = 0
    wakes_ms: int = 0
    vouched: int = 0
    agreed: int = 0
    #: Until then its whole host stands still: nobody reaches the engine either.
    host_wakes_ms: int = 0
    waiting: list[t.Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Leader:
    """One life of a leader."""

    switch: Switch
    rank: int
    until_ms: int
    frozen: bool = False
    takes_over: bool = False
    heard_ms: int = 0
    sequences: dict[int, int] = dataclasses.field(default_factory=dict)
    obeyed_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    def is_obeyed(self, now_ms: int) -> bool:
        """Whether all agents said of late that they obey this leader."""
        times_ms = self.obeyed_ms.values()
        return len(times_ms) == RANKS and now_ms - min(times_ms) <= OBEYED_MS


class Model:
    """A group under a random schedule; raises `MixedMaps` where a guard fails.

    Parameters
    ----------
    seed : int
    make_switch : callable
        Makes a leader's switch of its term, its rank and the number of ranks.
    """

    def __init__(
        self, seed: int, make_switch: t.Callable[[int, int, int], Switch] = Switch
    ) -> None:
        self.rng = random.Random(seed)
        self.make_switch = make_switch
        self.now_ms = 0
        self.step = 0
        self.epoch = 1
        self.term = 0
        self.sequence = 0
        self.ranks = [Rank() for _ in range(RANKS)]
        self.agents = [Agent() for _ in range(RANKS)]
        self.leaders: list[Leader] = []
        self.later: list[tuple[int, int, t.Callable[[], None]]] = []
        self.busy = True
        self.pauses = 0.01
        self.switched = 0
        self.trouble = self.rng.choice((0.0, 0.05, 0.3))
        self.deaths = self.rng.choice((0.0, 0.002, 0.02))
        #: Where agents stand still, the newest leader speaks with their engines itself;
        #: nobody there refuses an older leader. One whose lease has ended goes on only
        #: while all agents say that they obey it. Elsewhere it goes on in any case.
        self.sleeps = self.deaths / 4 if seed % 2 else 0.0
        #: Whether hosts stand still, with their agents, engines' doors and leaders.
        self.freezes = 0.004 if seed % 3 else 0.0
        self.takeovers = 0
        self.left_out = 0

    def run(self, turns: int) -> None:
        """Play some turns."""
        for _ in range(turns):
            self.now_ms += TURN_MS
            self._deliver()
            self._change_world()
            end_copies(self.ranks, self.now_ms)
            self._begin_pass()
            self._report()
            self._stand_by()
            for leader in self.leaders:
                self._lead(leader)

    def settle(self, turns: int) -> None:
        """Play some turns without any trouble."""
        self.trouble = self.deaths = self.pauses = self.sleeps = self.freezes = 0.0
        self.busy = True
        for leader in self.leaders:
            leader.frozen = False
        for agent in self.agents:
            agent.wakes_ms = agent.host_wakes_ms = 0
        self.run(turns)

    def _after(self, delay_ms: int, act: t.Callable[[], None]) -> None:
        self.sequence += 1
        self.later.append((self.now_ms + delay_ms, self.sequence, act))

    def _deliver(self) -> None:
        due = sorted(one for one in self.later if one[0] <= self.now_ms)
        self.later = [one for one in self.later if one[0] > self.now_ms]
        for _, _, act in due:
            act()

    def _change_world(self) -> None:
        rng = self.rng
        if not self.leaders or self.now_ms > self._newest().until_ms:
            self._elect()
        if rng.random() < self.deaths:
            fate = rng.random()
            leader = self._newest()
            if fate < 0.4:
                leader.until_ms = self.now_ms + rng.randrange(LEASE_MS)
                leader.frozen = True
            elif fate < 0.7:
                self._elect()
                self.leaders = [one for one in self.leaders if one is not leader]
            elif fate < 0.85:
                self._form_anew()
            else:
                leader.frozen = not leader.frozen
        for agent in self.agents:
            self._change_agent(agent)
        if rng.random() < self.freezes:
            self._freeze_host()
        if rng.random() < self.pauses:
            self.busy = not self.busy
        if rng.random() < 0.02:
            for leader in self.leaders:
                leader.frozen = False

    def _change_agent(self, agent: Agent) -> None:
        """Let an agent stand still, or wake with the orders that wait for it."""
        if self.sleeps and self.rng.random() < self.sleeps:
            agent.wakes_ms = self.now_ms + self.rng.randrange(3_000)
        if self.rng.random() < self.sleeps:
            # It starts anew, and has read who leads.
            agent.vouched, agent.term = 0, max(agent.term, self.term)
        if agent.waiting and self.now_ms >= agent.wakes_ms:
            waiting, agent.waiting = agent.waiting, []
            for act in waiting:
                act()

    def _freeze_host(self) -> None:
        """Let a host stand still, mostly the leader's, just as it holds passes."""
        leader = self._newest()
        number = self.rng.randrange(RANKS)
        if self.rng.random() < 0.7 and leader.switch.phase in HOLDING_PHASES:
            number = leader.rank
        agent = self.agents[number]
        agent.host_wakes_ms = self.now_ms + self.rng.randrange(3_000)
        agent.wakes_ms = max(agent.wakes_ms, agent.host_wakes_ms)
        if number == leader.rank:
            leader.until_ms = min(leader.until_ms, self.now_ms + LEASE_MS)

    def _newest(self) -> Leader:
        """Return the leader that was elected last."""
        return next(one for one in reversed(self.leaders) if not one.takes_over)

    def _stands_still(self, leader: Leader) -> bool:
        return leader.frozen or self.now_ms < self.agents[leader.rank].host_wakes_ms

    def _elect(self) -> None:
        self.term += 2
        awake = [
            rank
            for rank in range(RANKS)
            if self.now_ms >= self.agents[rank].host_wakes_ms
        ]
        rank = self.rng.choice(awake or range(RANKS))
        switch = self.make_switch(self.term, rank, RANKS)
        switch.experts = RANKS
        self.leaders = [*self.leaders[-2:]]
        self.leaders.append(Leader(switch, rank, self.now_ms + 3_600_000))
        self.leaders[-1].heard_ms = self.now_ms

    def _stand_by(self) -> None:
        """Let the standby of a silent leader take over where passes are held."""
        for leader in tuple(self.leaders):
            if leader.takes_over:
                continue
            if not self._stands_still(leader):
                leader.heard_ms = self.now_ms
            rank = leader.switch._standby
            term = leader.switch.term
            agent = self.agents[rank]
            if (
                self.ranks[rank].held is None
                or self.now_ms - leader.heard_ms < SILENCE_MS
                or self.now_ms < agent.wakes_ms
                or agent.term != term
            ):
                continue
            agent.term = term + 1
            switch = self.make_switch(term + 1, rank, RANKS)
            switch._may_start = False
            switch.experts = RANKS
            until_ms = self.now_ms + 3_600_000
            self.leaders.append(Leader(switch, rank, until_ms, takes_over=True))
            self.takeovers += 1

    def _form_anew(self) -> None:
        self.epoch += 1
        self.ranks = [Rank() for _ in range(RANKS)]

    def _begin_pass(self) -> None:
        if self.busy and self.rng.random() < 0.1:
            self.step = begin_pass(self.ranks, self.step)

    def _report(self) -> None:
        for number in range(RANKS):
            if self.rng.random() < 0.3:
                self._send_state(number)

    def _send_state(self, number: int) -> None:
        agent = self.agents[number]
        if self.now_ms < agent.host_wakes_ms:
            return
        self.sequence += 1
        sequence = self.sequence
        asleep = self.now_ms < agent.wakes_ms
        if self.rng.random() < 0.2 and not asleep:
            agent.term = max(agent.term, self.term)
        terms = {agent.term, *(one.switch.term for one in self._askers())}
        reports = {term: self._make_report(number, term, asleep) for term in terms}
        if self.rng.random() < self.trouble:
            return
        delay_ms = self.rng.choice((0, 0, 5, 20)) if self.trouble else 0
        if asleep:
            delay_ms += FAR_REPORT_MS
        for leader in self._askers() if asleep else self.leaders:
            # Who asks a silent agent's engine itself puts its own term in.
            report = reports[leader.switch.term if asleep else agent.term]
            self._after(
                delay_ms,
                lambda leader=leader, report=report: self._hear(
                    leader, report, sequence, asleep
                ),
            )
        if not asleep and self.rng.random() < 0.5:
            for leader in self.leaders:
                self._announce(leader, agent)

    def _make_report(self, number: int, term: int, asleep: bool) -> RankReport:
        rank, agent = self.ranks[number], self.agents[number]
        return RankReport(
            number,
            self.epoch,
            term,
            True,
            self.step,
            rank.map_version,
            rank.prepared,
            rank.armed,
            rank.held,
            ((number,),),
            0 if asleep else agent.vouched,
        )

    def _announce(self, leader: Leader, agent: Agent) -> None:
        """Let an agent hear that a standby takes over."""
        if leader.takes_over and not self._stands_still(leader):
            agent.term = max(agent.term, leader.switch.term)

    def _hear(
        self, leader: Leader, report: RankReport, sequence: int, asleep: bool
    ) -> None:
        if self._stands_still(leader):
            # It wakes with old reports waiting for it, and can't tell their age.
            self._after(TURN_MS, lambda: self._hear(leader, report, sequence, asleep))
            return
        if sequence <= leader.sequences.get(report.rank, 0):
            return
        leader.sequences[report.rank] = sequence
        leader.obeyed_ms.pop(report.rank, None)
        if not asleep and report.term == leader.switch.term:
            leader.obeyed_ms[report.rank] = self.now_ms
        leader.switch.observe(report, self.now_ms)

    def _lead(self, leader: Leader) -> None:
        if self._stands_still(leader):
            return
        replaced = not leader.takes_over and leader is not self._newest()
        if replaced and (self.sleeps or self.freezes):
            if not self._may_lead(leader):
                return
        own = self.agents[leader.rank]
        if leader.takes_over and own.term != leader.switch.term:
            return
        if leader.switch.ready:
            standby = (leader.rank + self.rng.choice((1, 1, 1, 2))) % RANKS
            placement = (((0,), (1,), (2,)),)
            leader.switch.start(placement, self.now_ms, standby=standby)
        for order in leader.switch.orders(self.now_ms):
            term = leader.switch.term
            self._after(
                5, lambda order=order, term=term: self._ask(leader, term, order)
            )
        self.switched = max(self.switched, leader.switch.switched)
        self.left_out += leader.switch._absent is not None

    def _may_lead(self, leader: Leader) -> bool:
        """Return whether a leader that was replaced goes on."""
        return leader.is_obeyed(self.now_ms)

    def _speaks_itself(self, leader: Leader, term: int) -> bool:
        """Return whether a leader speaks with the engines of agents that sleep."""
        return term == self.term

    def _askers(self) -> list[Leader]:
        """Return the leaders that ask the engines of agents that sleep."""
        return [self._newest()]

    def _ask(self, leader: Leader, term: int, order: Order) -> None:
        agent = self.agents[order.rank]
        if order.kind is OrderKind.COMMIT:
            self._commit(leader, term, order)
            return
        if order.kind is OrderKind.HOLD and self.now_ms >= agent.host_wakes_ms:
            # A leader gives its hold to the engine itself.
            self._give(leader, order)
            return
        if self.now_ms < agent.wakes_ms:
            self._ask_sleeper(leader, term, order)
            return
        if self.rng.random() < self.trouble or term < agent.term:
            self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))
            return
        agent.term = term
        if order.kind is OrderKind.PREPARE and order.version != agent.agreed:
            agent.vouched = max(agent.vouched, order.version)
        self._give(leader, order)

    def _commit(self, leader: Leader, term: int, order: Order) -> None:
        """Let the standby's agent agree, if it is awake, obeys and saw it prepared."""
        agent = self.agents[order.rank]
        lost = self.rng.random() < self.trouble
        if self.now_ms < agent.wakes_ms or term < agent.term or lost:
            self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))
            return
        agent.term = term
        if agent.vouched != order.version:
            self._tell(leader, order, OrderResult.REFUSED)
            return
        agent.vouched, agent.agreed = 0, order.version
        self._tell(leader, order, OrderResult.BEGUN)

    def _ask_sleeper(self, leader: Leader, term: int, order: Order) -> None:
        """Let the newest leader speak with the engine; an older one's order waits."""
        agent = self.agents[order.rank]
        reachable = self.now_ms >= agent.host_wakes_ms
        if self._speaks_itself(leader, term) and reachable and self.rng.random() < 0.5:
            self._give(leader, order)
            return
        agent.waiting.append(lambda: self._ask(leader, term, order))
        self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))

    def _give(self, leader: Leader, order: Order) -> None:
        if self.rng.random() < self.trouble:
            late_ms = self.rng.choice((0, 10, 50, 200, 2_000, 5_000, 12_000))
            self._after(late_ms, lambda: self._carry_out(order))
            self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))
            return
        self._tell(leader, order, self._carry_out(order))
        self._send_state(order.rank)

    def _tell(self, leader: Leader, order: Order, result: OrderResult) -> None:
        if not self._stands_still(leader):
            leader.switch.answered(order, result, self.now_ms)

    def _carry_out(self, order: Order) -> OrderResult:
        if order.epoch != self.epoch:
            return OrderResult.REFUSED
        rank = self.ranks[order.rank]
        return carry_out(rank, order, self.step, self.now_ms, COPY_MS)

    @property
    def held(self) -> bool:
        """Whether any rank holds the group back."""
        return any(rank.held is not None for rank in self.ranks)

    @property
    def calm(self) -> bool:
        """Whether the newest leader is idle."""
        return self._newest().switch.phase is Phase.IDLE


#: Phases in which passes are held.
HOLDING_PHASES = (Phase.HOLDING, Phase.ARMING, Phase.CLEARING)
