"""Admits attempts at the agent: how many run at once, and who waits."""

import asyncio

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import RefusedError


class Admission:
    """Holds the agent's places and lets attempts into them.

    Parameters
    ----------
    limit : int
        Attempts that may run at once.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self.queued = 0
        self.leaving = False
        self._idle = asyncio.Event()
        self._idle.set()

    async def enter(self, team: str, priority: int, deadline_ms: int) -> None:
        """Take a place, or wait for one.

        Parameters
        ----------
        team : str
        priority : int
            Smaller goes first.
        deadline_ms : int
            Time that is left for the whole attempt.

        Raises
        ------
        RefusedError
            When the agent is leaving, full, or can't meet the deadline.
        """
        if self.leaving:
            raise RefusedError("this upstream is leaving", Code.LEAVING, 0)
        if self.in_flight >= self.limit:
            raise RefusedError("this upstream is full", Code.OVERLOADED, RETRY_AFTER_MS)
        self.in_flight += 1
        self._idle.clear()

    def exit(self, team: str) -> None:
        """Give a place back."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing runs."""
        await self._idle.wait()
