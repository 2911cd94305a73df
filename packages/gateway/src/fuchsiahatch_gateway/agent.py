"""The agent beside a model engine: reports its load and takes part in its group."""

import asyncio
import typing as t

from twisted.internet import reactor

from fuchsiahatch_adapter.model_engine import ModelEngine
from fuchsiahatch_adapter.names import UPSTREAMS_PREFIX
from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_adapter.upstreams import decode_upstream_entry
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_experts.rank_orders import OrderResult
from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    EntryBeat,
    Message,
    OrderRelay,
    OrderReply,
    OrderRequest,
    Peer,
    RankState,
    StandbyNotice,
    TakeoverNotice,
)
from fuchsiahatch_gateway.defaults import (
    AGENT_PORT_OFFSET,
    ENGINES_PREFIX,
    KEY_PREFIX,
    LEADERS_PREFIX,
    REPORT_MS,
    SETTLED_ERA_KEY,
    STORE_RETRY_MS,
)
from fuchsiahatch_gateway.engine_figures import EngineFigures, decode_engine_figures
from fuchsiahatch_gateway.entry_peers import EntryPeers
from fuchsiahatch_gateway.fleet import newest_by_address
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.group_leader import Authority, GroupLeader
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.leadership import (
    LeaderRecord,
    Leadership,
    decode_leader,
    term_of,
)
from fuchsiahatch_gateway.order_relays import request_of
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.reporting import ChoicesTurn, Reporter
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.takeovers import Takeovers
from fuchsiahatch_http1.client import ConnectionPool

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_gateway.process import Process

#: How often an agent asks the store for little. An entry renews a lease each second,
#: an agent would not notice that the store is back before its watch ends.
STORE_POLL_MS = 2_000


class Agent:
    """One agent, wired once.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process: "Process") -> None:
        settings, clock = process.settings, process.clock
        assert settings.local_upstream is not None
        self._process = process
        self._clock = clock
        self._leader_items = ItemDecoder(decode_leader)
        self._leaders: dict[str, LeaderRecord] = {}
        self._figure_items = ItemDecoder(decode_engine_figures)
        self._figures: dict[str, EngineFigures] = {}
        self._upstream_address = str(settings.local_upstream)
        self.store = StoreClient(settings.store, ConnectionPool(clock))
        self._engines_pool = ConnectionPool(clock)
        self._entries = EntryPeers(self.store, clock)
        self.upstream = ModelEngine(settings.local_upstream, self._engines_pool)
        self.health = StoreHealth()
        self.datagrams = DatagramPort(self._take_message)
        self.peer: Peer = (
            settings.ip,
            settings.internal_ports[0] + AGENT_PORT_OFFSET,
        )
        self.rank = RankAgent(self.upstream, self._upstream_address)
        self.leadership = Leadership(self.store, settings.node, self.peer, clock)
        self.leader: GroupLeader | None = None
        self.takeovers = Takeovers(
            self.rank, self.peer, clock, self._make_takeover, self._tell_state
        )
        self._reporter = Reporter(
            self.rank, self.datagrams, clock, settings.link_bytes_per_s
        )
        self._leader_copy = self._copy(LEADERS_PREFIX, self._apply_leaders)
        self._figure_copy = self._copy(ENGINES_PREFIX, self._apply_figures)
        self._era_copy = self._copy(SETTLED_ERA_KEY, self._apply_era)
        self._follower = Follower(
            self.store,
            KEY_PREFIX,
            self.health,
            clock,
            (self._leader_copy, self._figure_copy, self._era_copy),
        )
        self._failing = False
        self.store.on_restored = self._note_restored

    async def run(self) -> None:
        """Report and take orders until SIGTERM."""
        process, settings = self._process, self._process.settings
        process.keep_running(self._follower.run())
        process.keep_running(self._entries.read_for_ever())
        ip, port = self.peer
        reactor.listenUDP(port, self.datagrams, interface=ip)
        self._add_gauges()
        process.keep_running(process.log_store_calls(self.store.calls))
        await process.serve_metrics()
        process.keep_running(self._report_for_ever())
        process.keep_running(self._ask_store_for_ever())
        process.keep_running(self._lead_for_ever())
        await process.stopping.wait()
        log_event(Event.STOPPING, leading=self.leader is not None, node=settings.node)
        await self._stop_leading()
        log_event(Event.STOPPED)

    async def _report_for_ever(self) -> None:
        while True:
            began_ms = self._clock.now_ms()
            await self._report()
            took_ms = self._clock.now_ms() - began_ms
            await asyncio.sleep(max(REPORT_MS - took_ms, 5) / 1000)

    async def _ask_store_for_ever(self) -> None:
        """Ask the store for little from time to time, so that its return is noticed."""
        while True:
            poll_ms = STORE_POLL_MS if self.health.answers else STORE_RETRY_MS
            await asyncio.sleep(poll_ms / 1000)
            try:
                await self.store.ping()
                self.health.note_answer(self._clock.now_ms())
            except PlatformError as fault:
                self.health.note_failure(self._clock.now_ms(), fault.detail)

    async def _report(self) -> None:
        self._note_leader()
        try:
            turn = self._reporter.choices_turn()
            if turn is ChoicesTurn.BEGIN:
                await self.rank.begin_choices()
            state = await self.rank.read_state(turn is ChoicesTurn.TELL)
        except PlatformError as fault:
            if not self._failing:
                log_event(Event.UPSTREAM_SILENT, detail=fault.detail)
            self._failing = True
            return
        if self._failing:
            log_event(Event.UPSTREAM_ANSWERS, epoch=state.report.epoch)
        self._failing = False
        self._reporter.send_load(self._entries.peers)
        self._send_state(state)

    def _send_state(self, state: RankState) -> None:
        leader = self._find_leader(state.group)
        if leader is None:
            return
        if leader.peer == self.peer:
            for own in self._led():
                own.take_state(state, self.peer)
            return
        self.datagrams.send(self._reporter.trim(state, leader.term), leader.peer)

    def _find_leader(self, group: str) -> LeaderRecord | None:
        """Return the leader of the highest term that this agent has heard of."""
        known = (self._leaders.get(group), self.takeovers.records.get(group))
        heard = (leader for leader in known if leader is not None)
        return max(heard, key=lambda leader: leader.term, default=None)

    def _led(self) -> list[GroupLeader]:
        """Return what this agent leads, be it elected or as a standby."""
        led = (self.leader, self.takeovers.leader)
        return [one for one in led if one is not None]

    async def _lead_for_ever(self) -> None:
        while not self._process.stopping.is_set():
            await asyncio.sleep(0.02)
            self.leadership.settled_era.look()
            seen = self.rank.seen
            if seen is None or not seen.group or seen.ranks < 2:
                continue
            await self.takeovers.work()
            known = self._leaders.get(seen.group)
            if self.leader is None:
                if self._follower.synced:
                    await self._try_to_lead(seen, known)
            elif self._is_replaced():
                self._lose()
            elif self.leader.switch.exhausted:
                await self._stop_leading()
            else:
                self.leader.work()
                if self.leadership.settled_era.lacking:
                    self._process.keep_running(self.leadership.settled_era.write())

    def _make_takeover(
        self, notice: StandbyNotice, seen: "EngineReport", term: int
    ) -> GroupLeader:
        """Return who ends the switch of the leader whose standby this agent is."""
        return self._make_leader(
            notice.group,
            term,
            seen.rank,
            seen.ranks,
            Authority(
                has_lease=lambda: self.rank.term == term,
                is_alone=lambda: self.rank.term == term,
                lacks_store=lambda: False,
            ),
            takes_over=True,
        )

    def _make_leader(
        self,
        group: str,
        term: int,
        rank: int,
        ranks: int,
        authority: Authority,
        takes_over: bool = False,
    ) -> GroupLeader:
        return GroupLeader(
            group,
            term,
            rank,
            ranks,
            self.rank,
            self.peer,
            self.datagrams,
            self._clock,
            self._connect_engine,
            self._list_engines,
            authority,
            self._process.settings.link_bytes_per_s,
            takes_over,
        )

    def _tell_state(self) -> None:
        self._process.keep_running(self._send_state_now())

    async def _send_state_now(self) -> None:
        """Tell the leader of this rank's state before the next report is due."""
        try:
            self._send_state(await self.rank.read_state(with_choices=False))
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)

    def _is_replaced(self) -> bool:
        """Return whether another agent leads, or may do so by now.

        While the store is away nobody can win: the leader stays, and whether it may
        order anything depends on the other agents.
        """
        leadership = self.leadership
        assert self.leader is not None
        if self.rank.term > leadership.term or self.leader.switch.replaced:
            return True
        return not leadership.held and not leadership.unanswered

    async def _try_to_lead(
        self, seen: "EngineReport", known: LeaderRecord | None
    ) -> None:
        if await self.leadership.try_win(seen.group, seen.rank, known):
            self._start_leading(seen.group, seen.rank, seen.ranks)
            return
        found, self.leadership.found = self.leadership.found, None
        if found is not None:
            self._leaders[found.group] = found
            self._note_leader()

    def _start_leading(self, group: str, rank: int, ranks: int) -> None:
        term = self.leadership.term
        log_event(Event.TERM_WON, group=group, term=term, rank=rank)
        # While the ranks settle, not with the first demand: it takes 0.4 s, for which
        # passes were three times as long as they need be.
        import fuchsiahatch_experts.drift  # noqa: F401

        self.rank.note_term(term)
        self._process.keep_running(self.leadership.renew_for_ever())
        self.leader = self._make_leader(
            group,
            term,
            rank,
            ranks,
            self._authority_of(term),
        )
        self._tell_figures()
        self._leaders[group] = LeaderRecord(group, term, self.peer)

    def _authority_of(self, term: int) -> Authority:
        leadership = self.leadership
        return Authority(
            has_lease=lambda: leadership.held and leadership.term == term,
            is_alone=lambda: leadership.alone and leadership.term == term,
            lacks_store=lambda: leadership.unanswered and leadership.term == term,
        )

    def _tell_figures(self) -> None:
        """Tell the leader of its engines' figures, where they are known."""
        figures = self._figures.get(self._process.settings.local_service)
        if figures is not None and self.leader is not None:
            self.leader.plans.learn(figures.engine, figures.gap_ms)

    def _note_restored(self) -> None:
        """Give up what stood in the store: it came back from an older copy."""
        self.health.note_restored(self._clock.now_ms())
        self.leadership.note_restored()

    def _lose(self) -> None:
        log_event(Event.TERM_LOST, term=self.leadership.term)
        assert self.leader is not None
        self.leader.stop()
        self.leader = None
        self.leadership.resign()

    async def _stop_leading(self) -> None:
        if self.leader is not None:
            await self.leader.finish()
            self.leader.stop()
            self.leader = None
            await self.leadership.give_up()

    def _copy(self, prefix: str, apply: t.Callable[[], None]) -> ItemCopy:
        return ItemCopy(prefix, self.health, self._clock, apply)

    def _apply_leaders(self) -> None:
        led = self._leader_copy.items
        self._leaders = {
            group: LeaderRecord(group, term_of(era, led[group].created), peer)
            for group, (peer, era) in self._leader_items.decode_all(led).items()
        }
        self._note_leader()

    def _apply_figures(self) -> None:
        self._figures = self._figure_items.decode_all(self._figure_copy.items)
        self._tell_figures()

    def _apply_era(self) -> None:
        self.leadership.settled_era.take(self._era_copy.items.get(""))

    def _connect_engine(self, address: str) -> ModelEngine:
        return ModelEngine(parse_address(address), self._engines_pool)

    async def _list_engines(self) -> list[str]:
        found = await self.store.read_all(UPSTREAMS_PREFIX)
        items = {item.key.removeprefix(UPSTREAMS_PREFIX): item for item in found.items}
        service = self._process.settings.local_service
        entries = ItemDecoder(decode_upstream_entry).decode_all(items)
        return [
            str(entry.address)
            for entry in newest_by_address(entries, items).values()
            if entry.service == service
        ]

    def _note_leader(self) -> None:
        # Asked before each report too: an agent that learns of the leader before it
        # knows its own group would never tell that leader that it obeys its term, and
        # the leader would wait for ever.
        group = "" if self.rank.seen is None else self.rank.seen.group
        leader = self._find_leader(group)
        if leader is not None:
            self.rank.note_term(leader.term)

    def _take_message(self, message: Message, peer: Peer) -> None:
        if isinstance(message, RankState):
            for own in self._led():
                own.take_state(message, peer)
        elif isinstance(message, EntryBeat):
            self._entries.take(message, peer)
            self._reporter.answer(peer)
        elif isinstance(message, StandbyNotice):
            self.takeovers.note(message)
        elif isinstance(message, TakeoverNotice) and self._follower.synced:
            self.takeovers.obey(message, peer)
        elif isinstance(message, OrderRequest) and self._follower.synced:
            # An agent that has just started knows no term: before it has read who
            # leads, an order of a leader that was replaced would look like any other.
            self._process.keep_running(self._carry_out(message, peer))
        elif isinstance(message, OrderRelay) and self._follower.synced:
            self._pass_on(message, peer)
        elif isinstance(message, OrderReply):
            for own in self._led():
                own.take_reply(message)

    def _pass_on(self, relay: OrderRelay, leader: Peer) -> None:
        """Send orders to others for a leader, unless it was replaced."""
        if relay.term < self.rank.term:
            return
        for target in relay.targets:
            request = request_of(relay, target, leader)
            if target.peer == self.peer:
                self._process.keep_running(self._carry_out(request, leader))
            else:
                self.datagrams.send(request, target.peer)

    async def _carry_out(self, request: OrderRequest, sender: Peer) -> None:
        peer = request.leader or sender
        if not self.rank.knows_base(request):
            lacking = OrderReply(
                request.group,
                request.term,
                request.number,
                OrderResult.UNKNOWN,
                lacks_base=True,
            )
            self.datagrams.send(lacking, peer)
            return
        try:
            result = await self.rank.carry_out(request)
        except ValueError as fault:
            log_event(Event.DATAGRAM_DROPPED, peer=str(peer), detail=str(fault))
            return
        if result is None:
            return
        reply = OrderReply(request.group, request.term, request.number, result)
        self.datagrams.send(reply, peer)
        try:
            async for state in self.rank.follow_effect(request.order):
                self.datagrams.send(self._reporter.trim(state, request.term), peer)
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)

    def _add_gauges(self) -> None:
        add = self._process.add_gauge
        add(
            "fuchsiahatch_store_calls",
            "Calls to the store.",
            lambda: self.store.calls.total(),
        )
        add(
            "fuchsiahatch_upstream_calls",
            "Calls to the upstream on this host.",
            lambda: self.upstream.calls.total(),
        )
        add("fuchsiahatch_term", "Term that is led.", self._led_term)
        add("fuchsiahatch_log_dropped", "Lines.", lambda: self._process.log.dropped)

    def _led_term(self) -> float:
        return 0.0 if self.leader is None else float(self.leadership.term)
