"""The agent of a model engine: reports its load and takes part in its group."""

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
    EntryHeartbeat,
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
    REPORT_INTERVAL_MS,
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
from fuchsiahatch_gateway.order_relays import make_request
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.reporting import ChoicesAction, Reporter
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.takeovers import Takeovers
from fuchsiahatch_http1.pool import ConnectionPool

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_gateway.process import Process

#: Wait of a watch in which nothing changes. No bound of some seconds hangs on what an
#: agent learns from the store, and hundreds of agents pay for their calls. Their pings
#: show a watch that has missed a new leader.
WATCH_WAIT_MS = 15_000
#: Interval between pings of the store. An entry renews a lease each second; without
#: pings an agent would notice that the store is back only when its watch ends.
STORE_POLL_INTERVAL_MS = 2_000


class Agent:
    """An agent process with all its parts.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process: "Process") -> None:
        settings, clock = process.settings, process.clock
        assert settings.local_upstream is not None
        self._process = process
        self._clock = clock
        self._leader_decoder = ItemDecoder(decode_leader)
        self._leaders: dict[str, LeaderRecord] = {}
        self._figure_decoder = ItemDecoder(decode_engine_figures)
        self._figures: dict[str, EngineFigures] = {}
        self._upstream_address = str(settings.local_upstream)
        self.store = StoreClient(settings.store, ConnectionPool(clock))
        self._engines_pool = ConnectionPool(clock)
        self._entries = EntryPeers(self.store, clock)
        self.upstream = ModelEngine(settings.local_upstream, self._engines_pool)
        self.health = StoreHealth()
        self.datagrams = DatagramPort(self._receive_message)
        self.peer: Peer = (
            settings.ip,
            settings.internal_ports[0] + AGENT_PORT_OFFSET,
        )
        self.rank = RankAgent(self.upstream, self._upstream_address)
        self.leadership = Leadership(self.store, settings.node, self.peer, clock)
        self.leader: GroupLeader | None = None
        self.takeovers = Takeovers(
            self.rank, self.peer, clock, self._make_takeover, self._report_state
        )
        self._reporter = Reporter(
            self.rank, self.datagrams, clock, settings.link_bytes_per_s
        )
        self._leader_copy = self._make_copy(LEADERS_PREFIX, self._apply_leaders)
        self._figure_copy = self._make_copy(ENGINES_PREFIX, self._apply_figures)
        self._era_copy = self._make_copy(SETTLED_ERA_KEY, self._apply_era)
        self._follower = Follower(
            self.store,
            KEY_PREFIX,
            self.health,
            clock,
            (self._leader_copy, self._figure_copy, self._era_copy),
            WATCH_WAIT_MS,
        )
        self._engine_failing = False
        self.store.on_restored = self._note_restored

    async def run(self) -> None:
        """Report and execute orders until SIGTERM."""
        process, settings = self._process, self._process.settings
        process.keep_running(self._follower.run())
        process.keep_running(self._entries.read_forever())
        ip, port = self.peer
        reactor.listenUDP(port, self.datagrams, interface=ip)
        self._add_gauges()
        process.keep_running(process.log_store_calls(self.store.calls))
        await process.serve_metrics()
        process.keep_running(self._report_forever())
        process.keep_running(self._poll_store_forever())
        process.keep_running(self._lead_forever())
        await process.stopping.wait()
        log_event(Event.STOPPING, leading=self.leader is not None, node=settings.node)
        await self._stop_leading()
        log_event(Event.STOPPED)

    async def _report_forever(self) -> None:
        while True:
            began_ms = self._clock.now_ms()
            await self._report()
            took_ms = self._clock.now_ms() - began_ms
            await asyncio.sleep(max(REPORT_INTERVAL_MS - took_ms, 5) / 1000)

    async def _poll_store_forever(self) -> None:
        """Ping the store at intervals to notice when it is back."""
        while True:
            poll_ms = STORE_POLL_INTERVAL_MS if self.health.answers else STORE_RETRY_MS
            await asyncio.sleep(poll_ms / 1000)
            try:
                await self._ping_store()
                self.health.note_answer(self._clock.now_ms())
            except PlatformError as fault:
                self.health.note_failure(self._clock.now_ms(), fault.detail)

    async def _ping_store(self) -> None:
        """Check that the store answers, by a read of the group's leader if known.

        That costs no more, and shows a new leader also if the watch has gone silent.
        """
        report = self.rank.last_report
        if report is None or report.group not in self._leaders:
            await self.store.ping()
            return
        key = LEADERS_PREFIX + report.group
        item = await self.store.get(key, allow_stale=True)
        if item is not None:
            self._follower.note_item(item)

    async def _report(self) -> None:
        self._note_leader()
        try:
            action = self._reporter.choices_action()
            if action is ChoicesAction.BEGIN:
                await self.rank.reset_choices()
            state = await self.rank.read_state(action is ChoicesAction.TELL)
        except PlatformError as fault:
            if not self._engine_failing:
                log_event(Event.UPSTREAM_SILENT, detail=fault.detail)
            self._engine_failing = True
            return
        if self._engine_failing:
            log_event(Event.UPSTREAM_ANSWERS, epoch=state.report.epoch)
        self._engine_failing = False
        self._reporter.send_load(self._entries.peers)
        self._send_state(state)

    def _send_state(self, state: RankState) -> None:
        leader = self._find_leader(state.group)
        if leader is None:
            return
        if leader.peer == self.peer:
            for local_leader in self._active_leaders():
                local_leader.receive_state(state, self.peer)
            return
        self.datagrams.send(self._reporter.trim(state, leader.term), leader.peer)

    def _find_leader(self, group: str) -> LeaderRecord | None:
        """Return the known leader with the highest term."""
        records = (self._leaders.get(group), self.takeovers.records.get(group))
        leaders = (leader for leader in records if leader is not None)
        return max(leaders, key=lambda leader: leader.term, default=None)

    def _active_leaders(self) -> list[GroupLeader]:
        """Return the leaders that run in this agent: elected, or as a standby."""
        leaders = (self.leader, self.takeovers.leader)
        return [leader for leader in leaders if leader is not None]

    async def _lead_forever(self) -> None:
        while not self._process.stopping.is_set():
            await asyncio.sleep(0.02)
            self.leadership.settled_era.check()
            report = self.rank.last_report
            if report is None or not report.group or report.ranks < 2:
                continue
            await self.takeovers.work()
            known_leader = self._leaders.get(report.group)
            if self.leader is None:
                if self._follower.synced:
                    await self._try_to_lead(report, known_leader)
            elif self._is_replaced():
                self._lose_term()
            elif self.leader.switch.exhausted:
                await self._stop_leading()
            else:
                self.leader.work()
                if self.leadership.settled_era.needs_write:
                    self._process.keep_running(self.leadership.settled_era.write())

    def _make_takeover(
        self, notice: StandbyNotice, report: "EngineReport", term: int
    ) -> GroupLeader:
        """Return a leader that ends the switch of this standby's silent leader."""
        return self._make_leader(
            notice.group,
            term,
            report.rank,
            report.ranks,
            Authority(
                holds_lease=lambda: self.rank.term == term,
                is_sole_leader=lambda: self.rank.term == term,
                store_unreachable=lambda: False,
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

    def _report_state(self) -> None:
        self._process.keep_running(self._send_state_now())

    async def _send_state_now(self) -> None:
        """Send this rank's state to the leader before the next report is due."""
        try:
            self._send_state(await self.rank.read_state(with_choices=False))
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)

    def _is_replaced(self) -> bool:
        """Return whether another agent leads, or may have won by now.

        While the store is unreachable nobody can win: the leader stays, and whether it
        may give orders depends on the other agents.
        """
        leadership = self.leadership
        assert self.leader is not None
        if self.rank.term > leadership.term or self.leader.switch.replaced:
            return True
        return not leadership.holds_lease and not leadership.renewal_unanswered

    async def _try_to_lead(
        self, report: "EngineReport", known_leader: LeaderRecord | None
    ) -> None:
        if await self.leadership.try_win(report.group, report.rank, known_leader):
            self._start_leading(report.group, report.rank, report.ranks)
            return
        leader, self.leadership.found_leader = self.leadership.found_leader, None
        if leader is not None:
            self._leaders[leader.group] = leader
            self._note_leader()

    def _start_leading(self, group: str, rank: int, ranks: int) -> None:
        term = self.leadership.term
        log_event(Event.TERM_WON, group=group, term=term, rank=rank)
        # Imported while the ranks settle rather than with the first demand: the import
        # takes 0.4 s, during which passes would take three times as long as necessary.
        import fuchsiahatch_experts.drift  # noqa: F401

        self.rank.note_term(term)
        self._process.keep_running(self.leadership.renew_forever())
        self.leader = self._make_leader(
            group,
            term,
            rank,
            ranks,
            self._make_authority(term),
        )
        self._update_leader_figures()
        self._leaders[group] = LeaderRecord(group, term, self.peer)

    def _make_authority(self, term: int) -> Authority:
        leadership = self.leadership
        return Authority(
            holds_lease=lambda: leadership.holds_lease and leadership.term == term,
            is_sole_leader=lambda: (
                leadership.is_sole_leader and leadership.term == term
            ),
            store_unreachable=lambda: (
                leadership.renewal_unanswered and leadership.term == term
            ),
        )

    def _update_leader_figures(self) -> None:
        """Pass the engines' figures to the leader, if both are known."""
        figures = self._figures.get(self._process.settings.local_service)
        if figures is not None and self.leader is not None:
            self.leader.plans.set_engine(figures.engine, figures.gap_ms)

    def _note_restored(self) -> None:
        """Give up the leadership: the store was restored from an older copy."""
        self.health.note_restored(self._clock.now_ms())
        self.leadership.note_restored()

    def _lose_term(self) -> None:
        log_event(Event.TERM_LOST, term=self.leadership.term)
        assert self.leader is not None
        self.leader.stop()
        self.leader = None
        self.leadership.resign()

    async def _stop_leading(self) -> None:
        leader = self.leader
        if leader is None:
            return
        await leader.finish()
        if self.leader is not leader:
            # Its term was lost, or something else has stopped it, meanwhile.
            return
        leader.stop()
        self.leader = None
        await self.leadership.release()

    def _make_copy(self, prefix: str, apply: t.Callable[[], None]) -> ItemCopy:
        return ItemCopy(prefix, self.health, self._clock, apply)

    def _apply_leaders(self) -> None:
        items = self._leader_copy.items
        self._leaders = {
            group: LeaderRecord(group, term_of(era, items[group].created), peer)
            for group, (peer, era) in self._leader_decoder.decode_all(items).items()
        }
        self._note_leader()

    def _apply_figures(self) -> None:
        self._figures = self._figure_decoder.decode_all(self._figure_copy.items)
        self._update_leader_figures()

    def _apply_era(self) -> None:
        self.leadership.settled_era.receive(self._era_copy.items.get(""))

    def _connect_engine(self, address: str) -> ModelEngine:
        return ModelEngine(parse_address(address), self._engines_pool)

    async def _list_engines(self) -> list[str]:
        listing = await self.store.read_all(UPSTREAMS_PREFIX)
        items = {
            item.key.removeprefix(UPSTREAMS_PREFIX): item for item in listing.items
        }
        service = self._process.settings.local_service
        entries = ItemDecoder(decode_upstream_entry).decode_all(items)
        return [
            str(entry.address)
            for entry in newest_by_address(entries, items).values()
            if entry.service == service
        ]

    def _note_leader(self) -> None:
        # Also called before each report: an agent that learns of the leader before its
        # own group would otherwise never acknowledge the leader's term, and the leader
        # would wait forever.
        group = "" if self.rank.last_report is None else self.rank.last_report.group
        leader = self._find_leader(group)
        if leader is not None:
            self.rank.note_term(leader.term)

    def _receive_message(self, message: Message, peer: Peer) -> None:
        if isinstance(message, RankState):
            for leader in self._active_leaders():
                leader.receive_state(message, peer)
        elif isinstance(message, EntryHeartbeat):
            self._entries.receive(message, peer)
            self._reporter.send_load_to(peer)
        elif isinstance(message, StandbyNotice):
            self.takeovers.note(message)
        elif isinstance(message, TakeoverNotice) and self._follower.synced:
            self.takeovers.accept(message, peer)
        elif isinstance(message, OrderRequest) and self._follower.synced:
            # An agent that has just started knows no term. Before it has read who
            # leads, it couldn't tell an order of a replaced leader from any other.
            self._process.keep_running(self._execute_order(message, peer))
        elif isinstance(message, OrderRelay) and self._follower.synced:
            self._pass_on(message, peer)
        elif isinstance(message, OrderReply):
            for leader in self._active_leaders():
                leader.receive_reply(message)

    def _pass_on(self, relay: OrderRelay, leader: Peer) -> None:
        """Relay a leader's orders to other agents, unless it was replaced."""
        if relay.term < self.rank.term:
            return
        for target in relay.targets:
            request = make_request(relay, target, leader)
            if target.peer == self.peer:
                self._process.keep_running(self._execute_order(request, leader))
            else:
                self.datagrams.send(request, target.peer)

    async def _execute_order(self, request: OrderRequest, sender: Peer) -> None:
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
            result = await self.rank.execute(request)
        except ValueError as fault:
            log_event(Event.DATAGRAM_DROPPED, peer=str(peer), detail=str(fault))
            return
        if result is None:
            return
        reply = OrderReply(request.group, request.term, request.number, result)
        self.datagrams.send(reply, peer)
        try:
            async for state in self.rank.poll_effect(request.order):
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
