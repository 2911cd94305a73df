"""The time for which a process was able to hear others."""

#: Time that one pause between two looks counts as, at most: a loop looks each 20 ms,
#: and reads all that has come before it does.
MAX_STEP_MS = 60


class StallAwareClock:
    """A clock that stands still while its own process does.

    Silences are measured by it. A process that is late, or whose host stood still, has
    heard nobody for that time: by the plain clock all others look silent at once as it
    wakes, and what it does about them makes it later still. By this one they have the
    whole of their time left to speak.

    Parameters
    ----------
    now_ms : int

    Attributes
    ----------
    heard_ms : int
        Time for which others could be heard, from an arbitrary start.
    """

    __slots__ = ("_updated_ms", "active_ms")

    def __init__(self, now_ms: int) -> None:
        self._updated_ms = now_ms
        self.active_ms = 0

    def update(self, now_ms: int) -> None:
        """Note that all that had come by now is read."""
        self.active_ms += min(max(now_ms - self._updated_ms, 0), MAX_STEP_MS)
        self._updated_ms = now_ms
