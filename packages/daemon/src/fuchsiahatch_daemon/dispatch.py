"""Takes callers' requests to agents: tries, checks each answer, tries again."""

import itertools
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    AttemptError,
    FuchsiahatchError,
    RefusedError,
)
from fuchsiahatch_core.identities import AttemptId
from fuchsiahatch_daemon import rpc
from fuchsiahatch_daemon.callers import CallerRequest
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.retries import Retries
from fuchsiahatch_daemon.selection import Selection
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.verdicts import Verdict, may_retry
from fuchsiahatch_routing.candidates import Candidate
from fuchsiahatch_wire import attempts_pb2
from fuchsiahatch_wire.attempts_grpc import AttemptsStub

_MAX_ATTEMPTS = 3

Send = t.Callable[[attempts_pb2.Frame], None]


class Dispatcher:
    """Serves callers' requests by way of the agents.

    Parameters
    ----------
    host, incarnation : str
        Of this entry.
    configuration : Configuration
    selection : Selection
    channels : Channels

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        configuration: Configuration,
        selection: Selection,
        channels: rpc.Channels,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._configuration = configuration
        self._selection = selection
        self._channels = channels
        self._counter = itertools.count(1)
        self.retries = Retries(Clock())

    async def serve(self, request: CallerRequest, send: Send) -> None:
        """Serve one request, handing the frames of its answer on as they come.

        Raises
        ------
        FuchsiahatchError
            With the final word on the request.
        """
        if not self._configuration.fresh:
            raise RefusedError(
                "no placement records are known here yet", Code.NOT_FRESH, 1000
            )
        self.retries.note_request()
        tried: set[str] = set()
        fault: FuchsiahatchError | None = None
        for _ in range(_MAX_ATTEMPTS):
            candidate = self._selection.select(
                request.team, request.target, request.body, frozenset(tried)
            )
            if candidate is None:
                break
            self.retries.spend(fault)
            host = candidate.upstream.home.host
            tried.add(host)
            with self._selection.outstanding(host):
                outcome = await self._attempt(request, candidate, send)
            if outcome.fault is None:
                return
            fault = outcome.fault
            self._selection.note_refusal(candidate, fault)
            if not may_retry(
                outcome.verdict, request.idempotent, outcome.first_byte_sent
            ):
                break
        raise fault or RefusedError(
            "every candidate has refused", Code.OVERLOADED, 1000
        )

    async def _attempt(
        self, request: CallerRequest, candidate: Candidate, send: Send
    ) -> "_Outcome":
        attempt = AttemptId(self._host, self._incarnation, next(self._counter))
        host = candidate.upstream.home.host
        outcome = _Outcome(attempt, send)
        try:
            message = _run_request(
                request, candidate, attempt, self._configuration.snapshot.revision
            )
            await self._exchange(candidate, message, outcome)
        except FuchsiahatchError as fault:
            outcome.fault = fault
        except Exception as fault:
            detail = f"the agent of {host} broke off: {type(fault).__name__}"
            outcome.fault = AttemptError(detail, Code.UNKNOWN)
        return outcome

    async def _exchange(
        self,
        candidate: Candidate,
        message: attempts_pb2.RunRequest,
        outcome: "_Outcome",
    ) -> None:
        upstream = candidate.upstream
        stub = AttemptsStub(self._channels.to(upstream.address))
        async with stub.Run.open() as stream:
            await stream.send_message(message, end=True)
            async for frame in stream:
                self._selection.note_frame(upstream.home.host, frame)
                outcome.take(frame)
        outcome.finish()


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
