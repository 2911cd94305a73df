"""The agent's gRPC service: runs attempts at the one upstream beside it."""

import asyncio
import itertools
import typing as t

from fuchsiahatch_core.defaults import HEARTBEAT_MS
from fuchsiahatch_core.exceptions import FuchsiahatchError
from fuchsiahatch_daemon.admission import Admission
from fuchsiahatch_daemon.settings import UpstreamSettings
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_platform.upstream import UpstreamClient
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream


Check = t.Callable[[attempts_pb2.RunRequest], t.Awaitable[None]]


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
        Refuses a request whose place is not allowed here; nothing by default.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, host: str, incarnation: str, upstream: UpstreamSettings) -> None:
        self._host = host
        self._incarnation = incarnation
        self.admission = Admission(upstream.limit)
        self._upstream = UpstreamClient(upstream.url)
        self.check: Check = _allow
        self._closing = False
        self._changed = asyncio.Event()

    def leave(self) -> None:
        """Take no new work from now on, and tell the entries at once."""
        self.admission.leaving = True
        self._changed.set()

    async def finish(self) -> None:
        """Wait until nothing runs, then end the entries' watches."""
        await self.admission.wait_idle()
        self._closing = True
        self._changed.set()

    async def Run(
        self, stream: "Stream[attempts_pb2.RunRequest, attempts_pb2.Frame]"
    ) -> None:
        """Run one attempt and stream its answer, closed by an end frame."""
        request = await stream.recv_message()
        assert request is not None
        admission = self.admission
        try:
            await self.check(request)
            await admission.enter(request.team, request.priority, request.deadline_ms)
        except FuchsiahatchError as fault:
            await stream.send_message(self._refusal(request, fault, Verdict.NOT_RUN))
            return
        try:
            await self._run(request, stream)
        except FuchsiahatchError as fault:
            await stream.send_message(self._refusal(request, fault, Verdict.UNKNOWN))
        finally:
            admission.exit(request.team)

    async def Resolve(
        self, stream: "Stream[attempts_pb2.ResolveRequest, attempts_pb2.ResolveReply]"
    ) -> None:
        """Say what became of an attempt."""
        raise NotImplementedError

    async def Fence(
        self, stream: "Stream[attempts_pb2.FenceRequest, attempts_pb2.FenceReply]"
    ) -> None:
        """Fence a key that has never been dispatched here."""
        raise NotImplementedError

    async def Find(
        self, stream: "Stream[attempts_pb2.FindRequest, attempts_pb2.Frame]"
    ) -> None:
        """Replay the kept answer of a key."""
        raise NotImplementedError

    async def Cancel(
        self, stream: "Stream[attempts_pb2.CancelRequest, attempts_pb2.CancelReply]"
    ) -> None:
        """End an attempt whose caller has gone."""
        raise NotImplementedError

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

    async def _run(
        self,
        request: attempts_pb2.RunRequest,
        stream: "Stream[attempts_pb2.RunRequest, attempts_pb2.Frame]",
    ) -> None:
        headers = [(header.name, header.value) for header in request.headers]
        answer = await self._upstream.send(
            request.method, request.path, headers, request.body
        )
        meter = AnswerMeter()
        head = attempts_pb2.Head(
            status=answer.status,
            headers=list(itertools.starmap(_header, answer.headers)),
        )
        await stream.send_message(
            attempts_pb2.Frame(attempt=request.attempt, head=head)
        )
        try:
            async for piece in answer.pieces:
                meter.add(piece)
                frame = attempts_pb2.Frame(attempt=request.attempt, chunk=piece)
                await stream.send_message(frame)
        except asyncio.CancelledError:
            answer.abort()
            raise
        end = attempts_pb2.End(
            length_bytes=meter.length_bytes, digest=meter.digest(), load=self._load()
        )
        await stream.send_message(attempts_pb2.Frame(attempt=request.attempt, end=end))

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
        )

    def _refusal(
        self,
        request: attempts_pb2.RunRequest,
        fault: FuchsiahatchError,
        verdict: Verdict,
    ) -> attempts_pb2.Frame:
        refusal = attempts_pb2.Refusal(
            verdict=int(verdict),
            code=int(fault.result),
            detail=fault.detail,
            retry_after_ms=fault.retry_after_ms or 0,
            load=self._load(),
        )
        return attempts_pb2.Frame(attempt=request.attempt, refusal=refusal)


async def _allow(request: attempts_pb2.RunRequest) -> None:
    """Allow every place, as long as nobody knows better."""


def _header(name: str, value: str) -> attempts_pb2.Header:
    return attempts_pb2.Header(name=name, value=value)
