"""The entry's role: answers callers by way of the agents."""

import asyncio

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import LEAVE_LINGER_MS, RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_daemon import operators, rpc, web
from fuchsiahatch_daemon.binder import Binder
from fuchsiahatch_daemon.caller_requests import CallerRequest
from fuchsiahatch_daemon.callers import make_app
from fuchsiahatch_daemon.changes import Changes
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.control_metrics import ControlMetrics
from fuchsiahatch_daemon.dispatch import Dispatcher
from fuchsiahatch_daemon.hops import Hops, Send
from fuchsiahatch_daemon.host_watch import HostWatch
from fuchsiahatch_daemon.metrics import Metrics, add_route
from fuchsiahatch_daemon.open_work import OpenWork
from fuchsiahatch_daemon.peer_calls import PeerCalls
from fuchsiahatch_daemon.peers import Peers
from fuchsiahatch_daemon.pulls import Pulls
from fuchsiahatch_daemon.selection import Selection
from fuchsiahatch_daemon.settings import Settings
from fuchsiahatch_daemon.standings import Standings
from fuchsiahatch_membership.heartbeats import ENTRY_SUSPECT_AFTER_MS
from fuchsiahatch_membership.hosts import HostRow
from fuchsiahatch_placement.acceptance import EntryConfiguration
from fuchsiahatch_platform.budget import CallBudget
from fuchsiahatch_platform.host_list import HostListClient
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient


class EntryRole:
    """Everything one entry process does.

    Parameters
    ----------
    settings : Settings

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings) -> None:
        self.incarnation = new_incarnation()
        self.settings = settings
        self.leaving = False
        self._stopping = False
        self._requests = OpenWork()
        self.clock = Clock()
        self._channels = rpc.Channels()
        caller = HttpCaller(settings.platform_timeout_ms)
        budget = CallBudget(self.clock)
        self.key_value = KeyValueClient(settings.key_value_url, caller, budget)
        host_list = HostListClient(settings.host_list_url, caller)
        identity = (settings.host, self.incarnation)
        self.hosts = HostWatch(*identity, host_list, self._channels, self.clock)
        calls = PeerCalls(self.hosts.table, self._channels)
        self.configuration = Configuration(
            EntryConfiguration(*identity, settings.region, settings.zone),
            settings.segment,
            self.key_value,
            calls,
            self.clock,
        )
        self.peers = Peers(
            *identity,
            settings.region,
            self.hosts.table,
            calls,
            self.configuration,
            self.clock,
        )
        self.changes = Changes(self.configuration, self.key_value, calls, self.clock)
        self.peers.open_requests = lambda: self._requests.count
        self.selection = Selection(self.configuration, self.hosts, self.clock)
        self.standings = Standings(
            self.configuration, self.hosts, self.selection, self.clock
        )
        self.dispatcher = Dispatcher(
            self.configuration,
            self.selection,
            self.standings,
            Hops(
                *identity,
                self._channels,
                self.standings,
                self.selection,
                lambda: self.configuration.snapshot.revision,
                lambda: self.configuration.fresh,
            ),
            Binder(self.key_value, self.clock),
            self.clock,
        )
        self.metrics = Metrics(self.clock)
        self.metrics.knows_team = lambda team: (
            team in (self.configuration.snapshot.placements)
        )
        self.dispatcher.retries.note_retry = self.metrics.note_retry

    async def start(self) -> None:
        """Read the platform's word and serve callers."""
        pulls = Pulls(self.configuration)
        self._server = await rpc.serve([self.peers, pulls], self.settings.rpc_address)
        self.hosts.start()
        self.configuration.start()
        self.peers.start()
        app = make_app(self)
        operators.add_routes(app, self)
        control = ControlMetrics(
            self.metrics.registry, self.configuration, self.key_value.budget
        )
        add_route(app, self.metrics, control.refresh)
        self._listener = await web.listen(app, self.settings.http_address)

    async def stop(self, linger_ms: int = LEAVE_LINGER_MS) -> None:
        """Leave the lookup's answers, finish open requests, then close.

        Parameters
        ----------
        linger_ms : int, optional
            How long callers are told to use another entry before the port closes.
        """
        self.leave()
        self._stopping = True
        # Callers keep a lookup answer for a while. For some time they are told to
        # use another entry; after that they find the port closed.
        await asyncio.sleep(linger_ms / 1000)
        await self._requests.wait_idle()
        await self._listener.close()
        self._server.close()
        self.peers.stop()
        self.hosts.stop()
        self.configuration.stop()
        self._channels.close()

    def leave(self) -> None:
        """Be named by lookup no more, on any entry; open requests go on."""
        if not self.leaving:
            self.leaving = True
            self.peers.leave()

    @property
    def ready(self) -> bool:
        """Whether this entry may admit work."""
        return not self.leaving and self.configuration.fresh

    def entry_rows(self) -> list[HostRow]:
        """Return the entries that callers may be sent to."""
        views = self.hosts.table.views(
            "entry", self.clock.now_ms(), ENTRY_SUSPECT_AFTER_MS
        )
        staying = [view for view in views if not view.leaving]
        # One that was never heard of may be new; the list's word is all there is.
        heard = [view for view in staying if view.live or view.report is None]
        return [view.row for view in heard or staying]

    async def serve(self, request: CallerRequest, send: Send) -> None:
        """Serve one request, and count it as open until its end.

        Raises
        ------
        FuchsiahatchError
            With the final word on the request.
        """
        if self._stopping:
            detail = "this entry is stopping; look up another one"
            raise RefusedError(detail, Code.LEAVING, RETRY_AFTER_MS)
        with self._requests.one(), self.metrics.watch(request.team) as watch:
            await self.dispatcher.serve(request, watch.around(send))
