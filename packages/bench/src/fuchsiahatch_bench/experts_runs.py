"""One run of a rebalancing policy over a workload, and the best in hindsight."""

import dataclasses
import time
import typing as t

import numpy as np

from fuchsiahatch_bench.workloads import (
    EXPERTS,
    INTERVAL_MS,
    LAYERS,
    STEPS_PER_INTERVAL,
    Workload,
)
from fuchsiahatch_experts.costs import StepShape, WeightStore, layer_skew, move_ms
from fuchsiahatch_experts.maps import ExpertMap, check_map, count_moves
from fuchsiahatch_experts.packing import improve, pack
from fuchsiahatch_experts.policies import Observation, Policy
from fuchsiahatch_experts.popularity import PopularityEstimate

if t.TYPE_CHECKING:
    import numpy.typing as npt

STEP = StepShape(fixed_ms=3.0, expert_ms=5.0)
#: 20 MB for an expert of one layer, times the 16 layers that one stands for.
STORE = WeightStore(expert_bytes=320_000_000, rate_bytes_per_s=250_000_000)
HALF_LIFE_MS = 60_000
#: Policies are asked once in so many intervals; skew is sampled in each.
DECIDE_INTERVALS = 2
#: Windows (in intervals) and price levels of the maps made in hindsight.
HINDSIGHT_WINDOWS = (15, 60)
HINDSIGHT_GAINS = (0.003, 0.01, 0.03)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Ranks of a group, and experts of one layer that a rank has room for."""

    ranks: int
    slots: int


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """What one policy did on one workload.

    Attributes
    ----------
    maps : list of ExpertMap
        In order; the first is the one at the start, and the last may not have come
        into force by the end.
    skews : ndarray, shape (intervals,)
        Mean over layers of highest rank over mean rank, in the interval's step.
    lost_ms, moved_ms : float
        Time lost to skew, and time spent fetching weights.
    moved_bytes, moves : int
        Bytes fetched, and how often a new map was decided.
    decide_us : list of float
        Time of each decision.
    """

    maps: list[ExpertMap]
    skews: "npt.NDArray[np.float64]"
    lost_ms: float = 0.0
    moved_ms: float = 0.0
    moved_bytes: int = 0
    moves: int = 0
    decide_us: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Fetch:
    """Weights on their way, and when the map that needs them can be in force."""

    target: ExpertMap
    ready_interval: int


def exposures_ms(workload: Workload) -> "npt.NDArray[np.float64]":
    """Return the expert time of each interval's steps on equally loaded ranks."""
    return workload.load * STEP.expert_ms * STEPS_PER_INTERVAL


def run_policy(workload: Workload, size: Size, policy: Policy) -> Run:
    """Run one policy; a new map comes into force once its weights are fetched."""
    current = pack(workload.before, size.ranks, size.slots)
    estimate = PopularityEstimate(LAYERS, EXPERTS, HALF_LIFE_MS)
    exposures = exposures_ms(workload)
    run = Run([current], np.zeros(len(exposures)))
    fetch: _Fetch | None = None
    exposure_ms = 0.0
    for interval, now_ms in enumerate(workload.times_ms.tolist()):
        if fetch is not None and interval >= fetch.ready_interval:
            current, fetch = fetch.target, None
            run.maps.append(current)
        run.skews[interval] = layer_skew(current, workload.step[interval]).mean()
        estimate.observe(workload.observed[interval], now_ms)
        exposure_ms += float(exposures[interval])
        if fetch is not None or interval % DECIDE_INTERVALS:
            continue
        seen = Observation(now_ms, current, estimate.shares, exposure_ms)
        exposure_ms = 0.0
        target = _decide(policy, seen, run)
        if target is not None:
            check_map(target, size.slots)
            fetch = _Fetch(target, interval + 1 + _count_move(run, current, target))
    if fetch is not None:
        run.maps.append(fetch.target)
    run.lost_ms = float((exposures * (run.skews - 1.0)).sum())
    return run


def best_in_hindsight(
    workload: Workload,
    size: Size,
    skew_price: float,
    move_price_ms: float,
    maps: t.Sequence[ExpertMap],
) -> tuple[float, float, float]:
    """Find the cheapest schedule over a set of maps by dynamic programming.

    The set is `maps` and maps made in hindsight from the true popularity of
    windows of several lengths. Cost is a sum over layers, so each layer's schedule
    is found by itself, exactly, over all maps of the set and all intervals. Moves take
    no time here; what is found costs no more than any policy whose maps are in
    `maps`. It is the best over this set, not a lower bound over all maps.

    Returns
    -------
    tuple of float
        Weighted cost, time lost to skew and time spent fetching, in ms.
    """
    first = pack(workload.before, size.ranks, size.slots)
    layers_of = [first, *maps, *_hindsight_maps(workload, size, first)]
    exposures = exposures_ms(workload)
    lost_ms = moves = 0.0
    for layer in range(LAYERS):
        kept = np.stack([one.placed[layer] for one in layers_of])
        kept = _first_and_unique(kept)
        skews = _skews_of(kept, workload.step[:, layer, :])
        rents = (exposures / LAYERS)[:, np.newaxis] * (skews - 1.0)
        flat = kept.reshape(len(kept), -1).astype(np.float32)
        fetched = (1.0 - flat) @ flat.T
        path = _cheapest_path(skew_price * rents, move_price_ms * fetched)
        lost_ms += float(rents[np.arange(len(path)), path].sum())
        stops = np.concatenate([[0], path])
        moves += float(fetched[stops[:-1], stops[1:]].sum())
    cost = skew_price * lost_ms + move_price_ms * moves
    return cost, lost_ms, moves * STORE.expert_bytes * 1e3 / STORE.rate_bytes_per_s


def _decide(policy: Policy, seen: Observation, run: Run) -> ExpertMap | None:
    started_ns = time.perf_counter_ns()
    target = policy(seen)
    run.decide_us.append((time.perf_counter_ns() - started_ns) / 1e3)
    return target


def _count_move(run: Run, current: ExpertMap, target: ExpertMap) -> int:
    spent_ms = move_ms(STORE, current, target)
    run.moves += 1
    run.moved_ms += spent_ms
    run.moved_bytes += int(count_moves(current, target).sum()) * STORE.expert_bytes
    return int(spent_ms // INTERVAL_MS)


def _hindsight_maps(
    workload: Workload, size: Size, first: ExpertMap
) -> t.Iterator[ExpertMap]:
    intervals = len(workload.times_ms)
    for window in HINDSIGHT_WINDOWS:
        means = [
            workload.truth[start : start + window].mean(axis=0)
            for start in range(0, intervals, window)
        ]
        yield from (pack(mean, size.ranks, size.slots) for mean in means)
        for gain in HINDSIGHT_GAINS:
            current = first
            for mean in means:
                current = improve(current, mean, size.slots, gain)
                yield current


def _first_and_unique(kept: "npt.NDArray[np.bool_]") -> "npt.NDArray[np.bool_]":
    seen = {one.tobytes(): index for index, one in reversed(list(enumerate(kept)))}
    return kept[sorted(seen.values())]


def _skews_of(
    kept: "npt.NDArray[np.bool_]", counts: "npt.NDArray[np.int_]"
) -> "npt.NDArray[np.float64]":
    """Return the skew of each map in each interval, shape (intervals, maps)."""
    maps, experts, ranks = kept.shape
    shares = kept / kept.sum(axis=2, keepdims=True, dtype=np.float32)
    columns = shares.astype(np.float32).transpose(1, 0, 2).reshape(experts, -1)
    loads = counts.astype(np.float32) @ columns
    peaks = loads.reshape(-1, maps, ranks).max(axis=2)
    return peaks * ranks / counts.sum(axis=1, keepdims=True)


def _cheapest_path(
    rents: "npt.NDArray[np.float64]", fees: "npt.NDArray[np.float64]"
) -> "npt.NDArray[np.int_]":
    """Return the map of each interval on the cheapest path from map 0."""
    intervals, count = rents.shape
    came_from = np.zeros((intervals, count), dtype=int)
    costs = fees[0] + rents[0]
    fees_to = np.ascontiguousarray(fees.T, dtype=np.float32)
    for interval in range(1, intervals):
        through = fees_to + costs.astype(np.float32)
        came_from[interval] = through.argmin(axis=1)
        costs = through[np.arange(count), came_from[interval]] + rents[interval]
    path = np.zeros(intervals, dtype=int)
    path[-1] = costs.argmin()
    for interval in range(intervals - 1, 0, -1):
        path[interval - 1] = came_from[interval, path[interval]]
    return path
