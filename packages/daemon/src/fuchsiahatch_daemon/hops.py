"""Asks homes on behalf of one request, and turns what comes into replies."""

import asyncio
import contextlib
import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import HEARTBEAT_MS, RETRY_AFTER_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import AttemptError
from fuchsiahatch_core.identities import AttemptId, Home
from fuchsiahatch_daemon import rpc
from fuchsiahatch_delivery.home_calls import (
    Answered,
    HomeCall,
    HopFailed,
    Operation,
    Refused,
    Reply,
    Standing,
    VerdictReply,
)
from fuchsiahatch_delivery.intake import Intake
from fuchsiahatch_delivery.keys import text_of_attempt, text_of_key
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsStub

if t.TYPE_CHECKING:
    from grpclib.client import Stream

    from fuchsiahatch_daemon.caller_requests import CallerRequest
    from fuchsiahatch_daemon.selection import Selection
    from fuchsiahatch_daemon.standings import Standings

Send = t.Callable[[attempts_pb2.Frame], None]

_ASK_TIMEOUT_S = 1.0

NOT_FRESH_DETAIL = (
    "this entry can't confirm its placement records now; ask another entry"
)


@dataclasses.dataclass(slots=True)
class Errand:
    """One caller's request on its way.

    Attributes
    ----------
    request : CallerRequest
    fingerprint : bytes
    send : callable
        Takes the frames of the answer for the caller.
    left_ms : callable
        Time that is left until the caller's deadline.
    issued_ms : dict of Home to int
        Clock readings of the ticket's homes; empty without a key.
    attempt : AttemptId or None
        The last one.
    key_text : str
        The ledger's text for the last attempt.
    sent : bool
        Whether any home was asked to run it.
    """

    request: "CallerRequest"
    fingerprint: bytes
    send: Send
    left_ms: t.Callable[[], int]
    issued_ms: dict[Home, int]
    attempt: AttemptId | None = None
    key_text: str = ""
    sent: bool = False


class Hops:
    """The calls from this entry to the homes.

    Parameters
    ----------
    host, incarnation : str
        Of this entry.
    channels : Channels
    standings : Standings
    selection : Selection
        Receives the load and the leaving that frames carry.
    read_revision : callable
        The placement revision that this entry decides on.
    is_fresh : callable
        Whether work may be admitted under that revision now.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_channels",
        "_counter",
        "_host",
        "_incarnation",
        "_is_fresh",
        "_read_revision",
        "_selection",
        "_standings",
    )

    def __init__(
        self,
        host: str,
        incarnation: str,
        channels: rpc.Channels,
        standings: "Standings",
        selection: "Selection",
        read_revision: t.Callable[[], int],
        is_fresh: t.Callable[[], bool],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._channels = channels
        self._standings = standings
        self._selection = selection
        self._read_revision = read_revision
        self._is_fresh = is_fresh
        self._counter = itertools.count(1)

    async def ask(self, call: HomeCall, errand: Errand) -> Reply:
        """Make one move for a request."""
        address = self._standings.address(call.home)
        if address is None:
            return HopFailed("the host is off the list")
        stub = AttemptsStub(self._channels.to(address))
        if call.operation is Operation.RUN:
            return await self._run(stub, call.home, errand)
        if self._is_gone(call.home, errand):
            return HopFailed("the home is gone")
        asks = {
            Operation.FIND: self._find,
            Operation.FENCE: _fence,
            Operation.RESOLVE: _resolve,
        }
        return await asks[call.operation](stub, call.home, errand)

    def _is_gone(self, home: Home, errand: Errand) -> bool:
        request = errand.request
        standing = self._standings.standing(home, request.team, request.target)
        return standing is Standing.UNREACHABLE

    async def _run(self, stub: AttemptsStub, home: Home, errand: Errand) -> Reply:
        request = errand.request
        # Asked at each order, not once a request: a request that waited for its
        # binding or for a first home would be sent under records that were replaced
        # meanwhile, to a place that may be forbidden now.
        if not self._is_fresh():
            return Refused(
                Verdict.NOT_RUN, Code.NOT_FRESH, NOT_FRESH_DETAIL, RETRY_AFTER_MS
            )
        offer = self._standings.offer(home, request.team, request.target)
        if offer is None:
            detail = "the placement records don't allow this home"
            return Refused(Verdict.NOT_RUN, Code.NO_ALLOWED_PLACE, detail)
        errand.attempt = self._next_attempt()
        errand.key_text = _key_text(errand)
        errand.sent = True
        message = attempts_pb2.RunRequest(
            attempt=rpc.to_wire_attempt(errand.attempt),
            team=request.team,
            offer_name=offer.name,
            offer_version=offer.version,
            method=request.method,
            path=request.path,
            headers=[
                attempts_pb2.Header(name=name, value=value)
                for name, value in request.headers
            ],
            body=request.body,
            key=errand.key_text,
            fingerprint=errand.fingerprint,
            priority=request.priority,
            deadline_ms=errand.left_ms(),
            revision=self._read_revision(),
            home_incarnation=home.incarnation,
            issued_ms=self._issued_ms(home, errand),
        )
        return await self._exchange(stub.Run.open(), message, home, errand)

    async def _find(self, stub: AttemptsStub, home: Home, errand: Errand) -> Reply:
        errand.attempt = self._next_attempt()
        message = attempts_pb2.FindRequest(
            attempt=rpc.to_wire_attempt(errand.attempt),
            key=errand.key_text or _key_text(errand),
            team=errand.request.team,
            fingerprint=errand.fingerprint,
            home_incarnation=home.incarnation,
        )
        return await self._exchange(stub.Find.open(), message, home, errand)

    async def _exchange(
        self, opened: "Stream[t.Any, t.Any]", message: t.Any, home: Home, errand: Errand
    ) -> Reply:
        assert errand.attempt is not None
        intake = Intake(errand.attempt)
        try:
            async with self._while_heard_of(home), opened as stream:
                await stream.send_message(message, end=True)
                return await self._take_frames(stream, intake, home, errand.send)
        except AttemptError as fault:
            return HopFailed(fault.detail, intake.first_byte_sent)
        except Exception as fault:
            detail = f"the hop to {home.host} broke: {type(fault).__name__}"
            return HopFailed(detail, intake.first_byte_sent)

    @contextlib.asynccontextmanager
    async def _while_heard_of(self, home: Home) -> t.AsyncIterator[None]:
        # A paused agent keeps its connection open: without this a caller would wait
        # for its whole deadline on a home that everybody else has given up.
        loop = asyncio.get_running_loop()
        period_s = HEARTBEAT_MS / 1000
        async with asyncio.timeout(None) as limit:

            def check() -> None:
                nonlocal timer
                if self._standings.is_silent(home):
                    limit.reschedule(loop.time())
                    return
                timer = loop.call_later(period_s, check)

            timer = loop.call_later(period_s, check)
            try:
                yield
            finally:
                timer.cancel()

    async def _take_frames(
        self, stream: "Stream[t.Any, t.Any]", intake: Intake, home: Home, send: Send
    ) -> Reply:
        async for frame in stream:
            if not intake.accepts(rpc.from_wire_attempt(frame.attempt), frame.sequence):
                log_event(Event.STRANGER_DROPPED, counter=frame.attempt.counter)
                continue
            kind = frame.WhichOneof("body")
            self._selection.note_frame(home, frame)
            if kind == "refusal":
                return _refused(frame.refusal, intake)
            if kind == "end":
                intake.end(frame.end.length_bytes, frame.end.digest)
                continue
            if kind == "head":
                intake.head()
            else:
                intake.chunk(frame.chunk)
            send(frame)
        intake.finish()
        return Answered()

    def _next_attempt(self) -> AttemptId:
        return AttemptId(self._host, self._incarnation, next(self._counter))

    def _issued_ms(self, home: Home, errand: Errand) -> int:
        if home in errand.issued_ms:
            return errand.issued_ms[home]
        return self._standings.read_clock_ms(home)


def _refused(refusal: attempts_pb2.Refusal, intake: Intake) -> Refused:
    return Refused(
        Verdict(refusal.verdict),
        Code(refusal.code),
        refusal.detail,
        refusal.retry_after_ms or None,
        intake.first_byte_sent,
    )


async def _resolve(stub: AttemptsStub, home: Home, errand: Errand) -> Reply:
    assert errand.attempt is not None
    message = attempts_pb2.ResolveRequest(
        attempt=rpc.to_wire_attempt(errand.attempt),
        key=errand.key_text,
        team=errand.request.team,
        home_incarnation=home.incarnation,
    )
    return await _told(stub.Resolve(message, timeout=_ASK_TIMEOUT_S), home)


async def _fence(stub: AttemptsStub, home: Home, errand: Errand) -> Reply:
    message = attempts_pb2.FenceRequest(
        key=_key_text(errand),
        team=errand.request.team,
        home_incarnation=home.incarnation,
    )
    return await _told(stub.Fence(message, timeout=_ASK_TIMEOUT_S), home)


async def _told(asked: t.Awaitable[t.Any], home: Home) -> Reply:
    try:
        reply = await asked
    except Exception as fault:
        return HopFailed(f"no word from {home.host}: {type(fault).__name__}")
    if reply.incarnation != home.incarnation:
        detail = "the home was restarted since"
        return Refused(Verdict.UNKNOWN, Code.WRONG_HOME, detail)
    return VerdictReply(Verdict(reply.verdict))


def _key_text(errand: Errand) -> str:
    request = errand.request
    if request.key:
        return text_of_key(request.key)
    if request.idempotent or errand.attempt is None:
        return ""
    return text_of_attempt(errand.attempt)
