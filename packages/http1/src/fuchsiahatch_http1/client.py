"""HTTP client connection with one call at a time."""

import asyncio
import collections
import dataclasses
import typing as t

import h11
from twisted.internet import error, protocol

from fuchsiahatch_http1.answers import (
    AnswerBroken,
    AnswerEnd,
    Framing,
    Head,
    framing_of,
)
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
    calls : int
        Calls sent so far.
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
        self.calls = 0
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
        self.calls += 1
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
        self.framing = framing_of(self._call.method, event)
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
