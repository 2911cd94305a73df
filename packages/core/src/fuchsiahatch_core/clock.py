"""The one clock type: milliseconds on a monotonic scale."""

import time
import typing as t

_BOOT_TIME = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_boot_time_ns() -> int:
    """Return the nanoseconds since the host started, its suspended time included.

    Notes
    -----
    The plain monotonic clock stops while a host is suspended: an entry that resumes
    would still count as fresh, and admit work under placement records that were
    replaced meanwhile. Where the system has no such clock, the monotonic one is read.
    """
    return time.clock_gettime_ns(_BOOT_TIME)


class Clock:
    """A monotonic clock that reads milliseconds.

    Parameters
    ----------
    read_ns : callable, optional
        Source of nanoseconds; `read_boot_time_ns` by default.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_read_ns",)

    def __init__(self, read_ns: t.Callable[[], int] = read_boot_time_ns) -> None:
        self._read_ns = read_ns

    def now_ms(self) -> int:
        """Return the present time in milliseconds."""
        return self._read_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only by `advance`, for golden sessions and searches.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: int = 0) -> None:
        super().__init__(lambda: self._now_ms * 1_000_000)
        self._now_ms = now_ms

    def advance(self, step_ms: int) -> int:
        """Move the clock on and return the new time in milliseconds."""
        if step_ms < 0:
            raise ValueError(f"a monotonic clock can't go back by {step_ms} ms")
        self._now_ms += step_ms
        return self._now_ms
