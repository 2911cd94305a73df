"""Incremental map changes for a demand that shifts every few seconds."""

import dataclasses
import math
import typing as t

import numpy as np

from fuchsiahatch_experts.maps import ExpertMap, count_moves, rank_loads
from fuchsiahatch_experts.packing import improve_within_budget

if t.TYPE_CHECKING:
    import numpy.typing as npt

    from fuchsiahatch_experts.rank_orders import Placement

#: Experts that a rank copies for one change while passes are short. A copy takes
#: 150 ms, during which passes are 15% longer; with more copies, the demand has shifted
#: before the change takes effect.
COPIES_PER_RANK = 1
#: Minimum fall in a layer's skew per copy.
MIN_COPY_GAIN = 0.05
#: Minimum fall in the mean skew over all layers per change.
MIN_TOTAL_GAIN = 0.05
#: Time constant of the decay of counted choices while few requests run in a group.
#: Demand shifts every 2 to 4 s.
DECAY_TIME_MS = 700.0
#: Requests running in a group up to which that time constant applies: 8 ranks of 4.
#: With more requests, their mix averages out sooner and a long time constant only adds
#: lag. With 350 ms instead of 700 ms and some 110 requests in a group of 32 ranks, 0.77
#: instead of 0.62 of the value of all answers was reached on a day of high load.
SMALL_GROUP_REQUESTS = 32
#: Time constant of the recent demand, which is compared with it to detect shifts.
RECENT_DECAY_TIME_MS = 160.0
#: Change of a layer's demand that always counts as a shift: the sum of the differences
#: of its experts' shares, from 0 to 2. A mix of few requests alone causes some 0.2.
MAX_SHIFT_THRESHOLD = 0.35
#: Multiple of the typical change that counts as a shift too, and the lowest threshold.
#: Where most experts are chosen by all requests alike, a shift that doubles the load of
#: the slowest rank is a change of 0.1, and the mix alone one of 0.02.
SHIFT_THRESHOLD_FACTOR = 3.0
MIN_SHIFT_THRESHOLD = 0.06
#: Time constant of the running mean that tracks the typical change.
TYPICAL_CHANGE_DECAY_TIME_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Plan:
    """A map to switch to.

    Attributes
    ----------
    placement : Placement
    copies : int
    skew_before, skew_after : float
        Highest load of a rank over the mean, averaged over the layers, for the
        estimated demand.
    """

    placement: "Placement"
    copies: int
    skew_before: float
    skew_after: float


#: A running search for a plan, which yields between its steps.
PlanSearch = t.Generator[None, None, Plan | None]


def decay_time_for(requests: int) -> float:
    """Return the time constant of the demand, in ms, for a number of requests.

    It falls with the square root of the number, as the standard error of a mean falls
    with the square root of its sample size.
    """
    return DECAY_TIME_MS * min(1.0, math.sqrt(SMALL_GROUP_REQUESTS / max(requests, 1)))


class Demand:
    """Estimate of how often each expert is chosen, with exponential decay.

    Parameters
    ----------
    layers, experts : int

    Attributes
    ----------
    decay_time_ms : float
        Time constant of the decay of counted choices.
    weight : float
        Decayed number of requests in the estimate.
    shifts : int
        Number of layer shifts detected so far.

    Notes
    -----
    Each rank's report is weighted by the requests that the rank runs, not by its number
    of choices. An engine chooses experts for prompt tokens too, which are nine in ten
    of all tokens and a tenth of the work: a map made for them would follow the latest
    prompts instead of the answers that are being generated.

    A long time constant averages out the mix of requests, but retains outdated demand.
    A layer whose recent demand differs much from the estimate drops its history.
    """

    __slots__ = (
        "_decayed_ms",
        "_recent",
        "_typical_change",
        "_typical_change_ms",
        "decay_time_ms",
        "shifts",
        "weight",
        "weights",
    )

    def __init__(self, layers: int, experts: int) -> None:
        self._decayed_ms: int | None = None
        self.decay_time_ms = DECAY_TIME_MS
        self._recent = np.zeros((layers, experts))
        self.weights = np.zeros((layers, experts))
        self.weight = 0.0
        self.shifts = 0
        #: Running mean of the layers' median change; initially that of a mix of few
        #: requests.
        self._typical_change = MAX_SHIFT_THRESHOLD / SHIFT_THRESHOLD_FACTOR
        self._typical_change_ms: int | None = None

    def add(self, shares: "npt.NDArray[np.float64]", running: int, now_ms: int) -> None:
        """Add one rank's choices since its last report.

        Parameters
        ----------
        shares : ndarray, shape (layers, experts)
            Share of each expert in the choices of its layer.
        running : int
            Requests that the rank runs.
        now_ms : int
        """
        self._decay(now_ms)
        self._recent += running * shares
        self.weights += running * shares
        self.weight += running

    def forget_shifted(self) -> None:
        """Drop the history of layers whose demand has shifted."""
        change = np.abs(_normalize(self._recent) - _normalize(self.weights)).sum(axis=1)
        shifted = change > self._shift_threshold()
        self.weights[shifted] = self._recent[shifted]
        self.shifts += int(shifted.sum())
        self._update_typical_change(float(np.median(change)))

    def _shift_threshold(self) -> float:
        """Return the change of a layer's demand above which it counts as a shift."""
        threshold = max(
            SHIFT_THRESHOLD_FACTOR * self._typical_change, MIN_SHIFT_THRESHOLD
        )
        return min(threshold, MAX_SHIFT_THRESHOLD)

    def _update_typical_change(self, change: float) -> None:
        now_ms, noted_ms = self._decayed_ms, self._typical_change_ms
        self._typical_change_ms = now_ms
        if now_ms is None or noted_ms is None:
            return
        weight = 1.0 - math.exp((noted_ms - now_ms) / TYPICAL_CHANGE_DECAY_TIME_MS)
        self._typical_change += weight * (change - self._typical_change)

    def _decay(self, now_ms: int) -> None:
        if self._decayed_ms is not None:
            age_ms = max(now_ms - self._decayed_ms, 0)
            kept = np.exp(-age_ms / self.decay_time_ms)
            self.weights *= kept
            self.weight *= kept
            self._recent *= np.exp(-age_ms / RECENT_DECAY_TIME_MS)
        self._decayed_ms = now_ms


def _normalize(weights: "npt.NDArray[np.float64]") -> "npt.NDArray[np.float64]":
    totals = weights.sum(axis=1, keepdims=True)
    return weights / np.where(totals > 0, totals, 1.0)


class IndexedMap:
    """A group's map, indexed for repeated evaluation of its skew.

    Parameters
    ----------
    placement : Placement
    experts : int
        Experts per layer.

    Attributes
    ----------
    placement : Placement
    expert_map : ExpertMap

    Notes
    -----
    A leader evaluates its map 50 times a second. With 16 layers and 96 ranks, building
    the index takes 1.9 ms and an evaluation with it 0.03 ms.
    """

    __slots__ = ("_cells", "_columns", "_replicas", "expert_map", "placement")

    def __init__(self, placement: "Placement", experts: int) -> None:
        self.placement = placement
        self.expert_map = as_map(placement, experts)
        layers, held, ranks = np.nonzero(self.expert_map.placed)
        self._cells = layers * experts + held
        self._columns = layers * len(placement[0]) + ranks
        self._replicas = self.expert_map.replicas().ravel()[self._cells]

    def skew(self, demand: Demand, paces: "npt.NDArray[np.float64]") -> float:
        """Return the slowest rank's time over the mean load, averaged over layers."""
        layers, _, ranks = self.expert_map.placed.shape
        parts = demand.weights.ravel()[self._cells] / self._replicas
        loads = np.bincount(self._columns, parts, layers * ranks)
        return _mean_skew(loads.reshape(layers, ranks), paces)


def expected_skew(
    current: IndexedMap, demand: Demand, paces: t.Sequence[float]
) -> float:
    """Drop outdated demand and return the skew of a map under the current demand."""
    demand.forget_shifted()
    return current.skew(demand, np.array(paces))


def plan_change(
    current: IndexedMap,
    demand: Demand,
    slots: int,
    paces: t.Sequence[float] | None = None,
    copies_per_rank: int = COPIES_PER_RANK,
    copies_per_layer: int | None = None,
    min_total_gain: float = MIN_TOTAL_GAIN,
) -> PlanSearch:
    """Search for the next change of a map, step by step.

    Parameters
    ----------
    current : IndexedMap
        The current map.
    demand : Demand
    slots : int
        Experts of one layer that a rank has memory for.
    paces : sequence of float, optional
        Time that each rank takes for a load, relative to the usual time.
    copies_per_rank, copies_per_layer : int, optional
        Maximum copies per rank in all layers, and in one layer.
    min_total_gain : float, optional
        Minimum fall in the mean skew over all layers.

    Yields
    ------
    None
        About every 0.1 ms. With 96 ranks and five copies each a search takes 55 ms of a
        core; on a host with 0.645 of a core it would block the event loop for 85 ms.

    Returns
    -------
    Plan or None
        None if no change brings enough.
    """
    demand.forget_shifted()
    ranks = len(current.placement[0])
    rank_paces = np.ones(ranks) if paces is None else np.array(paces)
    target = yield from improve_within_budget(
        current.expert_map,
        demand.weights.copy(),
        slots,
        copies_per_rank,
        MIN_COPY_GAIN,
        rank_paces,
        copies_per_layer,
    )
    before = current.skew(demand, rank_paces)
    after = _mean_skew(rank_loads(target, demand.weights), rank_paces)
    if before - after < min_total_gain:
        return None
    copies = int(count_moves(current.expert_map, target).sum())
    return Plan(as_placement(target), copies, before, after)


def finish_search(search: PlanSearch) -> Plan | None:
    """Run a search to its end and return its result."""
    try:
        while True:
            next(search)
    except StopIteration as ended:
        return t.cast(Plan | None, ended.value)


def copies_in_a_pass(pass_ms: float, copy_ms: float, max_copies: int) -> int:
    """Return the number of experts that a rank copies for one change.

    It is the number that fits the time of a pass: a change takes effect at the start of
    a pass, so that fewer copies bring nothing sooner, and each further change waits for
    two passes. With one copy per change, relieving an engine at a twelfth of its usual
    speed took six changes and 3.7 s, with passes of up to 1.5 s.

    Parameters
    ----------
    pass_ms, copy_ms : float
    max_copies : int
        Upper limit of the result.
    """
    if copy_ms <= 0:
        return COPIES_PER_RANK
    return max(COPIES_PER_RANK, min(int(pass_ms / copy_ms), max_copies))


def _mean_skew(
    loads: "npt.NDArray[np.float64]", paces: "npt.NDArray[np.float64]"
) -> float:
    """Return the slowest rank's time over the mean load, averaged over layers."""
    means = loads.mean(axis=1)
    slowest = (loads * paces).max(axis=1)
    return float((slowest / np.where(means > 0, means, 1.0)).mean())


def as_map(placement: "Placement", experts: int) -> ExpertMap:
    """Return a placement as a table of layers, experts and ranks."""
    placed = np.zeros((len(placement), experts, len(placement[0])), dtype=bool)
    for layer_index, layer in enumerate(placement):
        for rank, held in enumerate(layer):
            placed[layer_index, list(held), rank] = True
    return ExpertMap(placed)


def as_placement(expert_map: ExpertMap) -> "Placement":
    """Return a table of layers, experts and ranks as a placement."""
    return tuple(
        tuple(tuple(np.flatnonzero(held).tolist()) for held in layer.T)
        for layer in expert_map.placed
    )
