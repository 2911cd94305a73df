"""The calls that one process may make to the key-value service, and their count."""

import collections
import contextlib
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import UnsentError

#: Calls that one process may make in a second over a longer time.
CALLS_PER_SECOND = 20.0
#: Calls that it may make at once after a quiet time.
CALL_BURST = 60


class CallBudget:
    """Counts each call and each waiting watch, and refuses what is over the rate.

    Parameters
    ----------
    clock : Clock
    calls_per_second : float, optional
    burst : int, optional

    Attributes
    ----------
    calls : collections.Counter of str
        Calls made so far, by kind; a watch counts once when it is opened.
    refused : int
    waiting : int
        Watches open now.

    Notes
    -----
    The service counts calls and its rates grow more slowly than the fleet: a
    loop gone wild in one process would use up what all the others need.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_burst",
        "_calls_per_second",
        "_clock",
        "_filled_ms",
        "_left",
        "calls",
        "refused",
        "waiting",
    )

    def __init__(
        self,
        clock: Clock,
        calls_per_second: float = CALLS_PER_SECOND,
        burst: int = CALL_BURST,
    ) -> None:
        self._clock = clock
        self._calls_per_second = calls_per_second
        self._burst = burst
        self._left = float(burst)
        self._filled_ms = clock.now_ms()
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.waiting = 0

    def spend(self, kind: str) -> None:
        """Count one call.

        Raises
        ------
        UnsentError
            With CALL_BUDGET_SPENT when the call may not be made now.
        """
        self._fill()
        if self._left < 1:
            self.refused += 1
            retry_after_ms = int((1 - self._left) / self._calls_per_second * 1000) + 1
            raise UnsentError(
                f"{kind}: the call budget of this process is spent",
                Code.CALL_BUDGET_SPENT,
                retry_after_ms,
            )
        self._left -= 1
        self.calls[kind] += 1

    @contextlib.contextmanager
    def waiting_watch(self) -> t.Iterator[None]:
        """Count a watch as open, after spending a call on it."""
        self.spend("watch")
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._filled_ms) / 1000 * self._calls_per_second
        self._left = min(self._burst, self._left + gained)
        self._filled_ms = now_ms
