"""How many requests run at once at an upstream, who waits and who is refused."""

import collections
import dataclasses
import math
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_routing.queues import QueuedRequest

if t.TYPE_CHECKING:
    from fuchsiahatch_routing.queues import Queue

#: Weight of the newest service time in the running mean.
SERVICE_MEAN_WEIGHT = 0.1
#: Shortest and longest time that a refused caller is told to wait.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """A request has a place.

    Attributes
    ----------
    ticket : int
    team : str
    waited_ms : int
    """

    ticket: int
    team: str
    waited_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """A request is given up before it was run.

    Attributes
    ----------
    ticket : int
    team : str
    code : Code
    detail : str
    retry_after_ms : int
        When a place should be free, by the queue and the rate it moves at.
    """

    ticket: int
    team: str
    code: Code
    detail: str
    retry_after_ms: int


Effect = Admit | Refuse


class Limiter:
    """Gives out an upstream's places.

    Parameters
    ----------
    limit : int
        Places.
    queue : Queue
        Decides who has the next free place.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_counter", "_queue", "_service_ms", "_started", "in_flight", "limit")

    def __init__(self, limit: int, queue: "Queue") -> None:
        self.limit = limit
        self.in_flight = 0
        self._queue = queue
        self._counter = 0
        self._service_ms: float | None = None
        self._started: dict[str, collections.deque[tuple[int, float]]] = {}

    @property
    def queued(self) -> int:
        """How many wait."""
        return len(self._queue)

    def arrive(
        self, team: str, priority: int, deadline_ms: int, now_ms: int
    ) -> tuple[int, list[Effect]]:
        """Take a request in.

        Parameters
        ----------
        team : str
        priority : int
            Smaller goes first.
        deadline_ms : int
            Time that is left for the whole of it.
        now_ms : int

        Returns
        -------
        ticket : int
        effects : list of Admit or Refuse
            The request's own, and that of another which is pushed out for it.
        """
        self._counter += 1
        ticket = self._counter
        waiting = QueuedRequest(ticket, team, priority, now_ms, now_ms + deadline_ms)
        if self._cannot_meet(waiting, now_ms):
            detail = f"the queue here leaves no time for a deadline of {deadline_ms} ms"
            return ticket, [self._refuse(waiting, Code.DEADLINE_TOO_NEAR, detail)]
        pushed_out = self._queue.push(waiting)
        effects = self._fill(now_ms)
        if pushed_out is not None:
            detail = "this upstream and its queue are full"
            effects.append(self._refuse(pushed_out, Code.OVERLOADED, detail))
        return ticket, effects

    def finish(self, team: str, now_ms: int) -> list[Effect]:
        """Take back a place of a team, and give it on."""
        self.in_flight -= 1
        started = self._started[team]
        # Which of a team's requests ended isn't told; over all of them the sum
        # of the times is the same.
        started_ms, charged_ms = started.popleft()
        if not started:
            del self._started[team]
        service_ms = now_ms - started_ms
        self._queue.correct(team, service_ms - charged_ms)
        self._note_service(service_ms)
        effects = self._fill(now_ms)
        if not self.in_flight:
            self._queue.settle()
        return effects

    def expire(self, now_ms: int) -> list[Effect]:
        """Give up the requests whose deadline has passed while they waited."""
        expired = [one for one in self._queue if one.expires_ms <= now_ms]
        for waiting in expired:
            self._queue.remove(waiting.ticket)
        detail = "the deadline passed in the queue"
        return [self._refuse(one, Code.DEADLINE_PASSED, detail) for one in expired]

    def withdraw(self, ticket: int) -> bool:
        """Take a request out of the queue; False when it doesn't wait there."""
        return self._queue.remove(ticket) is not None

    def _cannot_meet(self, waiting: QueuedRequest, now_ms: int) -> bool:
        # With a place free a request is always let in, however slow the estimate
        # says it will be: only what runs corrects the estimate, and one slow
        # spell would else refuse short deadlines for ever.
        if self.in_flight < self.limit or self._service_ms is None:
            return False
        done_ms = self._wait_ms(waiting.team) + self._service_ms
        return now_ms + done_ms > waiting.expires_ms

    def _fill(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        charged_ms = self._service_ms or 1.0
        while self.in_flight < self.limit:
            taken = self._queue.pop(charged_ms)
            if taken is None:
                break
            effects.append(self._start(taken, charged_ms, now_ms))
        return effects

    def _start(self, taken: QueuedRequest, charged_ms: float, now_ms: int) -> Effect:
        if taken.expires_ms <= now_ms:
            self._queue.correct(taken.team, -charged_ms)
            detail = "the deadline passed in the queue"
            return self._refuse(taken, Code.DEADLINE_PASSED, detail)
        self.in_flight += 1
        started = self._started.setdefault(taken.team, collections.deque())
        started.append((now_ms, charged_ms))
        return Admit(taken.ticket, taken.team, now_ms - taken.arrived_ms)

    def _note_service(self, service_ms: float) -> None:
        if self._service_ms is None:
            self._service_ms = float(service_ms)
        self._service_ms += SERVICE_MEAN_WEIGHT * (service_ms - self._service_ms)

    def _wait_ms(self, team: str) -> float:
        per_place_ms = (self._service_ms or 0.0) / self.limit
        return self._queue.turns_before(team) * per_place_ms

    def _refuse(self, waiting: QueuedRequest, code: Code, detail: str) -> Refuse:
        wait_ms = RETRY_AFTER_MS
        if self._service_ms is not None:
            wait_ms = math.ceil(self._wait_ms(waiting.team))
        retry_after_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return Refuse(waiting.ticket, waiting.team, code, detail, retry_after_ms)
