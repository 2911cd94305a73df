"""A budget for retries: a small part of the request rate."""

import dataclasses

#: Retries allowed for each first try.
RETRY_RATIO = 0.1
#: Retries a second allowed however few requests there are.
RETRY_FLOOR_PER_S = 1.0
#: Most retries that may be saved up.
RETRY_BURST = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    Parameters
    ----------
    ratio : float
        Tokens that each first try brings.
    floor_per_s : float
        Tokens that each second brings.
    burst : float
        Most tokens kept.

    Notes
    -----
    Guards against a retry storm: when every upstream refuses, each request
    would be tried as often as attempts are allowed, and the load on what is
    overloaded would be multiplied. With the budget it grows by `ratio` at most.

    .. versionadded:: 0.1
    """

    ratio: float = RETRY_RATIO
    floor_per_s: float = RETRY_FLOOR_PER_S
    burst: float = RETRY_BURST
    _tokens: float = dataclasses.field(init=False)
    _filled_ms: int | None = dataclasses.field(init=False, default=None)

    def __post_init__(self) -> None:
        self._tokens = self.burst

    def note_request(self, now_ms: int) -> None:
        """Count a first try."""
        self._fill(now_ms)
        self._add(self.ratio)

    def take(self, now_ms: int) -> bool:
        """Take a token for a retry; False when none is left."""
        self._fill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now_ms: int) -> None:
        if self._filled_ms is not None:
            self._add(self.floor_per_s * (now_ms - self._filled_ms) / 1_000)
        self._filled_ms = now_ms

    def _add(self, tokens: float) -> None:
        self._tokens = min(self.burst, self._tokens + tokens)
