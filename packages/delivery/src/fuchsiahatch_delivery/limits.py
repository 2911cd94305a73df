"""A token bucket on the clock of its caller."""


class TokenBucket:
    """Limits a rate, with bursts after idle time.

    Parameters
    ----------
    rate_per_s, burst : int
    now_ms : int

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_burst", "_filled_ms", "_rate_per_s", "_tokens")

    def __init__(self, rate_per_s: int, burst: int, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Take one token, if there is one."""
        gained = (now_ms - self._filled_ms) * self._rate_per_s / 1000
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
