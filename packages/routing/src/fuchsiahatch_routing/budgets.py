"""Retry budget: limits retries to a fraction of the request rate."""

import dataclasses

#: Retries allowed for each first attempt.
RETRY_RATIO = 0.1
#: Retries per second allowed at any request rate.
RETRY_FLOOR_PER_S = 1.0
#: Retries that unused budget accumulates to at most.
RETRY_BURST = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Tokens added by each first attempt.
    floor_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket in tokens.

    Notes
    -----
    Guards against a retry storm: when every upstream refuses, each request
    would use all of its attempts and multiply the load on upstreams that are
    overloaded already. With the budget, load grows by `ratio` at most, beside the
    retries of `floor_per_s` and `burst`.

    .. versionadded:: 0.1
    """

    ratio: float = RETRY_RATIO
    floor_per_s: float = RETRY_FLOOR_PER_S
    burst: float = RETRY_BURST
    _tokens: float = dataclasses.field(init=False)
    _refilled_ms: int | None = dataclasses.field(init=False, default=None)

    def __post_init__(self) -> None:
        self._tokens = self.burst

    def note_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._refill(now_ms)
        self._add(self.ratio)

    def take(self, now_ms: int) -> bool:
        """Take a token for a retry; False when none is left."""
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        if self._refilled_ms is not None:
            self._add(self.floor_per_s * (now_ms - self._refilled_ms) / 1_000)
        self._refilled_ms = now_ms

    def _add(self, tokens: float) -> None:
        self._tokens = min(self.burst, self._tokens + tokens)
