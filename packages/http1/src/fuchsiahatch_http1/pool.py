"""Pool of persistent connections to servers."""

import asyncio
import enum
import typing as t

from twisted.internet import error, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_http1.client import ClientConnection


class ConnectFailed(Exception):
    """No connection was established, so nothing was sent.

    Parameters
    ----------
    detail : str
    refused : bool, optional
        Whether the connection was refused, as no process listens at the address.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class Reachability(enum.Enum):
    """What an address did with a new connection.

    Attributes
    ----------
    LISTENING
        It accepted the connection.
    REFUSED
        No process listens there.
    UNREACHABLE
        It didn't respond in time, or the connection failed in another way.
    """

    LISTENING = "listening"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class ConnectionPool:
    """Pool of persistent connections, by server address.

    Parameters
    ----------
    clock : Clock
    connect_ms : int
        Timeout for establishing a connection.

    Attributes
    ----------
    opened : int
        Connections opened so far.
    on_idle_end : callable
        Called with the address of a server that ended an idle connection.
    """

    def __init__(self, clock: Clock, connect_ms: int = 1_000) -> None:
        self._clock = clock
        self._connect_ms = connect_ms
        self._idle: dict[t.Any, list[ClientConnection]] = {}
        self.opened = 0
        self.on_idle_end: t.Callable[[str, int], None] = lambda ip, port: None

    async def acquire(
        self, ip: str, port: int, excluded: t.Container[ClientConnection] = ()
    ) -> ClientConnection:
        """Return an idle connection, opening one if necessary.

        Parameters
        ----------
        ip : str
        port : int
        excluded : container of ClientConnection, optional
            Connections that must not be returned; idle ones are kept for other calls.

        Raises
        ------
        ConnectFailed
        """
        kept = self._idle.get((ip, port), [])
        now_ms = self._clock.now_ms()
        for connection in kept[::-1]:
            if connection.ended or connection in excluded:
                continue
            kept.remove(connection)
            if now_ms - connection.idle_since_ms < connection.keep_ms:
                return connection
            connection.abort()
        return await self._open(ip, port)

    def has_idle(self, ip: str, port: int) -> bool:
        """Return whether an idle connection to an address is open."""
        return any(not one.ended for one in self._idle.get((ip, port), []))

    async def probe(self, ip: str, port: int) -> Reachability:
        """Return whether an address accepts connections.

        An established connection is kept for the next call.
        """
        try:
            connection = await self._open(ip, port)
        except ConnectFailed as fault:
            return Reachability.REFUSED if fault.refused else Reachability.UNREACHABLE
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault((ip, port), []).append(connection)
        return Reachability.LISTENING

    def release(self, connection: ClientConnection, ip: str, port: int) -> None:
        """Return a connection to the pool if it is reusable, else reset it."""
        if not connection.reusable:
            connection.abort()
            return
        connection.make_idle(self._clock.now_ms())
        self._idle.setdefault((ip, port), []).append(connection)

    def close_idle(self, ip: str, port: int) -> None:
        """Reset the idle connections to a server that was removed."""
        for connection in self._idle.pop((ip, port), []):
            connection.abort()

    async def _open(self, ip: str, port: int) -> ClientConnection:
        self.opened += 1
        connection = ClientConnection(self._drop_idle)
        endpoint = TCP4ClientEndpoint(reactor, ip, port, self._connect_ms / 1000)
        connecting = connectProtocol(endpoint, connection)
        try:
            return await connecting.asFuture(asyncio.get_running_loop())
        except asyncio.CancelledError:
            connecting.cancel()
            raise
        except Exception as fault:
            refused = isinstance(fault, error.ConnectionRefusedError)
            detail = f"{ip}:{port}: {type(fault).__name__}"
            raise ConnectFailed(detail, refused) from fault

    def _drop_idle(self, connection: ClientConnection) -> None:
        for (ip, port), kept in self._idle.items():
            if connection in kept:
                kept.remove(connection)
                self.on_idle_end(ip, port)
                return
