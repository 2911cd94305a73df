"""Plays arrivals against a limiter on a manual clock, and writes what happened."""

import dataclasses
import heapq
import itertools

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_routing.limits import Admit


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request: when it comes, whose it is and how long it runs."""

    at_ms: int
    team: str
    service_ms: int = 50
    deadline_ms: int = 30_000
    priority: int = 1


class Session:
    """The events of one run, in order of time and then of their making."""

    def __init__(self, limiter):
        self.clock = ManualClock()
        self.effects = []
        self.lines = []
        self._limiter = limiter
        self._events = []
        self._order = itertools.count()
        self._running = {}

    def play(self, arrivals):
        """Play all arrivals to their ends; waiting deadlines are timers."""
        for arrival in arrivals:
            self._at(arrival.at_ms, self._arrive, arrival)
        while self._events:
            at_ms, _, act, argument = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            act(argument)
        return self

    def waits(self, prefix):
        """Return the waiting times of the teams whose name starts so."""
        admits = (effect for effect in self.effects if isinstance(effect, Admit))
        return [one.waited_ms for one in admits if one.team.startswith(prefix)]

    def _at(self, at_ms, act, argument):
        heapq.heappush(self._events, (at_ms, next(self._order), act, argument))

    def _arrive(self, arrival):
        now_ms = self.clock.now_ms()
        ticket, effects = self._limiter.arrive(
            arrival.team, arrival.priority, arrival.deadline_ms, now_ms
        )
        self._running[ticket] = arrival
        self._at(now_ms + arrival.deadline_ms, self._expire, None)
        self._note(effects)

    def _finish(self, team):
        self._note(self._limiter.finish(team, self.clock.now_ms()))

    def _expire(self, _):
        self._note(self._limiter.expire(self.clock.now_ms()))

    def _note(self, effects):
        self.effects.extend(effects)
        for effect in effects:
            where = f"{self.clock.now_ms():>6} ms  #{effect.ticket:<3} {effect.team:<8}"
            if isinstance(effect, Admit):
                end_ms = self.clock.now_ms() + self._running[effect.ticket].service_ms
                self._at(end_ms, self._finish, effect.team)
                self.lines.append(f"{where} admitted after {effect.waited_ms} ms")
            else:
                self.lines.append(
                    f"{where} {effect.code.name}, again in {effect.retry_after_ms} ms"
                )
