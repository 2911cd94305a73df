"""Twisted's reactor, counting by the steady clock."""

import asyncio

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


class SteadyReactor(AsyncioSelectorReactor):
    """A reactor whose timers don't follow the time of day.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop

    Notes
    -----
    Twisted's own reactor reads `time.time`. Behind a step of the host's time of day its
    timers come early or late by as much, and so does what compares its seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        super().__init__(loop)

    def seconds(self) -> float:
        """Return the time of the loop, which is that of its own timers."""
        return self._loop.time()


def install_reactor(loop: asyncio.AbstractEventLoop) -> None:
    """Install a steady reactor on a loop.

    It must precede any module that imports the reactor, which would install another.
    """
    installReactor(SteadyReactor(loop))
