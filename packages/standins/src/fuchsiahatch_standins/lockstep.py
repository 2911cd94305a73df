"""Rank engines that run in lock-step and check themselves at each step."""

import dataclasses
import typing as t

from fuchsiahatch_experts.grants import EngineState, Order, Window


class RankEngine:
    """One rank's engine: it holds windows and runs their steps.

    Parameters
    ----------
    fences : bool
        Whether it refuses old fencing numbers and windows that don't fit. One
        that doesn't puts any window in place of what it was going to run.
    """

    __slots__ = ("epoch", "fence", "fences", "last", "step", "weights", "windows")

    def __init__(self, fences: bool) -> None:
        self.fences = fences
        self.fence = 0
        self.epoch = 0
        self.step = 0
        self.windows: list[Window] = []
        self.last: Window | None = None
        self.weights: set[int] = set()

    def state(self) -> EngineState:
        """Return what the engine says of itself."""
        return EngineState(self.epoch, self.step, self.last, frozenset(self.weights))

    def take(self, order: Order) -> EngineState | None:
        """Carry out an order; None refuses it."""
        if self.fences and 0 < order.term < self.fence:
            return None
        self.fence = max(self.fence, order.term)
        if order.begin and order.epoch > self.epoch:
            self.epoch = order.epoch
            self.step = 0
            self.windows = []
            self.last = None
        if order.window is not None and order.epoch == self.epoch:
            self._plan(order.window)
        return self.state()

    def run_step(self) -> tuple[int, int, int] | None:
        """Run one step where granted; return epoch, step and map version."""
        for window in self.windows:
            if window.start <= self.step < window.end:
                ran = (self.epoch, self.step, window.map_version)
                self.step += 1
                return ran
        return None

    def may_run(self) -> bool:
        """Say whether the next step is granted."""
        return any(window.start <= self.step < window.end for window in self.windows)

    def _plan(self, window: Window) -> None:
        end = 0 if self.last is None else self.last.end
        if self.fences and window.start != end:
            return
        kept = [one for one in self.windows if one.end <= window.start]
        self.windows = [*kept, window]
        self.last = window


@dataclasses.dataclass(slots=True)
class Counts:
    """What a group has counted.

    Attributes
    ----------
    steps : int
        Steps run by all ranks.
    violations : int
        Steps in which two ranks had different maps.
    refused_orders : int
        Orders with an old fencing number.
    maps_used : set of int
        Map versions that steps ran under.
    """

    steps: int = 0
    violations: int = 0
    refused_orders: int = 0
    maps_used: set[int] = dataclasses.field(default_factory=set)


class LockStepGroup:
    """All engines of one group.

    Parameters
    ----------
    ranks : int
    fences : bool
        As for `RankEngine`.
    compute_ms : sequence of float
        Compute time per step of each rank.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_fences", "compute_ms", "counts", "engines")

    def __init__(self, ranks: int, fences: bool, compute_ms: t.Sequence[float]) -> None:
        self._fences = fences
        self.compute_ms = list(compute_ms)
        self.counts = Counts()
        self.engines = [RankEngine(fences) for _ in range(ranks)]

    def order(self, rank: int, order: Order) -> EngineState | None:
        """Give one rank's engine an order; None when it refuses."""
        state = self.engines[rank].take(order)
        self.counts.refused_orders += state is None
        return state

    def replace(self, rank: int) -> None:
        """Put a new engine in place of a lost one."""
        self.engines[rank] = RankEngine(self._fences)

    def run_step(self) -> bool:
        """Run one step on all ranks, if all may; count what differs."""
        places = {(engine.epoch, engine.step) for engine in self.engines}
        if len(places) > 1 or not all(engine.may_run() for engine in self.engines):
            return False
        ran = [engine.run_step() for engine in self.engines]
        maps = {step[2] for step in ran if step is not None}
        self.counts.steps += 1
        self.counts.violations += len(maps) > 1
        self.counts.maps_used |= maps
        return True
