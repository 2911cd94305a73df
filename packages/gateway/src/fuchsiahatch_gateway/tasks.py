"""Work that runs beside its owner and ends with it."""

import asyncio
import collections.abc
import typing as t

Work = collections.abc.Coroutine[t.Any, t.Any, None]


class Tasks:
    """Tasks of one owner.

    Notes
    -----
    A loop holds its tasks weakly: one that nobody else keeps may vanish half done.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def begin(self, work: Work) -> None:
        """Run something until it ends or is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel what still runs."""
        for task in tuple(self._running):
            task.cancel()
