"""The entry's role: answers callers by way of the agents."""

import asyncio

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import LEAVE_LINGER_MS, RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_daemon import rpc, web
from fuchsiahatch_daemon.binder import Binder
from fuchsiahatch_daemon.callers import CallerRequest, make_app
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.dispatch import Dispatcher
from fuchsiahatch_daemon.hops import Hops, Send
from fuchsiahatch_daemon.hostwatch import HostWatch
from fuchsiahatch_daemon.metrics import Metrics, add_route
from fuchsiahatch_daemon.openwork import OpenWork
from fuchsiahatch_daemon.selection import Selection
from fuchsiahatch_daemon.settings import Settings
from fuchsiahatch_daemon.standings import Standings
from fuchsiahatch_membership.hosts import HostRow
from fuchsiahatch_platform.hostlist import HostListClient
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
        self._clock = Clock()
        self._channels = rpc.Channels()
        caller = HttpCaller(settings.platform_timeout_ms)
        key_value = KeyValueClient(settings.key_value_url, caller)
        host_list = HostListClient(settings.host_list_url, caller)
        identity = (settings.host, self.incarnation)
        self.configuration = Configuration(settings.segment, key_value)
        self.hosts = HostWatch(*identity, host_list, self._channels, self._clock)
        self.selection = Selection(self.configuration, self.hosts, self._clock)
        self.standings = Standings(
            self.configuration, self.hosts, self.selection, self._clock
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
            ),
            Binder(key_value, self._clock),
            self._clock,
        )
        self.metrics = Metrics(self._clock)
        self.metrics.knows_team = lambda team: (
            team in (self.configuration.snapshot.placements)
        )
        self.dispatcher.retries.note_retry = self.metrics.note_retry

    async def start(self) -> None:
        """Read the platform's word and serve callers."""
        self.hosts.start()
        self.configuration.start()
        app = make_app(self)
        add_route(app, self.metrics)
        listening = web.listen(app, self.settings.http_address)
        self._port = await listening.asFuture(asyncio.get_running_loop())

    async def stop(self) -> None:
        """Leave the lookup's answers, finish open requests, then close."""
        self.leave()
        self._stopping = True
        # Callers keep a lookup answer for a while. For some time they are told to
        # use another entry; after that they find the port closed.
        await asyncio.sleep(LEAVE_LINGER_MS / 1000)
        await self._requests.wait_idle()
        self._port.stopListening()
        self.hosts.stop()
        self.configuration.stop()
        self._channels.close()

    def leave(self) -> None:
        """Be named by lookup no more; open requests go on."""
        self.leaving = True

    @property
    def ready(self) -> bool:
        """Whether this entry may admit work."""
        return not self.leaving and self.configuration.fresh

    def entry_rows(self) -> list[HostRow]:
        """Return the entries that callers may be sent to."""
        own = self.settings.host
        return [
            row
            for row in self.hosts.table.rows("entry")
            if not row.leaving and not (row.host == own and self.leaving)
        ]

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
