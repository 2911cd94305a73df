"""Gives up an upstream that is silent for too long, or that requests move from."""

import asyncio
import typing as t

from fuchsiahatch_http1.answers import AnswerBroken

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.attempt_types import Attempt

T = t.TypeVar("T")


class UpstreamSilent(AnswerBroken):
    """Another upstream should be tried; the answer may still come on its connection."""


class Superseded(AnswerBroken):
    """The suspended attempt's answer went on before this upstream's."""


def until_superseded(
    work: t.Coroutine[t.Any, t.Any, T], attempt: "Attempt"
) -> t.Coroutine[t.Any, t.Any, T]:
    """Wait for data of an upstream, unless the suspended attempt's answer goes on."""
    return work if attempt.suspended is None else _until_superseded(work, attempt)


async def _until_superseded(
    work: t.Coroutine[t.Any, t.Any, T], attempt: "Attempt"
) -> T:
    def give_way() -> None:
        if attempt.is_superseded:
            expire(limit)

    try:
        async with asyncio.timeout(None) as limit:
            attempt.watch_suspended(give_way)
            # Data may have come since the last wait, while nothing watched for it.
            give_way()
            return await work
    except TimeoutError as fault:
        raise Superseded("an earlier upstream answers on") from fault
    finally:
        attempt.watch_suspended(None)


async def limit_silence(
    work: t.Coroutine[t.Any, t.Any, T], attempt: "Attempt", since_s: float | None = None
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
        raise UpstreamSilent(reason)

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
        raise UpstreamSilent(reason) from fault
    finally:
        attempt.upstream.movers.discard(move)
        if timer is not None:
            timer.cancel()


def expire(limit: asyncio.Timeout) -> None:
    """End what a timeout limits, unless that is happening already."""
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time())
