"""One attempt to send a request to an upstream."""

import asyncio
import dataclasses
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_adapter.caller_requests import caller_headers, upstream_headers
from fuchsiahatch_gateway.answer_ends import (
    Ending,
    check_complete,
    describe_ending,
    is_event_stream,
)
from fuchsiahatch_gateway.answer_relay import UPSTREAM_FAILED, receive_body
from fuchsiahatch_gateway.event_stream import (
    MAX_EVENT_BYTES,
    MAX_QUIET_BYTES,
    EventSplitter,
)
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_http1.answers import (
    AnswerBroken,
    AnswerEnd,
    AnswerTooLong,
    Bound,
    CallUnsent,
    Head,
)
from fuchsiahatch_http1.client import Call, ClientConnection
from fuchsiahatch_http1.pool import ConnectFailed, ConnectionPool

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.kept_bytes import Reservation
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_http1.server import Exchange

#: Answers to other requests that are skipped on one connection.
MAX_UNRELATED_ANSWERS = 4
_FIRST_ERROR = 400
#: Bytes of each that are skipped. They fill no memory, and the answer that is awaited
#: may follow.
MAX_UNRELATED_BYTES = 1_048_576
#: Bytes and time of a refusal's body that are skipped to keep its connection. What the
#: refusal says stands in its head.
MAX_REFUSAL_BYTES = 65_536
REFUSAL_TIMEOUT_MS = 100
_MISPLACED = 421

T = t.TypeVar("T")


@dataclasses.dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    Attributes
    ----------
    result : Result
    detail : str
        The reason, for the log.
    head : Head or None
        Of the upstream's answer; None without one.
    body : bytes
        Of a complete answer that was not relayed yet.
    relayed : bool
        Whether the complete answer has been sent to the caller.
    closed_early : bool
        Whether the upstream closed the connection before its answer was complete.
    events_relayed : bool
        Whether events of its answer were relayed to the caller.
    group_crashed : bool
        Whether the upstream, a rank of a group, crashed before any event was relayed.
    withdrawn : bool
        Whether the upstream stopped accepting requests before anything was sent.
    ending : Ending or None
        How the upstream's answer ended; None if nothing was sent.
    """

    result: Result
    detail: str = ""
    head: Head | None = None
    body: bytes = b""
    relayed: bool = False
    closed_early: bool = False
    events_relayed: bool = False
    group_crashed: bool = False
    withdrawn: bool = False
    ending: Ending | None = None

    @property
    def status(self) -> int:
        """Status of the upstream's answer; 0 without one."""
        return 0 if self.head is None else self.head.status

    @property
    def retry_after(self) -> list[str]:
        """Retry-After values of the upstream's answer, as sent."""
        if self.head is None:
            return []
        return [
            value.decode("latin-1") for value in self.head.values(names.RETRY_AFTER)
        ]

    @property
    def misplaced(self) -> bool:
        """Whether another upstream answered at the address."""
        return self.result is Result.NOT_RUN and self.status == _MISPLACED

    @property
    def names_request(self) -> bool:
        """Whether the upstream's answer has an id, which tells a late repeat apart."""
        return self.head is not None and bool(self.head.header(names.REQUEST_ID))

    @property
    def succeeded(self) -> bool:
        """Whether the upstream has answered completely and with success."""
        return self.result is Result.ANSWERED and 200 <= self.status < 300

    @property
    def upstream_failed(self) -> bool:
        """Whether the answer is an error of the upstream."""
        return self.status >= UPSTREAM_FAILED


@dataclasses.dataclass(slots=True)
class Attempt:
    """Parameters and callbacks of an attempt.

    Attributes
    ----------
    upstream : Upstream
    team : str
    left_ms : int
        Time left for the answer.
    silence_ms : int or None
        Silence after which the attempt may be abandoned; None to wait until the
        deadline.
    may_send : callable
        Returns whether the upstream still accepts requests.
    may_give_up : callable
        Returns whether the request could be retried now.
    may_move : callable
        Returns whether a stream in progress could move to another upstream now.
    events : EventSplitter or None
        For a stream, with the state left by earlier attempts.
    on_event : callable
        Called when events are relayed.
    on_head : callable
        Called with the head of the upstream's answer when it arrives, unless another
        upstream answered.
    on_skipped_head : callable
        Called with the head of its answer to an earlier request.
    withdrawals : set of callable
        While the head of the answer is awaited, holds a function that withdraws the
        request unless it `may_stay`.
    may_stay : callable
        Returns whether the request may still begin at the upstream.
    used_connections : list of ClientConnection
        Those that earlier attempts of this request were sent on; extended by this one.
    still_works : coroutine function
        Returns whether the upstream works now; asked when only the end of its
        connection has ended its answer.
    kept : Reservation
        Share of this answer in the memory for answers.
    on_bound : callable
        Called with a bound that the answer has reached.
    urgency : int or None
        Priority class that the upstream is told; None to tell it none.
    """

    upstream: "Upstream"
    team: str
    left_ms: int
    silence_ms: int | None
    may_send: t.Callable[[], bool]
    may_give_up: t.Callable[[], bool]
    may_move: t.Callable[[], bool]
    events: EventSplitter | None
    on_event: t.Callable[[], None]
    on_head: t.Callable[[Head], None]
    on_skipped_head: t.Callable[[Head], None]
    withdrawals: set[t.Callable[[], None]]
    may_stay: t.Callable[[], bool]
    used_connections: list[ClientConnection]
    still_works: t.Callable[[], t.Awaitable[bool]]
    kept: "Reservation"
    on_bound: t.Callable[[Bound], None]
    urgency: int | None = None


async def run_attempt(
    exchange: "Exchange", pool: ConnectionPool, attempt: Attempt
) -> Outcome:
    """Send a request to an upstream and return how that ended.

    Notes
    -----
    This is cancelled when the caller disconnects or the deadline passes. The connection
    is reset then, as the upstream would otherwise go on working on the request.

    All attempts of a request have its id, and an upstream may repeat an answer at any
    later point of its connection. So each attempt has a connection of its own, on which
    the id tells its answer from all others.
    """
    address = attempt.upstream.entry.address
    try:
        connection = await pool.acquire(
            address.ip, address.port, attempt.used_connections
        )
    except ConnectFailed as fault:
        return Outcome(Result.UNSENT, str(fault))
    if not attempt.may_send():
        # It began to leave while the connection was being opened, which may take the
        # whole connect timeout, and might end in the middle of the request. Or it has
        # asked for a backoff period, or its zone was drained.
        connection.abort()
        detail = "the upstream no longer accepts requests"
        return Outcome(Result.UNSENT, detail, withdrawn=True)
    attempt.used_connections.append(connection)
    try:
        outcome = await _send_and_receive(exchange, connection, attempt)
    except CallUnsent as fault:
        outcome = Outcome(Result.UNSENT, f"not sent: {fault}")
    except AnswerBroken as fault:
        if isinstance(fault, AnswerTooLong):
            _note_too_long(connection, attempt, fault)
        outcome = Outcome(Result.BROKEN, str(fault), closed_early=connection.lost)
    except BaseException:
        connection.abort()
        raise
    outcome.ending = describe_ending(connection, attempt.events)
    if outcome.result is Result.BROKEN or not outcome.names_request:
        connection.abort()
    else:
        pool.release(connection, address.ip, address.port)
    return outcome


async def _send_and_receive(
    exchange: "Exchange", connection: ClientConnection, attempt: Attempt
) -> Outcome:
    last_id = None if attempt.events is None else attempt.events.last_id
    headers = upstream_headers(
        exchange,
        attempt.upstream.entry.instance,
        attempt.team,
        attempt.left_ms,
        last_id,
        attempt.urgency,
    )
    connection.send(Call(exchange.method, exchange.target, headers, exchange.body))
    head = await _await_head(exchange, connection, attempt)
    if head.status != _MISPLACED:
        attempt.on_head(head)
    if head.header(names.NOT_EXECUTED) is not None or head.status == _MISPLACED:
        await _skip_refusal(connection, attempt)
        return Outcome(Result.NOT_RUN, f"status {head.status}", head)
    succeeded = 200 <= head.status < 300
    if succeeded and head.header(names.SIGNATURE) is None:
        # Without the signature the answer isn't from this upstream, and the caller must
        # not take it for a success.
        return Outcome(Result.BROKEN, "a success without a signature", head)
    if succeeded and attempt.events is not None and is_event_stream(head):
        return await _relay_events(exchange, connection, head, attempt)
    if succeeded and exchange.started:
        return Outcome(Result.BROKEN, "another upstream sent no event stream", head)
    body = await receive_body(exchange, connection, head, attempt)
    detail = f"status {head.status}"
    if body is None:
        return Outcome(Result.ANSWERED, detail, head, relayed=True)
    return Outcome(Result.ANSWERED, detail, head, body)


async def _skip_refusal(connection: ClientConnection, attempt: Attempt) -> None:
    """Skip the body of a refusal, so that its connection can be used again.

    The head states that the request didn't run, whatever becomes of the body. Without
    the limits, a body without end would hold the request until its deadline.
    """
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_MS / 1000):
            await connection.skip_body(MAX_REFUSAL_BYTES)
    except AnswerTooLong as fault:
        _note_too_long(connection, attempt, fault)
    except (AnswerBroken, TimeoutError):
        # The connection isn't reusable, and is reset.
        return


def _note_too_long(
    connection: ClientConnection, attempt: Attempt, fault: AnswerTooLong
) -> None:
    connection.end = AnswerEnd.TOO_LONG
    attempt.on_bound(fault.bound)


async def _await_head(
    exchange: "Exchange", connection: ClientConnection, attempt: Attempt
) -> Head:
    """Return the head of the answer, unless the request is withdrawn before it.

    A request that is withdrawn is not begun any more: an upstream drops what it has
    queued for a connection that ends.
    """
    work = _matching_head(exchange, connection, attempt.on_skipped_head)

    def withdraw() -> None:
        if not attempt.may_stay():
            expire(limit)

    try:
        async with asyncio.timeout(None) as limit:
            attempt.withdrawals.add(withdraw)
            return await _limit_silence(work, attempt)
    except TimeoutError as fault:
        raise AnswerBroken("withdrawn as it may crash its upstream") from fault
    finally:
        attempt.withdrawals.discard(withdraw)


async def _matching_head(
    exchange: "Exchange",
    connection: ClientConnection,
    on_skipped_head: t.Callable[[Head], None],
) -> Head:
    """Return the head of the answer to this request; skip answers to other requests.

    An upstream may send a second answer to an earlier request, which arrives where the
    answer to the next request on the connection is expected. Without the check a caller
    would get another caller's answer. Where nothing follows a skipped answer, the
    request ends as one to a silent upstream does.
    """
    request_id = exchange.header(names.REQUEST_ID)
    for _ in range(MAX_UNRELATED_ANSWERS):
        head = await connection.head()
        answer_id = head.header(names.REQUEST_ID)
        if answer_id == request_id:
            return head
        is_first_call = connection.calls == 1
        if answer_id is None and head.status >= _FIRST_ERROR and is_first_call:
            # A refusal before the request was read names no request. Behind an earlier
            # call it may be a repeated answer to that, and the awaited one follows.
            return head
        on_skipped_head(head)
        await connection.skip_body(MAX_UNRELATED_BYTES)
        connection.expect_next_answer()
    raise AnswerBroken("only other requests' answers came")


async def _limit_silence(
    work: t.Coroutine[t.Any, t.Any, T], attempt: Attempt, since_s: float | None = None
) -> T:
    """Wait for the next data of an upstream, unless it is silent for too long.

    The silence began at a given time of the loop, by default now.

    A rank group with a dead member stalls for seconds before it reports that, and a
    caller leaves after two, so the request has to move before that. If it can't be
    retried, a late answer is better than none, and the wait goes on.
    """
    if attempt.silence_ms is None:
        return await work
    loop = asyncio.get_running_loop()
    silence_s = attempt.silence_ms / 1000
    timer: asyncio.TimerHandle | None = None
    reason = f"silent for {attempt.silence_ms} ms"
    ends_s = (loop.time() if since_s is None else since_s) + silence_s
    if ends_s <= loop.time() and attempt.may_give_up():
        # Where data without progress arrives all the time, no timer gets a turn.
        work.close()
        raise AnswerBroken(reason)

    def note_silence() -> None:
        nonlocal timer
        if attempt.may_give_up():
            expire(limit)
        else:
            timer = loop.call_later(silence_s, note_silence)

    def move() -> None:
        nonlocal reason
        if attempt.may_move():
            reason = "moved from a slow or stalled rank"
            expire(limit)

    try:
        # asyncio.wait_for would swallow the cancellation by a caller that disconnects
        # in the same iteration of the loop in which an event arrives.
        async with asyncio.timeout(None) as limit:
            timer = loop.call_at(max(ends_s, loop.time()), note_silence)
            attempt.upstream.movers.add(move)
            return await work
    except TimeoutError as fault:
        raise AnswerBroken(reason) from fault
    finally:
        attempt.upstream.movers.discard(move)
        if timer is not None:
            timer.cancel()


def expire(limit: asyncio.Timeout) -> None:
    """End what a timeout limits, unless that is happening already."""
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time())


async def _relay_events(
    exchange: "Exchange", connection: ClientConnection, head: Head, attempt: Attempt
) -> Outcome:
    events = attempt.events
    assert events is not None
    events.discard_partial()
    loop = asyncio.get_running_loop()
    progress_s = loop.time()
    while True:
        piece = await _limit_silence(connection.piece(), attempt, progress_s)
        if piece is None:
            break
        arrived_s = loop.time()
        whole = events.feed(piece)
        if whole:
            _write_events(exchange, head, whole)
            if events.progressed:
                attempt.on_event()
            await exchange.drained()
        # A slow caller isn't a silent upstream.
        progress_s = loop.time() - (
            0.0 if events.progressed else arrived_s - progress_s
        )
        _check_stream_bounds(events, attempt)
    await check_complete(connection, events, attempt.still_works)
    _write_events(exchange, head, events.take_remainder())
    exchange.finish()
    return Outcome(Result.ANSWERED, "whole", head, relayed=True)


def _check_stream_bounds(events: EventSplitter, attempt: Attempt) -> None:
    if events.is_too_long:
        detail = f"an event is longer than {MAX_EVENT_BYTES} bytes"
        raise AnswerTooLong(Bound.EVENT, detail)
    if events.quiet_bytes > MAX_QUIET_BYTES:
        detail = f"over {MAX_QUIET_BYTES} bytes without an event"
        raise AnswerTooLong(Bound.COMMENTS, detail)
    if not attempt.kept.resize(events.buffered_bytes):
        raise AnswerTooLong(Bound.MEMORY, "no memory is left for a long event")


def _write_events(exchange: "Exchange", head: Head, data: bytes) -> None:
    # The head is sent with the first event, so that the caller sees nothing of an
    # attempt that breaks before it. A resumed stream keeps the head of its first
    # upstream.
    if not exchange.started:
        exchange.start(head.status, caller_headers(head.headers))
    exchange.write(data)
