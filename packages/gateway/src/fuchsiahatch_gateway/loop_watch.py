"""Measures how late the event loop runs its timers."""

import asyncio
import typing as t

import aioprometheus

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

POLL_INTERVAL_MS = 100
#: Minimum delay that is logged: a third of the silence after which a leader considers
#: an agent lost.
LOGGED_DELAY_MS = 100
#: Minimum time between two log lines.
MIN_LOG_INTERVAL_MS = 1_000
#: Upper bounds of the histogram's buckets.
LATE_BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)


class LoopWatch:
    """Records the delays of the event loop's timers.

    Parameters
    ----------
    registry : aioprometheus.Registry
    clock : Clock
    """

    __slots__ = ("_clock", "_delay_count", "_delays", "_logged_ms", "_max_delay_ms")

    def __init__(self, registry: aioprometheus.Registry, clock: "Clock") -> None:
        self._clock = clock
        self._delays = aioprometheus.Histogram(
            "fuchsiahatch_loop_late_ms",
            "How late timers of this process are run.",
            buckets=list(LATE_BUCKETS_MS),
            registry=registry,
        )
        self._logged_ms = clock.now_ms()
        self._max_delay_ms = 0
        self._delay_count = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + POLL_INTERVAL_MS
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            self.note(max(now_ms - due_ms, 0), now_ms)

    def note(self, delay_ms: int, now_ms: int) -> None:
        """Record one delay, and write a log line if one is due."""
        self._delays.observe({}, delay_ms)
        if delay_ms >= LOGGED_DELAY_MS:
            self._max_delay_ms = max(self._max_delay_ms, delay_ms)
            self._delay_count += 1
        if not self._delay_count or now_ms - self._logged_ms < MIN_LOG_INTERVAL_MS:
            return
        log_event(Event.LOOP_LATE, most_ms=self._max_delay_ms, times=self._delay_count)
        self._logged_ms = now_ms
        self._max_delay_ms = self._delay_count = 0
