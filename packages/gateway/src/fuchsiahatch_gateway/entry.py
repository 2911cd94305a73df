"""The entry: takes callers' requests and sends them to upstreams."""

import asyncio
import random
import typing as t

from twisted.internet import reactor

from fuchsiahatch_adapter.lookup_calls import encode_lookup, is_ready_check, lookup_zone
from fuchsiahatch_adapter.names import (
    CONFIGURATION_KEY,
    RATE_LIMIT,
    UPSTREAMS_PREFIX,
)
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import (
    Clearance,
    CrashNotice,
    DatagramPort,
    EntryBeat,
    LateNotice,
    LoadReport,
    Message,
    Peer,
    PermitReply,
    PermitRequest,
    RateNotice,
)
from fuchsiahatch_gateway.defaults import (
    AGENT_PORT_OFFSET,
    ENTRIES_PREFIX,
    GRACE_RESERVE_MS,
    HELD_PREFIX,
    LINGER_MS,
    LOOKUP_TTL_S,
)
from fuchsiahatch_gateway.delivery import Delivery
from fuchsiahatch_gateway.engine_figures import FiguresWriter
from fuchsiahatch_gateway.entry_announcer import EntryAnnouncer
from fuchsiahatch_gateway.entry_beats import BEAT_MS, EntryBeats
from fuchsiahatch_gateway.entry_gauges import add_gauges
from fuchsiahatch_gateway.fleet import FIRST_REPORT_MS, Fleet
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.held_requests import HeldRequests
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.late_upstreams import LateUpstreams
from fuchsiahatch_gateway.lookups import (
    EntryRecord,
    choose_addresses,
    decode_entry,
)
from fuchsiahatch_gateway.permits import Permits
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.request_log import RequestLog
from fuchsiahatch_gateway.request_metrics import RequestMetrics
from fuchsiahatch_gateway.retry_budget import RetryBudget
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_gateway.stated_rates import StatedRates
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_http1.client import ConnectionPool
from fuchsiahatch_http1.server import Exchange, HttpServer

if t.TYPE_CHECKING:
    import socket

    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.process import Process
    from fuchsiahatch_http1.client import Head

#: What an entry follows: little else is in the store.
ALL_ITEMS = ""
#: Time that a connection to an upstream may take; usual are some 3 ms. A dark host
#: answers nothing, and its request goes to another upstream.
CONNECT_MS = 300
#: How often a starting entry looks whether it knows enough to serve.
INFORMED_POLL_MS = 10
#: Time behind the start for which callers wait for an entry that isn't informed yet:
#: together with the 0.2 s of loading before it, less than the second in which a caller
#: leaves what isn't read. Whoever is refused meanwhile has one try left.
EARLY_LIMIT_MS = 700
#: How often an entry looks whether agents are to be told of it.
ANNOUNCE_POLL_MS = 100
#: How often a stopping entry looks whether it is idle.
IDLE_POLL_MS = 50


class Entry:
    """One entry, wired once.

    Parameters
    ----------
    process : Process
    listening : socket.socket, optional
        The callers' socket, if it listens already.
    """

    def __init__(
        self, process: "Process", listening: "socket.socket | None" = None
    ) -> None:
        settings, clock = process.settings, process.clock
        self._process = process
        self._early = listening
        self._began_ms = clock.now_ms()
        self._beats = EntryBeats(settings.node)
        self.datagrams = DatagramPort(self._take_message)
        self._clock = clock
        self._rng = random.Random()
        self._leaving = False
        self._listening = False
        self._entries: dict[str, EntryRecord] = {}
        self.records = ItemDecoder(decode_entry)
        self.routes = RouteTable()
        self.pool = ConnectionPool(clock, CONNECT_MS)
        self.store = StoreClient(settings.store, ConnectionPool(clock))
        self.health = StoreHealth()
        self.fleet = Fleet(settings.zone, clock, self._rng)
        self.announcer = EntryAnnouncer(
            settings.node,
            self.fleet,
            self.datagrams,
            settings.internal_ports[0] + AGENT_PORT_OFFSET,
            clock,
        )
        self.fleet.on_gone = self._drop_connections
        self.fleet.engine_of = self.routes.engine_of
        self.permits = Permits(
            settings.node,
            self._present_entries,
            self.datagrams,
            clock,
            self.fleet.upstreams.get,
        )
        self.rates = StatedRates(clock, self._tell_others)
        self.placer = Placer(self.fleet, clock, self.permits.ask)
        bounds = settings.bounds
        self.budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_ms,
            clock,
            lambda: len(self._entries.keys() | {settings.node}),
            settings.first_start,
        )
        self.crashing = CrashingRequests(clock, self._tell_others)
        self.crashes = UpstreamCrashes(
            self.crashing,
            self.pool.is_refused,
            lambda instance: instance in self.fleet.upstreams,
            clock,
        )
        self.fleet.on_restarted = self.crashes.note_restart
        self.late = LateUpstreams(clock, self.fleet.upstreams, self._tell_others)
        self.held = HeldRequests(self.store, self.crashing, self._place)
        self.delivery = Delivery(
            self.routes,
            self.placer,
            self.pool,
            self.budget,
            RequestLog(RequestMetrics(process.registry), clock, self._rng),
            self.crashing,
            self.crashes,
            self.late,
            clock,
            self._rng,
            self._note_head,
        )
        self.record = EntryRecord(
            settings.node,
            settings.zone,
            str(settings.callers),
            (settings.ip, settings.internal_ports[0]),
        )
        self.registration = Registration(
            self.store,
            ENTRIES_PREFIX + settings.node,
            self.record.encode(),
            self.health,
            clock,
        )
        self.figures = FiguresWriter(self.store, self._place)
        self.callers = HttpServer(self.delivery.handle)
        self.side_calls = HttpServer(self._answer_side_call)
        self.store.on_restored = self._note_restored
        self._takers: dict[type, t.Callable[[t.Any, Peer], None]] = {
            LoadReport: self._take_load,
            EntryBeat: self._take_beat,
            PermitRequest: self.permits.take_request,
            PermitReply: lambda reply, peer: self.permits.take_reply(reply),
            RateNotice: self._take_rate,
            CrashNotice: self._take_crash,
            Clearance: lambda notice, peer: self.crashing.take_clearance(notice),
            LateNotice: lambda notice, peer: self.late.take(notice),
        }
        self._config = self._copy(CONFIGURATION_KEY, self._apply_configuration)
        self._upstreams = self._copy(UPSTREAMS_PREFIX, self._apply_upstreams)
        self._others = self._copy(ENTRIES_PREFIX, self._apply_entries)
        self._held_items = self._copy(HELD_PREFIX, self._apply_held)
        self.follower = Follower(
            self.store,
            ALL_ITEMS,
            self.health,
            clock,
            (self._config, self._upstreams, self._others, self._held_items),
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is open."""
        process, settings = self._process, self._process.settings
        process.keep_running(self.follower.run())
        process.keep_running(self.figures.run())
        process.keep_running(self.held.run())
        port = settings.internal_ports[0]
        reactor.listenUDP(port, self.datagrams, interface=settings.ip)
        process.keep_running(self._announce_for_ever())
        add_gauges(self, process)
        process.keep_running(process.log_store_calls(self.store.calls))
        await process.serve_metrics()
        for address in (settings.ready, settings.lookup):
            if address is not None:
                await self.side_calls.listen(address.ip, address.port)
        # Callers come once there is something to send them on by.
        await self._wait_informed()
        await self._accept_callers()
        process.keep_running(self._beat_for_ever())
        # Whoever waits for the first load reports waits no longer than that.
        reactor.callLater(FIRST_REPORT_MS / 1000, self.placer.serve_waiting)
        process.keep_running(self.registration.run())
        await process.stopping.wait()
        await self._leave()

    @property
    def ready(self) -> bool:
        """Whether callers may come."""
        return self._listening and not self._leaving

    @property
    def informed(self) -> bool:
        """Whether the configuration, the upstreams and what is held are known."""
        return self.routes.configuration is not None and self.follower.synced

    async def _wait_informed(self) -> None:
        while not self.informed and not self._process.stopping.is_set():
            if self._clock.now_ms() - self._began_ms > EARLY_LIMIT_MS:
                self._close_early()
            await asyncio.sleep(INFORMED_POLL_MS / 1000)

    def _close_early(self) -> None:
        """Let callers go elsewhere: it will be long before they are answered here."""
        if self._early is not None:
            log_event(Event.SOCKET_CLOSED_EARLY, waited_ms=EARLY_LIMIT_MS)
            self._early.close()
            self._early = None

    async def _accept_callers(self) -> None:
        address = self._process.settings.callers
        assert address is not None
        if self._early is None:
            await self.callers.listen(address.ip, address.port)
        else:
            self.callers.adopt(self._early)
            self._early = None
        self._listening = True

    async def _announce_for_ever(self) -> None:
        while not self._leaving:
            self.announcer.announce()
            await asyncio.sleep(ANNOUNCE_POLL_MS / 1000)

    async def _beat_for_ever(self) -> None:
        """Tell other entries of this one while the store can't."""
        while True:
            await asyncio.sleep(BEAT_MS / 1000)
            self._beats.note_store(self.health.answers, self._clock.now_ms())
            if not self.health.answers and self.ready:
                self._send_beats(serving=True)

    def _send_beats(self, serving: bool) -> None:
        beat = EntryBeat(self._process.settings.node, serving)
        for peer in self._beats.peers(self._entries):
            self.datagrams.send(beat, peer)

    async def _leave(self) -> None:
        """Tell callers to use others, finish what is open, and end in time."""
        log_event(Event.STOPPING, busy=self.callers.busy)
        began_ms = self._clock.now_ms()
        grace_ms = self._process.settings.bounds.stop_grace_ms - GRACE_RESERVE_MS
        self._leaving = True
        self.callers.leave()
        self._send_beats(serving=False)
        self._process.keep_running(self.registration.withdraw())
        while self._clock.now_ms() - began_ms < grace_ms:
            if self._clock.now_ms() - began_ms >= LINGER_MS:
                await self.callers.stop_accepting()
                if not self.callers.busy:
                    break
            await asyncio.sleep(IDLE_POLL_MS / 1000)
        log_event(Event.STOPPED, busy=self.callers.busy)

    async def _answer_side_call(self, exchange: Exchange) -> None:
        if is_ready_check(exchange.target):
            exchange.respond(200 if self.ready else 503)
            return
        zone = lookup_zone(exchange.target)
        if zone is None:
            exchange.respond(404)
            return
        others = self._beats.present(self._entries, self._clock.now_ms())
        own = self.record if self.ready else None
        addresses = choose_addresses(others, own, zone)
        if not addresses:
            exchange.respond(503)
            return
        headers = [(b"content-type", b"application/json")]
        exchange.respond(200, headers, encode_lookup(addresses, LOOKUP_TTL_S))

    def _copy(self, prefix: str, apply: t.Callable[[], None]) -> ItemCopy:
        return ItemCopy(prefix, self.health, self._clock, apply)

    def _note_restored(self) -> None:
        """Write and read anew what the store has forgotten."""
        self.health.note_restored(self._clock.now_ms())
        self.figures.forget(self.routes.configuration)

    def _apply_configuration(self) -> None:
        item = self._config.items.get("")
        if (
            item is None
            or item.value is None
            or not self.routes.apply(item.value, item.era)
        ):
            return
        known = self.routes.configuration
        assert known is not None
        self.figures.note_configuration(known)
        limits = self.callers.limits
        limits.header_bytes = known.limits.header_bytes
        limits.body_bytes = known.limits.body_bytes
        limits.header_ms = known.limits.header_ms
        limits.idle_ms = known.limits.idle_ms

    def _apply_upstreams(self) -> None:
        self.fleet.apply(self._upstreams.items)
        self.placer.serve_waiting()

    def _apply_entries(self) -> None:
        fresh = self.records.decode_all(self._others.items)
        if fresh.keys() != self._entries.keys():
            log_event(Event.ENTRIES_CHANGED, entries=sorted(fresh))
        self._entries = fresh

    def _apply_held(self) -> None:
        self.held.apply(self._held_items.items)

    def _take_message(self, message: Message, peer: Peer) -> None:
        take = self._takers.get(type(message))
        if take is not None:
            take(message, peer)

    def _take_load(self, load: LoadReport, peer: Peer) -> None:
        self.fleet.observe(load)
        self.placer.serve_waiting()

    def _take_beat(self, beat: EntryBeat, peer: Peer) -> None:
        answers = self._beats.take(beat, self._clock.now_ms())
        if answers and self.ready:
            own = EntryBeat(self._process.settings.node, True)
            self.datagrams.send(own, peer)

    def _take_rate(self, notice: RateNotice, peer: Peer) -> None:
        upstream = self.fleet.upstreams.get(notice.upstream)
        if upstream is not None:
            self.rates.note_notice(upstream, notice)

    def _take_crash(self, notice: CrashNotice, peer: Peer) -> None:
        answer = self.crashing.take_notice(notice)
        if answer is not None:
            self.datagrams.send(answer, peer)

    def _place(self) -> int | None:
        """Return this entry's place among all that live, or None before it is one."""
        own = self._process.settings.node
        if own not in self._entries:
            return None
        return sum(node < own for node in self._entries)

    def _present_entries(self) -> dict[str, EntryRecord]:
        """Return the registered entries, less those that have left or are silent."""
        others = self._beats.present(self._entries, self._clock.now_ms())
        present = {one.node: one for one in others}
        own = self._process.settings.node
        return present | {own: self.record} if own in self._entries else present

    def _note_head(self, upstream: "Upstream", head: "Head") -> None:
        self.rates.note_answer(upstream, head.header(RATE_LIMIT))

    def _tell_others(
        self, notice: RateNotice | CrashNotice | Clearance | LateNotice
    ) -> None:
        for peer in self._beats.peers(self._entries):
            self.datagrams.send(notice, peer)

    def _drop_connections(self, entry: "UpstreamEntry") -> None:
        self.pool.close_idle(entry.address.ip, entry.address.port)
