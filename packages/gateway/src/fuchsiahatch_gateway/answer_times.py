"""Response times of an upstream, and the timeout of a call to it."""

#: A busy process may read an answer this late.
MIN_TIMEOUT_MS = 15
#: Longest timeout, also used before the first answer.
MAX_TIMEOUT_MS = 50
#: Weights of the latest sample in the moving mean and in its deviation, as for TCP's
#: retransmission timeout (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
#: Deviations above the mean after which an answer counts as lost.
DEVIATIONS = 4


class AnswerTimes:
    """Estimates the retry timeout of calls to one upstream from its response times.

    A group waits until its last rank has accepted an order. If some orders get no
    answer, the timeout before the second attempt is what the whole group waits for.
    """

    __slots__ = ("_deviation_ms", "_mean_ms")

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    def note(self, took_ms: float) -> None:
        """Add the response time of one call."""
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = took_ms, took_ms / 2
            return
        error_ms = abs(took_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_WEIGHT * (error_ms - self._deviation_ms)
        self._mean_ms += MEAN_WEIGHT * (took_ms - self._mean_ms)

    def timeout_ms(self, failed_attempts: int = 0) -> int:
        """Return the timeout of the next attempt of a call.

        Parameters
        ----------
        failed_attempts : int, optional
            Earlier attempts of the same call. Each doubles the timeout: the upstream,
            or this process, may have become slower.
        """
        if self._mean_ms is None:
            return MAX_TIMEOUT_MS
        expected_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        first_ms = max(expected_ms, float(MIN_TIMEOUT_MS))
        return int(min(first_ms * 2**failed_attempts, MAX_TIMEOUT_MS))
