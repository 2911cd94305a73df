"""Times after which refused callers should return, from slots that came free lately."""

import collections
import math
import random

from fuchsiahatch_gateway.defaults import RETRY_AFTER_S, RETRY_AFTER_SPREAD

#: Time for which a slot that came free counts. An engine serves some 4 requests per
#: second; in this time one of 31 entries sees some 16 slots of 64 engines come free.
RATE_WINDOW_MS = 2_000
MIN_RETURN_MS = int(1000 * RETRY_AFTER_S)
#: Callers that wait 8 s in all follow a Retry-After of at most 2.7 s.
MAX_RETURN_MS = 2_500
#: Share of its remaining time up to which a caller follows a Retry-After.
FOLLOWED_SHARE = 1 / 3
#: Time that a refusal may take to its caller.
REFUSAL_TRAVEL_MS = 50


class ReturnTimes:
    """Estimates when a refused request would find a slot, for each service."""

    __slots__ = ("_freed_ms",)

    def __init__(self) -> None:
        self._freed_ms: dict[str, collections.deque[int]] = {}

    def note_freed_slot(self, service: str, now_ms: int) -> None:
        """Record that a request ended and its slot came free."""
        freed_ms = self._freed_ms.setdefault(service, collections.deque())
        freed_ms.append(now_ms)
        _drop_old(freed_ms, now_ms)

    def estimate_ms(self, service: str, waiting: int, now_ms: int) -> int:
        """Return the time in which a number of waiting requests would get slots.

        Parameters
        ----------
        service : str
        waiting : int
            Requests that get a slot before the refused one would.
        now_ms : int
        """
        freed_ms = self._freed_ms.get(service, collections.deque())
        _drop_old(freed_ms, now_ms)
        if not waiting:
            return MIN_RETURN_MS
        if not freed_ms:
            return MAX_RETURN_MS
        served_ms = waiting * RATE_WINDOW_MS // len(freed_ms)
        return min(max(served_ms, MIN_RETURN_MS), MAX_RETURN_MS)


def limit_to_followed(return_ms: int, left_ms: float) -> int:
    """Limit an estimate so that the caller follows it, whatever its jitter.

    Parameters
    ----------
    return_ms : int
    left_ms : float
        Time left until the request's deadline.
    """
    _, latest = RETRY_AFTER_SPREAD
    followed_ms = FOLLOWED_SHARE * (left_ms - REFUSAL_TRAVEL_MS) / latest
    return max(min(return_ms, int(followed_ms)), MIN_RETURN_MS)


def retry_after_s(known_ms: int | None, rng: random.Random) -> float:
    """Return the Retry-After time, with jitter; never before a known time."""
    earliest, latest = RETRY_AFTER_SPREAD
    if known_ms is None:
        return RETRY_AFTER_S * rng.uniform(earliest, latest)
    # Callers get two decimals; rounded down, they would return before that time.
    return math.ceil(known_ms * rng.uniform(1.0, latest) / 10) / 100


def _drop_old(times_ms: collections.deque[int], now_ms: int) -> None:
    while times_ms and now_ms - times_ms[0] >= RATE_WINDOW_MS:
        times_ms.popleft()
