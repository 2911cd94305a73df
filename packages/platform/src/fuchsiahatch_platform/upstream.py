"""Calls to an upstream over HTTP, with streamed answers."""

import asyncio
import dataclasses
import typing as t

import treq
from twisted.internet import protocol, reactor
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import AttemptError, RefusedError

_HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade")
)
#: Bytes of an answer that wait for its consumer, above which the socket isn't read.
MAX_QUEUED_BYTES = 65_536


class _PieceQueue(protocol.Protocol):
    """Queues the pieces of an answer; None marks its end, an exception its failure."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | Exception | None] = asyncio.Queue()
        self._queued_bytes = 0
        self._paused = False

    def dataReceived(self, data: bytes) -> None:
        self.queue.put_nowait(data)
        self._queued_bytes += len(data)
        if self._queued_bytes >= MAX_QUEUED_BYTES and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    async def next(self) -> bytes | Exception | None:
        piece = await self.queue.get()
        if isinstance(piece, bytes):
            self._queued_bytes -= len(piece)
        if self._paused and self._queued_bytes < MAX_QUEUED_BYTES:
            self._paused = False
            self.transport.resumeProducing()
        return piece

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        # PotentialDataLoss doesn't complete an answer: without a length or a last
        # chunk, a stream that was cut off would seem complete to the caller.
        if reason.check(ResponseDone):
            self.queue.put_nowait(None)
            return
        fault = AttemptError(
            f"the answer broke off: {reason.type.__name__}",
            Code.TRUNCATED,
        )
        self.queue.put_nowait(fault)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        Without hop-by-hop headers.
    pieces : async iterator of bytes
        Raises `AttemptError` when the answer is cut off.
    abort : callable
        Closes the connection, which ends the call at the upstream.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    pieces: t.AsyncIterator[bytes]
    abort: t.Callable[[], None]


class UpstreamClient:
    """Makes calls to the local upstream of an agent.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_agent", "_url")

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        # Answers name no request. An upstream may repeat one at any later point of its
        # connection, so that each request has its own.
        pool = HTTPConnectionPool(reactor, persistent=False)
        # A retry by the pool would run a hold twice.
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)

    async def send(
        self,
        method: str,
        path: str,
        headers: t.Iterable[tuple[str, str]],
        body: bytes,
    ) -> UpstreamAnswer:
        """Send a request and return when the head of its answer has arrived.

        Raises
        ------
        AttemptError
            When no head arrives; the request may have run.
        RefusedError
            When no connection can be established, so that nothing was sent.
        """
        loop = asyncio.get_running_loop()
        sent = treq.request(
            method,
            self._url + path,
            headers=dict(headers),
            data=body,
            agent=self._agent,
            unbuffered=True,
        )
        try:
            response = await sent.asFuture(loop)
        except ConnectError as fault:
            detail = f"the upstream can't be reached: {type(fault).__name__}"
            raise RefusedError(detail, Code.NO_LIVE_UPSTREAM, RETRY_AFTER_MS) from fault
        except Exception as fault:
            detail = f"no answer from the upstream: {type(fault).__name__}"
            raise AttemptError(detail, Code.UPSTREAM_FAILED) from fault
        pieces = _PieceQueue()
        response.original.deliverBody(pieces)
        kept = tuple(
            (name.decode(), value.decode())
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            # treq decompresses the body but leaves the header, empty.
            if value and name.decode().lower() not in _HOP_BY_HOP
        )
        return UpstreamAnswer(response.code, kept, _iterate(pieces), pieces.abort)


async def _iterate(pieces: _PieceQueue) -> t.AsyncIterator[bytes]:
    while (piece := await pieces.next()) is not None:
        if isinstance(piece, Exception):
            raise piece
        yield piece
