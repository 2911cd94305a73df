"""Queues for requests to a full upstream: weighted fair queueing over teams."""

import collections
import dataclasses
import itertools
import typing as t

ShareOf = t.Callable[[str], float]
Admits = t.Callable[[int], bool]

#: Number of priority classes; a larger priority counts as the last class.
PRIORITY_CLASSES = 3
#: Class of a request without a priority.
DEFAULT_PRIORITY = 1
#: Offset of each class from its team's start tag, in requests; positive is earlier.
CLASS_ADVANCE = (2.0, 0.0, -2.0)
#: Times in a row that a higher-priority request may overtake its team's oldest one.
MAX_OVERTAKES = 8
#: One in this many requests that leave a `ClassQueue` is the oldest of the less urgent
#: classes, as long as any of these wait.
PASSED_OVER_INTERVAL = 8


def admit_all(priority: int) -> bool:
    """Admit the requests of every priority."""
    return True


def equal_shares(team: str) -> float:
    """Return the same share for every team."""
    return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    Attributes
    ----------
    ticket : int
        Number of the request in this queue, in the order of arrival.
    team : str
    priority : int
        Its class; smaller goes first.
    arrived_ms, expires_ms : int
    """

    ticket: int
    team: str
    priority: int
    arrived_ms: int
    expires_ms: int


class Queue(t.Protocol):
    """Interface that the limiter requires of a queue."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        """Iterate over all queued requests, in no particular order."""

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that is evicted when the queue is full."""

    def pop(self, cost_ms: float) -> QueuedRequest | None:
        """Remove the next request and charge its team an expected cost."""

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove one request out of turn and return it."""

    def adjust_charge(self, team: str, cost_ms: float) -> None:
        """Charge a team the difference between actual and expected cost."""

    def estimate_turns(self, team: str) -> float:
        """Estimate how many slots must be freed before a new request of a team runs."""

    def reset(self) -> None:
        """Clear all charges, as nothing runs or waits."""


class FifoQueue:
    """First come, first served: the baseline for benchmarks.

    Parameters
    ----------
    max_waiting : int

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_max_waiting", "_waiting")

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._waiting: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        return iter(list(self._waiting.values()))

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request, or return it when the queue is full."""
        if len(self) >= self._max_waiting:
            return waiting
        self._waiting[waiting.ticket] = waiting
        return None

    def pop(self, cost_ms: float) -> QueuedRequest | None:
        """Remove and return the oldest request."""
        return self.remove(next(iter(self._waiting), -1))

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove one request and return it."""
        return self._waiting.pop(ticket, None)

    def adjust_charge(self, team: str, cost_ms: float) -> None:
        """Do nothing, as no team is charged."""

    def estimate_turns(self, team: str) -> float:
        """Return the length including the new request."""
        return len(self) + 1

    def reset(self) -> None:
        """Do nothing, as no team is charged."""


class _Flow:
    """One team's requests, and the virtual start time (start tag) of its next one."""

    __slots__ = ("classes", "overtakes", "size", "start_tag", "weight")

    def __init__(self, start_tag: float, weight: float) -> None:
        self.classes: tuple[collections.deque[QueuedRequest], ...] = tuple(
            collections.deque() for _ in range(PRIORITY_CLASSES)
        )
        self.overtakes = 0
        self.size = 0
        self.start_tag = start_tag
        self.weight = weight

    def add(self, waiting: QueuedRequest) -> None:
        self.classes[_class_of(waiting)].append(waiting)
        self.size += 1

    def remove(self, waiting: QueuedRequest) -> None:
        self.classes[_class_of(waiting)].remove(waiting)
        self.size -= 1

    def drop_newest(self) -> QueuedRequest:
        self.size -= 1
        return next(requests for requests in reversed(self.classes) if requests).pop()

    def next_class(self) -> int:
        waiting = [number for number, requests in enumerate(self.classes) if requests]
        if self.overtakes < MAX_OVERTAKES:
            return waiting[0]
        return min(waiting, key=lambda number: self.classes[number][0].ticket)

    def first(self) -> QueuedRequest:
        return self.classes[self.next_class()][0]

    def take(self) -> QueuedRequest:
        taken = self.classes[self.next_class()].popleft()
        self.size -= 1
        overtook = any(
            requests and requests[0].ticket < taken.ticket for requests in self.classes
        )
        self.overtakes = self.overtakes + 1 if overtook else 0
        return taken


class FairQueue:
    """Start-time fair queueing over teams, weighted by their shares.

    Parameters
    ----------
    max_waiting : int
        Maximum of queued requests over all teams.
    share_of : callable
        Returns a team's share; only the ratios between teams matter.

    Notes
    -----
    Guards against a team that floods: in a first-come queue the requests of all
    other teams wait for the flood. Here each team is a flow of its own; the flow
    that has had the least service for its share goes next, so a team within its
    share waits for about one request however long another team's flow is. An
    empty flow accumulates no credit, so that unused shares are lent.

    A full queue evicts the newest request of the flow that is longest for its
    share: else the flood would fill the queue and other teams would be refused.

    Cost is the time that a slot is occupied, not the number of requests: else a
    team with long answers would use more than its share. A higher priority class
    starts at most `CLASS_ADVANCE` requests early and is charged in full, so that
    no class starves.

    .. versionadded:: 0.1
    """

    __slots__ = ("_flows", "_max_waiting", "_share_of", "_size", "_virtual_time")

    def __init__(self, max_waiting: int, share_of: ShareOf = equal_shares) -> None:
        self._max_waiting = max_waiting
        self._share_of = share_of
        self._flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        requests = [
            requests for flow in self._flows.values() for requests in flow.classes
        ]
        return iter(list(itertools.chain.from_iterable(requests)))

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that is evicted when the queue is full."""
        flow = self._flow(waiting.team)
        if not flow.size:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.add(waiting)
        self._size += 1
        if self._size <= self._max_waiting:
            return None
        return self.evict()

    def evict(self) -> QueuedRequest:
        """Remove the newest request of the flow that is longest for its share.

        The queue must not be empty.
        """
        flow = max(self._flows.values(), key=lambda flow: flow.size / flow.weight)
        self._size -= 1
        return flow.drop_newest()

    def pop(self, cost_ms: float, admits: Admits = admit_all) -> QueuedRequest | None:
        """Remove the next request and charge its team an expected cost.

        Parameters
        ----------
        cost_ms : float
        admits : callable, optional
            Returns whether requests of a priority may leave now.
        """
        flow = self._next_flow(cost_ms)
        if flow is None or not admits(flow.first().priority):
            return None
        self._virtual_time = max(
            self._virtual_time,
            min(flow.start_tag for flow in self._flows.values() if flow.size),
        )
        taken = flow.take()
        flow.start_tag += cost_ms / flow.weight
        self._size -= 1
        self._drop_idle_teams()
        return taken

    def peek(self, cost_ms: float, admits: Admits = admit_all) -> QueuedRequest | None:
        """Return the request that `pop` would return for the same arguments."""
        flow = self._next_flow(cost_ms)
        if flow is None or not admits(flow.first().priority):
            return None
        return flow.first()

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove one request out of turn and return it."""
        removed = next((waiting for waiting in self if waiting.ticket == ticket), None)
        if removed is not None:
            self._flows[removed.team].remove(removed)
            self._size -= 1
        return removed

    def adjust_charge(self, team: str, cost_ms: float) -> None:
        """Charge a team the difference between actual and expected cost."""
        flow = self._flow(team)
        flow.start_tag += cost_ms / flow.weight

    def estimate_turns(self, team: str) -> float:
        """Estimate how many slots must be freed before a new request of a team runs."""
        existing = self._flows.get(team)
        weight = self._weight(team)
        other_weights = sum(
            flow.weight
            for flow in self._flows.values()
            if flow.size and flow is not existing
        )
        team_turns = (
            (1 if existing is None else existing.size + 1)
            * (other_weights + weight)
            / weight
        )
        return min(self._size + 1, team_turns)

    def reset(self) -> None:
        """Clear all charges, as nothing runs or waits."""
        self._flows.clear()
        self._virtual_time = 0.0

    def _next_flow(self, cost_ms: float) -> _Flow | None:
        backlogged = [flow for flow in self._flows.values() if flow.size]
        return min(
            backlogged, key=lambda flow: _start_order(flow, cost_ms), default=None
        )

    def _flow(self, team: str) -> _Flow:
        flow = self._flows.get(team)
        if flow is None:
            flow = self._flows[team] = _Flow(self._virtual_time, self._weight(team))
        return flow

    def _weight(self, team: str) -> float:
        # A flow with a share of 0 would never be served.
        return max(self._share_of(team), _MIN_SHARE)

    def _drop_idle_teams(self) -> None:
        idle = [
            team
            for team, flow in self._flows.items()
            if not flow.size and flow.start_tag <= self._virtual_time
        ]
        for team in idle:
            del self._flows[team]


class ClassQueue:
    """Strict priority classes, with fair queueing over the teams of each class.

    Parameters
    ----------
    max_waiting : int
        Maximum of queued requests over all classes.
    share_of : callable
        Returns a team's share; only the ratios between teams matter.

    Notes
    -----
    The most urgent class goes first, whichever team is next. In `FairQueue` a class is
    at most `CLASS_ADVANCE` requests ahead of other teams, so a burst of urgent requests
    waits among all others and is served late.

    One in `PASSED_OVER_INTERVAL` requests that leave is the oldest of the less urgent
    classes that may leave, whatever its team, and is charged to that team. A full queue
    evicts from its least urgent class, but not the last request of a class. Both keep a
    lasting burst from starving a class.

    .. versionadded:: 0.1
    """

    __slots__ = ("_by_class", "_max_waiting", "_passes", "_share_of")

    def __init__(self, max_waiting: int, share_of: ShareOf = equal_shares) -> None:
        self._max_waiting = max_waiting
        self._share_of = share_of
        self._by_class: dict[int, FairQueue] = {}
        #: Requests in a row that left ahead of waiting ones of less urgent classes.
        self._passes = 0

    def __len__(self) -> int:
        return sum(map(len, self._by_class.values()))

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        return itertools.chain.from_iterable(list(self._by_class.values()))

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that is evicted when the queue is full."""
        queue = self._by_class.get(waiting.priority)
        if queue is None:
            queue = FairQueue(self._max_waiting, self._share_of)
            self._by_class[waiting.priority] = queue
        evicted = queue.push(waiting)
        if evicted is not None or len(self) <= self._max_waiting:
            return evicted
        return self._evict()

    def pop(self, cost_ms: float, admits: Admits = admit_all) -> QueuedRequest | None:
        """Remove the next request and charge its team an expected cost.

        Parameters
        ----------
        cost_ms : float
        admits : callable, optional
            Returns whether requests of a class may leave now. A class that may not
            holds back all less urgent ones.
        """
        most_urgent, *passed_over = self._queues_by_urgency() or (None,)
        if most_urgent is None or not admits(most_urgent.peek(cost_ms).priority):
            return None
        self._passes = self._passes + 1 if passed_over else 0
        oldest = self._due(passed_over, admits)
        if oldest is None:
            return most_urgent.pop(cost_ms)
        self._passes = 0
        queue = self._by_class[oldest.priority]
        queue.remove(oldest.ticket)
        queue.adjust_charge(oldest.team, cost_ms)
        return oldest

    def peek(self, cost_ms: float, admits: Admits = admit_all) -> QueuedRequest | None:
        """Return the request that `pop` would return for the same arguments."""
        most_urgent, *passed_over = self._queues_by_urgency() or (None,)
        if most_urgent is None or not admits(most_urgent.peek(cost_ms).priority):
            return None
        return self._due(passed_over, admits, 1) or most_urgent.peek(cost_ms)

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Remove one request out of turn and return it."""
        removals = (queue.remove(ticket) for queue in self._by_class.values())
        return next((removed for removed in removals if removed is not None), None)

    def _queues_by_urgency(self) -> list[FairQueue]:
        """Return the queues of the classes that wait, the most urgent first."""
        return [queue for _, queue in sorted(self._by_class.items()) if len(queue)]

    def _due(
        self, passed_over: list[FairQueue], admits: Admits, further: int = 0
    ) -> QueuedRequest | None:
        """Return the oldest request that was passed over, if its turn has come."""
        if not passed_over or self._passes + further < PASSED_OVER_INTERVAL:
            return None
        waiting = itertools.chain.from_iterable(passed_over)
        admitted = (request for request in waiting if admits(request.priority))
        return min(admitted, key=lambda request: request.ticket, default=None)

    def _evict(self) -> QueuedRequest:
        waiting = self._queues_by_urgency()
        spare = [queue for queue in waiting if len(queue) > 1]
        return (spare or waiting)[-1].evict()


_MIN_SHARE = 0.01


def _class_of(waiting: QueuedRequest) -> int:
    return min(max(waiting.priority, 0), PRIORITY_CLASSES - 1)


def _start_order(flow: _Flow, cost_ms: float) -> float:
    return flow.start_tag - CLASS_ADVANCE[flow.next_class()] * cost_ms / flow.weight
