"""What the entry and the agent have in common: settings, signals, log, metrics."""

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
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.loop_watch import LoopWatch
from fuchsiahatch_gateway.tasks import Tasks
from fuchsiahatch_http1.server import Exchange, HttpServer

#: How often the settings file is looked at for a change without a signal.
SETTINGS_POLL_MS = 5_000
#: How often the calls to the store are logged.
CALLS_LOG_MS = 5_000
#: Where metrics are served; the deploy file names the same port and path.
METRICS_PORT = 9464
METRICS_PATH = b"/metrics"

Gauge = t.Callable[[], float]


class Process:
    """One process of the system, from its start to its stop.

    Parameters
    ----------
    settings : NodeSettings
    log : LineWriter
        Where log lines go, for its counts.

    Attributes
    ----------
    clock : Clock
    registry : aioprometheus.Registry
    stopping : asyncio.Event
        Set at SIGTERM.
    servers : list of HttpServer
        What listens, beside the callers' own.
    """

    def __init__(self, settings: NodeSettings, log: LineWriter) -> None:
        self.settings = settings
        self.log = log
        self.clock = Clock()
        self.registry = aioprometheus.Registry()
        self.stopping = asyncio.Event()
        self.servers: list[HttpServer] = []
        self._gauges: list[tuple[aioprometheus.Gauge, Gauge]] = []
        self._tasks = Tasks()
        self._file_mark: tuple[int, int] | None = None

    def start(self) -> None:
        """Take over the signals and log the start."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._file_mark = _mark_of_file()
        self.keep_running(self._watch_settings())
        self.keep_running(LoopWatch(self.registry, self.clock).run())
        log_event(Event.STARTED, zone=self.settings.zone, pid=os.getpid())

    def keep_running(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run something beside the rest; a fault in it is logged and ends it."""
        self._tasks.begin(_guard(work))

    def add_gauge(self, name: str, doc: str, read: Gauge) -> None:
        """Show a figure that is read when metrics are asked for."""
        gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
        self._gauges.append((gauge, read))

    async def log_store_calls(self, calls: collections.Counter[str]) -> None:
        """Log the calls to the store by kind, from time to time.

        Parameters
        ----------
        calls : collections.Counter of str
            All calls so far; it goes on being counted.
        """
        logged: collections.Counter[str] = collections.Counter()
        while True:
            await asyncio.sleep(CALLS_LOG_MS / 1000)
            fresh, logged = calls - logged, calls.copy()
            log_event(Event.STORE_CALLS, calls=dict(fresh))

    async def serve_metrics(self) -> None:
        """Serve the metrics."""
        server = HttpServer(self._answer_metrics)
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

    def _reload(self) -> None:
        try:
            fresh = read_node_settings(settings_path())
        except SettingsError as fault:
            log_event(Event.SETTINGS_REFUSED, detail=fault.detail)
            return
        self.settings = fresh
        log_event(Event.SETTINGS_APPLIED, node=fresh.node)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_MS / 1000)
            mark = _mark_of_file()
            if mark != self._file_mark:
                self._file_mark = mark
                self._reload()


async def _guard(work: t.Coroutine[t.Any, t.Any, None]) -> None:
    try:
        await work
    except Exception as fault:
        # The process ends, so that it starts anew with all its parts: one that has
        # lost its watch would serve an old configuration for ever.
        log_event(Event.INTERNAL_ERROR, detail=repr(fault))
        os.kill(os.getpid(), signal.SIGTERM)


def _mark_of_file() -> tuple[int, int] | None:
    try:
        found = os.stat(settings_path())
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
