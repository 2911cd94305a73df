"""The entry's role: answers callers by way of the agents."""

import asyncio
import itertools
import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import HEARTBEAT_MS, KEY_PREFIX
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    AttemptError,
    FuchsiahatchError,
    PlatformError,
    RefusedError,
)
from fuchsiahatch_core.identities import AttemptId, Home, new_incarnation
from fuchsiahatch_daemon import rpc, web
from fuchsiahatch_daemon.callers import CallerRequest, make_app
from fuchsiahatch_daemon.settings import Settings
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.verdicts import Verdict, may_retry
from fuchsiahatch_membership.hosts import HostReport, HostRow, HostTable, HostView
from fuchsiahatch_placement.records import (
    EMPTY_SNAPSHOT,
    Snapshot,
    decode_document,
    parse_offer,
)
from fuchsiahatch_platform.hostlist import HostListClient, ListedHost
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient
from fuchsiahatch_routing.candidates import Candidate, Upstream, find_candidates
from fuchsiahatch_routing.choice import better_of_two
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsStub

_MAX_ATTEMPTS = 3

Send = t.Callable[[attempts_pb2.Frame], None]


class EntryRole:
    """Everything one entry process does.

    Parameters
    ----------
    settings : Settings

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings) -> None:
        self.incarnation = new_incarnation()
        self.settings = settings
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.leaving = False
        self._clock = Clock()
        self._hosts = HostTable()
        self._channels = rpc.Channels()
        self._counter = itertools.count(1)
        self._choose = better_of_two(random.Random())
        self._outstanding: dict[str, int] = {}
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._watched: dict[str, asyncio.Task[t.Any]] = {}
        caller = HttpCaller(settings.platform_timeout_ms)
        self._key_value = KeyValueClient(settings.key_value_url, caller)
        self._host_list = HostListClient(settings.host_list_url, caller)

    async def start(self) -> None:
        """Read the platform's word and serve callers."""
        self._spawn(self._repeat(self._read_hosts, HEARTBEAT_MS))
        self._spawn(self._repeat(self._read_placement, HEARTBEAT_MS))
        listening = web.listen(make_app(self), self.settings.http_address)
        self._port = await listening.asFuture(asyncio.get_running_loop())

    async def stop(self) -> None:
        """Leave the lookup's answers, finish open requests, then close."""
        self.leave()
        await self._idle.wait()
        self._port.stopListening()
        for task in (*self._tasks, *self._watched.values()):
            task.cancel()
        self._channels.close()

    def leave(self) -> None:
        """Be named by lookup no more; open requests go on."""
        self.leaving = True

    @property
    def ready(self) -> bool:
        """Whether this entry may admit work."""
        return not self.leaving and self.snapshot.revision > 0

    def entry_rows(self) -> list[HostRow]:
        """Return the entries that callers may be sent to."""
        own = self.settings.host
        return [
            row
            for row in self._hosts.rows("entry")
            if not row.leaving and not (row.host == own and self.leaving)
        ]

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams as routing sees them now."""
        return list(
            map(self._upstream, self._hosts.views("agent", self._clock.now_ms()))
        )

    async def serve(self, request: CallerRequest, send: Send) -> None:
        """Serve one request, handing the frames of its answer on as they come.

        Raises
        ------
        FuchsiahatchError
            With the final word on the request.
        """
        self._open_requests += 1
        self._idle.clear()
        try:
            await self._serve(request, send)
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()

    async def _serve(self, request: CallerRequest, send: Send) -> None:
        if self.snapshot.revision == 0:
            raise RefusedError(
                "no placement records are known here yet", Code.NOT_FRESH, 1000
            )
        tried: set[str] = set()
        fault: FuchsiahatchError | None = None
        for _ in range(_MAX_ATTEMPTS):
            found = find_candidates(
                self.snapshot, self.upstreams(), request.team, request.target
            )
            left = [one for one in found if one.upstream.home.host not in tried]
            if not left:
                break
            candidate = self._choose(left, request.body)
            tried.add(candidate.upstream.home.host)
            outcome = await self._attempt(request, candidate, send)
            if outcome.fault is None:
                return
            fault = outcome.fault
            if not may_retry(
                outcome.verdict, request.idempotent, outcome.first_byte_sent
            ):
                break
            log_event(Event.ATTEMPT_RETRIED, code=int(fault.result))
        raise fault or RefusedError(
            "every candidate has refused", Code.OVERLOADED, 1000
        )

    async def _attempt(
        self, request: CallerRequest, candidate: Candidate, send: Send
    ) -> "_Outcome":
        attempt = AttemptId(self.settings.host, self.incarnation, next(self._counter))
        host = candidate.upstream.home.host
        self._outstanding[host] = self._outstanding.get(host, 0) + 1
        outcome = _Outcome(attempt, send)
        try:
            message = _run_request(request, candidate, attempt, self.snapshot.revision)
            await self._exchange(candidate.upstream.address, message, outcome)
        except FuchsiahatchError as fault:
            outcome.fault = fault
        except Exception as fault:
            detail = f"the agent of {host} broke off: {type(fault).__name__}"
            outcome.fault = AttemptError(detail, Code.UNKNOWN)
        finally:
            self._outstanding[host] -= 1
        return outcome

    async def _exchange(
        self, address: str, message: attempts_pb2.RunRequest, outcome: "_Outcome"
    ) -> None:
        stub = AttemptsStub(self._channels.to(address))
        async with stub.Run.open() as stream:
            await stream.send_message(message, end=True)
            async for frame in stream:
                outcome.take(frame)
        outcome.finish()

    def _upstream(self, view: HostView) -> Upstream:
        report = view.report
        return Upstream(
            home=Home(view.row.host, report.incarnation if report else ""),
            zone=view.row.zone,
            address=view.row.rpc_address,
            offers=frozenset(map(parse_offer, view.row.offers)),
            live=view.live,
            leaving=view.leaving,
            in_flight=self._outstanding.get(view.row.host, 0),
            queued=report.queued if report else 0,
            limit=report.limit if report else 1,
        )

    async def _read_hosts(self) -> None:
        listed = await self._host_list.read()
        self._hosts.replace_rows(map(_host_row, listed))
        for row in self._hosts.rows("agent"):
            if row.host not in self._watched or self._watched[row.host].done():
                self._watched[row.host] = asyncio.ensure_future(self._watch(row))

    async def _read_placement(self) -> None:
        key = f"{KEY_PREFIX}placement/{self.settings.segment}"
        kept = await self._key_value.get(key)
        if not kept.value:
            return
        snapshot = decode_document(kept.value)
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            log_event(Event.CONFIGURATION_APPLIED, revision=snapshot.revision)

    async def _watch(self, row: HostRow) -> None:
        stub = AttemptsStub(self._channels.to(row.rpc_address))
        request = attempts_pb2.WatchRequest(
            entry=self.settings.host, incarnation=self.incarnation
        )
        try:
            async with stub.Watch.open() as stream:
                await stream.send_message(request, end=True)
                async for report in stream:
                    self._hosts.note_report(_host_report(report, self._clock.now_ms()))
        except OSError:
            pass
        finally:
            self._hosts.forget_report(row.host)

    async def _repeat(
        self, work: t.Callable[[], t.Awaitable[None]], pause_ms: int
    ) -> None:
        while True:
            try:
                await work()
            except PlatformError as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            except FuchsiahatchError as fault:
                log_event(Event.CONFIGURATION_UNREADABLE, detail=fault.detail)
            await asyncio.sleep(pause_ms / 1000)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Outcome:
    """Collects what one attempt came to, and hands its frames on."""

    __slots__ = (
        "_attempt",
        "_ended",
        "_meter",
        "_send",
        "fault",
        "first_byte_sent",
        "verdict",
    )

    def __init__(self, attempt: AttemptId, send: Send) -> None:
        self._attempt = rpc.to_wire_attempt(attempt)
        self._send = send
        self._meter = AnswerMeter()
        self._ended = False
        self.fault: FuchsiahatchError | None = None
        self.first_byte_sent = False
        self.verdict = Verdict.UNKNOWN

    def take(self, frame: attempts_pb2.Frame) -> None:
        """Take the next frame.

        Raises
        ------
        FuchsiahatchError
            For a refusal, or an end that doesn't match what came.
        """
        if frame.attempt != self._attempt:
            # A late frame of another attempt: handing it on would give a member
            # somebody else's answer.
            log_event(Event.STRANGER_DROPPED, counter=frame.attempt.counter)
            return
        kind = frame.WhichOneof("body")
        if kind == "refusal":
            self.verdict = Verdict(frame.refusal.verdict)
            raise _fault_of(frame.refusal)
        if kind == "end":
            self._meter.check(frame.end.length_bytes, frame.end.digest)
            self._ended = True
            self.verdict = Verdict.DONE
        if kind == "chunk":
            self._meter.add(frame.chunk)
            self.first_byte_sent = True
        if kind == "head":
            self.first_byte_sent = True
        self._send(frame)

    def finish(self) -> None:
        """Check that the answer came whole.

        Raises
        ------
        AttemptError
            When no end frame came.
        """
        if not self._ended:
            raise AttemptError("the answer stopped without its end", Code.TRUNCATED)


def _fault_of(refusal: attempts_pb2.Refusal) -> FuchsiahatchError:
    kind = RefusedError if refusal.verdict == Verdict.NOT_RUN else AttemptError
    retry_after_ms = refusal.retry_after_ms or None
    return kind(refusal.detail, Code(refusal.code), retry_after_ms)


def _run_request(
    request: CallerRequest, candidate: Candidate, attempt: AttemptId, revision: int
) -> attempts_pb2.RunRequest:
    return attempts_pb2.RunRequest(
        attempt=rpc.to_wire_attempt(attempt),
        team=request.team,
        offer_name=candidate.offer.name,
        offer_version=candidate.offer.version,
        method=request.method,
        path=request.path,
        headers=[
            attempts_pb2.Header(name=name, value=value)
            for name, value in request.headers
        ],
        body=request.body,
        key=request.key,
        deadline_ms=request.deadline_ms,
        revision=revision,
    )


def _host_row(listed: ListedHost) -> HostRow:
    return HostRow(
        host=listed.host,
        zone=listed.zone,
        region=listed.region,
        role=listed.role,
        rpc_address=listed.rpc_address,
        http_address=listed.http_address,
        offers=listed.offers,
        leaving=listed.leaving,
    )


def _host_report(report: attempts_pb2.AgentReport, now_ms: int) -> HostReport:
    return HostReport(
        host=report.host,
        incarnation=report.incarnation,
        leaving=report.leaving,
        in_flight=report.load.in_flight,
        queued=report.load.queued,
        limit=report.load.limit,
        heard_ms=now_ms,
        stragglers=tuple(report.stragglers),
    )
