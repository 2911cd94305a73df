"""HTTP server: one request at a time on each connection."""

import asyncio
import socket
import typing as t

from twisted.internet import protocol, reactor

from fuchsiahatch_http1.caller_transport import CallerPort
from fuchsiahatch_http1.connection_states import (
    ClosedConnection,
    CloseReason,
    ConnectionState,
    CutRequest,
    OpenRequest,
)
from fuchsiahatch_http1.open_connections import OpenConnections
from fuchsiahatch_http1.server_connection import ServerConnection
from fuchsiahatch_http1.server_state import (
    DEFAULT_MAX_CONNECTIONS,
    CallerShare,
    Handler,
    ServerLimits,
    ServerState,
)
from fuchsiahatch_http1.sockets import BACKLOG

if t.TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort

FLUSH_POLL_INTERVAL_MS = 10


class HttpServer:
    """Listens at an address and passes each request to a handler.

    Parameters
    ----------
    handle : coroutine function
        Answers an exchange; cancelled when the caller disconnects.
    limits : ServerLimits, optional
    share : CallerShare, optional
        Of the process; a server without one shares with no other.
    max_connections : int, optional
    """

    def __init__(
        self,
        handle: Handler,
        limits: ServerLimits | None = None,
        share: CallerShare | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._state = ServerState(
            handle,
            limits or ServerLimits(),
            share=share or CallerShare(),
            max_connections=max_connections,
        )
        self._port: IListeningPort | None = None

    @property
    def limits(self) -> ServerLimits:
        """Limits of requests, which may be changed."""
        return self._state.limits

    @property
    def connections(self) -> OpenConnections:
        """The open connections."""
        return self._state.connections

    def report_closes(
        self,
        on_close: t.Callable[[CloseReason], None],
        on_closed: t.Callable[[ClosedConnection], None],
    ) -> None:
        """Call functions once for each connection: as its close begins, and ends."""
        self._state.on_close = on_close
        self._state.on_closed.append(on_closed)

    def report_cuts(
        self,
        on_cut: t.Callable[[CutRequest], None],
        on_closed: t.Callable[[ClosedConnection], None],
    ) -> None:
        """Call functions for each request that is cut and each closed connection."""
        self._state.on_cut = on_cut
        self._state.on_closed.append(on_closed)

    async def listen(self, ip: str, port: int) -> int:
        """Start accepting connections and return the port.

        Raises
        ------
        twisted.internet.error.CannotListenError
        """
        self._port = CallerPort(port, self._make_factory(), BACKLOG, ip, reactor)
        self._port.startListening()
        return self._port.getHost().port

    def adopt(self, listening: socket.socket) -> None:
        """Start accepting connections on a socket that is already listening."""
        self._port = CallerPort._fromListeningDescriptor(
            reactor, listening.fileno(), socket.AF_INET, self._make_factory()
        )
        self._port.startListening()
        # The port has duplicated the descriptor.
        listening.close()

    def _make_factory(self) -> protocol.Factory:
        return protocol.Factory.forProtocol(lambda: ServerConnection(self._state))

    async def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        await self.stop_accepting()
        for connection in tuple(self.connections):
            connection.abort(CloseReason.END)

    async def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._port is None:
            return
        stopped = self._port.stopListening()
        self._port = None
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())

    def leave(self) -> None:
        """Close idle connections now, and busy ones after their answer."""
        self._state.leaving = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def end(self, flush_ms: int) -> None:
        """Cancel the handlers in progress, and send what they still answer.

        A handler that is cancelled while its caller is connected answers, or cuts its
        answer. A request for which none does is refused.

        Parameters
        ----------
        flush_ms : int
            Maximum time for sending.
        """
        connections = tuple(self.connections)
        tasks = [one.cancel_handler() for one in connections]
        await asyncio.gather(
            *(task for task in tasks if task is not None), return_exceptions=True
        )
        for connection in connections:
            connection.end()
        ends_s = reactor.seconds() + flush_ms / 1000
        # Resets are sent in a later iteration of the loop.
        await asyncio.sleep(FLUSH_POLL_INTERVAL_MS / 1000)
        while self._unsent_bytes() and reactor.seconds() < ends_s:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_MS / 1000)

    def _unsent_bytes(self) -> int:
        return sum(connection.unsent_bytes for connection in self.connections)

    @property
    def busy(self) -> int:
        """Number of requests being read or answered."""
        return sum(connection.busy for connection in self.connections)

    @property
    def is_drained(self) -> bool:
        """Whether no connection is left that may hold a part of an answer."""
        return not self.connections

    def describe_connections(self) -> list[ClosedConnection]:
        """Return what would be told of the open connections if they closed now."""
        return [one.describe() for one in self.connections]

    def count_states(self) -> dict[ConnectionState, int]:
        """Return the number of connections in each state."""
        counts = dict.fromkeys(ConnectionState, 0)
        for connection in self.connections:
            counts[connection.state] += 1
        return counts

    def open_requests(self) -> list[OpenRequest]:
        """Return the requests being read or answered, the oldest first."""
        requests = [one.open_request() for one in self.connections]
        return sorted(
            (one for one in requests if one is not None), key=lambda one: -one.age_ms
        )
