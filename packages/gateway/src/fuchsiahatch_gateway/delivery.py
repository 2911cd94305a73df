"""Handles a caller's request from its arrival to its answer."""

import asyncio
import dataclasses
import math
import random
import typing as t

from fuchsiahatch_adapter.caller_requests import caller_headers, decode_request
from fuchsiahatch_adapter.configuration import Kind
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    FuchsiahatchError,
    RefusedError,
    RequestError,
)
from fuchsiahatch_gateway.attempt_types import Attempt, Outcome
from fuchsiahatch_gateway.attempts import continue_attempt, run_attempt
from fuchsiahatch_gateway.error_answers import ErrorAnswers
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.fingerprints import fingerprints_of
from fuchsiahatch_gateway.jobs import Job, silence_ms, wait_ms
from fuchsiahatch_gateway.kept_bytes import KeptBytes
from fuchsiahatch_gateway.next_steps import (
    Progress,
    Result,
    Step,
    conclude,
    decide,
)
from fuchsiahatch_gateway.promised_retries import PromisedRetries
from fuchsiahatch_gateway.routes import RouteTable, choose_service
from fuchsiahatch_gateway.silence_limit import expire
from fuchsiahatch_gateway.stop_admission import StopAdmission, leaving

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.late_upstreams import LateUpstreams
    from fuchsiahatch_gateway.placing import Placer
    from fuchsiahatch_gateway.request_log import RequestLog
    from fuchsiahatch_gateway.request_traits import RequestTraits
    from fuchsiahatch_gateway.retry_budget import RetryBudget
    from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
    from fuchsiahatch_http1.answers import Head
    from fuchsiahatch_http1.exchange import Exchange
    from fuchsiahatch_http1.pool import ConnectionPool

#: Time left to the deadline below which no further attempt is started.
MIN_ATTEMPT_MS = 30
#: End, in the log, of a request that is still open when its entry ends.
CUT_BY_STOP = "cut by the entry's end"

HeadCallback = t.Callable[["Upstream", "Head"], None]


def _ignore_head(upstream: "Upstream", head: "Head") -> None:
    """Do nothing with the head of an answer."""


def _is_better_continued(job: Job, outcome: Outcome) -> bool:
    """Return whether a suspended attempt is waited for, in place of an answer."""
    if outcome.result is not Result.ANSWERED or outcome.upstream_failed:
        return True
    # Any other upstream would refuse the same; but it can't follow a stream's events.
    return job.exchange.started and not outcome.relayed


class Delivery:
    """Answers callers' requests.

    Parameters
    ----------
    routes : RouteTable
    placer : Placer
    pool : ConnectionPool
    budget : RetryBudget
    log : RequestLog
    crashing : CrashingRequests
    crashes : UpstreamCrashes
    late : LateUpstreams
    clock : Clock
    rng : random.Random
    on_head : callable, optional
        Called with an upstream and the head of each of its answers.
    on_skipped_head : callable, optional
        Called with an upstream and the head of a late answer to an earlier request.
    stop_admission : StopAdmission, optional
    kept : KeptBytes, optional
        The process's memory for answers.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_crashes",
        "_crashing",
        "_errors",
        "_kept",
        "_late",
        "_log",
        "_on_head",
        "_on_skipped_head",
        "_placer",
        "_pool",
        "_promises",
        "_rng",
        "_routes",
        "_stop_admission",
        "_suspending",
        "_withdrawals",
    )

    def __init__(
        self,
        routes: RouteTable,
        placer: "Placer",
        pool: "ConnectionPool",
        budget: "RetryBudget",
        log: "RequestLog",
        crashing: "CrashingRequests",
        crashes: "UpstreamCrashes",
        late: "LateUpstreams",
        clock: "Clock",
        rng: random.Random,
        on_head: HeadCallback = _ignore_head,
        on_skipped_head: HeadCallback = _ignore_head,
        stop_admission: StopAdmission | None = None,
        kept: KeptBytes | None = None,
    ) -> None:
        self._stop_admission = stop_admission or StopAdmission()
        self._kept = KeptBytes() if kept is None else kept
        self._on_head = on_head
        self._on_skipped_head = on_skipped_head
        self._routes = routes
        self._placer = placer
        self._pool = pool
        self._budget = budget
        self._promises = PromisedRetries(budget, placer)
        self._log = log
        self._crashing = crashing
        self._crashes = crashes
        self._late = late
        self._clock = clock
        self._rng = rng
        self._withdrawals: set[t.Callable[[], None]] = set()
        #: Requests with a suspended attempt.
        self._suspending: set[Job] = set()
        self._errors = ErrorAnswers(routes, log, clock, rng)

    async def handle(self, exchange: "Exchange") -> None:
        """Answer one request."""
        arrived_ms = self._clock.now_ms()
        try:
            job = self._admit(exchange, arrived_ms)
        except FuchsiahatchError as fault:
            self._errors.send(exchange, fault, None)
            return
        try:
            await self._answer(job)
            if job.kept.held_bytes:
                await exchange.drained()
        finally:
            job.kept.release()

    async def _answer(self, job: Job) -> None:
        exchange = job.exchange
        try:
            limit_s = (job.ends_ms - job.arrived_ms) / 1000
            async with asyncio.timeout(limit_s):
                self._check_held(job)
                self._check_stop(job)
                await self._deliver(job)
        except TimeoutError:
            self._handle_timeout(job)
        except FuchsiahatchError as fault:
            self._errors.send(exchange, fault, job)
        except asyncio.CancelledError:
            # Only the entry's own end cancels a handler whose caller is still there.
            if exchange.caller_disconnected:
                self._log.note_end(job, "caller left")
            else:
                self._errors.cut(exchange, RefusedError(CUT_BY_STOP, Code.LEAVING), job)
            raise
        except Exception as fault:
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))
            self._errors.send(exchange, FuchsiahatchError("an internal error"), job)
        finally:
            self._drop_suspended(job)
            self._promises.drop(job)
            self._promises.refund(job)

    def withdraw_suspects(self) -> None:
        """Withdraw what may crash its upstream from those that haven't begun it."""
        for withdraw in tuple(self._withdrawals):
            withdraw()
        for job in tuple(self._suspending):
            self._withdraw_suspended(job)

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
        events = EventSplitter() if streams else None
        return Job(
            exchange,
            request,
            match,
            service,
            self._routes.class_of(match, service),
            fingerprints_of(exchange, request, match.team.name, service),
            arrived_ms,
            arrived_ms + limit_ms,
            events,
            self._kept.reserve(),
        )

    async def _deliver(self, job: Job) -> None:
        upstream = await self._acquire_slot(job)
        self._check_send(job, upstream)
        outcome = await self._try(job, upstream)
        while True:
            following = await self._choose_following(job, upstream, outcome)
            if following is not None:
                upstream = following
                outcome = await self._try(job, upstream)
            elif job.suspended is not None and _is_better_continued(job, outcome):
                upstream = job.suspended.upstream
                outcome = await self._continue(job, job.suspended)
            else:
                break
        self._finish(job, conclude(outcome.result, job.may_have_run), outcome)

    async def _try(self, job: Job, upstream: "Upstream") -> Outcome:
        outcome = await self._attempt(job, upstream)
        await self._note_answer_or_crash(job, upstream, outcome)
        return outcome

    async def _continue(self, job: Job, attempt: Attempt) -> Outcome:
        """Wait on for the answer of an upstream that no other one has replaced.

        Callers would lose an answer that merely pauses, as those of a rank group do
        that changes its map, where another upstream refuses the request.
        """
        self._promises.drop(job)
        self._promises.refund(job)
        self._log.note_continued(job, attempt.upstream)
        self._take_suspended(job)
        job.ending = None
        if len(job.tried) >= job.match.route.max_attempts:
            attempt.silence_ms = None
        continued = continue_attempt(job.exchange, self._pool, attempt)
        outcome = await self._await_outcome(job, attempt, continued)
        self._note_outcome(job, attempt.upstream, outcome, attempt.sent_ms, True)
        await self._note_answer_or_crash(job, attempt.upstream, outcome)
        return outcome

    async def _await_outcome(
        self, job: Job, attempt: Attempt, running: t.Awaitable[Outcome]
    ) -> Outcome:
        """Return how an attempt ends, and free its slot unless it is suspended."""
        outcome: Outcome | None = None
        try:
            outcome = await running
            job.ending = outcome.ending
            return outcome
        finally:
            if outcome is not None and outcome.is_suspended:
                job.suspended = attempt
                self._suspending.add(job)
            else:
                self._placer.release(attempt.upstream)

    def _take_suspended(self, job: Job) -> Attempt | None:
        """Return the suspended attempt of a request, which has none any more."""
        attempt, job.suspended = job.suspended, None
        self._suspending.discard(job)
        return attempt

    def _withdraw_suspended(self, job: Job) -> None:
        """Withdraw a suspended attempt that may begin, and crash its upstream.

        A suspect whose caller has events of it keeps what may go on with them.
        """
        attempt = job.suspended
        if attempt is None or attempt.has_begun:
            return
        if self._crashing.held_ms(job.fingerprints) or not (
            job.exchange.started or self._is_admitted(job, attempt.upstream)
        ):
            self._drop_suspended(job)

    def _drop_suspended(self, job: Job) -> None:
        """Cancel a suspended attempt: its upstream stops working on the request."""
        attempt = self._take_suspended(job)
        if attempt is not None:
            assert attempt.connection is not None
            attempt.connection.abort()
            self._placer.release(attempt.upstream)

    def _check_send(self, job: Job, upstream: "Upstream") -> None:
        """Refuse a request that must not be sent after all, and release its slot.

        Raises
        ------
        RefusedError
        """
        self._check_held(job, upstream)
        self._check_stop(job, upstream)

    def _check_held(self, job: Job, upstream: "Upstream | None" = None) -> None:
        """Refuse a held request, one that crashes upstreams; release its slot if given.

        Raises
        ------
        RefusedError
        """
        held_ms = self._crashing.held_ms(job.fingerprints)
        if not held_ms:
            return
        if upstream is not None:
            self._placer.release(upstream)
        detail = "upstreams have crashed under requests like this one"
        raise RefusedError(detail, Code.CRASHES_UPSTREAMS, retry_after_ms=held_ms)

    def _check_stop(self, job: Job, upstream: "Upstream | None" = None) -> None:
        """Refuse a request that would outlast the entry; release its slot if given.

        Raises
        ------
        RefusedError
        """
        if self._latest_start_ms(job) >= self._clock.now_ms():
            return
        if upstream is not None:
            self._placer.release(upstream)
        raise leaving()

    def _latest_start_ms(self, job: Job) -> float:
        """Return until when a request may be passed on, as its entry may stop."""
        if job.exchange.started:
            # It moves or resumes, as its caller would have to do otherwise.
            return math.inf
        route = job.match.route.name
        now_ms = self._clock.now_ms()
        return self._stop_admission.latest_start_ms(route, job.ends_ms, now_ms)

    async def _note_answer_or_crash(
        self, job: Job, upstream: "Upstream", outcome: Outcome
    ) -> None:
        if outcome.succeeded:
            self._crashing.note_complete_answer(job.fingerprints)
        elif outcome.closed_early:
            crashed = await self._crashes.examine(job.fingerprints, upstream)
            outcome.group_crashed = (
                crashed and bool(upstream.group) and not outcome.events_relayed
            )
        elif outcome.result is Result.BROKEN:
            self._crashes.note_unanswered(job.fingerprints, upstream)

    async def _choose_following(
        self, job: Job, upstream: "Upstream", outcome: Outcome
    ) -> "Upstream | None":
        """Return the upstream for a retry; None to continue or end.

        Raises
        ------
        RefusedError
            If no upstream accepts the request, and there is nothing to go on with.
        """
        if job.suspended is not None and job.suspended.has_progress:
            return None
        try:
            following = await self._choose_retry(job, upstream, outcome)
            if following is not None:
                self._check_send(job, following)
            return following
        except RefusedError:
            if job.suspended is None:
                raise
            return None

    async def _choose_retry(
        self, job: Job, upstream: "Upstream", outcome: Outcome
    ) -> "Upstream | None":
        """Return the upstream for a retry; None to end with the outcome as it is.

        Raises
        ------
        RefusedError
            If no upstream accepts the request, and there is no answer to relay.
        """
        if decide(outcome.result, self._progress(job, outcome)) is not Step.RETRY:
            return None
        if outcome.result in (Result.UNSENT, Result.NOT_RUN):
            self._check_stop(job)
        elif self._latest_start_ms(job) < self._clock.now_ms():
            return None
        # Without a connection nothing was sent, so the next attempt isn't a retry, or
        # it has the retry of this one.
        if outcome.result is Result.UNSENT:
            self._promises.drop(job)
        elif not self._promises.spend(job):
            return None
        self._log.note_retry(job, upstream, outcome)
        try:
            return await self._acquire_slot(job)
        except RefusedError:
            if outcome.result is Result.ANSWERED:
                return None
            raise

    async def _acquire_slot(self, job: Job) -> "Upstream":
        promised = self._promises.claim(job)
        if promised is not None:
            return promised
        began_ms = self._clock.now_ms()
        limit_ms = wait_ms(job, began_ms, self._routes.has_classes(job.service))
        limit_ms = min(limit_ms, max(self._latest_start_ms(job) - began_ms, 1.0))

        def reconsider() -> None:
            if self._latest_start_ms(job) < self._clock.now_ms():
                expire(limit)

        try:
            async with asyncio.timeout(None) as limit:
                self._stop_admission.add_waiter(reconsider)
                return await self._placer.acquire(
                    job.service, self._traits(job), job.tried, limit_ms
                )
        except TimeoutError as fault:
            raise leaving() from fault
        finally:
            self._stop_admission.remove_waiter(reconsider)
            job.waited_ms += self._clock.now_ms() - began_ms

    def _traits(self, job: Job) -> "RequestTraits":
        return job.traits(self._crashing.confined_to(job.fingerprints))

    def _may_send(self, job: Job, upstream: "Upstream", reserved_ms: int) -> bool:
        """Return whether a request may go to its upstream, just before it does."""
        if job.suspended is not None and job.suspended.has_progress:
            return False
        if self._crashing.held_ms(job.fingerprints):
            return False
        if self._latest_start_ms(job) < self._clock.now_ms():
            return False
        return self._placer.may_still_send(upstream, self._traits(job), reserved_ms)

    def _may_stay(self, job: Job, upstream: "Upstream") -> bool:
        """Return whether a request that hasn't begun may still begin at its upstream.

        One that is only suspected is withdrawn only if it may be repeated elsewhere. If
        its caller has events of it, it takes another attempt before, as its stream
        would be cut without one.
        """
        if self._crashing.held_ms(job.fingerprints):
            return False
        if self._is_admitted(job, upstream) or not job.match.route.repeatable:
            return True
        return job.exchange.started and not self._promise_retry(job)

    def _is_admitted(self, job: Job, upstream: "Upstream") -> bool:
        """Return whether an upstream's rank group may be sent a request."""
        return self._traits(job).admits(upstream.group)

    async def _attempt(self, job: Job, upstream: "Upstream") -> Outcome:
        sent_ms = self._clock.now_ms()
        left_ms = job.ends_ms - sent_ms
        late_timer = self._expect_answer(job, upstream)

        def note_head(head: "Head") -> None:
            if late_timer is not None:
                late_timer.cancel()
            self._on_head(upstream, head)

        attempt = Attempt(
            upstream,
            job.match.team.name,
            left_ms,
            silence_ms(job, left_ms),
            lambda: self._may_send(job, upstream, sent_ms),
            lambda: self._promise_retry(job),
            lambda: self._promise_move(job),
            job.events,
            lambda: self._note_event(job),
            note_head,
            lambda head: self._on_skipped_head(upstream, head),
            self._withdrawals,
            lambda: self._may_stay(job, upstream),
            job.used_connections,
            lambda: self._crashes.still_works(upstream),
            job.kept,
            job.bounds.append,
            job.priority_class if self._routes.has_classes(job.service) else None,
            job.suspended,
            lambda: self._drop_suspended(job),
            sent_ms,
        )
        was_started = job.exchange.started
        may_have_run = True
        if job.first_sent_ms is None:
            job.first_sent_ms = sent_ms
        # Recorded before the attempt, so that the log has it if the deadline passes.
        job.tried.append(upstream.entry.instance)
        job.load_then = upstream.load(sent_ms)
        job.report_age_ms = upstream.report_age_ms(sent_ms)
        job.ending = None
        job.kept.release()
        earlier_sends = len(job.used_connections)
        running = run_attempt(job.exchange, self._pool, attempt)
        try:
            outcome = await self._await_outcome(job, attempt, running)
            may_have_run = outcome.result in (Result.ANSWERED, Result.BROKEN)
        except asyncio.CancelledError:
            if len(job.used_connections) > earlier_sends:
                self._promises.note_sent(job)
                self._crashes.note_abandoned(job.fingerprints, upstream, job.ends_ms)
            raise
        finally:
            if late_timer is not None:
                late_timer.cancel()
            job.may_have_run = job.may_have_run or may_have_run
        if outcome.result is Result.UNSENT:
            job.unsent += 1
            job.tried.pop()
        else:
            self._promises.note_sent(job)
        self._note_outcome(job, upstream, outcome, sent_ms, was_started)
        return outcome

    def _note_outcome(
        self,
        job: Job,
        upstream: "Upstream",
        outcome: Outcome,
        sent_ms: int,
        was_started: bool,
    ) -> None:
        outcome.events_relayed = (
            job.last_event_ms is not None and job.last_event_ms >= sent_ms
        )
        self._record_result(upstream, outcome, sent_ms, was_started)
        if outcome.result is Result.BROKEN:
            self._log.note_broken_answer(job)

    def _expect_answer(
        self, job: Job, upstream: "Upstream"
    ) -> asyncio.TimerHandle | None:
        if job.events is not None:
            # Agents report on engines, and all ranks of a group are late together.
            return None
        return self._late.expect_answer(upstream, job.match.route.objective_ms)

    def _note_event(self, job: Job) -> None:
        job.note_event(self._clock.now_ms())
        self._drop_suspended(job)
        # An event that came just before the end of its attempt makes the attempt go on.
        self._promises.drop(job)

    def _promise_move(self, job: Job) -> bool:
        # Streams only; any other request is nearly done.
        return job.events is not None and self._promise_retry(job)

    def _promise_retry(self, job: Job) -> bool:
        """Take another attempt for a request, if it would be made now."""
        progress = self._progress(job, Outcome(Result.BROKEN))
        # The attempt in progress counts, which isn't noted in the job until its end.
        progress = dataclasses.replace(progress, may_have_run=True)
        if decide(Result.BROKEN, progress) is not Step.RETRY:
            return False
        if self._latest_start_ms(job) < self._clock.now_ms():
            # A stopping entry sends no request again that may outlast it.
            return False
        # The same upstream counts too: a connection may be stuck while new ones work.
        return self._promises.take(job, self._traits(job))

    def _record_result(
        self, upstream: "Upstream", outcome: Outcome, sent_ms: int, was_started: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        if outcome.misplaced:
            upstream.misplaced = True
            log_event(Event.UPSTREAM_MISPLACED, upstream=upstream.entry.instance)
        elif outcome.withdrawn or outcome.was_superseded:
            return
        elif outcome.result is not Result.ANSWERED or outcome.upstream_failed:
            upstream.note_failure(now_ms)
        elif not outcome.relayed and not was_started:
            upstream.note_latency(now_ms - sent_ms)

    def _progress(self, job: Job, outcome: Outcome) -> Progress:
        route = job.match.route
        left_ms = job.ends_ms - self._clock.now_ms()
        # A stream that has begun can only be resumed after an event with an id, and any
        # other answer that has begun not at all.
        resumable = job.events is not None and job.events.last_id is not None
        unresumable = job.exchange.started and not resumable
        return Progress(
            repeatable=route.repeatable and not unresumable,
            sends=len(job.tried),
            max_sends=route.max_attempts,
            unsent=job.unsent,
            may_have_run=job.may_have_run,
            upstream_failed=outcome.upstream_failed,
            time_left=left_ms > MIN_ATTEMPT_MS,
            crashes=self._crashing.crashes(job.fingerprints),
            group_crashed=outcome.group_crashed,
        )

    def _finish(self, job: Job, step: Step, outcome: Outcome) -> None:
        if step is Step.RELAY:
            self._note_duration(job)
        if step is Step.RELAY and outcome.relayed:
            self._log.note_end(job, "answered", outcome)
        elif step is Step.RELAY and not job.exchange.started:
            assert outcome.head is not None
            headers = caller_headers(outcome.head.headers)
            job.exchange.respond(outcome.status, headers, outcome.body)
            self._log.note_end(job, "answered", outcome)
        elif step is Step.REFUSE:
            detail = f"not run: {outcome.detail}"
            fault = RefusedError(detail, Code.NO_LIVE_UPSTREAM)
            self._errors.send(job.exchange, fault, job)
        else:
            detail = f"no whole answer: {outcome.detail}"
            fault = FuchsiahatchError(detail, Code.UNKNOWN)
            self._errors.send(job.exchange, fault, job)

    def _note_duration(self, job: Job) -> None:
        now_ms = self._clock.now_ms()
        if job.first_sent_ms is not None:
            took_ms = now_ms - job.first_sent_ms
            self._stop_admission.durations.note(job.match.route.name, took_ms, now_ms)

    def _handle_timeout(self, job: Job) -> None:
        self._note_duration(job)
        ran = bool(job.tried) or job.may_have_run
        if ran:
            fault = FuchsiahatchError("the time is over", Code.DEADLINE_PASSED)
        else:
            fault = RefusedError("the time is over", Code.OVERLOADED)
        self._errors.send(job.exchange, fault, job)
