"""A listening HTTP port that closes without losing what its readers still wait for."""

import asyncio
import typing as t

from twisted.protocols import policies

if t.TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort, IProtocolFactory

#: How long a slow reader may take for the rest of its answer when the port closes.
FLUSH_MS = 30_000


class Connections(policies.WrappingFactory):
    """Knows the open connections of a port.

    Notes
    -----
    .. versionadded:: 0.1
    """

    noisy = False

    def __init__(self, factory: "IProtocolFactory") -> None:
        super().__init__(factory)
        self._empty = asyncio.Event()
        self._empty.set()

    def registerProtocol(self, protocol: policies.ProtocolWrapper) -> None:
        """Count a connection that was made."""
        super().registerProtocol(protocol)
        self._empty.clear()

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
