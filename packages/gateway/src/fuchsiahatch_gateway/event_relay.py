"""Relays an upstream's stream of events to the caller."""

import asyncio
import typing as t

from fuchsiahatch_adapter.caller_requests import caller_headers
from fuchsiahatch_gateway.answer_ends import check_complete
from fuchsiahatch_gateway.attempt_types import Outcome
from fuchsiahatch_gateway.event_stream import MAX_EVENT_BYTES, MAX_QUIET_BYTES
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_gateway.silence_limit import limit_silence, until_superseded
from fuchsiahatch_http1.answers import AnswerTooLong, Bound, Head

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.attempt_types import Attempt
    from fuchsiahatch_gateway.event_stream import EventSplitter
    from fuchsiahatch_http1.client import ClientConnection
    from fuchsiahatch_http1.exchange import Exchange


async def relay_events(
    exchange: "Exchange", connection: "ClientConnection", head: Head, attempt: "Attempt"
) -> Outcome:
    """Relay the events of a stream as they arrive, and check that it is complete.

    Raises
    ------
    AnswerBroken
    """
    events = attempt.events
    assert events is not None
    events.discard_partial()
    events.feed(attempt.partial)
    loop = asyncio.get_running_loop()
    progress_s = loop.time()
    while True:
        work = until_superseded(connection.piece(), attempt)
        piece = await limit_silence(work, attempt, progress_s)
        if piece is None:
            break
        arrived_s = loop.time()
        whole = events.feed(piece)
        if whole:
            _write_events(exchange, head, whole)
            if events.progressed:
                attempt.suspended = None
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


def _check_stream_bounds(events: "EventSplitter", attempt: "Attempt") -> None:
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
