"""The leader of a rank group: follows the demand for experts with the group's map."""

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
from fuchsiahatch_gateway.hearing import Hearing
from fuchsiahatch_gateway.hold_timing import HoldTiming
from fuchsiahatch_gateway.order_pacing import OrderPacer
from fuchsiahatch_gateway.order_sender import OrderSender
from fuchsiahatch_gateway.plan_searches import PlanSearches
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.silent_agents import SilentAgents
from fuchsiahatch_gateway.tasks import Tasks

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.model_engine import ModelEngine
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_experts.drift import Plan
    from fuchsiahatch_experts.planning import Passes

#: Age up to which an agent's word that it obeys this term counts. States come each
#: 100 ms, and one of them may be lost.
OBEYED_MS = 300
#: How often a leader that stops looks whether its switch has come to its end.
FINISH_POLL_MS = 10
#: Time that a leader which stops gives its switch.
FINISH_LIMIT_MS = 2_000
#: Pause between two notices to the standby, or to agents that don't obey it yet.
NOTICE_MS = 20
#: Experts of a rank, by layer.
HeldExperts = tuple[tuple[int, ...], ...]
#: Phases in which a switch is under way.
_SWITCHING = (
    Phase.COPYING,
    Phase.HOLDING,
    Phase.ARMING,
    Phase.RELEASING,
    Phase.CLEARING,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """What a leader may do, by its lease and the store.

    Attributes
    ----------
    has_lease : callable
        Whether the leader's lease is valid.
    is_alone : callable
        Whether, besides, no earlier leader can still speak with engines.
    lacks_store : callable
        Whether the store doesn't answer, so that the lease can't be renewed.
    """

    has_lease: t.Callable[[], bool]
    is_alone: t.Callable[[], bool]
    lacks_store: t.Callable[[], bool]


class GroupLeader:
    """Leads one group for one term.

    Parameters
    ----------
    group : str
    term, rank, ranks : int
    own : RankAgent
        The leader's own rank.
    own_peer : Peer
        Where its agent takes datagrams.
    datagrams : DatagramPort
    clock : Clock
    engine_of : callable
        Makes a client of the engine at an address.
    list_engines : coroutine function
        Returns the addresses of all engines of the service.
    authority : Authority
        What it may do now.
    link_bytes_per_s : float
        Bandwidth of the leader's host.
    takes_over : bool, optional
        Whether it only ends a switch of the leader whose standby it is.

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
        own: RankAgent,
        own_peer: Peer,
        datagrams: DatagramPort,
        clock: "Clock",
        engine_of: t.Callable[[str], "ModelEngine"],
        list_engines: t.Callable[[], t.Awaitable[t.Sequence[str]]],
        authority: Authority,
        link_bytes_per_s: float,
        takes_over: bool = False,
    ) -> None:
        self._group = group
        self._term = term
        self._rank = rank
        self._ranks = ranks
        self._own = own
        self._own_peer = own_peer
        self._datagrams = datagrams
        self._clock = clock
        self._authority = authority
        self._takes_over = takes_over
        self._pacer = OrderPacer(link_bytes_per_s, clock.now_ms())
        self._hearing = Hearing(clock.now_ms())
        self._standby: int | None = None
        self._noticed_ms = 0
        self._obeyed_ms: dict[int, int] = {}
        self._peers: dict[int, Peer] = {}
        self._sequences: dict[str, int] = {}
        #: Experts that each rank holds, and the epoch and map that they are of.
        self._held: dict[int, tuple[int, int, HeldExperts]] = {}
        self._tasks = Tasks()
        self._stopping = False
        self._stopped = False
        self._work_due = False
        self._phase = Phase.SETTLING
        self._phase_ms = clock.now_ms()
        self._timing = HoldTiming()
        self._copied_ms = clock.now_ms()
        self.switch = Switch(term, rank, ranks, may_start=not takes_over)
        self.switch.known_map = lambda version: own.known_map(version, ranks)
        self._sender = OrderSender(
            group, term, ranks, own, datagrams, self.switch, self._pacer
        )
        self.plans = PlanSearches(group, ranks, self.switch, clock, self._start)
        self._engine_of = engine_of
        self._holder: RankAgent | None = None
        self._silent = SilentAgents(
            group,
            term,
            rank,
            ranks,
            engine_of,
            list_engines,
            self._take_report,
            link_bytes_per_s,
        )

    def take_state(self, state: RankState, peer: Peer) -> None:
        """Take in a rank's state."""
        if state.group != self._group:
            return
        if state.sequence <= self._sequences.get(state.upstream, 0):
            # A late one; or the agent has started anew and counts from one again.
            if state.sequence > 3:
                return
        self._sequences[state.upstream] = state.sequence
        rank = state.report.rank
        now_ms = self._clock.now_ms()
        self._peers[rank] = peer
        self._silent.note_contact(rank, state.upstream, self._hearing.heard_ms)
        self._note_obedience(rank, state.report.term, now_ms)
        self.switch.experts = self._own.experts_per_layer
        self.switch.observe(self._complete(state.report), now_ms)
        self.plans.count(state, now_ms)
        self._work_soon()

    def _complete(self, report: RankReport) -> RankReport:
        """Put in the experts that a rank holds, if it has told of them before."""
        map_of = (report.epoch, report.map_version)
        if report.experts is not None:
            self._held[report.rank] = (*map_of, report.experts)
            return report
        known = self._held.get(report.rank)
        if known is None or known[:2] != map_of:
            return report
        return msgspec.structs.replace(report, experts=known[2])

    def introduce(self, peers: t.Mapping[int, Peer]) -> None:
        """Learn where the agents of other ranks take datagrams."""
        self._peers.update(peers)

    def take_reply(self, reply: OrderReply) -> None:
        """Take in an agent's answer to an order."""
        if self._sender.take_reply(reply, self._clock.now_ms()):
            self._work_soon()

    def _work_soon(self) -> None:
        """Work once all datagrams that wait are read.

        Done behind each of them, a leader that came late to its datagrams judged 57
        agents by the first one, while what they had said waited in the same socket;
        and 630 states a second cost as many rounds over all ranks.
        """
        if not self._work_due:
            self._work_due = True
            asyncio.get_running_loop().call_soon(self.work)

    def work(self) -> None:
        """Begin a switch if one pays, and send the orders that are due.

        Notes
        -----
        Nothing is done that `may_lead` forbids. A leader whose host stood still wakes
        with messages waiting for it, and would go on with a switch that its successor
        has cleared.
        """
        self._work_due = False
        if self._stopped:
            # A datagram came in the turn of the loop in which the term was lost.
            return
        now_ms = self._clock.now_ms()
        self._hearing.look(now_ms)
        if not self.may_lead():
            return
        self._sender.give_up_replies(now_ms)
        if not self._stopping:
            most_copies = self._pacer.copies_in_a_change(self._ranks)
            self.plans.work(self._own.pass_ms, most_copies, now_ms)
        if self._authority.is_alone():
            self._silent.work(self.switch.phase, self._hearing.heard_ms, now_ms)
        self._notify(now_ms)
        for order in self.switch.orders(now_ms, self._sender.room(now_ms)):
            self._send(order, now_ms)
        self._sender.flush(now_ms)
        self._note_phase(now_ms)

    def may_lead(self) -> bool:
        """Return whether orders may be given now.

        Notes
        -----
        While the store is away the lease ends and nobody can win another one. The
        leader goes on as long as every agent of the group says that it obeys its term:
        an agent that has heard of a later one refuses, and without all ranks there is
        no switch. It speaks with no engine itself then, as an engine refuses nobody.
        An outage of 8 s left groups on old maps, and 7 of 10 requests of its last
        four seconds were late.
        """
        if self._authority.has_lease():
            return True
        if not self._authority.lacks_store() or len(self._obeyed_ms) < self._ranks:
            return False
        oldest_ms = min(self._obeyed_ms.values())
        return self._clock.now_ms() - oldest_ms <= OBEYED_MS

    def _may_switch(self) -> bool:
        """Return whether a change of the map may be begun now.

        An earlier leader that doesn't know yet that its lease is gone might let a pass
        go that this one holds.
        """
        if self._authority.has_lease() and not self._authority.is_alone():
            return False
        return self.may_lead()

    @property
    def ended(self) -> bool:
        """Whether there is nothing left to do for one that took over."""
        phase = self.switch.phase
        return self.switch.replaced or (self._takes_over and phase is Phase.IDLE)

    def stop(self) -> None:
        """Do nothing more, also where work is due already."""
        self._stopped = True
        self._silent.stop()
        self.plans.stop()
        self._tasks.cancel()

    async def finish(self) -> None:
        """Bring a switch to its end before another agent leads."""
        self._stopping = True
        until_ms = self._clock.now_ms() + FINISH_LIMIT_MS
        while self.switch.phase not in (Phase.IDLE, Phase.SETTLING):
            if self._clock.now_ms() > until_ms:
                break
            self.work()
            await asyncio.sleep(FINISH_POLL_MS / 1000)

    def _notify(self, now_ms: int) -> None:
        """Tell the standby of a switch, or all agents that the standby takes over."""
        if now_ms - self._noticed_ms < NOTICE_MS:
            return
        self._noticed_ms = now_ms
        if self._takes_over:
            takeover = TakeoverNotice(self._group, self._term)
            for rank, peer in self._peers.items():
                if rank != self._rank and rank not in self._obeyed_ms:
                    self._datagrams.send(takeover, peer)
        elif self.switch.phase in _SWITCHING:
            self._notify_standby(asks_state=False)

    def _notify_standby(self, asks_state: bool) -> None:
        peer = None if self._standby is None else self._peers.get(self._standby)
        if peer is not None:
            notice = StandbyNotice(self._group, self._term, self._peers, asks_state)
            self._datagrams.send(notice, peer)

    def _note_obedience(self, rank: int, term: int, now_ms: int) -> None:
        if term == self._term:
            self._obeyed_ms[rank] = now_ms
        else:
            self._obeyed_ms.pop(rank, None)

    def _start(self, plan: "Plan", passes: "Passes") -> bool:
        """Begin to switch to a planned map; return whether that was done."""
        # A standby whose agent is silent could agree to no commit.
        standby = self._silent.next_rank_with_agent(self._rank)
        if standby is None or self._stopping or not self._may_switch():
            return False
        ahead = self._timing.passes_ahead(passes.pass_ms)
        now_ms = self._clock.now_ms()
        if not self.switch.start(plan.placement, now_ms, ahead, standby):
            return False
        self._standby = standby
        self._work_soon()
        return True

    def _send(self, order: Order, now_ms: int) -> None:
        if order.rank == self._rank:
            self._tasks.begin(self._give_own(order))
            return
        if order.kind is OrderKind.HOLD:
            self._tasks.begin(self._give_hold(order))
            return
        speaker = self._silent.direct_client(order.rank)
        if speaker is not None:
            # Nobody but the standby's own agent can agree to a commit.
            if not self._authority.is_alone() or order.kind is OrderKind.COMMIT:
                return
            self._tasks.begin(self._give_directly(speaker, order))
            return
        peer = self._peers.get(order.rank)
        if peer is None:
            return
        self._sender.send(order, peer, now_ms)

    async def _give_own(self, order: Order) -> None:
        if not self.may_lead():
            return
        result = await self._own.give_order(order)
        self.switch.answered(order, result, self._clock.now_ms())
        try:
            async for state in self._own.follow_effect(order):
                self.take_state(state, self._own_peer)
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)

    async def _give_hold(self, order: Order) -> None:
        """Give a hold to the standby's engine, and ask the standby for its effect.

        Not through the standby's agent: its host would stand still with the hold if it
        were the one that stops right behind it, and nobody could end it.
        """
        address = self._silent.address(order.rank)
        if address is None or not self.may_lead():
            return
        if self._holder is None or self._holder.address != address:
            self._holder = RankAgent(self._engine_of(address), address)
        result = await self._holder.give_order(order)
        # An engine tells other hosts what it was some 200 ms ago, its own agent what
        # it is: with the former, passes were held for 68 ms more in each switch.
        self._notify_standby(asks_state=True)
        self.switch.answered(order, result, self._clock.now_ms())

    def _take_report(self, report: RankReport) -> None:
        self.switch.observe(self._complete(report), self._clock.now_ms())
        self.work()

    async def _give_directly(self, speaker: RankAgent, order: Order) -> None:
        result = await speaker.give_order(order)
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
            took_ms=now_ms - self._phase_ms,
            switched=self.switch.switched,
            abandoned=self.switch.abandoned,
        )
        if self._phase is Phase.COPYING:
            self._copied_ms = now_ms
        elif phase is Phase.RELEASING and self._phase is not Phase.SETTLING:
            self._timing.note(now_ms - self._copied_ms)
        self._phase = phase
        self._phase_ms = now_ms
