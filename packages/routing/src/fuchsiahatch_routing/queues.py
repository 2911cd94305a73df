"""Who goes next when an upstream is full: a weighted fair queue over teams."""

import collections
import dataclasses
import itertools
import typing as t

ShareOf = t.Callable[[str], float]

#: Classes of priority that are told apart; a larger number counts as the last.
PRIORITY_CLASSES = 3
#: Class of a request that names none.
DEFAULT_PRIORITY = 1
#: Requests of work that a better class may be ahead of its team's turn.
CLASS_ADVANCE = (2.0, 0.0, -2.0)
#: Times that a team's better class may overtake its oldest request in a row.
MAX_OVERTAKES = 8


def equal_shares(team: str) -> float:
    """Give every team the same share."""
    return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a place.

    Attributes
    ----------
    ticket : int
        Its number at this agent, in the order of arrival.
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
    """What the limiter asks of a queue."""

    def __len__(self) -> int:
        """Return how many wait."""

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        """Iterate over all that wait, in no set order."""

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that must go when the queue is full."""

    def pop(self, cost_ms: float) -> QueuedRequest | None:
        """Take the next request out, and charge its team an expected cost."""

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Take one request out of turn."""

    def correct(self, team: str, cost_ms: float) -> None:
        """Charge a team the difference between true and expected cost."""

    def turns_before(self, team: str) -> float:
        """Estimate how many places must come free for a new request of a team."""

    def settle(self) -> None:
        """Forget what is owed, as nothing runs or waits."""


class FifoQueue:
    """First come, first served: the baseline that benches compare with.

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
        """Take the oldest request out."""
        return self.remove(next(iter(self._waiting), -1))

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Take one request out."""
        return self._waiting.pop(ticket, None)

    def correct(self, team: str, cost_ms: float) -> None:
        """Charge nothing."""

    def turns_before(self, team: str) -> float:
        """Return the length, with the new request."""
        return len(self) + 1

    def settle(self) -> None:
        """Forget nothing."""


class _Lane:
    """One team's requests and the virtual time at which its next may start."""

    __slots__ = ("classes", "overtakes", "size", "tag", "weight")

    def __init__(self, tag: float, weight: float) -> None:
        self.classes: tuple[collections.deque[QueuedRequest], ...] = tuple(
            collections.deque() for _ in range(PRIORITY_CLASSES)
        )
        self.overtakes = 0
        self.size = 0
        self.tag = tag
        self.weight = weight

    def add(self, waiting: QueuedRequest) -> None:
        self.classes[_class_of(waiting)].append(waiting)
        self.size += 1

    def remove(self, waiting: QueuedRequest) -> None:
        self.classes[_class_of(waiting)].remove(waiting)
        self.size -= 1

    def drop_newest(self) -> QueuedRequest:
        self.size -= 1
        return next(kept for kept in reversed(self.classes) if kept).pop()

    def head_class(self) -> int:
        waiting = [number for number, kept in enumerate(self.classes) if kept]
        if self.overtakes < MAX_OVERTAKES:
            return waiting[0]
        return min(waiting, key=lambda number: self.classes[number][0].ticket)

    def take(self) -> QueuedRequest:
        taken = self.classes[self.head_class()].popleft()
        self.size -= 1
        overtook = any(kept and kept[0].ticket < taken.ticket for kept in self.classes)
        self.overtakes = self.overtakes + 1 if overtook else 0
        return taken


class FairQueue:
    """Start-time fair queueing over teams, weighted by their shares.

    Parameters
    ----------
    max_waiting : int
        Requests kept over all teams.
    share_of : callable
        A team's share; only the ratios between teams matter.

    Notes
    -----
    Guards against a team that floods: in a first-come queue every other team's
    requests wait behind the flood. Here each team has its own lane; the lane
    that has had the least service for its share goes next, so a team within its
    share waits for about one request however long another's lane is. A lane
    that is empty saves nothing up, so that an unused share is lent.

    A full queue pushes out the newest request of the lane that is longest for
    its share: else the flood would fill the queue and quiet teams be refused.

    Cost is time in a place, not requests: else a team with long answers would
    hold more than its share. The better class of priority starts at most
    `CLASS_ADVANCE` requests early and pays in full, so that no class starves.

    .. versionadded:: 0.1
    """

    __slots__ = ("_lanes", "_max_waiting", "_now", "_share_of", "_size")

    def __init__(self, max_waiting: int, share_of: ShareOf = equal_shares) -> None:
        self._max_waiting = max_waiting
        self._share_of = share_of
        self._lanes: dict[str, _Lane] = {}
        self._now = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> t.Iterator[QueuedRequest]:
        kept = [kept for lane in self._lanes.values() for kept in lane.classes]
        return iter(list(itertools.chain.from_iterable(kept)))

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that must go when the queue is full."""
        lane = self._lane(waiting.team)
        if not lane.size:
            lane.tag = max(lane.tag, self._now)
        lane.add(waiting)
        self._size += 1
        if self._size <= self._max_waiting:
            return None
        return self._push_out()

    def pop(self, cost_ms: float) -> QueuedRequest | None:
        """Take the next request out, and charge its team an expected cost."""
        lanes = [lane for lane in self._lanes.values() if lane.size]
        if not lanes:
            return None
        self._now = max(self._now, min(lane.tag for lane in lanes))
        lane = min(lanes, key=lambda lane: _turn_of(lane, cost_ms))
        taken = lane.take()
        lane.tag += cost_ms / lane.weight
        self._size -= 1
        self._forget_paid()
        return taken

    def remove(self, ticket: int) -> QueuedRequest | None:
        """Take one request out of turn."""
        found = next((waiting for waiting in self if waiting.ticket == ticket), None)
        if found is not None:
            self._lanes[found.team].remove(found)
            self._size -= 1
        return found

    def correct(self, team: str, cost_ms: float) -> None:
        """Charge a team the difference between true and expected cost."""
        lane = self._lane(team)
        lane.tag += cost_ms / lane.weight

    def turns_before(self, team: str) -> float:
        """Estimate how many places must come free for a new request of a team."""
        own = self._lanes.get(team)
        weight = self._weight(team)
        others = sum(
            lane.weight
            for lane in self._lanes.values()
            if lane.size and lane is not own
        )
        own_turns = (1 if own is None else own.size + 1) * (others + weight) / weight
        return min(self._size + 1, own_turns)

    def settle(self) -> None:
        """Forget what is owed, as nothing runs or waits."""
        self._lanes.clear()
        self._now = 0.0

    def _lane(self, team: str) -> _Lane:
        lane = self._lanes.get(team)
        if lane is None:
            lane = self._lanes[team] = _Lane(self._now, self._weight(team))
        return lane

    def _weight(self, team: str) -> float:
        # A share of 0 would be a lane that never has its turn.
        return max(self._share_of(team), _LEAST_SHARE)

    def _push_out(self) -> QueuedRequest:
        lane = max(self._lanes.values(), key=lambda lane: lane.size / lane.weight)
        self._size -= 1
        return lane.drop_newest()

    def _forget_paid(self) -> None:
        paid = [
            team
            for team, lane in self._lanes.items()
            if not lane.size and lane.tag <= self._now
        ]
        for team in paid:
            del self._lanes[team]


_LEAST_SHARE = 0.01


def _class_of(waiting: QueuedRequest) -> int:
    return min(max(waiting.priority, 0), PRIORITY_CLASSES - 1)


def _turn_of(lane: _Lane, cost_ms: float) -> float:
    return lane.tag - CLASS_ADVANCE[lane.head_class()] * cost_ms / lane.weight
