"""Plain answers of upstreams: kept whole while they are short, relayed when long."""

import typing as t

from fuchsiahatch_adapter.caller_requests import caller_headers
from fuchsiahatch_gateway.answer_ends import check_complete
from fuchsiahatch_gateway.attempt_types import UPSTREAM_FAILED
from fuchsiahatch_http1.answers import AnswerTooLong, Bound, Framing, Head

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.attempt_types import Attempt
    from fuchsiahatch_http1.client import ClientConnection
    from fuchsiahatch_http1.exchange import Exchange

#: Bytes that are kept of an answer, so that one that breaks off before can be retried.
MAX_KEPT_BODY_BYTES = 1_048_576


async def receive_body(
    exchange: "Exchange",
    connection: "ClientConnection",
    head: Head,
    attempt: "Attempt",
) -> bytes | None:
    """Receive the body of a plain answer and check that it is complete.

    An answer that reaches a bound is relayed to the caller from there on, as fast as
    the caller receives it. It can't be retried any more.

    Returns
    -------
    body : bytes or None
        None if the answer has been relayed.

    Raises
    ------
    AnswerBroken
    """
    body = bytearray()
    while (piece := await connection.piece()) is not None:
        body += piece
        bound = _reached_bound(len(body), attempt)
        if bound is not None:
            if exchange.started or _is_better_retried(head, attempt):
                detail = f"a long answer of status {head.status}"
                raise AnswerTooLong(bound, detail)
            attempt.on_bound(bound)
            await _relay(exchange, connection, head, body, attempt)
            return None
    await check_complete(connection, None, attempt.still_works)
    return bytes(body)


def _reached_bound(body_bytes: int, attempt: "Attempt") -> Bound | None:
    if body_bytes > MAX_KEPT_BODY_BYTES:
        return Bound.KEPT
    return None if attempt.kept.resize(body_bytes) else Bound.MEMORY


def _is_better_retried(head: Head, attempt: "Attempt") -> bool:
    return head.status >= UPSTREAM_FAILED and attempt.may_give_up()


async def _relay(
    exchange: "Exchange",
    connection: "ClientConnection",
    head: Head,
    body: bytearray,
    attempt: "Attempt",
) -> None:
    """Relay an answer whose beginning has been received, and empty that."""
    headers = list(caller_headers(head.headers))
    length = head.header(b"content-length")
    if length is not None and connection.framing is Framing.LENGTH:
        headers.append((b"content-length", length))
    attempt.on_relay()
    exchange.start(head.status, headers)
    exchange.write(bytes(body))
    body.clear()
    await exchange.drained()
    attempt.kept.release()
    while (piece := await connection.piece()) is not None:
        exchange.write(piece)
        await exchange.drained()
    await check_complete(connection, None, attempt.still_works)
    exchange.finish()
