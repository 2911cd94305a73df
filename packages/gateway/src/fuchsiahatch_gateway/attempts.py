"""One attempt to send a request to an upstream."""

import asyncio
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_adapter.caller_requests import upstream_headers
from fuchsiahatch_gateway.answer_ends import describe_ending, is_event_stream
from fuchsiahatch_gateway.answer_relay import receive_body
from fuchsiahatch_gateway.attempt_types import MISPLACED, Attempt, Outcome
from fuchsiahatch_gateway.event_relay import relay_events
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_gateway.silence_limit import (
    Superseded,
    UpstreamSilent,
    expire,
    limit_silence,
    until_superseded,
)
from fuchsiahatch_http1.answers import (
    AnswerBroken,
    AnswerEnd,
    AnswerTooLong,
    CallUnsent,
    Head,
)
from fuchsiahatch_http1.client import Call, ClientConnection
from fuchsiahatch_http1.pool import ConnectFailed, ConnectionPool

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.exchange import Exchange

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
    attempt.connection = connection
    try:
        _send(exchange, connection, attempt)
    except BaseException:
        connection.abort()
        raise
    return await _receive_outcome(exchange, pool, connection, attempt)


async def continue_attempt(
    exchange: "Exchange", pool: ConnectionPool, attempt: Attempt
) -> Outcome:
    """Wait on for the answer of a suspended attempt, and return how that ended."""
    assert attempt.connection is not None
    return await _receive_outcome(exchange, pool, attempt.connection, attempt)


async def _receive_outcome(
    exchange: "Exchange",
    pool: ConnectionPool,
    connection: ClientConnection,
    attempt: Attempt,
) -> Outcome:
    try:
        outcome = await _receive(exchange, connection, attempt)
    except CallUnsent as fault:
        outcome = Outcome(Result.UNSENT, f"not sent: {fault}")
    except UpstreamSilent as fault:
        ending = describe_ending(connection, attempt.events)
        attempt.partial = attempt.events.take_remainder() if attempt.events else b""
        return Outcome(Result.BROKEN, str(fault), ending=ending, is_suspended=True)
    except Superseded as fault:
        outcome = Outcome(Result.BROKEN, str(fault), was_superseded=True)
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
        address = attempt.upstream.entry.address
        pool.release(connection, address.ip, address.port)
    return outcome


def _send(exchange: "Exchange", connection: ClientConnection, attempt: Attempt) -> None:
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


async def _receive(
    exchange: "Exchange", connection: ClientConnection, attempt: Attempt
) -> Outcome:
    if attempt.head is None:
        attempt.head = await _await_head(exchange, connection, attempt)
        if attempt.head.status != MISPLACED:
            attempt.on_head(attempt.head)
    head = attempt.head
    if head.header(names.NOT_EXECUTED) is not None or head.status == MISPLACED:
        await _skip_refusal(connection, attempt)
        return Outcome(Result.NOT_RUN, f"status {head.status}", head)
    succeeded = 200 <= head.status < 300
    if succeeded and head.header(names.SIGNATURE) is None:
        # Without the signature the answer isn't from this upstream, and the caller must
        # not take it for a success.
        return Outcome(Result.BROKEN, "a success without a signature", head)
    if succeeded and attempt.events is not None and is_event_stream(head):
        return await relay_events(exchange, connection, head, attempt)
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
            return await limit_silence(until_superseded(work, attempt), attempt)
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
