"""Common parts of the entry and agent processes: settings, signals, log, metrics."""

import asyncio
import collections
import os
import signal
import typing as t

import aioprometheus
from aioprometheus.formats import text

from fuchsiahatch_adapter.node_settings import (
    NodeSettings,
    read_node_settings,
    settings_path,
)
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_gateway.caller_limits import caller_limits, side_call_limits
from fuchsiahatch_gateway.limit_metrics import LimitMetrics
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.loop_watch import LoopWatch
from fuchsiahatch_gateway.tasks import Tasks
from fuchsiahatch_gateway.unhandled_errors import log_unhandled_errors
from fuchsiahatch_http1.exchange import Exchange
from fuchsiahatch_http1.received_bytes import ReceivedBytes
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_state import CallerShare

#: Interval at which the settings file is checked for a change without a signal.
SETTINGS_POLL_INTERVAL_MS = 5_000
CALLS_LOG_INTERVAL_MS = 5_000
#: Port and path of the metrics, as named in the deploy file.
METRICS_PORT = 9464
METRICS_PATH = b"/metrics"

Gauge = t.Callable[[], float]


class Process:
    """One process of the system, from start to stop.

    Parameters
    ----------
    settings : NodeSettings
    log : LineWriter
        The log writer; metrics show its counts.

    Attributes
    ----------
    clock : Clock
    registry : aioprometheus.Registry
    limits : CallerLimits
    share : CallerShare
        For all servers of the process.
    stopping : asyncio.Event
        Set at SIGTERM.
    servers : list of HttpServer
        Listening servers, except the one for callers.
    """

    def __init__(self, settings: NodeSettings, log: LineWriter) -> None:
        self.settings = settings
        self.log = log
        self.clock = Clock()
        self.registry = aioprometheus.Registry()
        self.limits = caller_limits(settings)
        self.share = CallerShare(
            received=ReceivedBytes(self.limits.received_bytes),
            on_limit=LimitMetrics(self.registry, self.clock).note,
        )
        self.stopping = asyncio.Event()
        self.servers: list[HttpServer] = []
        self._gauges: list[tuple[aioprometheus.Gauge, Gauge]] = []
        self._tasks = Tasks()
        self._file_version: tuple[int, int] | None = None

    def start(self) -> None:
        """Install the signal handlers and log the start."""
        loop = asyncio.get_running_loop()
        log_unhandled_errors(loop)
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._file_version = _settings_file_version()
        self.keep_running(self._watch_settings())
        self.keep_running(LoopWatch(self.registry, self.clock).run())
        log_event(Event.STARTED, zone=self.settings.zone, pid=os.getpid())

    def keep_running(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a background task; an exception in it is logged and ends the process."""
        self._tasks.begin(_guard(work))

    def add_gauge(self, name: str, doc: str, read: Gauge) -> None:
        """Add a gauge that is read at each scrape."""
        gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
        self._gauges.append((gauge, read))

    async def log_store_calls(self, calls: collections.Counter[str]) -> None:
        """Log the calls to the store by kind at regular intervals.

        Parameters
        ----------
        calls : collections.Counter of str
            All calls so far; the caller keeps incrementing it.
        """
        logged: collections.Counter[str] = collections.Counter()
        while True:
            await asyncio.sleep(CALLS_LOG_INTERVAL_MS / 1000)
            new, logged = calls - logged, calls.copy()
            log_event(Event.STORE_CALLS, calls=dict(new))

    async def serve_metrics(self) -> None:
        """Start the metrics server."""
        server = HttpServer(
            self._answer_metrics,
            side_call_limits(),
            self.share,
            self.limits.metrics_connections,
        )
        self.servers.append(server)
        await server.listen(self.settings.ip, METRICS_PORT)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        if exchange.target != METRICS_PATH:
            exchange.respond(404)
            return
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body = text.TextFormatter().marshall(self.registry)
        exchange.respond(200, [(b"content-type", b"text/plain; version=0.0.4")], body)

    def reload(self) -> None:
        """Read the settings file again; keep the present settings if it is refused."""
        try:
            settings = read_node_settings(settings_path())
        except SettingsError as fault:
            log_event(Event.SETTINGS_REFUSED, detail=fault.detail)
            return
        self.settings = settings
        log_event(Event.SETTINGS_APPLIED, node=settings.node)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_MS / 1000)
            version = _settings_file_version()
            if version != self._file_version:
                self._file_version = version
                self.reload()


async def _guard(work: t.Coroutine[t.Any, t.Any, None]) -> None:
    try:
        await work
    except Exception as fault:
        # Ends the process, so that it is restarted with all its tasks: without the
        # watch of the store, for example, it would serve a stale configuration forever.
        log_event(Event.INTERNAL_ERROR, detail=repr(fault))
        os.kill(os.getpid(), signal.SIGTERM)


def _settings_file_version() -> tuple[int, int] | None:
    try:
        result = os.stat(settings_path())
    except OSError:
        return None
    return result.st_mtime_ns, result.st_size
