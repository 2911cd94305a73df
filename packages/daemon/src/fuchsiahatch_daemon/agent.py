"""The agent's role: one process in the slot on an upstream host."""

import asyncio

from klein import Klein

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import LEAVE_LINGER_MS
from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_daemon import rpc, web
from fuchsiahatch_daemon.following import Follower
from fuchsiahatch_daemon.metrics import Metrics, add_route
from fuchsiahatch_daemon.runner import Runner
from fuchsiahatch_daemon.settings import Settings
from fuchsiahatch_daemon.step_engine import StepEngine
from fuchsiahatch_daemon.steps import StepGroup
from fuchsiahatch_platform.host_list import HostListClient
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient


class AgentRole:
    """Everything one agent process does.

    Parameters
    ----------
    settings : Settings
        With an upstream.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings) -> None:
        assert settings.upstream is not None
        self.incarnation = new_incarnation()
        self.settings = settings
        self.runner = Runner(settings.host, self.incarnation, settings.upstream)
        self._channels = rpc.Channels()
        caller = HttpCaller(settings.platform_timeout_ms)
        host_list = HostListClient(settings.host_list_url, caller)
        self.follower = Follower(
            settings.zone, settings.segment, host_list, self._channels
        )
        self.runner.check = self.follower.check
        self.runner.admission.share_of = self.follower.share_of
        self.metrics = Metrics(Clock())
        self.runner.admission.note_wait = self.metrics.note_wait
        self.steps = _make_steps(settings, self.incarnation)
        if self.steps is not None:
            self.runner.find_stragglers = lambda: self.steps.stragglers

    async def start(self) -> None:
        """Follow the entries' configuration; serve gRPC and HTTP."""
        self.follower.start()
        services = (
            [self.runner] if self.steps is None else [self.runner, self.steps.service]
        )
        self._server = await rpc.serve(services, self.settings.rpc_address)
        if self.steps is not None:
            self.steps.start()
        self._listener = await web.listen(make_app(self), self.settings.http_address)

    async def stop(self) -> None:
        """Refuse new work, finish what runs, then close."""
        self.runner.leave()
        # An order that an entry sent before it heard of the leaving comes now. With
        # the port closed its key would be lost with this home; refused, it goes on.
        await asyncio.sleep(LEAVE_LINGER_MS / 1000)
        await self.runner.finish()
        if self.steps is not None:
            self.steps.stop()
        self._server.close()
        await self._server.wait_closed()
        await self._listener.close()
        self.follower.stop()
        self._channels.close()


def _make_steps(settings: Settings, incarnation: str) -> StepGroup | None:
    if settings.group is None:
        return None
    assert settings.upstream is not None
    caller = HttpCaller(settings.platform_timeout_ms)
    engine = StepEngine(settings.upstream.url, caller)
    key_value = KeyValueClient(settings.key_value_url, caller)
    return StepGroup(settings.group, incarnation, engine, key_value)


def make_app(role: AgentRole) -> Klein:
    """Make the klein application of one agent."""
    app = Klein()

    @app.route("/health")
    def health(request):
        return web.write_json(request, {"host": role.settings.host, "ok": True})

    @app.route("/ready")
    def ready(request):
        leaving = role.runner.admission.leaving
        return web.write_json(request, {"ready": not leaving}, 503 if leaving else 200)

    @app.route("/drain", methods=["POST"])
    def drain(request):
        role.runner.leave()
        return web.write_json(request, {"leaving": True}, 202)

    def note_load() -> None:
        admission = role.runner.admission
        role.metrics.note_load(admission.in_flight, admission.queued)

    add_route(app, role.metrics, note_load)
    return app
