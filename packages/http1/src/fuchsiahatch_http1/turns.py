"""Shares the event loop among connections that have more to parse than one turn."""

import typing as t

Schedule = t.Callable[[t.Callable[[], None]], t.Any]

#: Connections that go on in one iteration of the loop.
MAX_AT_ONCE = 4


class Turns:
    """Lets connections go on one after the other, a few in each iteration of the loop.

    A caller that has sent much at once waits behind the others with each of its parts,
    and all of them leave time for the loop's other work.

    Parameters
    ----------
    schedule : callable
        Calls a function in a later iteration of the loop.
    """

    __slots__ = ("_is_scheduled", "_schedule", "_waiting")

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._is_scheduled = False
        self._waiting: dict[t.Callable[[], None], None] = {}

    def add(self, go_on: t.Callable[[], None]) -> None:
        """Call a function once it has its turn."""
        self._waiting[go_on] = None
        self._schedule_next()

    def discard(self, go_on: t.Callable[[], None]) -> None:
        """Don't call a function any more, whose connection has ended."""
        self._waiting.pop(go_on, None)

    def _schedule_next(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._schedule(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            for _ in range(min(MAX_AT_ONCE, len(self._waiting))):
                go_on = next(iter(self._waiting), None)
                if go_on is None:
                    return
                del self._waiting[go_on]
                go_on()
        finally:
            self._schedule_next()
