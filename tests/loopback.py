"""Real calls over loopback in one process: one asyncio reactor for all tests."""

import asyncio
import typing as t

from fuchsiahatch_http1.steady_reactor import install_reactor

LOOP = asyncio.new_event_loop()
asyncio.set_event_loop(LOOP)
install_reactor(LOOP)

from twisted.internet import endpoints, reactor  # noqa: E402
from twisted.web.server import Site  # noqa: E402

reactor.startRunning(installSignalHandlers=False)

_LIMIT_S = 20


def run(work: t.Coroutine[t.Any, t.Any, t.Any], limit_s: float = _LIMIT_S) -> t.Any:
    """Run a coroutine on the reactor's loop; a hanging one fails."""
    return LOOP.run_until_complete(asyncio.wait_for(work, limit_s))


def close() -> None:
    """End the reactor's thread pool; its threads would keep the process from ending."""
    reactor.fireSystemEvent("shutdown")


class Served:
    """A klein application served at a free loopback port while in a context."""

    def __init__(self, app: t.Any) -> None:
        self._site = Site(app.resource())

    async def __aenter__(self) -> str:
        endpoint = endpoints.TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")
        listening = endpoint.listen(self._site)
        self._port = await listening.asFuture(LOOP)
        return f"127.0.0.1:{self._port.getHost().port}"

    async def __aexit__(self, *exc_info: object) -> None:
        stopped = self._port.stopListening()
        if stopped is not None:
            await stopped.asFuture(LOOP)
