"""Repeats a watch of the store on another channel when its answer is overdue."""

import asyncio
import collections.abc
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import UnansweredReadError

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Items

#: Makes a watch, on a new channel if the argument is True.
MakeWatch = t.Callable[[bool], collections.abc.Coroutine[t.Any, t.Any, "Items"]]


class Watcher:
    """Makes one watch, and makes it again if there is no answer in time.

    A channel may go silent without a reset, where a proxy still acknowledges what is
    sent: only the missing answer shows it. The first watch isn't given up, as the
    store may be slow; the first answer counts.

    Parameters
    ----------
    make_watch : callable
    overdue_ms : int
        Time after which an unanswered watch is made again.
    """

    __slots__ = ("_doubted", "_make_watch", "_overdue_ms")

    def __init__(self, make_watch: MakeWatch, overdue_ms: int) -> None:
        self._make_watch = make_watch
        self._overdue_ms = overdue_ms
        self._doubted = asyncio.Event()

    def doubt(self) -> None:
        """Make the watch again now, as something shows that it missed a change."""
        self._doubted.set()

    async def run(self) -> "Items":
        """Return the first answer.

        Raises
        ------
        PlatformError
            When a call fails. A call without an answer counts once no other is
            pending.
        """
        began_s = asyncio.get_running_loop().time()
        first = asyncio.ensure_future(self._make_watch(False))
        calls = [first]
        try:
            await self._wait_until_overdue(first)
            if not first.done():
                calls.append(asyncio.ensure_future(self._make_watch(True)))
            answered = await _wait_for_answer(calls)
            if answered is not first:
                waited_s = asyncio.get_running_loop().time() - began_s
                log_event(Event.WATCH_REPEATED, waited_ms=int(waited_s * 1000))
            return answered.result()
        finally:
            for call in calls:
                call.cancel()

    async def _wait_until_overdue(self, call: "asyncio.Future[Items]") -> None:
        """Wait until a call has ended, or is overdue or doubted."""
        doubted = asyncio.ensure_future(self._doubted.wait())
        try:
            await asyncio.wait(
                (call, doubted),
                timeout=self._overdue_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            doubted.cancel()


async def _wait_for_answer(
    calls: "t.Iterable[asyncio.Future[Items]]",
) -> "asyncio.Future[Items]":
    """Return the first call that is answered or fails, or the last one without."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        ended = [call for call in done if not _lacks_answer(call)]
        if ended or not pending:
            return (ended or list(done))[0]


def _lacks_answer(call: "asyncio.Future[Items]") -> bool:
    return isinstance(call.exception(), UnansweredReadError)
