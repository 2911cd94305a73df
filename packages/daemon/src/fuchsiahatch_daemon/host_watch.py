"""Keeps the host table: polls the host list and watches the agents."""

import asyncio
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import HEARTBEAT_MS, SUSPECT_AFTER_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_daemon.peer_calls import CONNECTION_FAULTS
from fuchsiahatch_daemon.rpc import Channels
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_membership.hosts import HostReport, HostRow, HostTable
from fuchsiahatch_platform.host_list import HostListClient, ListedHost
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsStub

if t.TYPE_CHECKING:
    from grpclib.client import Stream


class HostWatch:
    """Feeds a host table from the host list and from the agents' reports.

    Parameters
    ----------
    host, incarnation : str
        Of the watching process.
    host_list : HostListClient
    channels : Channels
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        host_list: HostListClient,
        channels: Channels,
        clock: Clock,
    ) -> None:
        self.table = HostTable()
        self._request = attempts_pb2.WatchRequest(entry=host, incarnation=incarnation)
        self._host_list = host_list
        self._channels = channels
        self._clock = clock
        self._watches: dict[str, asyncio.Task[t.Any]] = {}
        self._tasks = Tasks()

    def start(self) -> None:
        """Begin to poll and to watch."""
        self._tasks.repeat(self._poll, HEARTBEAT_MS)
        self._tasks.repeat(self._watch_all, HEARTBEAT_MS)

    def stop(self) -> None:
        """End polling and watching."""
        self._tasks.cancel()

    async def _poll(self) -> None:
        try:
            rows = await read_rows(self._host_list)
        except PlatformError as fault:
            # The last reading stays: without rows no request could be placed
            # while the list is away.
            log_event(Event.HOST_LIST_FAILED, detail=fault.detail)
            return
        self.table.replace_rows(rows)
        await self._watch_all()

    async def _watch_all(self) -> None:
        """Watch each listed agent that isn't watched, also one that came back."""
        for row in self.table.rows("agent"):
            watch = self._watches.get(row.host)
            if watch is None or watch.done():
                self._watches[row.host] = self._tasks.spawn(self._watch(row))

    async def _watch(self, row: HostRow) -> None:
        stub = AttemptsStub(self._channels.to(row.rpc_address))
        before: attempts_pb2.AgentReport | None = None
        try:
            async with stub.Watch.open() as stream:
                await stream.send_message(self._request, end=True)
                while (report := await _next(stream)) is not None:
                    _log_change(before, report)
                    self.table.note_report(_host_report(report, self._clock.now_ms()))
                    before = report
        except CONNECTION_FAULTS:
            pass
        finally:
            self.table.forget_report(row.host)
        if before is not None:
            log_event(Event.AGENT_LOST, agent=row.host)


def _log_change(
    before: attempts_pb2.AgentReport | None, report: attempts_pb2.AgentReport
) -> None:
    if before is None:
        log_event(Event.AGENT_SEEN, agent=report.host)
    if report.leaving and not (before and before.leaving):
        log_event(Event.AGENT_LEAVING, agent=report.host)


async def _next(
    stream: "Stream[attempts_pb2.WatchRequest, attempts_pb2.AgentReport]",
) -> attempts_pb2.AgentReport | None:
    # An agent's host that lost its power ends no connection: without a time
    # limit the watch would wait on it for ever and miss the host's next life.
    async with asyncio.timeout(SUSPECT_AFTER_MS / 1000):
        return await stream.recv_message()


async def read_rows(host_list: HostListClient) -> list[HostRow]:
    """Read the host list in the words of membership.

    Raises
    ------
    PlatformError
        When the list can't be read.
    """
    return list(map(_host_row, await host_list.read()))


def _host_row(listed: ListedHost) -> HostRow:
    return HostRow(
        host=listed.host,
        zone=listed.zone,
        region=listed.region,
        role=listed.role,
        rpc_address=listed.rpc_address,
        http_address=listed.http_address,
        offers=listed.offers,
        leaving=listed.leaving,
    )


def _host_report(report: attempts_pb2.AgentReport, now_ms: int) -> HostReport:
    return HostReport(
        host=report.host,
        incarnation=report.incarnation,
        leaving=report.leaving,
        in_flight=report.load.in_flight,
        queued=report.load.queued,
        limit=report.load.limit,
        heard_ms=now_ms,
        stragglers=tuple(report.stragglers),
        clock_ms=report.clock_ms,
    )
