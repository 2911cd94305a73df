"""Limits what a process reads of callers that it has refused already."""

import typing as t

#: Interval of the limit.
INTERVAL_S = 0.1
#: Bytes that are discarded in each interval, for all callers together; as much as the
#: largest usual body, so that in calm the caller of a refused one can send it whole and
#: then reads why it was refused.
MAX_DISCARDED_BYTES = 4_194_304
#: Bytes that are discarded of one connection.
MAX_DISCARDED_BYTES_OF_ONE = 16_777_216


class DiscardLimit:
    """Bytes that may still be read of refused callers.

    Parameters
    ----------
    read_clock_s : callable
    """

    __slots__ = ("_began_s", "_discarded_bytes", "_read_clock_s")

    def __init__(self, read_clock_s: t.Callable[[], float]) -> None:
        self._read_clock_s = read_clock_s
        self._began_s = read_clock_s()
        self._discarded_bytes = 0

    def note(self, discarded_bytes: int) -> None:
        """Count bytes that were discarded."""
        self._begin_interval()
        self._discarded_bytes += discarded_bytes

    @property
    def is_reached(self) -> bool:
        """Whether no more may be read in this interval."""
        self._begin_interval()
        return self._discarded_bytes >= MAX_DISCARDED_BYTES

    def _begin_interval(self) -> None:
        now_s = self._read_clock_s()
        if now_s - self._began_s >= INTERVAL_S:
            self._began_s = now_s
            self._discarded_bytes = 0
