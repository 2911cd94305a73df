"""One try of a request at one upstream."""

import asyncio
import dataclasses
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_adapter.caller_requests import caller_headers, upstream_headers
from fuchsiahatch_gateway.event_stream import EventCutter
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
MAX_STRANGERS = 4
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
    events : bool
        Whether events of its answer were passed on.
    group_crashed : bool
        Whether the upstream, a rank of a group, crashed before any of them.
    """

    result: Result
    detail: str = ""
    head: Head | None = None
    body: bytes = b""
    passed_on: bool = False
    cut: bool = False
    events: bool = False
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
class Try:
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
    events : EventCutter or None
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
    events: EventCutter | None
    on_event: t.Callable[[], None]
    on_head: t.Callable[[Head], None]


async def run_try(exchange: "Exchange", pool: ConnectionPool, one: Try) -> Outcome:
    """Send a request to an upstream and return how that ended.

    Notes
    -----
    When the caller leaves or the time is over this is cancelled, and the connection is
    reset: an upstream goes on working for a caller who has gone until then.
    """
    address = one.upstream.entry.address
    try:
        connection = await pool.acquire(address.ip, address.port)
    except ConnectFailed as fault:
        return Outcome(Result.UNSENT, str(fault))
    if not one.may_send():
        # It began to leave while the connection was opened, which takes up to the
        # whole limit of a connect, and would end in the middle of the request.
        connection.abort()
        return Outcome(Result.UNSENT, "the upstream has left")
    try:
        outcome = await _converse(exchange, connection, one)
    except AnswerBroken as fault:
        cut = connection.lost
        connection.abort()
        return Outcome(Result.BROKEN, str(fault), cut=cut)
    except BaseException:
        connection.abort()
        raise
    if outcome.result is Result.BROKEN:
        connection.abort()
    else:
        pool.release(connection, address.ip, address.port)
    return outcome


async def _converse(
    exchange: "Exchange", connection: ClientConnection, one: Try
) -> Outcome:
    last_id = None if one.events is None else one.events.last_id
    headers = upstream_headers(
        exchange, one.upstream.entry.instance, one.team, one.left_ms, last_id
    )
    connection.send(Call(exchange.method, exchange.target, headers, exchange.body))
    head = await _in_time(_own_head(exchange, connection), one)
    if head.status != _MISPLACED:
        one.on_head(head)
    if head.header(names.NOT_EXECUTED) is not None or head.status == _MISPLACED:
        await connection.body()
        return Outcome(Result.NOT_RUN, f"status {head.status}", head)
    succeeded = 200 <= head.status < 300
    if succeeded and head.header(names.SIGNATURE) is None:
        # Not this upstream's: whatever it is, the caller must not take it for one.
        return Outcome(Result.BROKEN, "a success without a signature", head)
    if succeeded and one.events is not None:
        return await _pass_on_events(exchange, connection, head, one)
    body = await connection.body()
    return Outcome(Result.ANSWERED, f"status {head.status}", head, body)


async def _own_head(exchange: "Exchange", connection: ClientConnection) -> Head:
    """Return the head of the answer to this request, past those of other requests.

    An upstream may send a second answer, late, where the answer to the next request on
    the connection is due: a caller would get another caller's booking.
    """
    wanted = exchange.header(names.REQUEST_ID)
    for _ in range(MAX_STRANGERS):
        head = await connection.head()
        found = head.header(names.REQUEST_ID)
        if found == wanted:
            return head
        if found is None and (head.status == _MISPLACED or head.status >= 400):
            # A refusal before the request was read names no request.
            return head
        await connection.body()
        connection.expect_next_answer()
    raise AnswerBroken("only other requests' answers came")


async def _in_time(work: t.Coroutine[t.Any, t.Any, T], one: Try) -> T:
    """Wait for what an upstream sends next, unless it is silent for too long.

    A rank group whose member has died stalls for seconds before it says so, and a
    caller leaves after two: the request must be elsewhere by then. Where it can't be
    sent again, a late answer is worth more than none.
    """
    if one.silence_ms is None:
        return await work
    loop = asyncio.get_running_loop()
    silence_s = one.silence_ms / 1000
    timer: asyncio.TimerHandle | None = None
    why = f"silent for {one.silence_ms} ms"

    def note_silence() -> None:
        nonlocal timer
        if one.may_give_up():
            limit.reschedule(loop.time())
        else:
            timer = loop.call_later(silence_s, note_silence)

    def move() -> None:
        nonlocal why
        if one.may_move():
            why = "moved from a slow rank"
            limit.reschedule(loop.time())

    try:
        # Not wait_for: it hides that the caller has left when an event comes in the
        # same turn of the loop.
        async with asyncio.timeout(None) as limit:
            timer = loop.call_later(silence_s, note_silence)
            one.upstream.movers.add(move)
            return await work
    except TimeoutError as fault:
        raise AnswerBroken(why) from fault
    finally:
        one.upstream.movers.discard(move)
        if timer is not None:
            timer.cancel()


async def _pass_on_events(
    exchange: "Exchange", connection: ClientConnection, head: Head, one: Try
) -> Outcome:
    events = one.events
    assert events is not None
    events.restart()
    while (piece := await _in_time(connection.piece(), one)) is not None:
        whole = events.feed(piece)
        if whole:
            _write_events(exchange, head, whole)
            one.on_event()
            await exchange.drained()
    rest = events.take_rest()
    if rest or not exchange.started:
        _write_events(exchange, head, rest)
    exchange.finish()
    return Outcome(Result.ANSWERED, "whole", head, passed_on=True)


def _write_events(exchange: "Exchange", head: Head, data: bytes) -> None:
    # The head waits for the first event, so that a try that breaks before it leaves
    # no trace. A resumed stream keeps the head of its first upstream.
    if not exchange.started:
        exchange.start(head.status, caller_headers(head.headers))
    exchange.write(data)
