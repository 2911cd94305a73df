"""Rank health: naming a straggler from its own compute time."""

import dataclasses
import statistics
import typing as t

#: A rank whose compute time is this many percent of the others' median is slow.
SLOW_PERCENT = 130
#: Looks in a row after which a slow rank is named, and a named one cleared.
LOOKS = 5
_WHOLE_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StepTime:
    """One step of one rank.

    Attributes
    ----------
    compute_ms : float
        Time that the rank itself computed.
    wait_ms : float
        Time that it waited for the others at the step's end. All ranks of a
        lock-step group show the same sum; only this split tells who is slow.
    """

    compute_ms: float
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StragglersChanged:
    """Effect: the ranks that straggle now, for `AgentReport.stragglers`."""

    ranks: frozenset[int]


def find_slow_ranks(
    compute_ms: t.Mapping[int, float], slow_percent: float = SLOW_PERCENT
) -> frozenset[int]:
    """Return the ranks that compute for much longer than the others.

    Parameters
    ----------
    compute_ms : mapping of int to float
        Smoothed compute time per step by rank.
    slow_percent : float
        From how many percent of the other ranks' median a rank is slow.
    """
    return frozenset(
        rank
        for rank, own_ms in compute_ms.items()
        if own_ms * _WHOLE_PERCENT > _median_of_others(compute_ms, rank) * slow_percent
    )


class Smoother:
    """Smooths one rank's compute time over its steps.

    Parameters
    ----------
    weight : float
        Weight of the newest step, above 0 and up to 1.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_weight", "compute_ms")

    def __init__(self, weight: float = 0.1) -> None:
        self._weight = weight
        self.compute_ms = 0.0

    def add(self, step: StepTime) -> float:
        """Take one step and return the smoothed compute time."""
        if not self.compute_ms:
            self.compute_ms = step.compute_ms
        self.compute_ms += self._weight * (step.compute_ms - self.compute_ms)
        return self.compute_ms


class StragglerDetector:
    """Names stragglers once they have been slow for some looks in a row.

    Parameters
    ----------
    slow_percent : float
        As for `find_slow_ranks`.
    looks : int
        Looks in a row before a rank is named or cleared.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_looks", "_runs", "_slow_percent", "stragglers")

    def __init__(self, slow_percent: float = SLOW_PERCENT, looks: int = LOOKS) -> None:
        self._slow_percent = slow_percent
        self._looks = looks
        self._runs: dict[int, int] = {}
        self.stragglers: frozenset[int] = frozenset()

    def check(self, compute_ms: t.Mapping[int, float]) -> list[StragglersChanged]:
        """Compare the ranks once; return an effect when the names change."""
        slow = find_slow_ranks(compute_ms, self._slow_percent)
        # Guards against one long step, such as a garbage collection: the rank
        # would be named, lose its requests and get them back, over and over.
        differing = slow ^ self.stragglers
        self._runs = {rank: self._runs.get(rank, 0) + 1 for rank in differing}
        turned = {rank for rank, run in self._runs.items() if run >= self._looks}
        if not turned:
            return []
        self.stragglers ^= turned
        for rank in turned:
            del self._runs[rank]
        return [StragglersChanged(self.stragglers)]


def _median_of_others(compute_ms: t.Mapping[int, float], rank: int) -> float:
    others = [value for other, value in compute_ms.items() if other != rank]
    return statistics.median(others) if others else compute_ms[rank]
