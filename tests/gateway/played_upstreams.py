"""Simulated upstreams, the remote ends of the gateway's real connections."""

import asyncio
import dataclasses
import enum
import re
import types

import h11
from twisted.internet import error
from twisted.python.failure import Failure

from fuchsiahatch_http1.answers import Framing
from fuchsiahatch_http1.client import ClientConnection
from fuchsiahatch_http1.pool import ConnectFailed, ConnectionPool

CONNECT_MS = 300
#: Time after which the end of a connection is reported.
REPORTED_MS = 1
_ID_LINE = re.compile(rb"Fuchsiahatch-Request-Id: .*?\r\n", re.IGNORECASE)
#: Events of one stream.
EVENTS = 4


#: Port of the first upstream; the others follow.
FIRST_PORT = 8000


class Act(enum.Enum):
    """What an upstream does with a request."""

    ANSWER = "answer"
    ANSWER_UNFRAMED = "answer unframed"
    CUT_UNFRAMED = "cut an unframed answer"
    ANSWER_TWICE = "answer twice"
    ANSWER_TWICE_LATE = "answer twice, late"
    FAIL = "fail"
    REFUSE = "refuse"
    MISPLACED = "misplaced"
    UNSIGNED = "unsigned"
    RESET_BEFORE = "reset before the run"
    LOSE_ANSWER = "lose the answer"
    CUT_HALF = "cut in half"
    CLOSE_HALF = "close in half"
    HANG = "hang"
    NO_CONNECTION = "no connection"


class CutEnd(enum.Enum):
    """How the connection of an answer ends that isn't sent whole."""

    CLOSE = "close"
    RESET = "reset"
    CRASH = "crash of the process"


@dataclasses.dataclass(frozen=True)
class Cut:
    """An answer whose first bytes are sent before its connection ends.

    Attributes
    ----------
    framing : Framing
    body_bytes : int
        Bytes of the body that are sent.
    end : CutEnd
    piece_bytes : int
        Bytes that arrive at a time.
    """

    framing: Framing
    body_bytes: int
    end: CutEnd
    piece_bytes: int


@dataclasses.dataclass(frozen=True)
class Repeat:
    """A whole answer that an upstream sends again later, on the same connection.

    Attributes
    ----------
    requests : int
        Requests that arrive on the connection before; 0 for none, while it is idle.
    after_ms : int
        Time from the last of them to the repeated answer.
    named : bool
        Whether the repeated answer still has the request's id.
    """

    requests: int
    after_ms: int
    named: bool = True


def make_event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


@dataclasses.dataclass
class Run:
    """The run of one request at one upstream."""

    request_id: str
    path: str
    streams: bool
    upstream: int
    began_ms: int
    act: Act = Act.ANSWER
    first_event: int = 1
    ran: bool = False
    aborted_ms: int | None = None
    #: Whether another answer was sent during its own, or in its place without an id.
    spoiled: bool = False
    working: bool = True
    body: bytes = b""
    signature: str = ""


class Wire:
    """Transport of one connection, which simulates the upstream behind it."""

    def __init__(self, world, upstream):
        self._world = world
        self._upstream = upstream
        self._server = h11.Connection(h11.SERVER)
        self._tasks = []
        self._answer_bytes = b""
        self._requests = 0
        #: Answers that are sent again, each after which request, and its `Repeat`.
        self._repeats = []
        self.open = True
        self._aborted = False
        self.client = None
        self.run = None
        #: What the client has written, and its loop hasn't sent yet.
        self.dataBuffer, self.offset, self._tempDataLen = b"", 0, 0

    # The transport's interface that the client's connection uses.

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return types.SimpleNamespace(setsockopt=lambda *option: None)

    def write(self, data):
        if not self._aborted:
            self.dataBuffer += data
            asyncio.get_running_loop().call_soon(self._send_written)

    def _send_written(self):
        if self._aborted or not self.dataBuffer:
            return
        data, self.dataBuffer = self.dataBuffer, b""
        self._world.pool.sent += data
        if not self.open:
            return
        self._server.receive_data(data)
        self._tasks.append(asyncio.ensure_future(self._serve()))

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass

    def abortConnection(self):
        self._aborted = True
        if self.run is not None and self.run.working:
            self.run.aborted_ms = self._world.clock.now_ms()
        self._end(error.ConnectionAborted())

    # The upstream's behaviour.

    async def _serve(self):
        while (request := self._server.next_event()) is h11.PAUSED:
            await asyncio.sleep(0.001)
        body = b""
        while isinstance(event := self._server.next_event(), h11.Data):
            body += event.data
        act, delay_ms = self._world.next_act()
        self.run = run = self._world.note_arrival(self._upstream, request, body)
        run.act = act
        self._requests += 1
        self._repeat_answers()
        try:
            await self._act(act, delay_ms, run)
        finally:
            run.working = False

    def _repeat_answers(self):
        loop = asyncio.get_running_loop()
        for answer, requests, repeat in self._repeats:
            if requests == self._requests:
                delay_s = repeat.after_ms / 1000
                loop.call_later(delay_s, self._push_repeated, answer, repeat.named)

    def _push_repeated(self, answer, named):
        # Before the current answer has begun, a repeated one with its id is skipped.
        self.run.spoiled |= bool(self._answer_bytes) or not named
        self._push(answer if named else _ID_LINE.sub(b"", answer, count=1))

    async def _act(self, act, delay_ms, run):
        await asyncio.sleep(delay_ms / 1000)
        if not self.open:
            return
        if act in (Act.REFUSE, Act.MISPLACED):
            status = 503 if act is Act.REFUSE else 421
            self._answer(run, status, b"", [("Fuchsiahatch-Not-Executed", "1")])
        elif act is Act.RESET_BEFORE:
            self._end(error.ConnectionLost())
        elif act is Act.HANG:
            run.ran = True
            await asyncio.sleep(30)
        elif act is Act.FAIL:
            run.ran = True
            self._answer(run, 500, b"failed")
        else:
            run.ran = True
            await self._succeed(act, delay_ms, run)

    async def _succeed(self, act, delay_ms, run):
        if isinstance(act, Cut):
            self._send_cut(act, run)
            return
        if run.streams:
            await self._stream(act, delay_ms, run)
            return
        run.body = self._body_of(run)
        if act is Act.LOSE_ANSWER:
            self._end(error.ConnectionLost())
        elif act in (Act.CUT_HALF, Act.CLOSE_HALF):
            self._begin(run, 200, [("Content-Length", str(len(run.body)))])
            self._send(h11.Data(data=run.body[:5]))
            self._end_of(act)
        elif act in (Act.ANSWER_UNFRAMED, Act.CUT_UNFRAMED):
            head = f"HTTP/1.1 200 OK\r\n{_head_of(run)}Connection: close\r\n\r\n"
            whole = act is Act.ANSWER_UNFRAMED
            self._push(head.encode() + (run.body if whole else run.body[:5]))
            self._end(error.ConnectionDone() if whole else error.ConnectionLost())
        elif act is Act.UNSIGNED:
            self._answer(run, 200, run.body, signed=False)
        else:
            self._answer(run, 200, run.body)
            if act in (Act.ANSWER_TWICE, Act.ANSWER_TWICE_LATE):
                late_s = 0.0 if act is Act.ANSWER_TWICE else delay_ms / 1000
                again = f"HTTP/1.1 200 OK\r\n{_head_of(run)}Content-Length: 4\r\n\r\n"
                await asyncio.sleep(late_s)
                self.run.spoiled = self.run is not run
                self._push(again.encode() + b"more")

    async def _stream(self, act, delay_ms, run):
        signed = act is not Act.UNSIGNED
        if act is Act.LOSE_ANSWER:
            self._end(error.ConnectionLost())
            return
        self._begin(run, 200, [("Transfer-Encoding", "chunked")], signed)
        for number in range(run.first_event, EVENTS + 1):
            event = make_event(number)
            if act in (Act.CUT_HALF, Act.CLOSE_HALF) and number == 3:
                self._send(h11.Data(data=event[:9]))
                self._end_of(act)
                return
            self._send(h11.Data(data=event))
            await asyncio.sleep(delay_ms / 1000)
            if not self.open:
                return
        self._send(h11.EndOfMessage())
        self._next_cycle()

    def _send_cut(self, cut, run):
        events = map(make_event, range(run.first_event, EVENTS + 1))
        run.body = b"".join(events) if run.streams else self._body_of(run)
        framing = {
            Framing.LENGTH: f"Content-Length: {len(run.body)}\r\n",
            Framing.CHUNKED: "Transfer-Encoding: chunked\r\n",
            Framing.UNTIL_CLOSE: "",
        }[cut.framing]
        head = f"HTTP/1.1 200 OK\r\n{_head_of(run)}{framing}\r\n"
        self._push(head.encode())
        for at in range(0, cut.body_bytes, cut.piece_bytes):
            piece = run.body[at : min(at + cut.piece_bytes, cut.body_bytes)]
            chunked = cut.framing is Framing.CHUNKED
            self._push(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if cut.end is CutEnd.CRASH:
            self._world.pool.crashed.add(self._upstream)
        reset = cut.end is CutEnd.RESET
        self._end(error.ConnectionLost() if reset else error.ConnectionDone())

    @staticmethod
    def _body_of(run):
        return b"answer of run " + run.signature.encode()

    def _answer(self, run, status, body, headers=(), signed=True):
        length = ("Content-Length", str(len(body)))
        self._begin(run, status, [length, *headers], signed)
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())
        self._next_cycle()

    def _begin(self, run, status, headers, signed=True):
        run_headers = [("Fuchsiahatch-Request-Id", run.request_id)]
        if signed and status < 400:
            run_headers.append(("Fuchsiahatch-Response-Signature", run.signature))
        response = h11.Response(status_code=status, headers=[*run_headers, *headers])
        self._send(response)

    def _next_cycle(self):
        if self.open and self._server.our_state is h11.DONE:
            self.run.working = False
            self._server.start_next_cycle()
        repeat = self._world.next_repeat()
        if repeat is not None:
            requests = self._requests + repeat.requests
            self._repeats.append((self._answer_bytes, requests, repeat))
            if not repeat.requests:
                self._repeat_answers()
        self._answer_bytes = b""

    def _send(self, event):
        if self.open:
            data = self._server.send(event)
            self._answer_bytes += data
            self._push(data)

    def _push(self, data):
        # Empty data would signal the end of the connection.
        if self.open and data:
            self.client.dataReceived(data)

    def _end_of(self, act):
        cut = act is Act.CUT_HALF
        self._end(error.ConnectionLost() if cut else error.ConnectionDone())

    def _end(self, reason):
        if not self.open:
            return
        self.open = False
        if self.run is not None:
            self.run.working = False
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        loop = asyncio.get_running_loop()
        reported_s = REPORTED_MS / 1000
        loop.call_later(reported_s, self.client.connectionLost, Failure(reason))


def _head_of(run):
    return (
        f"Fuchsiahatch-Request-Id: {run.request_id}\r\n"
        f"Fuchsiahatch-Response-Signature: {run.signature}\r\n"
    )


class SimulatedPool(ConnectionPool):
    """The real pool, with new connections that lead to simulated upstreams."""

    def __init__(self, world, clock, make_wire=Wire):
        super().__init__(clock, CONNECT_MS)
        self._world = world
        self._make_wire = make_wire
        self.crashed = set()
        #: What was sent to upstreams, on all connections.
        self.sent = b""

    async def _open(self, ip, port):
        await asyncio.sleep(0.001)
        if port - FIRST_PORT in self.crashed:
            raise ConnectFailed("crashed", refused=True)
        if self._world.refuses_connection():
            raise ConnectFailed("no connection")
        connection = ClientConnection(self._drop_idle)
        wire = self._make_wire(self._world, port - FIRST_PORT)
        wire.client = connection
        connection.makeConnection(wire)
        return connection
