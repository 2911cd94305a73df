"""The longest answer of each route in about the last minute."""

#: Time that a bucket covers; the latest two buckets count.
BUCKET_MS = 30_000
#: Time since a route's first answer before its longest one counts. An entry that has
#: just started has seen the end of its short answers only; in this time one that fits
#: into the grace of a stop would have ended, too.
MIN_OBSERVED_MS = 8_000


class RouteDurations:
    """Sliding maxima of the durations of answers, by route."""

    __slots__ = ("_began_ms", "_current", "_first_ms", "_previous")

    def __init__(self) -> None:
        self._began_ms = 0
        self._first_ms: dict[str, int] = {}
        self._current: dict[str, int] = {}
        self._previous: dict[str, int] = {}

    def note(self, route: str, took_ms: int, now_ms: int) -> None:
        """Record a request that ended with an answer.

        Parameters
        ----------
        route : str
        took_ms : int
            Time from when it was first passed on to its end.
        now_ms : int
        """
        self._rotate(now_ms)
        self._first_ms.setdefault(route, now_ms)
        if took_ms > self._current.get(route, -1):
            self._current[route] = took_ms

    def longest_ms(self, route: str, now_ms: int) -> int | None:
        """Return a route's longest recent duration; None if too little is known."""
        self._rotate(now_ms)
        if now_ms - self._first_ms.get(route, now_ms) < MIN_OBSERVED_MS:
            return None
        buckets = (self._current, self._previous)
        return max(bucket[route] for bucket in buckets if route in bucket)

    def _rotate(self, now_ms: int) -> None:
        """Begin a new bucket when the current one is full; old routes are dropped."""
        age_ms = now_ms - self._began_ms
        if age_ms < BUCKET_MS:
            return
        self._previous = self._current if age_ms < 2 * BUCKET_MS else {}
        self._current = {}
        self._began_ms = now_ms
        self._first_ms = {
            route: first_ms
            for route, first_ms in self._first_ms.items()
            if route in self._previous
        }
