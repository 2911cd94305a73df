"""How late a process comes to its own work."""

import asyncio
import typing as t

import aioprometheus

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: How often the loop is looked at.
LOOK_MS = 100
#: Lateness that is worth a line: a third of the silence behind which a leader takes an
#: agent for lost.
LATE_MS = 100
#: Time between two lines at least.
LINE_PAUSE_MS = 1_000
#: Upper bounds of the buckets.
LATE_BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)


class LoopWatch:
    """Counts how late a loop comes to a timer.

    Parameters
    ----------
    registry : aioprometheus.Registry
    clock : Clock
    """

    __slots__ = ("_clock", "_late", "_lined_ms", "_most_ms", "_times")

    def __init__(self, registry: aioprometheus.Registry, clock: "Clock") -> None:
        self._clock = clock
        self._late = aioprometheus.Histogram(
            "fuchsiahatch_loop_late_ms",
            "How late timers of this process are run.",
            buckets=list(LATE_BUCKETS_MS),
            registry=registry,
        )
        self._lined_ms = clock.now_ms()
        self._most_ms = 0
        self._times = 0

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            due_ms = self._clock.now_ms() + LOOK_MS
            await asyncio.sleep(LOOK_MS / 1000)
            now_ms = self._clock.now_ms()
            self.note(max(now_ms - due_ms, 0), now_ms)

    def note(self, late_ms: int, now_ms: int) -> None:
        """Count one lateness, and write a line if one is due."""
        self._late.observe({}, late_ms)
        if late_ms >= LATE_MS:
            self._most_ms = max(self._most_ms, late_ms)
            self._times += 1
        if not self._times or now_ms - self._lined_ms < LINE_PAUSE_MS:
            return
        log_event(Event.LOOP_LATE, most_ms=self._most_ms, times=self._times)
        self._lined_ms = now_ms
        self._most_ms = self._times = 0
