"""A listening HTTP port that closes without losing what its readers still wait for."""

import asyncio
import typing as t

from twisted.protocols import policies

from fuchsiahatch_core.defaults import MAX_CALLER_CONNECTIONS
from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort, IProtocolFactory

#: How long a slow reader may take for the rest of its answer when the port closes.
FLUSH_MS = 30_000


class Connection(policies.ProtocolWrapper):
    """A caller's connection, which knows whether a request of it is handled."""

    _requests = 0
    is_reset = False

    @property
    def is_handling(self) -> bool:
        """Whether a request is handled."""
        return self._requests > 0

    def note_request_begun(self) -> None:
        """Note that a request is handled."""
        self._requests += 1

    def note_request_ended(self) -> None:
        """Note that a request has been answered, or given up."""
        self._requests -= 1
        self.factory.note_idle(self)

    def reset(self) -> None:
        """Close the connection for another one."""
        self.is_reset = True
        self.abortConnection()


class Connections(policies.WrappingFactory):
    """Knows the open connections of a port, and limits their number.

    Where there are too many, the one without a request that has been so for the longest
    time is closed for the new one.

    Notes
    -----
    .. versionadded:: 0.1
    """

    noisy = False
    protocol = Connection

    def __init__(self, factory: "IProtocolFactory") -> None:
        super().__init__(factory)
        self._empty = asyncio.Event()
        self._empty.set()

    def registerProtocol(self, protocol: policies.ProtocolWrapper) -> None:
        """Count a connection that was made, and close another one if needed."""
        if len(self.protocols) >= MAX_CALLER_CONNECTIONS:
            log_event(Event.CALLER_LIMITED, limit="connections")
            (self._choose_to_close() or protocol).reset()
        super().registerProtocol(protocol)
        self._empty.clear()

    def note_idle(self, connection: Connection) -> None:
        """Note that a connection has no request any more; others have waited longer."""
        if connection in self.protocols:
            self.protocols[connection] = self.protocols.pop(connection)

    def _choose_to_close(self) -> Connection | None:
        return next(
            (one for one in self.protocols if not (one.is_handling or one.is_reset)),
            None,
        )

    def unregisterProtocol(self, protocol: policies.ProtocolWrapper) -> None:
        """Count a connection out when it is lost."""
        super().unregisterProtocol(protocol)
        if not self.protocols:
            self._empty.set()

    async def flush(self) -> None:
        """Close each connection once what was written to it is sent.

        Notes
        -----
        Guards against a stopping process that cuts off its slow readers: a request
        has ended when its answer is written, and most of the answer may still wait
        in memory, to be lost with the process. Only a reader that takes nothing for
        `FLUSH_MS` is given up.
        """
        for connection in list(self.protocols):
            # The channel paused itself behind a full buffer; as long as it stands as
            # the producer, the transport waits for more of it and never closes.
            connection.unregisterProducer()
            connection.loseConnection()
        try:
            await asyncio.wait_for(self._empty.wait(), FLUSH_MS / 1000)
        except TimeoutError:
            for connection in list(self.protocols):
                connection.abortConnection()


class Listener:
    """One HTTP port, open until it is closed.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_connections", "_port")

    def __init__(self, port: "IListeningPort", connections: Connections) -> None:
        self._port = port
        self._connections = connections

    async def close(self) -> None:
        """Take no new connections, and end the open ones when all is sent."""
        stopped = self._port.stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())
        await self._connections.flush()
