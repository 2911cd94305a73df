"""A clock that measures peers' silence without the local process's stalls."""

#: Most that one interval between two updates counts as. The loop updates the clock each
#: 20 ms, after it has read all datagrams that have arrived.
MAX_STEP_MS = 60


class StallAwareClock:
    """A clock that stops while its process is stalled.

    Timeouts for silent peers are measured by it. A process that runs late, or whose
    host was suspended, has received nothing for that time: by the wall clock all peers
    look silent at once when it resumes, and handling them delays it further. By this
    clock each peer still has its whole timeout left to send.

    Parameters
    ----------
    now_ms : int

    Attributes
    ----------
    active_ms : int
        Time for which messages could be received, from an arbitrary start.
    """

    __slots__ = ("_updated_ms", "active_ms")

    def __init__(self, now_ms: int) -> None:
        self._updated_ms = now_ms
        self.active_ms = 0

    def update(self, now_ms: int) -> None:
        """Advance the clock; everything that arrived before `now_ms` has been read."""
        self.active_ms += min(max(now_ms - self._updated_ms, 0), MAX_STEP_MS)
        self._updated_ms = now_ms
