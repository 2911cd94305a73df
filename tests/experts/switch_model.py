"""A seeded model of one rank group, its agents and leaders, for randomized tests."""

import dataclasses
import random
import typing as t

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult, RankReport
from fuchsiahatch_experts.switching import Phase, Switch
from fuchsiahatch_standins.rank_rules import Rank, begin_pass, carry_out, end_copies

RANKS = 3
#: Duration of one turn of the model.
TURN_MS = 5
COPY_MS = 60
LEASE_MS = 600
#: Age up to which an agent's acknowledgement of a leader's term counts.
MAX_TERM_ACK_AGE_MS = 300
#: Age of an engine's state when it is read from a remote host.
REMOTE_REPORT_DELAY_MS = 200
#: Time without contact to a leader after which its standby takes over held passes.
TAKEOVER_TIMEOUT_MS = 40


@dataclasses.dataclass(slots=True)
class Agent:
    """State of one rank's agent."""

    term: int = 0
    resumes_ms: int = 0
    uncommitted_version: int = 0
    committed_version: int = 0
    #: Until then the whole host is stalled, and its engine unreachable as well.
    host_resumes_ms: int = 0
    queued_orders: list[t.Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Leader:
    """One term of a leader."""

    switch: Switch
    rank: int
    until_ms: int
    paused: bool = False
    takes_over: bool = False
    last_contact_ms: int = 0
    sequences: dict[int, int] = dataclasses.field(default_factory=dict)
    term_acked_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    def is_obeyed(self, now_ms: int) -> bool:
        """Whether all agents have recently acknowledged this leader's term."""
        times_ms = self.term_acked_ms.values()
        return len(times_ms) == RANKS and now_ms - min(times_ms) <= MAX_TERM_ACK_AGE_MS


class Model:
    """A group under a random schedule; raises `MixedMaps` if a pass mixes maps.

    Parameters
    ----------
    seed : int
    make_switch : callable
        Makes a leader's switch from its term, its rank and the number of ranks.
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
        self.scheduled: list[tuple[int, int, t.Callable[[], None]]] = []
        self.begins_passes = True
        self.load_toggle_rate = 0.01
        self.switched = 0
        self.message_loss_rate = self.rng.choice((0.0, 0.05, 0.3))
        self.failure_rate = self.rng.choice((0.0, 0.002, 0.02))
        #: Rate at which agents stall.
        #:
        #: The newest leader reaches the engines of stalled agents directly, where
        #: nothing refuses an older leader. If agents or hosts can stall, a leader whose
        #: lease has ended therefore continues only while all agents acknowledge its
        #: term; else it continues in any case.
        self.agent_stall_rate = self.failure_rate / 4 if seed % 2 else 0.0
        #: Rate at which hosts stall, with their agents, leaders and access to engines.
        self.host_stall_rate = 0.004 if seed % 3 else 0.0
        self.takeovers = 0
        self.absent_rank_turns = 0

    def run(self, turns: int) -> None:
        """Run some turns."""
        for _ in range(turns):
            self.now_ms += TURN_MS
            self._deliver()
            self._inject_failures()
            end_copies(self.ranks, self.now_ms)
            self._begin_pass()
            self._send_reports()
            self._take_over()
            for leader in self.leaders:
                self._lead(leader)

    def settle(self, turns: int) -> None:
        """Run some turns without failures."""
        self.message_loss_rate = self.failure_rate = self.load_toggle_rate = (
            self.agent_stall_rate
        ) = self.host_stall_rate = 0.0
        self.begins_passes = True
        for leader in self.leaders:
            leader.paused = False
        for agent in self.agents:
            agent.resumes_ms = agent.host_resumes_ms = 0
        self.run(turns)

    def _after(self, delay_ms: int, act: t.Callable[[], None]) -> None:
        self.sequence += 1
        self.scheduled.append((self.now_ms + delay_ms, self.sequence, act))

    def _deliver(self) -> None:
        due = sorted(item for item in self.scheduled if item[0] <= self.now_ms)
        self.scheduled = [item for item in self.scheduled if item[0] > self.now_ms]
        for _, _, act in due:
            act()

    def _inject_failures(self) -> None:
        rng = self.rng
        if not self.leaders or self.now_ms > self._newest().until_ms:
            self._elect()
        if rng.random() < self.failure_rate:
            draw = rng.random()
            leader = self._newest()
            if draw < 0.4:
                leader.until_ms = self.now_ms + rng.randrange(LEASE_MS)
                leader.paused = True
            elif draw < 0.7:
                self._elect()
                self.leaders = [other for other in self.leaders if other is not leader]
            elif draw < 0.85:
                self._restart_group()
            else:
                leader.paused = not leader.paused
        for agent in self.agents:
            self._inject_agent_failures(agent)
        if rng.random() < self.host_stall_rate:
            self._stall_host()
        if rng.random() < self.load_toggle_rate:
            self.begins_passes = not self.begins_passes
        if rng.random() < 0.02:
            for leader in self.leaders:
                leader.paused = False

    def _inject_agent_failures(self, agent: Agent) -> None:
        """Stall or restart an agent at random, or let it resume with queued orders."""
        if self.agent_stall_rate and self.rng.random() < self.agent_stall_rate:
            agent.resumes_ms = self.now_ms + self.rng.randrange(3_000)
        if self.rng.random() < self.agent_stall_rate:
            # The agent restarts and has read who leads.
            agent.uncommitted_version, agent.term = 0, max(agent.term, self.term)
        if agent.queued_orders and self.now_ms >= agent.resumes_ms:
            queued_orders, agent.queued_orders = agent.queued_orders, []
            for act in queued_orders:
                act()

    def _stall_host(self) -> None:
        """Stall a host; while passes are held, mostly the leader's."""
        leader = self._newest()
        number = self.rng.randrange(RANKS)
        if self.rng.random() < 0.7 and leader.switch.phase in HOLDING_PHASES:
            number = leader.rank
        agent = self.agents[number]
        agent.host_resumes_ms = self.now_ms + self.rng.randrange(3_000)
        agent.resumes_ms = max(agent.resumes_ms, agent.host_resumes_ms)
        if number == leader.rank:
            leader.until_ms = min(leader.until_ms, self.now_ms + LEASE_MS)

    def _newest(self) -> Leader:
        """Return the leader that was elected last."""
        return next(
            leader for leader in reversed(self.leaders) if not leader.takes_over
        )

    def _is_stalled(self, leader: Leader) -> bool:
        return leader.paused or self.now_ms < self.agents[leader.rank].host_resumes_ms

    def _elect(self) -> None:
        self.term += 2
        running = [
            rank
            for rank in range(RANKS)
            if self.now_ms >= self.agents[rank].host_resumes_ms
        ]
        rank = self.rng.choice(running or range(RANKS))
        switch = self.make_switch(self.term, rank, RANKS)
        switch.experts = RANKS
        self.leaders = [*self.leaders[-2:]]
        self.leaders.append(Leader(switch, rank, self.now_ms + 3_600_000))
        self.leaders[-1].last_contact_ms = self.now_ms

    def _take_over(self) -> None:
        """Let the standby of a silent leader take over if it holds a pass."""
        for leader in tuple(self.leaders):
            if leader.takes_over:
                continue
            if not self._is_stalled(leader):
                leader.last_contact_ms = self.now_ms
            rank = leader.switch._standby
            term = leader.switch.term
            agent = self.agents[rank]
            if (
                self.ranks[rank].held is None
                or self.now_ms - leader.last_contact_ms < TAKEOVER_TIMEOUT_MS
                or self.now_ms < agent.resumes_ms
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

    def _restart_group(self) -> None:
        self.epoch += 1
        self.ranks = [Rank() for _ in range(RANKS)]

    def _begin_pass(self) -> None:
        if self.begins_passes and self.rng.random() < 0.1:
            self.step = begin_pass(self.ranks, self.step)

    def _send_reports(self) -> None:
        for number in range(RANKS):
            if self.rng.random() < 0.3:
                self._send_report(number)

    def _send_report(self, number: int) -> None:
        agent = self.agents[number]
        if self.now_ms < agent.host_resumes_ms:
            return
        self.sequence += 1
        sequence = self.sequence
        stalled = self.now_ms < agent.resumes_ms
        if self.rng.random() < 0.2 and not stalled:
            agent.term = max(agent.term, self.term)
        terms = {
            agent.term,
            *(poller.switch.term for poller in self._leaders_polling_engines()),
        }
        reports = {term: self._make_report(number, term, stalled) for term in terms}
        if self.rng.random() < self.message_loss_rate:
            return
        delay_ms = self.rng.choice((0, 0, 5, 20)) if self.message_loss_rate else 0
        if stalled:
            delay_ms += REMOTE_REPORT_DELAY_MS
        for leader in self._leaders_polling_engines() if stalled else self.leaders:
            # A leader that polls a stalled agent's engine fills in its own term.
            report = reports[leader.switch.term if stalled else agent.term]
            self._after(
                delay_ms,
                lambda leader=leader, report=report: self._receive_report(
                    leader, report, sequence, stalled
                ),
            )
        if not stalled and self.rng.random() < 0.5:
            for leader in self.leaders:
                self._announce_takeover(leader, agent)

    def _make_report(self, number: int, term: int, stalled: bool) -> RankReport:
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
            0 if stalled else agent.uncommitted_version,
        )

    def _announce_takeover(self, leader: Leader, agent: Agent) -> None:
        """Notify an agent that a standby takes over."""
        if leader.takes_over and not self._is_stalled(leader):
            agent.term = max(agent.term, leader.switch.term)

    def _receive_report(
        self, leader: Leader, report: RankReport, sequence: int, stalled: bool
    ) -> None:
        if self._is_stalled(leader):
            # The leader resumes with old reports queued, and can't tell their age.
            self._after(
                TURN_MS, lambda: self._receive_report(leader, report, sequence, stalled)
            )
            return
        if sequence <= leader.sequences.get(report.rank, 0):
            return
        leader.sequences[report.rank] = sequence
        leader.term_acked_ms.pop(report.rank, None)
        if not stalled and report.term == leader.switch.term:
            leader.term_acked_ms[report.rank] = self.now_ms
        leader.switch.observe(report, self.now_ms)

    def _lead(self, leader: Leader) -> None:
        if self._is_stalled(leader):
            return
        replaced = not leader.takes_over and leader is not self._newest()
        if replaced and (self.agent_stall_rate or self.host_stall_rate):
            if not self._may_lead(leader):
                return
        leader_agent = self.agents[leader.rank]
        if leader.takes_over and leader_agent.term != leader.switch.term:
            return
        if leader.switch.ready:
            standby = (leader.rank + self.rng.choice((1, 1, 1, 2))) % RANKS
            placement = (((0,), (1,), (2,)),)
            leader.switch.start(placement, self.now_ms, standby=standby)
        for order in leader.switch.orders(self.now_ms):
            term = leader.switch.term
            self._after(
                5, lambda order=order, term=term: self._send_order(leader, term, order)
            )
        self.switched = max(self.switched, leader.switch.switched)
        self.absent_rank_turns += leader.switch._absent is not None

    def _may_lead(self, leader: Leader) -> bool:
        """Return whether a leader that was replaced continues."""
        return leader.is_obeyed(self.now_ms)

    def _reaches_engines_directly(self, leader: Leader, term: int) -> bool:
        """Return whether a leader sends orders directly to stalled agents' engines."""
        return term == self.term

    def _leaders_polling_engines(self) -> list[Leader]:
        """Return the leaders that poll the engines of stalled agents."""
        return [self._newest()]

    def _send_order(self, leader: Leader, term: int, order: Order) -> None:
        agent = self.agents[order.rank]
        if order.kind is OrderKind.COMMIT:
            self._commit(leader, term, order)
            return
        if order.kind is OrderKind.HOLD and self.now_ms >= agent.host_resumes_ms:
            # A leader sends its hold directly to the engine.
            self._send_to_engine(leader, order)
            return
        if self.now_ms < agent.resumes_ms:
            self._send_order_to_stalled_agent(leader, term, order)
            return
        if self.rng.random() < self.message_loss_rate or term < agent.term:
            self._after(
                100, lambda: self._return_result(leader, order, OrderResult.UNKNOWN)
            )
            return
        agent.term = term
        if order.kind is OrderKind.PREPARE and order.version != agent.committed_version:
            agent.uncommitted_version = max(agent.uncommitted_version, order.version)
        self._send_to_engine(leader, order)

    def _commit(self, leader: Leader, term: int, order: Order) -> None:
        """Let the standby's agent accept a commit.

        It does if it isn't stalled, knows no later term and saw the version prepared.
        """
        agent = self.agents[order.rank]
        lost = self.rng.random() < self.message_loss_rate
        if self.now_ms < agent.resumes_ms or term < agent.term or lost:
            self._after(
                100, lambda: self._return_result(leader, order, OrderResult.UNKNOWN)
            )
            return
        agent.term = term
        if agent.uncommitted_version != order.version:
            self._return_result(leader, order, OrderResult.REFUSED)
            return
        agent.uncommitted_version, agent.committed_version = 0, order.version
        self._return_result(leader, order, OrderResult.BEGUN)

    def _send_order_to_stalled_agent(
        self, leader: Leader, term: int, order: Order
    ) -> None:
        """Send an order directly to the engine if the leader can, else queue it."""
        agent = self.agents[order.rank]
        reachable = self.now_ms >= agent.host_resumes_ms
        if (
            self._reaches_engines_directly(leader, term)
            and reachable
            and self.rng.random() < 0.5
        ):
            self._send_to_engine(leader, order)
            return
        agent.queued_orders.append(lambda: self._send_order(leader, term, order))
        self._after(
            100, lambda: self._return_result(leader, order, OrderResult.UNKNOWN)
        )

    def _send_to_engine(self, leader: Leader, order: Order) -> None:
        if self.rng.random() < self.message_loss_rate:
            late_ms = self.rng.choice((0, 10, 50, 200, 2_000, 5_000, 12_000))
            self._after(late_ms, lambda: self._carry_out(order))
            self._after(
                100, lambda: self._return_result(leader, order, OrderResult.UNKNOWN)
            )
            return
        self._return_result(leader, order, self._carry_out(order))
        self._send_report(order.rank)

    def _return_result(self, leader: Leader, order: Order, result: OrderResult) -> None:
        if not self._is_stalled(leader):
            leader.switch.answered(order, result, self.now_ms)

    def _carry_out(self, order: Order) -> OrderResult:
        if order.epoch != self.epoch:
            return OrderResult.REFUSED
        rank = self.ranks[order.rank]
        return carry_out(rank, order, self.step, self.now_ms, COPY_MS)

    @property
    def held(self) -> bool:
        """Whether any rank holds a pass."""
        return any(rank.held is not None for rank in self.ranks)

    @property
    def is_idle(self) -> bool:
        """Whether the newest leader is idle."""
        return self._newest().switch.phase is Phase.IDLE


#: Phases in which passes are held.
HOLDING_PHASES = (Phase.HOLDING, Phase.ARMING, Phase.CLEARING)
