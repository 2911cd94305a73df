"""An event loop whose time jumps to the next timer, for searches of many schedules."""

import asyncio
import collections.abc
import selectors
import typing as t

from fuchsiahatch_core.clock import Clock

T = t.TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the loop's time jumps by what it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without real time, sockets or signals."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s

    def hold_up(self, held_up_ms: int) -> None:
        """Let time pass without running anything, as a call that blocks the loop."""
        self._jumping.now_s += held_up_ms / 1000

    def make_clock(self) -> Clock:
        """Return a clock of the virtual time."""
        return Clock(lambda: int(self.time() * 1_000_000_000))


def run_virtually(
    make_work: t.Callable[[VirtualLoop], collections.abc.Coroutine[t.Any, t.Any, T]],
) -> T:
    """Run a coroutine in virtual time and return its result.

    Parameters
    ----------
    make_work : callable
        Is given the loop.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(make_work(loop))
    finally:
        loop.close()
