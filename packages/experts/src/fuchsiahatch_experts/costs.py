"""Costs of a map and of changing it: lost step time and weight transfer."""

import dataclasses
import typing as t

import numpy as np

from fuchsiahatch_experts.maps import count_moves, rank_loads

if t.TYPE_CHECKING:
    import numpy.typing as npt

    from fuchsiahatch_experts.maps import ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class StepShape:
    """Duration of one step on equally loaded ranks.

    Attributes
    ----------
    fixed_ms : float
        Attention, sampling and exchange; the same on every rank.
    expert_ms : float
        All expert layers; grows with the load of the most loaded rank.
    """

    fixed_ms: float
    expert_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStore:
    """The weight store as one rank group sees it.

    Attributes
    ----------
    expert_bytes : int
        Size of one expert's weights in one layer.
    rate_bytes_per_s : int
        Rate limit for the whole group.
    """

    expert_bytes: int
    rate_bytes_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class CostWeights:
    """Weight of each kind of lost time in a deployment's total cost.

    Attributes
    ----------
    skew : float
        Per second by which steps exceed those on equally loaded ranks.
    move : float
        Per second in which weights are fetched.
    """

    skew: float
    move: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prices:
    """Weighted prices that a rebalancing policy compares.

    Attributes
    ----------
    skew : float
        Per millisecond lost to skew.
    move_ms : float
        Per expert fetched, in weighted milliseconds.
    """

    skew: float
    move_ms: float


#: A straggler delays every reply during the evening peak, and weights are fetched while
#: requests are served; docs/design/rebalancing.md explains both ratios.
GERAK_BERSAMA = CostWeights(skew=4.0, move=1.0)
#: Runs are short, and a second spent fetching weights is lost for writing briefs.
GERALDTON = CostWeights(skew=1.0, move=4.0)


def layer_skew(
    expert_map: "ExpertMap", popularity: "npt.NDArray[np.float64]"
) -> "npt.NDArray[np.float64]":
    """Return the highest load of a rank over the mean, per layer.

    Returns
    -------
    ndarray, shape (layers,)
        1 when all ranks are equally loaded, also when a layer has no load.
    """
    loads = rank_loads(expert_map, popularity)
    means = loads.mean(axis=1)
    safe = np.where(means > 0, means, 1.0)
    return np.where(means > 0, loads.max(axis=1) / safe, 1.0)


def step_ms(
    shape: StepShape, expert_map: "ExpertMap", popularity: "npt.NDArray[np.float64]"
) -> float:
    """Return the duration of a step; ranks wait for the slowest in every layer."""
    return shape.fixed_ms + shape.expert_ms * layer_skew(expert_map, popularity).mean()


def move_bytes(store: WeightStore, current: "ExpertMap", target: "ExpertMap") -> int:
    """Return the bytes to fetch to go from one map to another."""
    return int(count_moves(current, target).sum()) * store.expert_bytes


def move_ms(store: WeightStore, current: "ExpertMap", target: "ExpertMap") -> float:
    """Return the time to fetch them at the store's rate limit."""
    return move_bytes(store, current, target) * 1_000 / store.rate_bytes_per_s


def find_prices(weights: CostWeights, store: WeightStore) -> Prices:
    """Return a deployment's prices per millisecond of skew and per expert."""
    fetch_ms = store.expert_bytes * 1_000 / store.rate_bytes_per_s
    return Prices(weights.skew, weights.move * fetch_ms)


def total_cost_ms(weights: CostWeights, lost_ms: float, moved_ms: float) -> float:
    """Return the weighted sum of time lost to skew and time spent fetching."""
    return weights.skew * lost_ms + weights.move * moved_ms
