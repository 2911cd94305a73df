"""The entry: accepts callers' requests and sends them to upstreams."""

import asyncio
import random
import typing as t

from twisted.internet import reactor

from fuchsiahatch_adapter.lookup_calls import encode_lookup, is_ready_check, lookup_zone
from fuchsiahatch_adapter.names import (
    CONFIGURATION_KEY,
    DRAINED_ZONES_PREFIX,
    RATE_LIMIT,
    UPSTREAMS_PREFIX,
)
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.allowed_regions import AllowedRegions
from fuchsiahatch_gateway.backoffs import Backoffs
from fuchsiahatch_gateway.caller_limits import side_call_limits
from fuchsiahatch_gateway.cold_starts import ColdStarts
from fuchsiahatch_gateway.connection_metrics import ConnectionMetrics
from fuchsiahatch_gateway.crash_messages import Clearance, CrashNotice
from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import (
    ColdPermitRequest,
    DatagramPort,
    EntryHeartbeat,
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
    END_FLUSH_MS,
    ENTRIES_PREFIX,
    GRACE_RESERVE_MS,
    HELD_PREFIX,
    LINGER_MS,
    LOOKUP_TTL_S,
)
from fuchsiahatch_gateway.delivery import Delivery
from fuchsiahatch_gateway.engine_figures import FiguresWriter
from fuchsiahatch_gateway.entry_announcer import EntryAnnouncer
from fuchsiahatch_gateway.entry_directory import EntryDirectory
from fuchsiahatch_gateway.entry_gauges import add_gauges
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.following import Follower
from fuchsiahatch_gateway.held_requests import HeldRequests
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.kept_bytes import KeptBytes
from fuchsiahatch_gateway.late_upstreams import LateUpstreams
from fuchsiahatch_gateway.lookups import (
    EntryRecord,
)
from fuchsiahatch_gateway.permits import Permits
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.request_log import RequestLog
from fuchsiahatch_gateway.request_metrics import RequestMetrics
from fuchsiahatch_gateway.retry_budget import RetryBudget
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_gateway.stated_leaving import StatedLeaving
from fuchsiahatch_gateway.stated_rates import StatedRates
from fuchsiahatch_gateway.stop_admission import StopAdmission
from fuchsiahatch_gateway.stop_report import StopReport
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_gateway.upstream_gate import FIRST_REPORT_TIMEOUT_MS
from fuchsiahatch_http1.exchange import Exchange
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_http1.server import HttpServer

if t.TYPE_CHECKING:
    import socket

    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.process import Process
    from fuchsiahatch_http1.answers import Head

#: Prefix that an entry watches: the store holds little besides what an entry needs.
WATCHED_PREFIX = ""
#: Usual connections take some 3 ms. An unreachable host doesn't answer at all, and its
#: request is sent to another upstream.
CONNECT_TIMEOUT_MS = 300
#: Interval at which a starting entry checks whether it can serve.
SYNC_POLL_INTERVAL_MS = 10
#: Time after the start for which callers wait for an entry that isn't synced yet.
#: Together with the 0.2 s of loading before it, this is less than the second after
#: which a caller gives up on an unread request. A caller that is refused has one
#: attempt left.
EARLY_WAIT_TIMEOUT_MS = 700
#: Interval at which an entry checks whether announcements to agents are due.
ANNOUNCE_POLL_INTERVAL_MS = 100
IDLE_POLL_INTERVAL_MS = 50
#: Time from a crash until other requests are moved away from its rank group, in which
#: all entries have told which requests may have caused it: these aren't moved.
CRASH_MOVE_DELAY_MS = 50


class Entry:
    """One entry process: creates and connects its parts.

    Parameters
    ----------
    process : Process
    listening : socket.socket, optional
        The callers' socket, if it is already listening.
    """

    def __init__(
        self, process: "Process", listening: "socket.socket | None" = None
    ) -> None:
        settings, clock = process.settings, process.clock
        self._process = process
        self._early_socket = listening
        self._began_ms = clock.now_ms()
        self.datagrams = DatagramPort(self._handle_message)
        self._clock = clock
        self._rng = random.Random()
        self._leaving = False
        self.routes = RouteTable()
        self.pool = ConnectionPool(clock, CONNECT_TIMEOUT_MS)
        self.store = StoreClient(settings.store, ConnectionPool(clock))
        self.health = StoreHealth()
        self.record = EntryRecord(
            settings.node,
            settings.zone,
            str(settings.callers),
            (settings.ip, settings.internal_ports[0]),
        )
        self.entries = EntryDirectory(self.record, self.datagrams, self.health, clock)
        self.fleet = Fleet(
            settings.zone,
            clock,
            self._rng,
            regions=AllowedRegions(lambda: process.settings.zones),
        )
        self.announcer = EntryAnnouncer(
            settings.node,
            self.fleet,
            self.datagrams,
            settings.internal_ports[0] + AGENT_PORT_OFFSET,
            clock,
        )
        self.fleet.on_departed = self._drop_connections
        self.fleet.engine_of = self.routes.engine_of
        bounds = settings.bounds
        self.fleet.cold_starts = ColdStarts(
            clock,
            self.routes.cold_start_of,
            bounds.cold_over,
            bounds.cold_slack,
            self.entries.count,
        )
        self.permits = Permits(
            settings.node,
            self.entries.present,
            self.datagrams,
            clock,
            self.fleet.upstreams.get,
            self.fleet.cold_starts.permit_rate,
        )
        self.rates = StatedRates(clock, self.entries.notify)
        self.placer = Placer(
            self.fleet, clock, self.permits.ask, self.routes.has_classes
        )
        self.backoffs = Backoffs(
            clock, self.placer.refuse_waiting, self.placer.serve_waiting
        )
        self.stated_leaving = StatedLeaving(clock, self._drop_connections)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_ms,
            clock,
            self.entries.count,
            settings.first_start,
        )
        self.crashing = CrashingRequests(clock, self.entries.notify)
        self.crashes = UpstreamCrashes(
            self.crashing,
            self.pool.probe,
            lambda instance: instance in self.fleet.upstreams,
            clock,
        )
        self.crashing.on_crash = self._note_crash
        self.fleet.on_restarted = self.crashes.note_restart
        self.pool.on_idle_end = self.crashes.note_idle_end
        self.crashes.has_idle = self.pool.has_idle
        self.late = LateUpstreams(clock, self.fleet.upstreams, self.entries.notify)
        self.kept = KeptBytes(process.limits.kept_bytes)
        self.held = HeldRequests(self.store, self.crashing, self.entries.index, clock)
        self.stop_admission = StopAdmission()
        self.request_log = RequestLog(
            RequestMetrics(process.registry), clock, self._rng, self.fleet.backing_off
        )
        self.delivery = Delivery(
            self.routes,
            self.placer,
            self.pool,
            self.budget,
            self.request_log,
            self.crashing,
            self.crashes,
            self.late,
            clock,
            self._rng,
            self._note_head,
            self._note_statements,
            self.stop_admission,
            self.kept,
        )
        self.crashing.on_suspected = self.delivery.withdraw_suspects
        self.registration = Registration(
            self.store,
            ENTRIES_PREFIX + settings.node,
            self.record.encode(),
            self.health,
            clock,
        )
        self.figures = FiguresWriter(self.store, self.entries.index)
        self.callers = HttpServer(
            self.delivery.handle,
            share=process.share,
            max_connections=process.limits.caller_connections,
        )
        ConnectionMetrics(process.registry).observe(self.callers)
        self.side_calls = HttpServer(
            self._answer_side_call,
            side_call_limits(),
            process.share,
            process.limits.side_connections,
        )
        self.store.on_restored = self._note_restored
        self._handlers: dict[type, t.Callable[[t.Any, Peer], None]] = {
            LoadReport: self._handle_load,
            EntryHeartbeat: self.entries.receive,
            PermitRequest: self.permits.receive_request,
            ColdPermitRequest: self.permits.receive_cold_request,
            PermitReply: lambda reply, peer: self.permits.receive_reply(reply),
            RateNotice: self._handle_rate,
            CrashNotice: self._handle_crash,
            Clearance: lambda notice, peer: self.crashing.receive_clearance(notice),
            LateNotice: lambda notice, peer: self.late.receive_notice(notice),
        }
        self._configuration_copy = self._make_copy(
            CONFIGURATION_KEY, self._apply_configuration
        )
        self._upstream_copy = self._make_copy(UPSTREAMS_PREFIX, self._apply_upstreams)
        self._entry_copy = self._make_copy(ENTRIES_PREFIX, self._apply_entries)
        self._held_copy = self._make_copy(HELD_PREFIX, self._apply_held)
        self._drain_copy = self._make_copy(
            DRAINED_ZONES_PREFIX, self._apply_drains, leased=False
        )
        self.follower = Follower(
            self.store,
            WATCHED_PREFIX,
            self.health,
            clock,
            (
                self._configuration_copy,
                self._upstream_copy,
                self._entry_copy,
                self._held_copy,
                self._drain_copy,
            ),
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish open requests."""
        process, settings = self._process, self._process.settings
        process.keep_running(self.follower.run())
        process.keep_running(self.figures.run())
        process.keep_running(self.held.run())
        port = settings.internal_ports[0]
        reactor.listenUDP(port, self.datagrams, interface=settings.ip)
        process.keep_running(self._announce_forever())
        add_gauges(self, process)
        process.keep_running(process.log_store_calls(self.store.calls))
        await process.serve_metrics()
        for address in (settings.ready, settings.lookup):
            if address is not None:
                await self.side_calls.listen(address.ip, address.port)
        # Callers are accepted once routes and upstreams are known.
        await self._wait_until_synced()
        if process.stopping.is_set():
            self._end_unserved()
            return
        await self._accept_callers()
        process.keep_running(self.entries.announce_forever())
        # Requests wait for the first load reports no longer than this.
        reactor.callLater(FIRST_REPORT_TIMEOUT_MS / 1000, self.placer.serve_waiting)
        process.keep_running(self.registration.run())
        await process.stopping.wait()
        await self._leave()

    @property
    def ready(self) -> bool:
        """Whether callers may connect."""
        return self.entries.serving

    @property
    def synced(self) -> bool:
        """Whether the configuration, upstreams and held requests have been read."""
        return self.routes.configuration is not None and self.follower.synced

    async def _wait_until_synced(self) -> None:
        while not self.synced and not self._process.stopping.is_set():
            if self._clock.now_ms() - self._began_ms > EARLY_WAIT_TIMEOUT_MS:
                self._close_early_socket()
            await asyncio.sleep(SYNC_POLL_INTERVAL_MS / 1000)

    def _end_unserved(self) -> None:
        """End without having accepted callers, as their routes may be unknown.

        The connections that wait at the early socket are reset unread.
        """
        report = StopReport(self.callers)
        report.begin()
        if self._early_socket is not None:
            self._early_socket.close()
            self._early_socket = None
        report.end()

    def _close_early_socket(self) -> None:
        """Close the early socket, so that callers connect to other entries."""
        if self._early_socket is not None:
            log_event(Event.SOCKET_CLOSED_EARLY, waited_ms=EARLY_WAIT_TIMEOUT_MS)
            self._early_socket.close()
            self._early_socket = None

    async def _accept_callers(self) -> None:
        address = self._process.settings.callers
        assert address is not None
        if self._early_socket is None:
            await self.callers.listen(address.ip, address.port)
        else:
            self.callers.adopt(self._early_socket)
            self._early_socket = None
        self.entries.serving = True

    async def _announce_forever(self) -> None:
        while not self._leaving:
            self.announcer.announce()
            self.permits.note_entries()
            await asyncio.sleep(ANNOUNCE_POLL_INTERVAL_MS / 1000)

    async def _leave(self) -> None:
        """Turn callers away, finish open requests, and end within the grace period."""
        report = StopReport(self.callers)
        report.begin()
        self.request_log.begin_stop()
        began_ms = self._clock.now_ms()
        grace_ms = self._process.settings.bounds.stop_grace_ms - GRACE_RESERVE_MS
        self.stop_admission.begin(began_ms + grace_ms)
        self._leaving = True
        self.entries.serving = False
        self.callers.leave()
        departure = self.entries.announce_departure(self.registration.revision)
        self._process.keep_running(departure)
        self._process.keep_running(self.registration.withdraw())
        while self._clock.now_ms() - began_ms < grace_ms:
            if self._clock.now_ms() - began_ms >= LINGER_MS:
                await self.callers.stop_accepting()
                if self.callers.is_drained:
                    break
            await asyncio.sleep(IDLE_POLL_INTERVAL_MS / 1000)
        report.end()
        await self.callers.end(END_FLUSH_MS)
        report.note_remaining()

    async def _answer_side_call(self, exchange: Exchange) -> None:
        if is_ready_check(exchange.target):
            exchange.respond(200 if self.ready else 503)
            return
        zone = lookup_zone(exchange.target)
        if zone is None:
            exchange.respond(404)
            return
        addresses = self.entries.addresses_for(zone, self._process.settings.zones)
        if not addresses:
            exchange.respond(503)
            return
        headers = [(b"content-type", b"application/json")]
        exchange.respond(200, headers, encode_lookup(addresses, LOOKUP_TTL_S))

    def _make_copy(
        self, prefix: str, apply: t.Callable[[], None], leased: bool = True
    ) -> ItemCopy:
        return ItemCopy(prefix, self.health, self._clock, apply, leased)

    def _note_restored(self) -> None:
        """Write and read again what the restored store has lost."""
        self.health.note_restored(self._clock.now_ms())
        self.figures.recheck(self.routes.configuration)

    def _apply_configuration(self) -> None:
        item = self._configuration_copy.items.get("")
        if (
            item is None
            or item.value is None
            or not self.routes.apply(item.value, item.era)
        ):
            return
        configuration = self.routes.configuration
        assert configuration is not None
        self.fleet.regions.apply(configuration)
        self.placer.requeue_waiting()
        self.figures.note_configuration(configuration)
        limits = self.callers.limits
        limits.header_bytes = configuration.limits.header_bytes
        limits.body_bytes = configuration.limits.body_bytes
        limits.header_ms = configuration.limits.header_ms
        limits.idle_ms = configuration.limits.idle_ms

    def _apply_upstreams(self) -> None:
        self.fleet.apply(self._upstream_copy.items)
        self.placer.serve_waiting()

    def _apply_drains(self) -> None:
        entry_zones = {entry.zone for entry in self.entries.registered.values()}
        known_zones = entry_zones | self._process.settings.zones.keys()
        self.fleet.apply_drains(self._drain_copy.items, known_zones)
        self.placer.serve_waiting()

    def _apply_entries(self) -> None:
        self.entries.apply(self._entry_copy.items)

    def _apply_held(self) -> None:
        self.held.apply(self._held_copy.items)

    def _handle_message(self, message: Message, peer: Peer) -> None:
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(message, peer)

    def _handle_load(self, load: LoadReport, peer: Peer) -> None:
        self.fleet.observe(load)
        self.placer.serve_waiting()

    def _handle_rate(self, notice: RateNotice, peer: Peer) -> None:
        upstream = self.fleet.upstreams.get(notice.upstream)
        if upstream is not None:
            self.rates.receive_notice(upstream, notice)

    def _note_crash(self, incarnation: str, group: str) -> None:
        self.fleet.note_crash(incarnation, group)
        if group:
            reactor.callLater(CRASH_MOVE_DELAY_MS / 1000, self.fleet.move_from, group)

    def _handle_crash(self, notice: CrashNotice, peer: Peer) -> None:
        answer = self.crashing.receive_notice(notice)
        if answer is not None:
            self.datagrams.send(answer, peer)

    def _note_head(self, upstream: "Upstream", head: "Head") -> None:
        self.rates.note_answer(upstream, head.header(RATE_LIMIT))
        self._note_statements(upstream, head)

    def _note_statements(self, upstream: "Upstream", head: "Head") -> None:
        """Apply what an answer states that an answer to a later request doesn't end."""
        self.backoffs.note_head(upstream, head)
        self.stated_leaving.note_head(upstream, head)

    def _drop_connections(self, entry: "UpstreamEntry") -> None:
        self.pool.close_idle(entry.address.ip, entry.address.port)
