"""The agent's role: runs attempts at the one upstream beside it."""

import asyncio
import itertools
import typing as t

from klein import Klein

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import HEARTBEAT_MS, RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import FuchsiahatchError, RefusedError
from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_daemon import rpc, web
from fuchsiahatch_daemon.settings import Settings
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_platform.upstream import UpstreamClient
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream


class AgentRole(AttemptsBase):
    """Everything one agent process does.

    Parameters
    ----------
    settings : Settings
        With an upstream.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings) -> None:
        assert settings.upstream is not None
        self.incarnation = new_incarnation()
        self._settings = settings
        self._limit = settings.upstream.limit
        self._upstream = UpstreamClient(settings.upstream.url)
        self._slots = asyncio.Semaphore(self._limit)
        self._in_flight = 0
        self._waiting = 0
        self._leaving = False
        self._closing = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Serve gRPC and HTTP."""
        self._server = await rpc.serve([self], self._settings.rpc_address)
        listening = web.listen(_make_app(self), self._settings.http_address)
        self._port = await listening.asFuture(asyncio.get_running_loop())

    async def stop(self) -> None:
        """Refuse new work, finish what runs, then close."""
        self.leave()
        await self._idle.wait()
        self._closing = True
        self._changed.set()
        self._server.close()
        await self._server.wait_closed()
        self._port.stopListening()

    def leave(self) -> None:
        """Take no new work from now on, and tell the entries at once."""
        self._leaving = True
        self._changed.set()

    async def Run(
        self, stream: "Stream[attempts_pb2.RunRequest, attempts_pb2.Frame]"
    ) -> None:
        """Run one attempt and stream its answer, closed by an end frame."""
        request = await stream.recv_message()
        assert request is not None
        try:
            self._admit()
        except FuchsiahatchError as fault:
            await stream.send_message(self._refusal(request, fault, Verdict.NOT_RUN))
            return
        self._count(+1)
        try:
            await self._run(request, stream)
        except FuchsiahatchError as fault:
            await stream.send_message(self._refusal(request, fault, Verdict.UNKNOWN))
        finally:
            self._count(-1)

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

    def _admit(self) -> None:
        if self._leaving:
            raise RefusedError("this upstream is leaving", Code.LEAVING, 0)
        if self._in_flight >= self._limit:
            raise RefusedError("this upstream is full", Code.OVERLOADED, RETRY_AFTER_MS)

    def _count(self, step: int) -> None:
        self._in_flight += step
        if self._in_flight:
            self._idle.clear()
        else:
            self._idle.set()

    def _load(self) -> attempts_pb2.LoadReport:
        return attempts_pb2.LoadReport(
            in_flight=self._in_flight, queued=self._waiting, limit=self._limit
        )

    def _report(self) -> attempts_pb2.AgentReport:
        return attempts_pb2.AgentReport(
            host=self._settings.host,
            incarnation=self.incarnation,
            leaving=self._leaving,
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


def _header(name: str, value: str) -> attempts_pb2.Header:
    return attempts_pb2.Header(name=name, value=value)


def _make_app(role: AgentRole) -> Klein:
    app = Klein()

    @app.route("/health")
    def health(request):
        return web.write_json(request, {"host": role._settings.host, "ok": True})

    @app.route("/ready")
    def ready(request):
        status = 503 if role._leaving else 200
        return web.write_json(request, {"ready": not role._leaving}, status)

    @app.route("/drain", methods=["POST"])
    def drain(request):
        role.leave()
        return web.write_json(request, {"leaving": True}, 202)

    return app
