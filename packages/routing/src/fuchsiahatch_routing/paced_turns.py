"""Turns of waiting requests, so that many entries don't fill the same room at once."""

import random


class PacedTurns:
    """Gives out an entry's part of the room that a group has left.

    All entries learn of free room by the same reports, and learn of what the others
    sent by the next ones. If each entry filled the room that it sees, 31 entries would
    send 31 requests for each one that ended. Within one interval between reports, each
    entry therefore sends its part of the free room only. The part is mostly less than
    one request, so that it is accumulated; it begins at a random fraction, as otherwise
    all entries would send their first requests at the same time.

    Parameters
    ----------
    rng : random.Random

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_credit", "_rng", "_taken_ms")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credit = 0.0
        self._taken_ms: int | None = None

    def take(self, part: float, interval_ms: float, now_ms: int) -> bool:
        """Return whether a waiting request may be sent now, and count it as sent.

        Parameters
        ----------
        part : float
            Free room of the group, divided by the number of entries.
        interval_ms : float
            Interval between two load reports of a rank.
        now_ms : int
        """
        elapsed_ms = interval_ms if self._taken_ms is None else now_ms - self._taken_ms
        if elapsed_ms >= interval_ms:
            elapsed_ms = interval_ms
            self._credit = self._rng.random()
        self._taken_ms = now_ms
        self._credit += part * elapsed_ms / interval_ms
        self._credit = min(self._credit, max(1.0, part))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
