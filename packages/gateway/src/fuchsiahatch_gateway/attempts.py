"""One try of a request at one upstream."""

import asyncio
import dataclasses
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_adapter.caller_requests import caller_headers, upstream_headers
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_http1.client import (
    AnswerBroken,
    Call,
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    Head,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_http1.server import Exchange

#: Answers to other requests that are passed over on one connection.
MAX_UNRELATED_ANSWERS = 4
_MISPLACED = 421
_UPSTREAM_FAILED = 500

T = t.TypeVar("T")


@dataclasses.dataclass(slots=True)
class Outcome:
    """How a try ended.

    Attributes
    ----------
    result : Result
    detail : str
        Why, for the log.
    head : Head or None
        Of the upstream's answer, where there is one.
    body : bytes
        Of a whole answer that was not passed on yet.
    passed_on : bool
        Whether the whole answer has gone to the caller already.
    cut : bool
        Whether the upstream's end of the connection closed before a whole answer.
    events_relayed : bool
        Whether events of its answer were sent to the caller.
    group_crashed : bool
        Whether the upstream, a rank of a group, crashed before any of them.
    """

    result: Result
    detail: str = ""
    head: Head | None = None
    body: bytes = b""
    relayed: bool = False
    closed_early: bool = False
    events_relayed: bool = False
    group_crashed: bool = False

    @property
    def status(self) -> int:
        """Status of the upstream's answer; 0 without one."""
        return 0 if self.head is None else self.head.status

    @property
    def misplaced(self) -> bool:
        """Whether another upstream answered at the address."""
        return self.result is Result.NOT_RUN and self.status == _MISPLACED

    @property
    def upstream_failed(self) -> bool:
        """Whether the answer is a failure of the upstream's own."""
        return self.status >= _UPSTREAM_FAILED


@dataclasses.dataclass(slots=True)
class Attempt:
    """What a try needs to know.

    Attributes
    ----------
    upstream : Upstream
    team : str
    left_ms : int
        Time that is left for the answer.
    silence_ms : int or None
        Silence after which the try may be given up; None to wait until the end.
    may_send : callable
        Whether the upstream still takes requests.
    may_give_up : callable
        Whether the request could be sent again now.
    may_move : callable
        Whether a stream under way could go on at another upstream now.
    events : EventSplitter or None
        For a stream, with what earlier upstreams sent of it.
    on_event : callable
        Is called as events are passed on.
    on_head : callable
        Is given the head of the upstream's own answer, as soon as it comes.
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


async def run_attempt(
    exchange: "Exchange", pool: ConnectionPool, attempt: Attempt
) -> Outcome:
    """Send a request to an upstream and return how that ended.

    Notes
    -----
    When the caller leaves or the time is over this is cancelled, and the connection is
    reset: an upstream goes on working for a caller who has gone until then.
    """
    address = attempt.upstream.entry.address
    try:
        connection = await pool.acquire(address.ip, address.port)
    except ConnectFailed as fault:
        return Outcome(Result.UNSENT, str(fault))
    if not attempt.may_send():
        # It began to leave while the connection was opened, which takes up to the
        # whole limit of a connect, and would end in the middle of the request.
        connection.abort()
        return Outcome(Result.UNSENT, "the upstream has left")
    try:
        outcome = await _send_and_receive(exchange, connection, attempt)
    except AnswerBroken as fault:
        closed_early = connection.lost
        connection.abort()
        return Outcome(Result.BROKEN, str(fault), closed_early=closed_early)
    except BaseException:
        connection.abort()
        raise
    if outcome.result is Result.BROKEN:
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
    )
    connection.send(Call(exchange.method, exchange.target, headers, exchange.body))
    head = await _limit_silence(_matching_head(exchange, connection), attempt)
    if head.status != _MISPLACED:
        attempt.on_head(head)
    if head.header(names.NOT_EXECUTED) is not None or head.status == _MISPLACED:
        await connection.body()
        return Outcome(Result.NOT_RUN, f"status {head.status}", head)
    succeeded = 200 <= head.status < 300
    if succeeded and head.header(names.SIGNATURE) is None:
        # Not this upstream's: whatever it is, the caller must not take it for one.
        return Outcome(Result.BROKEN, "a success without a signature", head)
    if succeeded and attempt.events is not None:
        return await _relay_events(exchange, connection, head, attempt)
    body = await connection.body()
    return Outcome(Result.ANSWERED, f"status {head.status}", head, body)


async def _matching_head(exchange: "Exchange", connection: ClientConnection) -> Head:
    """Return the head of the answer to this request, past those of other requests.

    An upstream may send a second answer, late, where the answer to the next request on
    the connection is due: a caller would get another caller's booking.
    """
    request_id = exchange.header(names.REQUEST_ID)
    for _ in range(MAX_UNRELATED_ANSWERS):
        head = await connection.head()
        answer_id = head.header(names.REQUEST_ID)
        if answer_id == request_id:
            return head
        if answer_id is None and (head.status == _MISPLACED or head.status >= 400):
            # A refusal before the request was read names no request.
            return head
        await connection.body()
        connection.expect_another()
    raise AnswerBroken("only other requests' answers came")


async def _limit_silence(work: t.Coroutine[t.Any, t.Any, T], attempt: Attempt) -> T:
    """Wait for what an upstream sends next, unless it is silent for too long.

    A rank group whose member has died stalls for seconds before it says so, and a
    caller leaves after two: the request must be elsewhere by then. Where it can't be
    sent again, a late answer is worth more than none.
    """
    if attempt.silence_ms is None:
        return await work
    loop = asyncio.get_running_loop()
    silence_s = attempt.silence_ms / 1000
    timer: asyncio.TimerHandle | None = None
    reason = f"silent for {attempt.silence_ms} ms"

    def note_silence() -> None:
        nonlocal timer
        if attempt.may_give_up():
            limit.reschedule(loop.time())
        else:
            timer = loop.call_later(silence_s, note_silence)

    def move() -> None:
        nonlocal reason
        if attempt.may_move():
            reason = "moved from a slow rank"
            limit.reschedule(loop.time())

    try:
        # Not wait_for: it hides that the caller has left when an event comes in the
        # same turn of the loop.
        async with asyncio.timeout(None) as limit:
            timer = loop.call_later(silence_s, note_silence)
            attempt.upstream.movers.add(move)
            return await work
    except TimeoutError as fault:
        raise AnswerBroken(reason) from fault
    finally:
        attempt.upstream.movers.discard(move)
        if timer is not None:
            timer.cancel()


async def _relay_events(
    exchange: "Exchange", connection: ClientConnection, head: Head, attempt: Attempt
) -> Outcome:
    events = attempt.events
    assert events is not None
    events.discard_partial()
    while (piece := await _limit_silence(connection.piece(), attempt)) is not None:
        whole = events.feed(piece)
        if whole:
            _write_events(exchange, head, whole)
            attempt.on_event()
            await exchange.drained()
    rest = events.take_remainder()
    if rest or not exchange.started:
        _write_events(exchange, head, rest)
    exchange.finish()
    return Outcome(Result.ANSWERED, "whole", head, relayed=True)


def _write_events(exchange: "Exchange", head: Head, data: bytes) -> None:
    # The head waits for the first event, so that a try that breaks before it leaves
    # no trace. A resumed stream keeps the head of its first upstream.
    if not exchange.started:
        exchange.start(head.status, caller_headers(head.headers))
    exchange.write(data)
