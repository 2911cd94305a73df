"""Simulates arrivals at a limiter on a manual clock and records the effects."""

import dataclasses
import heapq
import itertools

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_routing.limits import Admit


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request: its time of arrival, team and service time."""

    at_ms: int
    team: str
    service_ms: int = 50
    deadline_ms: int = 30_000
    priority: int = 1


class Session:
    """Event simulation of one run; events at the same time keep their order."""

    def __init__(self, limiter):
        self.clock = ManualClock()
        self.effects = []
        self.lines = []
        self._limiter = limiter
        self._events = []
        self._order = itertools.count()
        self._running = {}

    def play(self, arrivals):
        """Run until all arrivals have ended; deadlines in the queue are timers."""
        for arrival in arrivals:
            self._schedule(arrival.at_ms, self._arrive, arrival)
        while self._events:
            at_ms, _, action, argument = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            action(argument)
        return self

    def waits(self, prefix):
        """Return the waiting times of the teams whose names have a prefix."""
        admits = (effect for effect in self.effects if isinstance(effect, Admit))
        return [one.waited_ms for one in admits if one.team.startswith(prefix)]

    def _schedule(self, at_ms, action, argument):
        heapq.heappush(self._events, (at_ms, next(self._order), action, argument))

    def _arrive(self, arrival):
        now_ms = self.clock.now_ms()
        ticket, effects = self._limiter.arrive(
            arrival.team, arrival.priority, arrival.deadline_ms, now_ms
        )
        self._running[ticket] = arrival
        self._schedule(now_ms + arrival.deadline_ms, self._expire, None)
        self._record(effects)

    def _finish(self, team):
        self._record(self._limiter.finish(team, self.clock.now_ms()))

    def _expire(self, _):
        self._record(self._limiter.expire(self.clock.now_ms()))

    def _record(self, effects):
        self.effects.extend(effects)
        for effect in effects:
            prefix = (
                f"{self.clock.now_ms():>6} ms  #{effect.ticket:<3} {effect.team:<8}"
            )
            if isinstance(effect, Admit):
                end_ms = self.clock.now_ms() + self._running[effect.ticket].service_ms
                self._schedule(end_ms, self._finish, effect.team)
                self.lines.append(f"{prefix} admitted after {effect.waited_ms} ms")
            else:
                self.lines.append(
                    f"{prefix} {effect.code.name}, again in {effect.retry_after_ms} ms"
                )
