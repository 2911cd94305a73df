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
    AnswerTooLong,
    Bound,
    CallUnsent,
    Framing,
    Head,
    framing_of,
)
from fuchsiahatch_http1.socket_queues import buffered_bytes
from fuchsiahatch_http1.sockets import set_options

if t.TYPE_CHECKING:
    from twisted.python.failure import Failure

    from fuchsiahatch_http1.connection_states import Headers

#: Maximum idle time of a connection whose server sends no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_MS = 8_000
#: Share of the server's Keep-Alive timeout within which an idle connection is reused.
#: A request that crosses the server's close may have run and can't be retried.
KEEP_ALIVE_SHARE = 0.6
MAX_HEAD_BYTES = 65_536
#: Received bytes that wait to be parsed, above which the socket isn't read. One read
#: adds up to 64 KiB to them.
MAX_UNPARSED_BYTES = 65_536
#: Informational heads, as `100 Continue`, that may come before an answer's head.
MAX_INFORMATIONAL_HEADS = 16
#: Parts of an answer, as chunks, that are parsed before other work of the process has
#: its turn. A single read may hold ten thousand of them.
MAX_PARTS_AT_ONCE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to send."""

    method: bytes
    target: bytes
    headers: "Headers"
    body: bytes = b""


def ignore_data() -> None:
    """Do nothing when bytes of an answer arrive."""


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
    on_data : callable
        Called when bytes of an answer have arrived.
    """

    def __init__(self, on_idle_end: t.Callable[["ClientConnection"], None]) -> None:
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._unparsed: collections.deque[bytes] = collections.deque()
        self._unparsed_bytes = 0
        self._events: collections.deque[t.Any] = collections.deque()
        self._parsed_at_once = 0
        self._informational = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure = ""
        self._too_long: AnswerTooLong | None = None
        self._call: Call | None = None
        self._call_bytes = 0
        self._on_idle_end = on_idle_end
        self._paused = False
        self._aborted = False
        self._closed = False
        self.lost = False
        self.idle = True
        self.calls = 0
        self.keep_ms = float(DEFAULT_KEEP_ALIVE_MS)
        self.idle_since_ms = 0
        self.framing: Framing | None = None
        self.end: AnswerEnd | None = None
        self.on_data: t.Callable[[], None] = ignore_data

    def connectionMade(self) -> None:
        """Set the socket options."""
        set_options(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Keep received bytes until they are asked for; reset an idle connection.

        They are parsed as the answer is consumed. The socket isn't read while too many
        wait, so that a slow consumer slows down the server and no memory is filled.
        """
        if self.idle:
            # Unsolicited bytes: a second answer, or the rest of one that seemed
            # complete. The next call would read them as its answer.
            self.abort()
            return
        if self._aborted:
            return
        self._unparsed.append(data)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes >= MAX_UNPARSED_BYTES and not self._paused:
            self._paused = True
            self.transport.pauseProducing()
        self._wake()
        self.on_data()

    def connectionLost(self, reason: "Failure" = protocol.connectionDone) -> None:
        """Record the end; what was received before it can still be consumed."""
        self.lost = True
        if self.idle:
            self._on_idle_end(self)
            return
        # Only a clean close completes an answer without a length; a reset truncates it.
        self._closed = bool(reason.check(error.ConnectionDone))
        self.end = self.end or (AnswerEnd.CLOSED if self._closed else AnswerEnd.RESET)
        self._fail(f"connection lost: {reason.type.__name__}")

    @property
    def unread(self) -> bytes:
        """Bytes of the answer that have arrived and were not asked for."""
        return b"".join(self._unparsed)

    @property
    def ended(self) -> bool:
        """Whether no further call can be sent: it is lost, or this process reset it.

        The transport reports the end of a connection that is reset here only in a later
        iteration of the loop; until then, what is written to it is dropped.
        """
        return self.lost or self._aborted

    @property
    def _unsent(self) -> bool:
        """Whether the connection ended before any byte of the call left the process."""
        return self.ended and buffered_bytes(self.transport) >= self._call_bytes

    def abort(self) -> None:
        """Reset the connection, which cancels the call at the server."""
        if not self.ended:
            # A transport that is resumed after its reset would be read again.
            self._aborted = True
            self.transport.abortConnection()

    def send(self, call: Call) -> None:
        """Send a call; the connection must be idle."""
        self.idle = False
        self.calls += 1
        self._call = call
        self._events.clear()
        self._informational = 0
        self.framing = None
        self.end = None
        data = self._serialize(call)
        self._call_bytes = len(data)
        self.transport.write(data)

    async def head(self) -> Head:
        """Return the head of the answer.

        Raises
        ------
        CallUnsent
            If the call has not been sent, and never will be.
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

        Small parts that have arrived together come as one piece.

        Raises
        ------
        AnswerBroken
        """
        if self._parsed_at_once >= MAX_PARTS_AT_ONCE:
            self._parsed_at_once = 0
            await asyncio.sleep(0)
        event = await self._next()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise AnswerBroken(f"no body but {type(event).__name__}")
        parts = [event.data]
        while self._parsed_at_once < MAX_PARTS_AT_ONCE:
            event = self._parse()
            if not isinstance(event, h11.Data):
                if event is not None:
                    self._events.append(event)
                break
            parts.append(event.data)
        return b"".join(parts)

    async def body(self) -> bytes:
        """Return the whole body, of an answer that is known to be short.

        Raises
        ------
        AnswerBroken
        """
        pieces = []
        while (piece := await self.piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    async def skip_body(self, max_bytes: int) -> None:
        """Read and drop the rest of the body.

        Raises
        ------
        AnswerBroken
            Also if more bytes come than the given ones.
        """
        skipped_bytes = 0
        while (piece := await self.piece()) is not None:
            skipped_bytes += len(piece)
            if skipped_bytes > max_bytes:
                detail = f"an answer that isn't needed has over {max_bytes} bytes"
                raise AnswerTooLong(Bound.SKIPPED, detail)

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
            self._conn.receive_data(remaining)

    @property
    def reusable(self) -> bool:
        """Whether the answer is complete and no bytes followed it."""
        return (
            not self.ended
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
            and not self._unparsed
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

    def _parse(self) -> t.Any:
        """Return the next event of the answer; None if its bytes haven't arrived."""
        if self._events:
            return self._events.popleft()
        if self._conn.their_state is h11.ERROR:
            return None
        try:
            event = self._parse_received()
        except h11.RemoteProtocolError as fault:
            self._note_malformed(fault)
            return None
        if isinstance(event, h11.EndOfMessage):
            # What has arrived whole is complete, however its connection ended later.
            until_close = self.framing is Framing.UNTIL_CLOSE
            self.end = AnswerEnd.CLOSED if until_close else AnswerEnd.FRAMED
        return event

    def _parse_received(self) -> t.Any:
        while self._too_long is None:
            event = self._conn.next_event()
            if event is h11.PAUSED:
                return None
            if event is h11.NEED_DATA:
                if not self._feed():
                    return None
                continue
            self._parsed_at_once += 1
            if not isinstance(event, h11.InformationalResponse):
                return event
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_HEADS:
                detail = f"over {MAX_INFORMATIONAL_HEADS} informational heads"
                self._too_long = AnswerTooLong(Bound.INFORMATIONAL, detail)
        return None

    def _feed(self) -> bool:
        """Hand received bytes, or the close behind them, to the parser."""
        if self._unparsed:
            data = self._unparsed.popleft()
            self._unparsed_bytes -= len(data)
            self._conn.receive_data(data)
            self._resume()
            return True
        if not self._closed or self._conn.trailing_data[1]:
            return False
        self._conn.receive_data(b"")
        return True

    def _resume(self) -> None:
        if not self._paused or self._unparsed_bytes >= MAX_UNPARSED_BYTES:
            return
        self._paused = False
        if not self.ended:
            self.transport.resumeProducing()

    def _note_malformed(self, fault: h11.RemoteProtocolError) -> None:
        if self._closed:
            self._failure = f"closed early: {fault}"
        else:
            self.end = AnswerEnd.MALFORMED
            self._fail(f"not HTTP: {fault}")
            self.abort()

    def _fail(self, detail: str) -> None:
        self._failure = self._failure or detail
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self) -> t.Any:
        while (event := self._parse()) is None:
            if self._too_long is not None:
                raise self._too_long
            if self._failure:
                broken = CallUnsent if self._unsent else AnswerBroken
                raise broken(self._failure)
            self._parsed_at_once = 0
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return event

    def _update_keep_alive(self, response: h11.Response) -> None:
        value = next((v for k, v in response.headers if k == b"keep-alive"), b"")
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_ms = int(number) * 1000 * KEEP_ALIVE_SHARE
