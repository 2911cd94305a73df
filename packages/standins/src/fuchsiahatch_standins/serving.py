"""Runs one stand-in's klein application until it is told to stop."""

import asyncio
import signal
import typing as t

from twisted.internet import asyncioreactor

_WAITING_CONNECTIONS = 1_024


def serve(make_app: t.Callable[[], t.Any], address: str) -> None:
    """Serve an application at ``ip:port`` until SIGTERM."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import endpoints, reactor
    from twisted.web.server import Site

    ip, _, port = address.rpartition(":")
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, int(port), backlog=_WAITING_CONNECTIONS, interface=ip
    )
    endpoint.listen(Site(make_app().resource()))
    loop.add_signal_handler(signal.SIGTERM, reactor.stop)
    reactor.run(installSignalHandlers=False)
