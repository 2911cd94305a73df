"""HTTP client: a pool of connections with one call at a time on each."""

import asyncio
import collections
import dataclasses
import enum
import typing as t

import h11
from twisted.internet import error, protocol, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_http1.sockets import set_options

if t.TYPE_CHECKING:
    from twisted.python.failure import Failure

    from fuchsiahatch_http1.server import Headers

#: Maximum idle time of a connection whose server sends no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_MS = 8_000
#: Share of the server's Keep-Alive timeout within which an idle connection is reused.
#: A request that crosses the server's close may have run and can't be retried.
KEEP_ALIVE_SHARE = 0.6
MAX_HEAD_BYTES = 65_536
_STATUSES_WITHOUT_BODY = (204, 304)


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


class AnswerBroken(Exception):
    """The answer ended before it was complete; the request may have run."""


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


class Framing(enum.Enum):
    """How an answer states where its body ends.

    Attributes
    ----------
    LENGTH
        By its length; also an answer that has no body.
    CHUNKED
        By a last chunk.
    UNTIL_CLOSE
        By neither: the body ends with the connection.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


class AnswerEnd(enum.Enum):
    """What ended an answer on its connection.

    Attributes
    ----------
    FRAMED
        Its length was reached, or its last chunk arrived.
    CLOSED
        The server closed the connection.
    RESET
        The connection was reset or lost.
    MALFORMED
        Bytes arrived that aren't HTTP.
    """

    FRAMED = "framed"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next(iter(self.values(name)), None)

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in their order."""
        return [value for key, value in self.headers if key == name]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to send."""

    method: bytes
    target: bytes
    headers: "Headers"
    body: bytes = b""


class ClientConnection(protocol.Protocol):
    """One connection to a server.

    Attributes
    ----------
    lost : bool
        Whether the connection has ended.
    idle : bool
        Whether no call is in progress.
    keep_ms : float
        Time for which it may be reused while it is idle.
    idle_since_ms : int
    framing : Framing or None
        Of the current answer; None before its head.
    end : AnswerEnd or None
        What ended the current answer; None before that.
    """

    def __init__(self, on_idle_end: t.Callable[["ClientConnection"], None]) -> None:
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._events: collections.deque[t.Any] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._failure = ""
        self._call: Call | None = None
        self._on_idle_end = on_idle_end
        self.lost = False
        self.idle = True
        self.keep_ms = float(DEFAULT_KEEP_ALIVE_MS)
        self.idle_since_ms = 0
        self.framing: Framing | None = None
        self.end: AnswerEnd | None = None

    def connectionMade(self) -> None:
        """Set the socket options."""
        set_options(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; reset a connection that is idle."""
        if self.idle:
            # Unsolicited bytes: a second answer, or the rest of one that seemed
            # complete. The next call would read them as its answer.
            self.abort()
            return
        try:
            self._conn.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as fault:
            self.end = AnswerEnd.MALFORMED
            self._fail(f"not HTTP: {fault}")
            self.abort()

    def connectionLost(self, reason: "Failure" = protocol.connectionDone) -> None:
        """Complete or fail the current answer."""
        self.lost = True
        if self.idle:
            self._on_idle_end(self)
            return
        # Only a clean close completes an answer without a length; a reset truncates it.
        closed = reason.check(error.ConnectionDone)
        self.end = self.end or (AnswerEnd.CLOSED if closed else AnswerEnd.RESET)
        if closed:
            try:
                self._conn.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as fault:
                self._fail(f"closed early: {fault}")
        self._fail(f"connection lost: {reason.type.__name__}")

    def abort(self) -> None:
        """Reset the connection, which cancels the call at the server."""
        if not self.lost:
            self.transport.abortConnection()

    def send(self, call: Call) -> None:
        """Send a call; the connection must be idle."""
        self.idle = False
        self._call = call
        self._events.clear()
        self.framing = None
        self.end = None
        self.transport.write(self._serialize(call))

    async def head(self) -> Head:
        """Return the head of the answer.

        Raises
        ------
        AnswerBroken
        """
        event = await self._next()
        if not isinstance(event, h11.Response):
            raise AnswerBroken(f"no head but {type(event).__name__}")
        self._update_keep_alive(event)
        assert self._call is not None
        self.framing = _framing_of(self._call.method, event)
        return Head(event.status_code, tuple(event.headers))

    async def piece(self) -> bytes | None:
        """Return the next piece of the body, or None after a complete body.

        Raises
        ------
        AnswerBroken
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBroken(f"no body but {type(event).__name__}")

    async def body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AnswerBroken
        """
        pieces = []
        while (piece := await self.piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def expect_next_answer(self) -> None:
        """Expect another answer to the current call, after one to another request.

        A server may send a late duplicate answer to an earlier request first. It has
        to be read to its end; the answer to the call follows on the same connection.
        """
        assert self._call is not None
        remaining, _ = self._conn.trailing_data
        if self._conn.their_state is not h11.DONE:
            raise AnswerBroken("the connection ends with another request's answer")
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.framing = None
        self.end = None
        self._serialize(self._call)
        if remaining:
            self.dataReceived(remaining)

    @property
    def reusable(self) -> bool:
        """Whether the answer is complete and no bytes followed it."""
        return (
            not self.lost
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
        )

    def make_idle(self, now_ms: int) -> None:
        """Prepare the connection for another call."""
        self._conn.start_next_cycle()
        self._call = None
        self.idle = True
        self.idle_since_ms = now_ms

    def _serialize(self, call: Call) -> bytes:
        headers = [*call.headers, (b"content-length", b"%d" % len(call.body))]
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        data = self._conn.send(request)
        data += self._conn.send(h11.Data(data=call.body)) if call.body else b""
        return data + self._conn.send(h11.EndOfMessage())

    def _read_events(self) -> None:
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.InformationalResponse):
                continue
            self._events.append(event)
            if isinstance(event, h11.EndOfMessage):
                self.end = self.end or AnswerEnd.FRAMED
            if isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                break
        self._wake()

    def _fail(self, detail: str) -> None:
        self._failure = self._failure or detail
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self) -> t.Any:
        while not self._events:
            if self._failure:
                raise AnswerBroken(self._failure)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._events.popleft()

    def _update_keep_alive(self, response: h11.Response) -> None:
        value = next((v for k, v in response.headers if k == b"keep-alive"), b"")
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_ms = int(number) * 1000 * KEEP_ALIVE_SHARE


def _framing_of(method: bytes, response: h11.Response) -> Framing:
    # The rules of RFC 9112, section 6.3, which h11 applies as well.
    names = {name for name, _ in response.headers}
    if method == b"HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.UNTIL_CLOSE


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
    """

    def __init__(self, clock: Clock, connect_ms: int = 1_000) -> None:
        self._clock = clock
        self._connect_ms = connect_ms
        self._idle: dict[t.Any, list[ClientConnection]] = {}
        self.opened = 0

    async def acquire(self, ip: str, port: int) -> ClientConnection:
        """Return an idle connection, opening one if necessary.

        Raises
        ------
        ConnectFailed
        """
        kept = self._idle.get((ip, port), [])
        now_ms = self._clock.now_ms()
        while kept:
            connection = kept.pop()
            if connection.lost:
                continue
            if now_ms - connection.idle_since_ms < connection.keep_ms:
                return connection
            connection.abort()
        return await self._open(ip, port)

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
        for kept in self._idle.values():
            if connection in kept:
                kept.remove(connection)
