"""The agent's gRPC service: runs attempts at the one upstream beside it."""

import asyncio
import contextlib
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import HEARTBEAT_MS
from fuchsiahatch_core.exceptions import (
    FuchsiahatchError,
)
from fuchsiahatch_daemon import rpc
from fuchsiahatch_daemon.admission import Admission
from fuchsiahatch_daemon.frames import FrameMaker
from fuchsiahatch_daemon.keyed_runs import KeyedRuns
from fuchsiahatch_daemon.open_work import OpenWork
from fuchsiahatch_daemon.recording import Parts, make_head
from fuchsiahatch_daemon.settings import UpstreamSettings
from fuchsiahatch_delivery.keys import LedgerKey
from fuchsiahatch_delivery.ledger import Ledger
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_platform.upstream import UpstreamClient
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream


Check = t.Callable[[attempts_pb2.RunRequest, bool], t.Awaitable[None]]


class Runner(AttemptsBase):
    """Admits attempts, runs them and streams their answers.

    Parameters
    ----------
    host, incarnation : str
        Of this agent.
    upstream : UpstreamSettings

    Attributes
    ----------
    check : callable
        Refuses a request whose place is not allowed here, and again after it has
        waited; nothing by default.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, host: str, incarnation: str, upstream: UpstreamSettings) -> None:
        self._host = host
        self._incarnation = incarnation
        self._clock = Clock()
        self.admission = Admission(upstream.limit, upstream.queue, upstream.queue_limit)
        self._upstream = UpstreamClient(upstream.url)
        self.check: Check = _allow
        self._ledger = Ledger(incarnation)
        self._keyed = KeyedRuns(self._ledger, self._admit, self._upstream, self._clock)
        self._answers = OpenWork()
        self.find_stragglers: t.Callable[[], t.Sequence[str]] = tuple
        self._closing = False
        self._changed = asyncio.Event()

    def leave(self) -> None:
        """Take no new work from now on, and tell the entries at once."""
        self.admission.leaving = True
        self._changed.set()

    async def finish(self) -> None:
        """Wait until nothing runs or is sent, then end the entries' watches."""
        await self.admission.wait_idle()
        await self._answers.wait_idle()
        self._closing = True
        self._changed.set()

    async def Run(
        self, stream: "Stream[attempts_pb2.RunRequest, attempts_pb2.Frame]"
    ) -> None:
        """Run one attempt and stream its answer, closed by an end frame."""
        request = await stream.recv_message()
        assert request is not None
        run = self._keyed.run if request.key else self._run_repeatable
        await self._send(request.attempt, run(request), stream)

    async def Resolve(
        self, stream: "Stream[attempts_pb2.ResolveRequest, attempts_pb2.ResolveReply]"
    ) -> None:
        """Say what became of an attempt."""
        request = await stream.recv_message()
        assert request is not None
        attempt = rpc.from_wire_attempt(request.attempt)
        verdict = self._told(
            request.home_incarnation,
            lambda: self._keyed.resolve(_key_of(request), attempt),
        )
        reply = attempts_pb2.ResolveReply(
            verdict=int(verdict), incarnation=self._incarnation
        )
        await stream.send_message(reply)

    async def Fence(
        self, stream: "Stream[attempts_pb2.FenceRequest, attempts_pb2.FenceReply]"
    ) -> None:
        """Fence a key that has never been dispatched here."""
        request = await stream.recv_message()
        assert request is not None
        verdict = self._told(
            request.home_incarnation, lambda: self._keyed.fence(_key_of(request))
        )
        reply = attempts_pb2.FenceReply(
            fenced=verdict is Verdict.NOT_RUN,
            verdict=int(verdict),
            incarnation=self._incarnation,
        )
        await stream.send_message(reply)

    async def Find(
        self, stream: "Stream[attempts_pb2.FindRequest, attempts_pb2.Frame]"
    ) -> None:
        """Replay the kept answer of a key."""
        request = await stream.recv_message()
        assert request is not None
        await self._send(request.attempt, self._keyed.find(request), stream)

    async def Watch(
        self, stream: "Stream[attempts_pb2.WatchRequest, attempts_pb2.AgentReport]"
    ) -> None:
        """Report load each heartbeat, and leaving at once."""
        await stream.recv_message()
        while not self._closing:
            await stream.send_message(self._report())
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), HEARTBEAT_MS / 1000)
            except TimeoutError:
                continue

    async def _send(
        self,
        attempt: attempts_pb2.AttemptId,
        parts: Parts,
        stream: "Stream[t.Any, attempts_pb2.Frame]",
    ) -> None:
        maker = FrameMaker(attempt)
        # Closed here and not by the garbage collector, which would leave a call
        # whose caller has gone running at the upstream.
        with self._answers.one():
            async with contextlib.aclosing(parts):
                last = await self._send_parts(maker, parts, stream)
            await stream.send_message(last)

    async def _send_parts(
        self,
        maker: FrameMaker,
        parts: Parts,
        stream: "Stream[t.Any, attempts_pb2.Frame]",
    ) -> attempts_pb2.Frame:
        try:
            async for part in parts:
                await stream.send_message(maker.of_part(part))
        except FuchsiahatchError as fault:
            return maker.refusal(fault, self._load())
        return maker.end(self._load())

    async def _run_repeatable(self, request: attempts_pb2.RunRequest) -> Parts:
        async with self._admit(request):
            headers = [(header.name, header.value) for header in request.headers]
            answer = await self._upstream.send(
                request.method, request.path, headers, request.body
            )
            try:
                yield make_head(answer.status, answer.headers)
                async for piece in answer.pieces:
                    yield piece
            except (asyncio.CancelledError, GeneratorExit):
                answer.abort()
                raise

    @contextlib.asynccontextmanager
    async def _admit(self, request: attempts_pb2.RunRequest) -> t.AsyncIterator[None]:
        """Hold a place for a request that may run here.

        Raises
        ------
        RefusedError
            When it may not; nothing was run.
        """
        await self.check(request, False)
        await self.admission.enter(request.team, request.priority, request.deadline_ms)
        try:
            # Its place may have been forbidden while it waited in the queue.
            await self.check(request, True)
            yield
        finally:
            self.admission.exit(request.team)

    def _told(self, incarnation: str, ask: t.Callable[[], Verdict]) -> Verdict:
        """Return the ledger's word, or none when it has none to give."""
        try:
            self._ledger.check_home(incarnation)
            return ask()
        except FuchsiahatchError:
            return Verdict.UNKNOWN

    def _load(self) -> attempts_pb2.LoadReport:
        admission = self.admission
        return attempts_pb2.LoadReport(
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit,
        )

    def _report(self) -> attempts_pb2.AgentReport:
        return attempts_pb2.AgentReport(
            host=self._host,
            incarnation=self._incarnation,
            leaving=self.admission.leaving,
            load=self._load(),
            clock_ms=self._clock.now_ms(),
            stragglers=self.find_stragglers(),
        )


async def _allow(request: attempts_pb2.RunRequest, waited: bool) -> None:
    """Allow every place, as long as nobody knows better."""


def _key_of(
    request: attempts_pb2.ResolveRequest | attempts_pb2.FenceRequest,
) -> LedgerKey:
    return LedgerKey(request.team, request.key)
