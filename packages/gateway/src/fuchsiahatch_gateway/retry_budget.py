"""The retry budget that all entries share."""

import collections
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Share of the budget that is used, as entries may disagree for a moment on their
#: number.
USED_SHARE = 0.65
#: Share of an entry's slack that is available right after a restart: the previous
#: incarnation may have spent all of it within the same window.
STARTUP_SHARE = 0.5


class RetryBudget:
    """One entry's share of the retry budget; an attempt needs no call to the store.

    Parameters
    ----------
    ratio : float
        Retries per request to a service.
    slack : float
        Retries per window on top of the ratio, for all entries together.
    window_ms : int
    clock : Clock
    count_entries : callable
        Returns the number of live entries.
    first_start : bool
        Whether no process ran on this node before.

    Attributes
    ----------
    spent, refused : int
        Retries that the budget allowed and refused.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_ratio",
        "_requests",
        "_retries",
        "_slack",
        "_started_ms",
        "_window_ms",
        "refused",
        "spent",
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        clock: "Clock",
        count_entries: t.Callable[[], int],
        first_start: bool,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._clock = clock
        self._count_entries = count_entries
        self._started_ms = clock.now_ms() - (window_ms if first_start else 0)
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}
        self.spent = 0
        self.refused = 0

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._recent(self._requests, service).append(self._clock.now_ms())

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if not self.has_retry_left(service):
            self.refused += 1
            return False
        self._recent(self._retries, service).append(self._clock.now_ms())
        self.spent += 1
        return True

    def refund(self, service: str) -> None:
        """Give back a retry that was not sent."""
        retries = self._recent(self._retries, service)
        if retries:
            retries.pop()
        self.spent -= 1

    def has_retry_left(self, service: str) -> bool:
        """Return whether a retry is left in the window."""
        retries = self._recent(self._retries, service)
        requests = self._recent(self._requests, service)
        allowed = USED_SHARE * self._ratio * len(requests) + self._slack_share()
        return len(retries) + 1 <= allowed

    def _slack_share(self) -> float:
        age_ms = self._clock.now_ms() - self._started_ms
        ramp = STARTUP_SHARE + (1 - STARTUP_SHARE) * age_ms / self._window_ms
        return USED_SHARE * self._slack / max(self._count_entries(), 1) * min(ramp, 1.0)

    def _recent(
        self, times: dict[str, collections.deque[int]], service: str
    ) -> collections.deque[int]:
        recent_times = times.setdefault(service, collections.deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while recent_times and recent_times[0] < oldest_ms:
            recent_times.popleft()
        return recent_times
