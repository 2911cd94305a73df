"""Rate limit and counters of a process's calls to the key-value service."""

import collections
import contextlib
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import UnsentError

#: Sustained rate of calls of one process.
CALLS_PER_SECOND = 20.0
#: Calls that a process may make at once after an idle period.
CALL_BURST = 60


class CallBudget:
    """Token bucket that counts calls and open watches, and refuses excess calls.

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
        Calls refused so far.
    waiting : int
        Number of open watches.

    Notes
    -----
    The service limits calls, and its limits grow more slowly than the fleet: a
    runaway loop in one process would use up the calls of all other processes.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_burst",
        "_calls_per_second",
        "_clock",
        "_refilled_ms",
        "_tokens",
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
        self._tokens = float(burst)
        self._refilled_ms = clock.now_ms()
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.waiting = 0

    def spend(self, kind: str) -> None:
        """Count one call.

        Raises
        ------
        UnsentError
            With CALL_BUDGET_SPENT when the call exceeds the rate.
        """
        self._refill()
        if self._tokens < 1:
            self.refused += 1
            retry_after_ms = int((1 - self._tokens) / self._calls_per_second * 1000) + 1
            raise UnsentError(
                f"{kind}: the call budget of this process is spent",
                Code.CALL_BUDGET_SPENT,
                retry_after_ms,
            )
        self._tokens -= 1
        self.calls[kind] += 1

    @contextlib.contextmanager
    def waiting_watch(self) -> t.Iterator[None]:
        """Count a watch as open in the context, after spending a call on it."""
        self.spend("watch")
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_ms) / 1000 * self._calls_per_second
        self._tokens = min(self._burst, self._tokens + refilled)
        self._refilled_ms = now_ms
