"""The leader of a rank group: adapts the group's expert map to the demand."""

import asyncio
import dataclasses
import typing as t

import msgspec

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_experts.rank_orders import (
    Order,
    OrderKind,
    RankReport,
)
from fuchsiahatch_experts.switching import Phase, Switch
from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    OrderReply,
    Peer,
    RankState,
    StandbyNotice,
    TakeoverNotice,
)
from fuchsiahatch_gateway.hold_timing import HoldTiming
from fuchsiahatch_gateway.order_pacing import OrderPacer
from fuchsiahatch_gateway.order_sender import OrderSender
from fuchsiahatch_gateway.plan_searches import PlanSearches
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.silent_agents import SilentAgents
from fuchsiahatch_gateway.stall_aware_clock import StallAwareClock
from fuchsiahatch_gateway.tasks import Tasks

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.model_engine import ModelEngine
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_experts.drift import Plan
    from fuchsiahatch_experts.planning import PassTiming

#: Age up to which an agent's acknowledgement of this term counts. States arrive each
#: 100 ms, and one of them may be lost.
MAX_TERM_ACK_AGE_MS = 300
#: Interval at which a stopping leader checks whether its switch has ended.
FINISH_POLL_INTERVAL_MS = 10
#: Time that a stopping leader waits for its switch to end.
FINISH_TIMEOUT_MS = 2_000
#: Interval between notices to the standby, or from the standby to agents that have not
#: accepted its term yet.
NOTICE_INTERVAL_MS = 20
#: Experts of a rank, by layer.
HeldExperts = tuple[tuple[int, ...], ...]
#: Phases in which a switch is in progress.
_SWITCHING = (
    Phase.COPYING,
    Phase.HOLDING,
    Phase.ARMING,
    Phase.RELEASING,
    Phase.CLEARING,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """What a leader may do, depending on its lease and the store.

    Attributes
    ----------
    holds_lease : callable
        Whether the leader's lease is valid.
    is_sole_leader : callable
        Whether the lease is valid and no earlier leader can still give orders.
    store_unreachable : callable
        Whether the store doesn't answer, so that the lease can't be renewed.
    """

    holds_lease: t.Callable[[], bool]
    is_sole_leader: t.Callable[[], bool]
    store_unreachable: t.Callable[[], bool]


class GroupLeader:
    """Leads one group for one term.

    Parameters
    ----------
    group : str
    term, rank, ranks : int
    local_agent : RankAgent
        Agent of the leader's rank.
    local_peer : Peer
        Where that agent receives datagrams.
    datagrams : DatagramPort
    clock : Clock
    connect_engine : callable
        Makes a client of the engine at an address.
    list_engines : coroutine function
        Returns the addresses of all engines of the service.
    authority : Authority
        What it may do now.
    link_bytes_per_s : float
        Bandwidth of the leader's host.
    takes_over : bool, optional
        Whether this is a standby that only ends its leader's switch.

    Attributes
    ----------
    plans : PlanSearches
    switch : Switch
    """

    def __init__(
        self,
        group: str,
        term: int,
        rank: int,
        ranks: int,
        local_agent: RankAgent,
        local_peer: Peer,
        datagrams: DatagramPort,
        clock: "Clock",
        connect_engine: t.Callable[[str], "ModelEngine"],
        list_engines: t.Callable[[], t.Awaitable[t.Sequence[str]]],
        authority: Authority,
        link_bytes_per_s: float,
        takes_over: bool = False,
    ) -> None:
        self._group = group
        self._term = term
        self._rank = rank
        self._ranks = ranks
        self._local_agent = local_agent
        self._local_peer = local_peer
        self._datagrams = datagrams
        self._clock = clock
        self._authority = authority
        self._takes_over = takes_over
        self._pacer = OrderPacer(link_bytes_per_s, clock.now_ms())
        self._active_clock = StallAwareClock(clock.now_ms())
        self._standby: int | None = None
        self._notified_ms = 0
        self._term_acked_ms: dict[int, int] = {}
        self._peers: dict[int, Peer] = {}
        self._sequences: dict[str, int] = {}
        #: Epoch, map version and experts that each rank last reported.
        self._held_experts: dict[int, tuple[int, int, HeldExperts]] = {}
        self._tasks = Tasks()
        self._stopping = False
        self._stopped = False
        self._work_due = False
        self._phase = Phase.SETTLING
        self._phase_since_ms = clock.now_ms()
        self._hold_timing = HoldTiming()
        self._copied_ms = clock.now_ms()
        self.switch = Switch(term, rank, ranks, may_start=not takes_over)
        self.switch.known_map = lambda version: local_agent.known_map(version, ranks)
        self._sender = OrderSender(
            group, term, ranks, local_agent, datagrams, self.switch, self._pacer
        )
        self.plans = PlanSearches(group, ranks, self.switch, clock, self._start_switch)
        self._connect_engine = connect_engine
        self._hold_agent: RankAgent | None = None
        self._silent = SilentAgents(
            group,
            term,
            rank,
            ranks,
            connect_engine,
            list_engines,
            self._receive_report,
            link_bytes_per_s,
        )

    def receive_state(self, state: RankState, peer: Peer) -> None:
        """Process a rank's state."""
        if state.group != self._group:
            return
        if state.sequence <= self._sequences.get(state.upstream, 0):
            # The state is late, or the agent has restarted and counts from one again.
            if state.sequence > 3:
                return
        self._sequences[state.upstream] = state.sequence
        rank = state.report.rank
        now_ms = self._clock.now_ms()
        self._peers[rank] = peer
        self._silent.note_contact(rank, state.upstream, self._active_clock.active_ms)
        self._note_term_ack(rank, state.report.term, now_ms)
        self.switch.experts = self._local_agent.experts_per_layer
        self.switch.observe(self._add_known_experts(state.report), now_ms)
        self.plans.count(state, now_ms)
        self._schedule_work()

    def _add_known_experts(self, report: RankReport) -> RankReport:
        """Fill in a rank's experts if its report lacks them and they are known."""
        map_key = (report.epoch, report.map_version)
        if report.experts is not None:
            self._held_experts[report.rank] = (*map_key, report.experts)
            return report
        held = self._held_experts.get(report.rank)
        if held is None or held[:2] != map_key:
            return report
        return msgspec.structs.replace(report, experts=held[2])

    def add_peers(self, peers: t.Mapping[int, Peer]) -> None:
        """Add the peers at which the agents of other ranks receive datagrams."""
        self._peers.update(peers)

    def receive_reply(self, reply: OrderReply) -> None:
        """Process an agent's reply to an order."""
        if self._sender.receive_reply(reply, self._clock.now_ms()):
            self._schedule_work()

    def _schedule_work(self) -> None:
        """Schedule `work` for when all waiting datagrams are read.

        If it ran after each datagram, a late leader would judge 57 agents as silent
        after the first one, while their states wait in the same socket; and 630 states
        a second would cost as many iterations over all ranks.
        """
        if not self._work_due:
            self._work_due = True
            asyncio.get_running_loop().call_soon(self.work)

    def work(self) -> None:
        """Start a switch if one pays off, and send the orders that are due.

        Notes
        -----
        It does nothing unless `may_lead`. A leader whose host was suspended resumes
        with messages waiting, and would continue a switch that its successor has
        cleared.
        """
        self._work_due = False
        if self._stopped:
            # A datagram arrived in the loop iteration in which the term was lost.
            return
        now_ms = self._clock.now_ms()
        self._active_clock.update(now_ms)
        if not self.may_lead():
            return
        self._sender.expire_replies(now_ms)
        if not self._stopping:
            max_copies = self._pacer.max_copies_per_rank(self._ranks)
            self.plans.work(self._local_agent.pass_ms, max_copies, now_ms)
        if self._authority.is_sole_leader():
            self._silent.work(self.switch.phase, self._active_clock.active_ms, now_ms)
        self._notify(now_ms)
        for order in self.switch.orders(now_ms, self._sender.order_budget(now_ms)):
            self._send(order, now_ms)
        self._sender.flush(now_ms)
        self._note_phase(now_ms)

    def may_lead(self) -> bool:
        """Return whether orders may be given now.

        Notes
        -----
        While the store is unreachable the lease expires and nobody can win another. The
        leader continues as long as every agent of the group acknowledges its term: an
        agent that has seen a later one refuses, and there is no switch without all
        ranks. It calls no engine itself then, as engines check no terms. A leader
        that stopped with its lease would leave its group on an old map in an outage of
        8 s, and 7 of 10 requests of the last four seconds would be late.
        """
        if self._authority.holds_lease():
            return True
        if (
            not self._authority.store_unreachable()
            or len(self._term_acked_ms) < self._ranks
        ):
            return False
        oldest_ms = min(self._term_acked_ms.values())
        return self._clock.now_ms() - oldest_ms <= MAX_TERM_ACK_AGE_MS

    def _may_switch(self) -> bool:
        """Return whether a change of the map may be started now.

        An earlier leader that doesn't know yet that it has lost its lease might release
        a pass that this one holds.
        """
        if self._authority.holds_lease() and not self._authority.is_sole_leader():
            return False
        return self.may_lead()

    @property
    def ended(self) -> bool:
        """Whether this leader was replaced, or has finished its takeover."""
        phase = self.switch.phase
        return self.switch.replaced or (self._takes_over and phase is Phase.IDLE)

    def stop(self) -> None:
        """Stop at once, even if `work` is scheduled already."""
        self._stopped = True
        self._silent.stop()
        self.plans.stop()
        self._tasks.cancel()

    async def finish(self) -> None:
        """Work until the switch in progress has ended, before another agent leads."""
        self._stopping = True
        deadline_ms = self._clock.now_ms() + FINISH_TIMEOUT_MS
        while self.switch.phase not in (Phase.IDLE, Phase.SETTLING):
            if self._clock.now_ms() > deadline_ms:
                break
            self.work()
            await asyncio.sleep(FINISH_POLL_INTERVAL_MS / 1000)

    def _notify(self, now_ms: int) -> None:
        """Notify the standby of a switch, or all agents of a takeover."""
        if now_ms - self._notified_ms < NOTICE_INTERVAL_MS:
            return
        self._notified_ms = now_ms
        if self._takes_over:
            takeover = TakeoverNotice(self._group, self._term)
            for rank, peer in self._peers.items():
                if rank != self._rank and rank not in self._term_acked_ms:
                    self._datagrams.send(takeover, peer)
        elif self.switch.phase in _SWITCHING:
            self._notify_standby(asks_state=False)

    def _notify_standby(self, asks_state: bool) -> None:
        peer = None if self._standby is None else self._peers.get(self._standby)
        if peer is not None:
            notice = StandbyNotice(self._group, self._term, self._peers, asks_state)
            self._datagrams.send(notice, peer)

    def _note_term_ack(self, rank: int, term: int, now_ms: int) -> None:
        if term == self._term:
            self._term_acked_ms[rank] = now_ms
        else:
            self._term_acked_ms.pop(rank, None)

    def _start_switch(self, plan: "Plan", passes: "PassTiming") -> bool:
        """Start a switch to a planned map; return whether it was started."""
        # A standby whose agent is silent couldn't agree to a commit.
        standby = self._silent.next_rank_with_agent(self._rank)
        if standby is None or self._stopping or not self._may_switch():
            return False
        ahead = self._hold_timing.passes_ahead(passes.pass_ms)
        now_ms = self._clock.now_ms()
        if not self.switch.start(plan.placement, now_ms, ahead, standby):
            return False
        self._standby = standby
        self._schedule_work()
        return True

    def _send(self, order: Order, now_ms: int) -> None:
        if order.rank == self._rank:
            self._tasks.begin(self._apply_locally(order))
            return
        if order.kind is OrderKind.HOLD:
            self._tasks.begin(self._apply_hold(order))
            return
        client = self._silent.direct_client(order.rank)
        if client is not None:
            # Only the standby's agent can agree to a commit.
            if not self._authority.is_sole_leader() or order.kind is OrderKind.COMMIT:
                return
            self._tasks.begin(self._apply_directly(client, order))
            return
        peer = self._peers.get(order.rank)
        if peer is None:
            return
        self._sender.send(order, peer, now_ms)

    async def _apply_locally(self, order: Order) -> None:
        if not self.may_lead():
            return
        result = await self._local_agent.apply_order(order)
        self.switch.answered(order, result, self._clock.now_ms())
        try:
            async for state in self._local_agent.poll_effect(order):
                self.receive_state(state, self._local_peer)
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)

    async def _apply_hold(self, order: Order) -> None:
        """Send a hold to the standby's engine, and ask the standby for its state.

        It is not sent through the standby's agent: if that host were suspended right
        after the hold, it would be suspended with it, and nobody could end it.
        """
        address = self._silent.address(order.rank)
        if address is None or not self.may_lead():
            return
        if self._hold_agent is None or self._hold_agent.address != address:
            self._hold_agent = RankAgent(self._connect_engine(address), address)
        result = await self._hold_agent.apply_order(order)
        # An engine reports its state to other hosts with a lag of some 200 ms, and to
        # its local agent without. Relying on the former, each switch holds passes for
        # 68 ms longer.
        self._notify_standby(asks_state=True)
        self.switch.answered(order, result, self._clock.now_ms())

    def _receive_report(self, report: RankReport) -> None:
        self.switch.observe(self._add_known_experts(report), self._clock.now_ms())
        self.work()

    async def _apply_directly(self, client: RankAgent, order: Order) -> None:
        result = await client.apply_order(order)
        self.switch.answered(order, result, self._clock.now_ms())

    def _note_phase(self, now_ms: int) -> None:
        phase = self.switch.phase
        if phase is self._phase:
            return
        log_event(
            Event.SWITCH_MOVED,
            group=self._group,
            term=self._term,
            before=self._phase.value,
            after=phase.value,
            took_ms=now_ms - self._phase_since_ms,
            switched=self.switch.switched,
            abandoned=self.switch.abandoned,
        )
        if self._phase is Phase.COPYING:
            self._copied_ms = now_ms
        elif phase is Phase.RELEASING and self._phase is not Phase.SETTLING:
            self._hold_timing.note(now_ms - self._copied_ms)
        self._phase = phase
        self._phase_since_ms = now_ms
