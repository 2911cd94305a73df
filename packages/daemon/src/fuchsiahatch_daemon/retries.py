"""Decides whether an entry may try a request once more."""

import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FuchsiahatchError, RefusedError
from fuchsiahatch_routing.budgets import RetryBudget

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock


class Retries:
    """The retry budget of one entry.

    Parameters
    ----------
    clock : Clock
    budget : RetryBudget, optional

    Attributes
    ----------
    note_retry : callable
        Told of each retry.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, clock: "Clock", budget: RetryBudget | None = None) -> None:
        self.note_retry: t.Callable[[], None] = _ignore
        self._clock = clock
        self._budget = budget or RetryBudget()

    def note_request(self) -> None:
        """Count a request's first try."""
        self._budget.note_request(self._clock.now_ms())

    def spend(self, fault: FuchsiahatchError | None) -> None:
        """Pay for the next try of a request; the first, without a fault, is free.

        Parameters
        ----------
        fault : FuchsiahatchError or None
            Why the last try failed.

        Raises
        ------
        FuchsiahatchError
            When the budget is spent: the last try's word, which stays true.
        """
        if fault is None:
            return
        # A leaving agent is chosen no more after its first refusal, so going
        # elsewhere because of it can't grow into a storm.
        free = fault.result is Code.LEAVING
        if not free and not self._budget.take(self._clock.now_ms()):
            raise _with_budget_spent(fault)
        self.note_retry()
        log_event(Event.ATTEMPT_RETRIED, code=int(fault.result))


def _with_budget_spent(fault: FuchsiahatchError) -> FuchsiahatchError:
    if not isinstance(fault, RefusedError):
        return fault
    detail = f"{fault.detail}, and the budget for retries elsewhere is spent"
    retry_after_ms = fault.retry_after_ms or RETRY_AFTER_MS
    return RefusedError(detail, Code.RETRY_BUDGET_SPENT, retry_after_ms)


def _ignore() -> None:
    """Keep nothing."""
