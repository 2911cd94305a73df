"""Concurrency limit of an upstream: which requests run, wait or are refused."""

import collections
import dataclasses
import math
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_routing.queues import QueuedRequest

if t.TYPE_CHECKING:
    from fuchsiahatch_routing.queues import Queue

#: Weight of the latest service time in the moving average.
SERVICE_MEAN_WEIGHT = 0.1
#: Bounds of the retry delay that a refused caller is given.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """A request has been given a slot.

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
    """A request is refused before it was run.

    Attributes
    ----------
    ticket : int
    team : str
    code : Code
    detail : str
    retry_after_ms : int
        Expected time until a slot is free, by the queue and the service time.
    """

    ticket: int
    team: str
    code: Code
    detail: str
    retry_after_ms: int


Effect = Admit | Refuse


class Limiter:
    """Assigns the slots of an upstream.

    Parameters
    ----------
    limit : int
        Number of slots.
    queue : Queue
        Decides which request has the next free slot.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_last_ticket",
        "_mean_service_ms",
        "_queue",
        "_started",
        "in_flight",
        "limit",
    )

    def __init__(self, limit: int, queue: "Queue") -> None:
        self.limit = limit
        self.in_flight = 0
        self._queue = queue
        self._last_ticket = 0
        self._mean_service_ms: float | None = None
        self._started: dict[str, collections.deque[tuple[int, float]]] = {}

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def arrive(
        self, team: str, priority: int, deadline_ms: int, now_ms: int
    ) -> tuple[int, list[Effect]]:
        """Admit, queue or refuse a request.

        Parameters
        ----------
        team : str
        priority : int
            Smaller goes first.
        deadline_ms : int
            Time left until the request's deadline.
        now_ms : int

        Returns
        -------
        ticket : int
        effects : list of Admit or Refuse
            Those of the request, and of another one that is evicted for it.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        waiting = QueuedRequest(ticket, team, priority, now_ms, now_ms + deadline_ms)
        if self._cannot_meet(waiting, now_ms):
            detail = f"the queue here leaves no time for a deadline of {deadline_ms} ms"
            return ticket, [self._refuse(waiting, Code.DEADLINE_TOO_NEAR, detail)]
        evicted = self._queue.push(waiting)
        effects = self._admit_waiting(now_ms)
        if evicted is not None:
            detail = "this upstream and its queue are full"
            effects.append(self._refuse(evicted, Code.OVERLOADED, detail))
        return ticket, effects

    def finish(self, team: str, now_ms: int) -> list[Effect]:
        """Release a slot that a team's request held, and assign it again."""
        self.in_flight -= 1
        started = self._started[team]
        # The caller doesn't say which of a team's requests ended. Taking the oldest
        # is enough: the sum of the service times over all of them is the same.
        started_ms, charged_ms = started.popleft()
        if not started:
            del self._started[team]
        service_ms = now_ms - started_ms
        self._queue.adjust_charge(team, service_ms - charged_ms)
        self._note_service(service_ms)
        effects = self._admit_waiting(now_ms)
        if not self.in_flight:
            self._queue.reset()
        return effects

    def expire(self, now_ms: int) -> list[Effect]:
        """Refuse the requests whose deadline has passed while they waited."""
        expired = [one for one in self._queue if one.expires_ms <= now_ms]
        for waiting in expired:
            self._queue.remove(waiting.ticket)
        detail = "the deadline passed in the queue"
        return [self._refuse(one, Code.DEADLINE_PASSED, detail) for one in expired]

    def withdraw(self, ticket: int) -> bool:
        """Remove a request from the queue; False when it isn't queued."""
        return self._queue.remove(ticket) is not None

    def _cannot_meet(self, waiting: QueuedRequest, now_ms: int) -> bool:
        # With a slot free a request is always admitted, whatever the estimate:
        # only requests that run correct the estimate, so after one slow period
        # short deadlines would otherwise be refused indefinitely.
        if self.in_flight < self.limit or self._mean_service_ms is None:
            return False
        done_ms = self._wait_ms(waiting.team) + self._mean_service_ms
        return now_ms + done_ms > waiting.expires_ms

    def _admit_waiting(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        charged_ms = self._mean_service_ms or 1.0
        while self.in_flight < self.limit:
            taken = self._queue.pop(charged_ms)
            if taken is None:
                break
            effects.append(self._start(taken, charged_ms, now_ms))
        return effects

    def _start(self, taken: QueuedRequest, charged_ms: float, now_ms: int) -> Effect:
        if taken.expires_ms <= now_ms:
            self._queue.adjust_charge(taken.team, -charged_ms)
            detail = "the deadline passed in the queue"
            return self._refuse(taken, Code.DEADLINE_PASSED, detail)
        self.in_flight += 1
        started = self._started.setdefault(taken.team, collections.deque())
        started.append((now_ms, charged_ms))
        return Admit(taken.ticket, taken.team, now_ms - taken.arrived_ms)

    def _note_service(self, service_ms: float) -> None:
        if self._mean_service_ms is None:
            self._mean_service_ms = float(service_ms)
        self._mean_service_ms += SERVICE_MEAN_WEIGHT * (
            service_ms - self._mean_service_ms
        )

    def _wait_ms(self, team: str) -> float:
        per_slot_ms = (self._mean_service_ms or 0.0) / self.limit
        return self._queue.estimate_turns(team) * per_slot_ms

    def _refuse(self, waiting: QueuedRequest, code: Code, detail: str) -> Refuse:
        wait_ms = RETRY_AFTER_MS
        if self._mean_service_ms is not None:
            wait_ms = math.ceil(self._wait_ms(waiting.team))
        retry_after_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return Refuse(waiting.ticket, waiting.team, code, detail, retry_after_ms)
