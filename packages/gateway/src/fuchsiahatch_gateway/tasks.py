"""Background tasks that belong to one owner."""

import asyncio
import collections.abc
import typing as t

Work = collections.abc.Coroutine[t.Any, t.Any, None]


class Tasks:
    """The background tasks of one owner.

    Notes
    -----
    An event loop holds only weak references to its tasks: one that nothing else refers
    to may be garbage-collected before it has finished.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def begin(self, work: Work) -> None:
        """Start a task that runs until it ends or is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in tuple(self._running):
            task.cancel()
