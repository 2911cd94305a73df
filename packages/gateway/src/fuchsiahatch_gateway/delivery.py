"""One caller's request from its head to its answer."""

import asyncio
import dataclasses
import random
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_adapter.caller_requests import (
    CallerRequest,
    caller_headers,
    decode_request,
)
from fuchsiahatch_adapter.configuration import Kind
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    FuchsiahatchError,
    RefusedError,
    RequestError,
)
from fuchsiahatch_gateway.attempts import Outcome, Try, run_try
from fuchsiahatch_gateway.defaults import RETRY_AFTER_S
from fuchsiahatch_gateway.event_stream import EventCutter
from fuchsiahatch_gateway.next_steps import Progress, Result, Step, decide
from fuchsiahatch_gateway.routes import Match, RouteTable, choose_service

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet, Upstream
    from fuchsiahatch_gateway.placing import Placer
    from fuchsiahatch_gateway.request_metrics import RequestMetrics
    from fuchsiahatch_gateway.retry_budget import RetryBudget
    from fuchsiahatch_http1.client import ConnectionPool
    from fuchsiahatch_http1.server import Exchange

#: A caller leaves a stream that has sent no event for this long.
STREAM_PATIENCE_MS = 2_000
#: Share of a caller's patience for which its request may wait for a place. The rest is
#: for the upstream, which needs some 200 ms to the first event and 800 under load. With
#: 0.6, callers left requests that had just been sent on.
WAIT_SHARE = 0.4
#: Silence of a stream that may be resumed, after which it goes on elsewhere. Pauses
#: are usually some 80 ms; a group whose rank has died stalls for 1,500 ms.
STREAM_SILENCE_MS = 1_000
#: Share of the time that is left for which a request that may be repeated waits for its
#: first upstream.
SILENCE_SHARE = 0.5
#: Time before the end of a request's time in which no further try is begun.
LEAST_TRY_MS = 30
#: One in this many plain successes is logged; all that is not one is.
SUCCESS_SAMPLE = 20

_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.UNKNOWN_TEAM: 401,
    Code.NOT_FOUND: 404,
    Code.OVERLOADED: 503,
    Code.DEADLINE_PASSED: 504,
    Code.UNKNOWN: 502,
}
_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request on its way.

    Attributes
    ----------
    exchange : Exchange
    request : CallerRequest
    match : Match
    service : str
    arrived_ms, ends_ms : int
        When it came, and when its time is over.
    events : EventCutter or None
        For a stream.
    tried : list of str
        Upstreams that it was sent to.
    unsent : int
    may_have_run : bool
    first_event_ms, last_event_ms : int or None
    longest_gap_ms : int
    waited_ms : int
        Time for which it waited for places.
    """

    exchange: "Exchange"
    request: CallerRequest
    match: Match
    service: str
    arrived_ms: int
    ends_ms: int
    events: EventCutter | None
    tried: list[str] = dataclasses.field(default_factory=list)
    unsent: int = 0
    may_have_run: bool = False
    first_event_ms: int | None = None
    last_event_ms: int | None = None
    longest_gap_ms: int = 0
    waited_ms: int = 0


class Delivery:
    """Answers callers' requests.

    Parameters
    ----------
    routes : RouteTable
    fleet : Fleet
    placer : Placer
    pool : ConnectionPool
    budget : RetryBudget
    metrics : RequestMetrics
    clock : Clock
    rng : random.Random
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_fleet",
        "_metrics",
        "_placer",
        "_pool",
        "_rng",
        "_routes",
    )

    def __init__(
        self,
        routes: RouteTable,
        fleet: "Fleet",
        placer: "Placer",
        pool: "ConnectionPool",
        budget: "RetryBudget",
        metrics: "RequestMetrics",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._fleet = fleet
        self._placer = placer
        self._pool = pool
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    async def handle(self, exchange: "Exchange") -> None:
        """Answer one request."""
        arrived_ms = self._clock.now_ms()
        try:
            job = self._admit(exchange, arrived_ms)
        except FuchsiahatchError as fault:
            self._answer_error(exchange, fault, None)
            return
        try:
            limit_s = (job.ends_ms - arrived_ms) / 1000
            async with asyncio.timeout(limit_s):
                await self._deliver(job)
        except TimeoutError:
            self._time_over(job)
        except FuchsiahatchError as fault:
            self._answer_error(exchange, fault, job)
        except asyncio.CancelledError:
            self._note_end(job, "caller left")
            raise
        except Exception as fault:
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))
            self._answer_error(exchange, FuchsiahatchError("an internal error"), job)

    def _admit(self, exchange: "Exchange", arrived_ms: int) -> Job:
        try:
            request = decode_request(exchange)
        except ValueError as fault:
            raise RequestError(f"a header can't be read: {fault}") from fault
        if not request.request_id:
            raise RequestError("the request has no id")
        match = self._routes.match(request)
        limit_ms = match.route.timeout_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        service = choose_service(match.route, self._rng)
        self._budget.note_request(service)
        streams = match.route.kind is Kind.STREAM
        events = EventCutter() if streams else None
        return Job(
            exchange,
            request,
            match,
            service,
            arrived_ms,
            arrived_ms + limit_ms,
            events,
        )

    async def _deliver(self, job: Job) -> None:
        while True:
            upstream = await self._place(job)
            outcome = await self._try(job, upstream)
            step = decide(outcome.result, self._progress(job, outcome))
            if step is Step.RETRY and not self._budget.spend(job.service):
                step = _without_retry(outcome, job)
            if step is Step.RETRY:
                self._log_retry(job, upstream, outcome)
                continue
            self._end(job, step, outcome)
            return

    async def _place(self, job: Job) -> "Upstream":
        team = job.match.team.name
        urgency = job.match.urgency
        wait_ms = self._wait_ms(job)
        began_ms = self._clock.now_ms()
        try:
            return await self._placer.take(
                job.service, team, urgency, job.tried, wait_ms
            )
        finally:
            job.waited_ms += self._clock.now_ms() - began_ms

    def _wait_ms(self, job: Job) -> float:
        now_ms = self._clock.now_ms()
        patience_ms = float(job.ends_ms - now_ms)
        if job.events is not None:
            patience_ms = min(
                patience_ms, STREAM_PATIENCE_MS - (now_ms - job.arrived_ms)
            )
        return max(WAIT_SHARE * patience_ms, 1.0)

    async def _try(self, job: Job, upstream: "Upstream") -> Outcome:
        sent_ms = self._clock.now_ms()
        left_ms = job.ends_ms - sent_ms
        one = Try(
            upstream,
            job.match.team.name,
            left_ms,
            _silence_ms(job, left_ms),
            job.events,
            lambda: self._note_event(job),
        )
        was_started = job.exchange.started
        may_have_run = True
        # Noted first, so that the log names it also where the time ends meanwhile.
        job.tried.append(upstream.entry.instance)
        try:
            outcome = await run_try(job.exchange, self._pool, one)
            may_have_run = outcome.result in (Result.ANSWERED, Result.BROKEN)
        finally:
            job.may_have_run = job.may_have_run or may_have_run
            self._placer.give_back(upstream)
        if outcome.result is Result.UNSENT:
            job.unsent += 1
            job.tried.pop()
        self._learn(upstream, outcome, sent_ms, was_started)
        return outcome

    def _learn(
        self, upstream: "Upstream", outcome: Outcome, sent_ms: int, was_started: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        if outcome.misplaced:
            upstream.misplaced = True
            log_event(Event.UPSTREAM_MISPLACED, upstream=upstream.entry.instance)
        elif outcome.result is not Result.ANSWERED or outcome.upstream_failed:
            upstream.note_failure(now_ms)
        elif not outcome.passed_on and not was_started:
            upstream.note_latency(now_ms - sent_ms)

    def _progress(self, job: Job, outcome: Outcome) -> Progress:
        route = job.match.route
        left_ms = job.ends_ms - self._clock.now_ms()
        # A stream that has begun can only go on behind an event with an id.
        begun = job.exchange.started and job.events is not None
        stuck = begun and job.events is not None and job.events.last_id is None
        return Progress(
            repeatable=route.repeatable and not stuck,
            sends=len(job.tried),
            max_sends=route.max_attempts,
            unsent=job.unsent,
            may_have_run=job.may_have_run,
            upstream_failed=outcome.upstream_failed,
            time_left=left_ms > LEAST_TRY_MS,
        )

    def _end(self, job: Job, step: Step, outcome: Outcome) -> None:
        if step is Step.RELAY:
            if not outcome.passed_on:
                assert outcome.head is not None
                headers = caller_headers(outcome.head.headers)
                job.exchange.respond(outcome.status, headers, outcome.body)
            self._note_end(job, "answered", outcome)
        elif step is Step.REFUSE:
            detail = f"not run: {outcome.detail}"
            fault = RefusedError(detail, Code.NO_LIVE_UPSTREAM)
            self._answer_error(job.exchange, fault, job)
        else:
            detail = f"no whole answer: {outcome.detail}"
            fault = FuchsiahatchError(detail, Code.UNKNOWN)
            self._answer_error(job.exchange, fault, job)

    def _time_over(self, job: Job) -> None:
        ran = bool(job.tried) or job.may_have_run
        if ran:
            fault = FuchsiahatchError("the time is over", Code.DEADLINE_PASSED)
        else:
            fault = RefusedError("the time is over", Code.OVERLOADED)
        self._answer_error(job.exchange, fault, job)

    def _answer_error(
        self, exchange: "Exchange", fault: FuchsiahatchError, job: Job | None
    ) -> None:
        status = _status_of(fault)
        if job is not None:
            self._note_end(job, f"{status} {fault.detail}")
        else:
            log_event(
                Event.REQUEST_REFUSED,
                request=(exchange.header(names.REQUEST_ID) or b"").decode("latin-1"),
                status=status,
                detail=fault.detail,
                version=self._version(),
            )
        if exchange.gone:
            return
        if exchange.started:
            # Half an answer must not look whole.
            exchange.abort()
            return
        headers = []
        if status == _UNAVAILABLE:
            headers.append((names.RETRY_AFTER, b"%.1f" % RETRY_AFTER_S))
        exchange.respond(status, headers, f"{fault}\n".encode())

    def _version(self) -> int:
        known = self._routes.configuration
        return 0 if known is None else known.version

    def _note_event(self, job: Job) -> None:
        now_ms = self._clock.now_ms()
        if job.last_event_ms is not None:
            gap_ms = now_ms - job.last_event_ms
            job.longest_gap_ms = max(job.longest_gap_ms, gap_ms)
        else:
            job.first_event_ms = now_ms
        job.last_event_ms = now_ms

    def _note_end(self, job: Job, end: str, outcome: Outcome | None = None) -> None:
        now_ms = self._clock.now_ms()
        self._metrics.note(job, end, now_ms)
        plain = outcome is not None and outcome.status < 400 and len(job.tried) == 1
        if plain and self._rng.randrange(SUCCESS_SAMPLE):
            return
        first_ms = job.first_event_ms
        log_event(
            Event.REQUEST_ENDED,
            request=job.request.request_id.decode("latin-1"),
            route=job.match.route.name,
            team=job.match.team.name,
            version=job.match.version,
            tried=job.tried,
            end=end,
            status=None if outcome is None else outcome.status,
            took_ms=now_ms - job.arrived_ms,
            waited_ms=job.waited_ms,
            first_event_ms=None if first_ms is None else first_ms - job.arrived_ms,
            longest_gap_ms=job.longest_gap_ms,
        )

    def _log_retry(self, job: Job, upstream: "Upstream", outcome: Outcome) -> None:
        log_event(
            Event.ATTEMPT_RETRIED,
            request=job.request.request_id.decode("latin-1"),
            upstream=upstream.entry.instance,
            result=outcome.result.value,
            detail=outcome.detail,
            left_ms=job.ends_ms - self._clock.now_ms(),
        )


def _silence_ms(job: Job, left_ms: int) -> int | None:
    """Return how long an upstream may be silent, while another may be asked."""
    route = job.match.route
    if not route.repeatable or len(job.tried) + 1 >= route.max_attempts:
        return None
    if job.events is not None:
        return STREAM_SILENCE_MS
    return int(SILENCE_SHARE * left_ms)


def _without_retry(outcome: Outcome, job: Job) -> Step:
    if outcome.result is Result.ANSWERED:
        return Step.RELAY
    return Step.FAIL if job.may_have_run else Step.REFUSE


def _status_of(fault: FuchsiahatchError) -> int:
    if fault.result in _STATUS:
        return _STATUS[fault.result]
    return _UNAVAILABLE if isinstance(fault, RefusedError) else 502
