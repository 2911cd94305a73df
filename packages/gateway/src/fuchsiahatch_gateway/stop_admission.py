"""Decides which requests a stopping entry still passes on."""

import math
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.route_durations import RouteDurations

#: Margin on the longest recent answer of a route.
DURATION_MARGIN = 1.25
#: When a refused caller may return, which it does to another entry.
RETURN_MS = 50


class StopAdmission:
    """Tells until when a request may be passed on, so that its entry sees its end.

    A request that is cut is lost, or has run in vain. One that is refused costs its
    caller one of few attempts. So a stopping entry refuses exactly those that would
    probably outlast it.

    Attributes
    ----------
    durations : RouteDurations
    """

    __slots__ = ("_ends_ms", "_waiters", "durations")

    def __init__(self) -> None:
        self.durations = RouteDurations()
        self._ends_ms: int | None = None
        self._waiters: set[t.Callable[[], None]] = set()

    def begin(self, ends_ms: int) -> None:
        """Decide from now on; those that wait for a slot decide anew.

        Parameters
        ----------
        ends_ms : int
            When the entry ends.
        """
        self._ends_ms = ends_ms
        for reconsider in tuple(self._waiters):
            reconsider()

    def add_waiter(self, reconsider: t.Callable[[], None]) -> None:
        """Call a function when the entry begins to stop."""
        self._waiters.add(reconsider)

    def remove_waiter(self, reconsider: t.Callable[[], None]) -> None:
        """Don't call a function any more."""
        self._waiters.discard(reconsider)

    def latest_start_ms(self, route: str, deadline_ms: int, now_ms: int) -> float:
        """Return until when a request may be passed on; infinity for any time.

        Parameters
        ----------
        route : str
        deadline_ms, now_ms : int
            Times by the same clock as the end.
        """
        if self._ends_ms is None or deadline_ms <= self._ends_ms:
            return math.inf
        longest_ms = self.durations.longest_ms(route, now_ms)
        if longest_ms is None:
            return -math.inf
        return self._ends_ms - DURATION_MARGIN * longest_ms


def leaving() -> RefusedError:
    """Return the refusal of a request that would probably outlast its entry."""
    return RefusedError("this entry stops", Code.LEAVING, RETURN_MS)
