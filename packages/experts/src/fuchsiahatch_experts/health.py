"""Rank health: detecting stragglers by their compute time."""

import dataclasses
import statistics
import typing as t

#: A rank is slow above this percentage of the other ranks' median compute time.
SLOW_PERCENT = 130
#: Consecutive checks after which a rank is added to or removed from the stragglers.
MIN_CONSECUTIVE_CHECKS = 5
_WHOLE_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StepTime:
    """One step of one rank.

    Attributes
    ----------
    compute_ms : float
        Time that the rank spent computing.
    wait_ms : float
        Time that it waited for the other ranks at the end of the step. The sum of
        both is the same on all ranks of a lock-step group, so that only the compute
        time identifies a slow rank.
    """

    compute_ms: float
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StragglersChanged:
    """Effect: the current stragglers, for `AgentReport.stragglers`."""

    ranks: frozenset[int]


def find_slow_ranks(
    compute_ms: t.Mapping[int, float], slow_percent: float = SLOW_PERCENT
) -> frozenset[int]:
    """Return the ranks whose compute time is far above that of the others.

    Parameters
    ----------
    compute_ms : mapping of int to float
        Smoothed compute time per step by rank.
    slow_percent : float
        Percentage of the other ranks' median above which a rank is slow.
    """
    return frozenset(
        rank
        for rank, rank_ms in compute_ms.items()
        if rank_ms * _WHOLE_PERCENT > _median_of_others(compute_ms, rank) * slow_percent
    )


class Smoother:
    """Exponentially weighted mean of one rank's compute time per step.

    Parameters
    ----------
    weight : float
        Weight of the latest step, above 0 and up to 1.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_weight", "compute_ms")

    def __init__(self, weight: float = 0.1) -> None:
        self._weight = weight
        self.compute_ms = 0.0

    def add(self, step: StepTime) -> float:
        """Add one step and return the smoothed compute time."""
        if not self.compute_ms:
            self.compute_ms = step.compute_ms
        self.compute_ms += self._weight * (step.compute_ms - self.compute_ms)
        return self.compute_ms


class StragglerDetector:
    """Reports stragglers once they have been slow in several consecutive checks.

    Parameters
    ----------
    slow_percent : float
        As for `find_slow_ranks`.
    checks : int
        Consecutive checks before a rank is added to or removed from the stragglers.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_checks", "_consecutive", "_slow_percent", "stragglers")

    def __init__(
        self, slow_percent: float = SLOW_PERCENT, checks: int = MIN_CONSECUTIVE_CHECKS
    ) -> None:
        self._slow_percent = slow_percent
        self._checks = checks
        self._consecutive: dict[int, int] = {}
        self.stragglers: frozenset[int] = frozenset()

    def check(self, compute_ms: t.Mapping[int, float]) -> list[StragglersChanged]:
        """Compare the ranks once; return an effect when the stragglers change."""
        slow = find_slow_ranks(compute_ms, self._slow_percent)
        # A single long step, such as one with a garbage collection, doesn't count:
        # the rank would lose its requests and get them back, again and again.
        differing = slow ^ self.stragglers
        self._consecutive = {
            rank: self._consecutive.get(rank, 0) + 1 for rank in differing
        }
        changed = {
            rank for rank, count in self._consecutive.items() if count >= self._checks
        }
        if not changed:
            return []
        self.stragglers ^= changed
        for rank in changed:
            del self._consecutive[rank]
        return [StragglersChanged(self.stragglers)]


def _median_of_others(compute_ms: t.Mapping[int, float], rank: int) -> float:
    others = [value for other, value in compute_ms.items() if other != rank]
    return statistics.median(others) if others else compute_ms[rank]
