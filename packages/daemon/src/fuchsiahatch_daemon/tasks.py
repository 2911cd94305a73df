"""Background work of one process: repeated and ended together."""

import asyncio
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FuchsiahatchError, PlatformError


class Tasks:
    """Tasks that live as long as the process does.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[t.Any]] = set()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> asyncio.Task[t.Any]:
        """Start a task and keep it until it ends."""
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def repeat(self, work: t.Callable[[], t.Awaitable[None]], pause_ms: int) -> None:
        """Do the work again and again, with a pause between."""
        self.spawn(_repeat(work, pause_ms))

    def cancel(self) -> None:
        """End all tasks."""
        for task in list(self._running):
            task.cancel()


async def _repeat(work: t.Callable[[], t.Awaitable[None]], pause_ms: int) -> None:
    while True:
        try:
            await work()
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
        except FuchsiahatchError as fault:
            log_event(Event.CONFIGURATION_UNREADABLE, detail=fault.detail)
        await asyncio.sleep(pause_ms / 1000)
