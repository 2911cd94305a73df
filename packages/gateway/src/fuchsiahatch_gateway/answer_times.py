"""How long an upstream takes to answer, and how long its answer is waited for."""

#: Shortest wait: a process that has other work reads an answer that late.
MIN_TIMEOUT_MS = 15
#: Longest wait, and that before the first answer is known.
MAX_TIMEOUT_MS = 50
#: Weights of the newest answer in the running mean and in its deviation, as TCP's
#: retransmission timeout has them (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
#: Deviations above the mean behind which an answer counts as lost.
DEVIATIONS = 4


class AnswerTimes:
    """Estimates from the answers of one upstream when a call is made again.

    All ranks of a group wait for the last of them to take an order. Where a share of
    the orders gets no answer, the wait before each second try is what they wait for.
    """

    __slots__ = ("_deviation_ms", "_mean_ms")

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    def note(self, took_ms: float) -> None:
        """Take in how long an answer took."""
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = took_ms, took_ms / 2
            return
        error_ms = abs(took_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_WEIGHT * (error_ms - self._deviation_ms)
        self._mean_ms += MEAN_WEIGHT * (took_ms - self._mean_ms)

    def timeout_ms(self, failed_attempts: int = 0) -> int:
        """Return how long to wait for an answer.

        Parameters
        ----------
        unanswered : int, optional
            Tries of the same call before. Each doubles the wait: the upstream, or this
            process, may have become slower than it was.
        """
        if self._mean_ms is None:
            return MAX_TIMEOUT_MS
        expected_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        first_ms = max(expected_ms, float(MIN_TIMEOUT_MS))
        return int(min(first_ms * 2**failed_attempts, MAX_TIMEOUT_MS))
