"""Limits how often a log line about one subject is written."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Minimum interval between two lines about one subject.
LINE_INTERVAL_MS = 1_000


class LineLimit:
    """Allows one line per subject and interval.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_written_ms")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._written_ms: dict[str, int] = {}

    def allows(self, subject: str) -> bool:
        """Return whether a line is due, and count it as written."""
        now_ms = self._clock.now_ms()
        if now_ms - self._written_ms.get(subject, -LINE_INTERVAL_MS) < LINE_INTERVAL_MS:
            return False
        self._written_ms = {
            name: written_ms
            for name, written_ms in self._written_ms.items()
            if now_ms - written_ms < LINE_INTERVAL_MS
        }
        self._written_ms[subject] = now_ms
        return True
