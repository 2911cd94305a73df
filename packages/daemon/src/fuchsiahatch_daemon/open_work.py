"""Counts work that is open, so that a stopping process can wait for its end."""

import asyncio
import contextlib
import typing as t


class OpenWork:
    """A count of open pieces of work.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_idle", "count")

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def one(self) -> t.Iterator[None]:
        """Count one piece for as long as the context lasts."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing is open."""
        await self._idle.wait()
