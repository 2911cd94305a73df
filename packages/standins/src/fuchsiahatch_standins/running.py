"""Runs entries, agents and the platform's stand-ins in one process over loopback."""

import asyncio
import contextlib
import json
import typing as t

from twisted.internet import endpoints, reactor
from twisted.web.server import Site

from fuchsiahatch_daemon.agent import AgentRole
from fuchsiahatch_daemon.entry import EntryRole
from fuchsiahatch_daemon.settings import Settings, UpstreamSettings
from fuchsiahatch_standins import host_list, keyvalue
from fuchsiahatch_standins.layout import list_row, roster_of
from fuchsiahatch_standins.ports import free_address

PLACEMENT_KEY = "fuchsiahatch/placement/main"
ROSTER_KEY = "fuchsiahatch/roster"

_POLL_S = 0.01
_WAIT_S = 15


class Running:
    """A few roles of the system in this process, with real calls between them.

    Parameters
    ----------
    entries : dict of str to str
        Zone by host; the part of a zone before the first dash is its region.
    agents : dict of str to str, optional
        The same for agents.
    offers : sequence of str, optional
        What each agent's upstream serves.
    records : sequence of dict, optional
        First placement records.

    Attributes
    ----------
    store : Store
    faults : Faults
        Of the key-value service.
    rows : list of dict
        The host list; it lags as long as nobody changes it.
    entries, agents : dict
        Roles by host.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        entries: dict[str, str],
        agents: dict[str, str] | None = None,
        offers: t.Sequence[str] = ("booking-assistant@2",),
        records: t.Sequence[dict[str, t.Any]] = (),
    ) -> None:
        self.store = keyvalue.Store()
        self.faults = keyvalue.Faults()
        self.entries: dict[str, EntryRole] = {}
        self.agents: dict[str, AgentRole] = {}
        self.rows: list[dict[str, t.Any]] = []
        self._zones = {"entry": entries, "agent": agents or {}}
        self._offers = offers
        self._first = {"revision": 1, "history": [], "records": list(records)}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Running":
        self.key_value_address = await self._serve(
            keyvalue.make_app(self.store, self.faults)
        )
        plans = [
            self._plan(role, host, zone)
            for role, zones in self._zones.items()
            for host, zone in zones.items()
        ]
        self.rows.extend(map(list_row, plans))
        self.host_list_address = await self._serve(host_list.make_app(self.rows))
        self._put(PLACEMENT_KEY, self._first)
        self._put(ROSTER_KEY, roster_of(plans))
        for plan in plans:
            await self.start(plan)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        entries = (role.stop(linger_ms=0) for role in self.entries.values())
        agents = (role.stop() for role in self.agents.values())
        await asyncio.gather(*entries, *agents)
        await self._stack.aclose()

    async def start(self, plan: dict[str, t.Any]) -> None:
        """Start a role; one that is there already is another life of its host."""
        settings = self._settings(plan)
        if plan["role"] == "entry":
            role = self.entries[plan["host"]] = EntryRole(settings)
        else:
            role = self.agents[plan["host"]] = AgentRole(settings)
        await role.start()

    async def until(self, holds: t.Callable[[], bool]) -> None:
        """Wait until something holds; fail when it doesn't in good time."""
        async with asyncio.timeout(_WAIT_S):
            while not holds():
                await asyncio.sleep(_POLL_S)

    def put_placement(self, revision: int, *records: dict[str, t.Any]) -> None:
        """Write placement records past the entries, as one revision."""
        document = {"revision": revision, "history": [], "records": list(records)}
        self._put(PLACEMENT_KEY, document)

    def _put(self, key: str, document: dict[str, t.Any]) -> None:
        value = keyvalue.encode_key(json.dumps(document))
        self.store.restore(keyvalue.encode_key(key), value)

    async def _serve(self, app: t.Any) -> str:
        endpoint = endpoints.TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")
        loop = asyncio.get_running_loop()
        port = await endpoint.listen(Site(app.resource())).asFuture(loop)
        self._stack.callback(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    def _plan(self, role: str, host: str, zone: str) -> dict[str, t.Any]:
        listen = {"http_address": free_address(), "rpc_address": free_address()}
        upstream = {"offers": list(self._offers)} if role == "agent" else {}
        return {
            "role": role,
            "host": host,
            "zone": zone,
            "region": zone.partition("-")[0],
            "listen": listen,
            "upstream": upstream,
        }

    def _settings(self, plan: dict[str, t.Any]) -> Settings:
        upstream = None
        if plan["role"] == "agent":
            upstream = UpstreamSettings("http://127.0.0.1:1", tuple(self._offers), 8)
        return Settings(
            role=plan["role"],
            host=plan["host"],
            zone=plan["zone"],
            region=plan["region"],
            http_address=plan["listen"]["http_address"],
            rpc_address=plan["listen"]["rpc_address"],
            key_value_url=f"http://{self.key_value_address}",
            host_list_url=f"http://{self.host_list_address}",
            platform_timeout_ms=1_000,
            segment="main",
            upstream=upstream,
            log_path=None,
        )
