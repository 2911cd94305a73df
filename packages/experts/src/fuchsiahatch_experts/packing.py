"""Packing experts onto ranks: from scratch, or with few moves from a current map."""

import dataclasses
import heapq
import typing as t

import numpy as np

from fuchsiahatch_experts.maps import ExpertMap, MapError

if t.TYPE_CHECKING:
    import numpy.typing as npt

    Floats = npt.NDArray[np.float64]
    Bools = npt.NDArray[np.bool_]
    Ints = npt.NDArray[np.int_]

#: A smaller fall of the highest load is considered a rounding error.
MIN_LOAD_FALL = 1e-9
#: Limit of the changes that a search tries in a layer, per rank.
MAX_CHANGES_PER_RANK = 2


def pack(popularity: "Floats", ranks: int, slots: int) -> ExpertMap:
    """Pack from scratch: replicate hot experts, then longest processing time first.

    Parameters
    ----------
    popularity : ndarray, shape (layers, experts)
        Load of each expert, in any unit.
    ranks : int
    slots : int
        Experts of one layer that a rank has memory for.

    Returns
    -------
    ExpertMap

    Raises
    ------
    MapError
        If the ranks have fewer slots in total than there are experts.
    """
    if popularity.shape[1] > ranks * slots:
        detail = f"{popularity.shape[1]} experts don't fit {ranks} ranks of {slots}"
        raise MapError(detail)
    layers = [_pack_layer(layer, ranks, slots) for layer in popularity]
    return ExpertMap(np.stack(layers))


def count_replicas(popularity: "Floats", ranks: int, slots: int) -> list[int]:
    """Assign a layer's spare slots to the experts with the highest load per replica.

    Parameters
    ----------
    popularity : ndarray, shape (experts,)
    ranks, slots : int

    Returns
    -------
    list of int
        Replicas of each expert, from 1 to `ranks`.
    """
    replicas = [1] * len(popularity)
    queue = [(-load, expert) for expert, load in enumerate(popularity.tolist())]
    heapq.heapify(queue)
    spare = ranks * slots - len(replicas)
    while spare and queue:
        _, expert = heapq.heappop(queue)
        if replicas[expert] == ranks:
            continue
        replicas[expert] += 1
        spare -= 1
        heapq.heappush(queue, (-popularity[expert] / replicas[expert], expert))
    return replicas


def improve_within_budget(
    current: ExpertMap,
    popularity: "Floats",
    slots: int,
    copies_per_rank: int,
    min_gain: float,
    paces: "Floats | None" = None,
    copies_per_layer: int | None = None,
) -> t.Generator[None, None, ExpertMap]:
    """Change a map by the few copies that reduce its skew most, over all layers.

    Ranks copy in parallel, so a change takes as long as the rank with the most copies;
    each may take `copies_per_rank` in all its layers together. Copies go to the layers
    with the highest gain per copy.

    Parameters
    ----------
    current : ExpertMap
    popularity : ndarray, shape (layers, experts)
    slots : int
    copies_per_rank : int
    min_gain : float
        Minimum fall in a layer's skew per copy.
    paces : ndarray, shape (ranks,), optional
        Time that each rank takes for a load, relative to the usual time; all 1 by
        default. Slow ranks are relieved so that they don't delay the others.
    copies_per_layer : int, optional
        Maximum copies per rank in one layer; `copies_per_rank` by default.

    Yields
    ------
    None
        After each search for a copy, so that an event loop can do other work.

    Returns
    -------
    ExpertMap
    """
    ranks = current.placed.shape[2]
    if paces is None:
        paces = np.ones(ranks)
    totals = popularity.sum(axis=1, keepdims=True)
    shares = popularity * ranks / np.where(totals > 0, totals, 1.0)
    placed = current.placed.copy()
    if copies_per_layer is None:
        copies_per_layer = copies_per_rank
    copies_left = np.full(ranks, copies_per_rank)
    layer_copies_left = np.full((len(shares), ranks), copies_per_layer)

    def find_best(layer_index: int) -> _Change:
        free = np.minimum(copies_left, layer_copies_left[layer_index])
        return _best_change(
            placed[layer_index], shares[layer_index], slots, free, paces
        )

    best = []
    for layer_index in range(len(shares)):
        best.append(find_best(layer_index))
        yield
    while copies_left.any():
        layer_index = max(range(len(best)), key=lambda layer: best[layer].score)
        if best[layer_index].score <= max(min_gain, MIN_LOAD_FALL):
            break
        change = best[layer_index]
        if all(
            copies_left[rank] and layer_copies_left[layer_index, rank]
            for _, rank in change.added
        ):
            _apply(placed[layer_index], change)
            for _, rank in change.added:
                copies_left[rank] -= 1
                layer_copies_left[layer_index, rank] -= 1
        best[layer_index] = find_best(layer_index)
        yield
    return ExpertMap(placed)


def _best_change(
    placed: "Bools", shares: "Floats", slots: int, copies_left: "Ints", paces: "Floats"
) -> "_Change":
    """Find a layer's best change among ranks that have copies left."""
    if not shares.any():
        return _Change(-np.inf)
    return _find_change(
        _evaluate_layer(placed, shares, paces), slots, 0.0, copies_left > 0
    )


def improve(
    current: ExpertMap,
    popularity: "Floats",
    slots: int,
    min_gain: "float | Floats" = 0.0,
) -> ExpertMap:
    """Change a map step by step, as long as the moves are worth their cost.

    Each change relieves the most loaded rank: it adds a replica on another rank (one
    move), shifts an expert to another rank (one move), swaps two experts (two moves) or
    drops a surplus replica (no move). The result is the map at the point of
    this sequence where the fall in skew, less `min_gain` per moved expert, is largest.

    Parameters
    ----------
    current : ExpertMap
    popularity : ndarray, shape (layers, experts)
    slots : int
    min_gain : float or ndarray of shape (layers,), optional
        Minimum fall in skew (highest load over mean) per move.

    Returns
    -------
    ExpertMap
        Equal to `current` in each layer where no move is worth its cost.
    """
    layers = len(popularity)
    gains = np.broadcast_to(min_gain, (layers,)).tolist()
    improved = [
        _improve_layer(placed, shares, slots, gain)
        for placed, shares, gain in zip(current.placed, popularity, gains, strict=True)
    ]
    return ExpertMap(np.stack(improved))


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """One change of a layer's map, as dropped and added (expert, rank) cells."""

    score: float
    dropped: tuple[tuple[int, int], ...] = ()
    added: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Layer:
    """One layer's map with the derived data for finding changes.

    Attributes
    ----------
    placed : ndarray of bool, shape (experts, ranks)
    cell_experts, cell_ranks : ndarray of int
        Its replicas as parallel arrays, by expert. A rank holds a few percent of the
        experts, so that a search takes 0.10 ms over these arrays and 0.21 ms over the
        whole table (192 experts, 96 ranks of 3 slots). A plan takes a hundred searches.
    replica_loads : ndarray
        Load of one replica, by expert.
    hot_rank : int
        The most loaded rank.
    """

    placed: "Bools"
    cell_experts: "Ints"
    cell_ranks: "Ints"
    shares: "Floats"
    replicas: "Ints"
    replica_loads: "Floats"
    paces: "Floats"
    loads: "Floats"
    hot_rank: int
    hot_experts: "Ints"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Slots:
    """Candidate slots for a new replica, as parallel arrays.

    Attributes
    ----------
    experts : ndarray of int
        Expert whose replica is evicted; -1 where the slot is free.
    ranks : ndarray of int
    loads : ndarray
        Load of the rank without the evicted replica.
    peaks : ndarray
        Highest load among the ranks that take over the evicted replica's load.
    allowed : ndarray of bool, shape (hot experts, slots)
        Whether the rank doesn't hold the expert yet.
    """

    experts: "Ints"
    ranks: "Ints"
    loads: "Floats"
    peaks: "Floats"
    allowed: "Bools"


def _pack_layer(popularity: "Floats", ranks: int, slots: int) -> "Bools":
    replicas = count_replicas(popularity, ranks, slots)
    replicas_by_load = sorted(
        (-popularity[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    )
    placed = np.zeros((len(replicas), ranks), dtype=bool)
    loads = np.zeros(ranks)
    used = np.zeros(ranks, dtype=int)
    for load, expert in replicas_by_load:
        excluded = (used >= slots) | placed[expert]
        rank = int(np.where(excluded, np.inf, loads).argmin())
        # If the last free slots are all on ranks that hold the expert already, the
        # replica is omitted, as a second one on a rank has no benefit.
        if excluded[rank]:
            continue
        placed[expert, rank] = True
        loads[rank] -= load
        used[rank] += 1
    return placed


def _improve_layer(
    current: "Bools", popularity: "Floats", slots: int, min_gain: float
) -> "Bools":
    total = popularity.sum()
    if total <= 0:
        return current
    shares = popularity * (current.shape[1] / total)
    placed = current.copy()
    layer = _evaluate_layer(placed, shares)
    first_peak = layer.loads[layer.hot_rank]
    best, best_value, moves = current, MIN_LOAD_FALL, 0
    for _ in range(MAX_CHANGES_PER_RANK * current.shape[1]):
        if first_peak - 1.0 - min_gain * (moves + 1) <= best_value:
            break
        change = _find_change(layer, slots, min_gain)
        if change.score <= MIN_LOAD_FALL:
            break
        _apply(placed, change)
        layer = _evaluate_layer(placed, shares)
        moves = int((placed & ~current).sum())
        value = first_peak - layer.loads[layer.hot_rank] - min_gain * moves
        if value > best_value:
            best, best_value = placed.copy(), value
    return best


def _apply(placed: "Bools", change: _Change) -> None:
    for cell in change.dropped:
        placed[cell] = False
    for cell in change.added:
        placed[cell] = True


def _evaluate_layer(
    placed: "Bools", shares: "Floats", paces: "Floats | None" = None
) -> _Layer:
    experts, ranks = placed.shape
    if paces is None:
        paces = np.ones(ranks)
    cell_experts, cell_ranks = np.divmod(np.flatnonzero(placed), ranks)
    replicas = np.bincount(cell_experts, minlength=experts)
    replica_loads = shares / replicas
    loads = np.bincount(cell_ranks, replica_loads[cell_experts], ranks) * paces
    hot_rank = int(loads.argmax())
    hot_experts = cell_experts[cell_ranks == hot_rank]
    return _Layer(
        placed,
        cell_experts,
        cell_ranks,
        shares,
        replicas,
        replica_loads,
        paces,
        loads,
        hot_rank,
        hot_experts,
    )


def _find_change(
    layer: _Layer, slots: int, min_gain: float, copying: "Bools | None" = None
) -> _Change:
    """Return the change that relieves the most loaded rank most per move.

    `copying` marks the ranks that may copy an expert; by default all.
    """
    if copying is None:
        copying = np.ones(layer.placed.shape[1], dtype=bool)
    candidates = _find_slots(layer, slots, copying)
    changes = (
        _find_replica(layer, candidates),
        _find_shift(layer, candidates),
        _find_swap(layer, copying),
        _find_drop(layer, min_gain),
    )
    return max(changes, key=lambda change: change.score)


def _find_slots(layer: _Layer, slots: int, copying: "Bools") -> _Slots:
    """List the slots that are free or hold a replica that isn't its expert's last."""
    surplus = layer.replicas > 1
    chosen = surplus[layer.cell_experts] & copying[layer.cell_ranks]
    experts, ranks = layer.cell_experts[chosen], layer.cell_ranks[chosen]
    used = np.bincount(layer.cell_ranks, minlength=len(layer.loads))
    free = np.flatnonzero((used < slots) & copying)
    rise = layer.shares / np.maximum(layer.replicas - 1, 1) - layer.replica_loads
    # Includes the rank that drops the replica, which only makes the search less likely
    # to evict a replica from a rank that is nearly the most loaded.
    added = rise[layer.cell_experts] * layer.paces[layer.cell_ranks]
    raised_loads = layer.loads[layer.cell_ranks] + added
    first_cells = np.cumsum(layer.replicas) - layer.replicas
    peaks = np.maximum.reduceat(raised_loads, first_cells)
    remaining = layer.loads[ranks] - layer.replica_loads[experts] * layer.paces[ranks]
    all_ranks = np.concatenate([ranks, free])
    return _Slots(
        experts=np.concatenate([experts, np.full(len(free), -1)]),
        ranks=all_ranks,
        loads=np.concatenate([remaining, layer.loads[free]]),
        peaks=np.concatenate([peaks[experts], np.zeros(len(free))]),
        allowed=~layer.placed[layer.hot_experts][:, all_ranks],
    )


def _find_replica(layer: _Layer, candidates: _Slots) -> _Change:
    """Find the best additional replica of an expert of the most loaded rank."""
    experts = layer.hot_experts
    arriving = layer.shares[experts] / (layer.replicas[experts] + 1)
    relief = (layer.replica_loads[experts] - arriving) * layer.paces[layer.hot_rank]
    source_loads = layer.loads[layer.hot_rank] - relief
    return _find_copy(layer, candidates, arriving, source_loads, keep=True)


def _find_shift(layer: _Layer, candidates: _Slots) -> _Change:
    """Find the best expert to shift from the most loaded rank to another."""
    arriving = layer.replica_loads[layer.hot_experts]
    source_loads = layer.loads[layer.hot_rank] - arriving * layer.paces[layer.hot_rank]
    return _find_copy(layer, candidates, arriving, source_loads, keep=False)


def _find_copy(
    layer: _Layer,
    candidates: _Slots,
    arriving: "Floats",
    source_loads: "Floats",
    keep: bool,
) -> _Change:
    if not len(candidates.ranks):
        return _Change(-np.inf)
    added = arriving[:, np.newaxis] * layer.paces[candidates.ranks]
    target_loads = np.maximum(candidates.loads + added, candidates.peaks)
    peaks = np.maximum(target_loads, source_loads[:, np.newaxis])
    scores = np.where(candidates.allowed, layer.loads[layer.hot_rank] - peaks, -np.inf)
    row, column = divmod(int(scores.argmax()), scores.shape[1])
    expert = int(layer.hot_experts[row])
    evicted, rank = int(candidates.experts[column]), int(candidates.ranks[column])
    dropped = [] if evicted < 0 else [(evicted, rank)]
    dropped += [] if keep else [(expert, layer.hot_rank)]
    score = float(scores[row, column])
    return _Change(score, tuple(dropped), ((expert, rank),))


def _find_swap(layer: _Layer, copying: "Bools") -> _Change:
    """Find the best swap of experts between the most loaded rank and another."""
    elsewhere = (
        ~layer.placed[layer.cell_experts, layer.hot_rank] & copying[layer.cell_ranks]
    )
    experts, ranks = layer.cell_experts[elsewhere], layer.cell_ranks[elsewhere]
    if not len(ranks) or not copying[layer.hot_rank]:
        return _Change(-np.inf)
    relief = (
        layer.replica_loads[layer.hot_experts][:, np.newaxis]
        - layer.replica_loads[experts]
    )
    highest = layer.loads[layer.hot_rank]
    source_loads = highest - relief * layer.paces[layer.hot_rank]
    peaks = np.maximum(layer.loads[ranks] + relief * layer.paces[ranks], source_loads)
    allowed = ~layer.placed[layer.hot_experts][:, ranks]
    scores = np.where(allowed, (highest - peaks) / 2, -np.inf)
    row, column = divmod(int(scores.argmax()), scores.shape[1])
    expert, partner = int(layer.hot_experts[row]), int(experts[column])
    rank = int(ranks[column])
    score = float(scores[row, column])
    return _Change(
        score,
        ((expert, layer.hot_rank), (partner, rank)),
        ((expert, rank), (partner, layer.hot_rank)),
    )


def _find_drop(layer: _Layer, min_gain: float) -> _Change:
    """Find the best surplus replica for the most loaded rank to drop.

    It needs no move, so the cost of one is added to its score.
    """
    experts = layer.hot_experts[layer.replicas[layer.hot_experts] > 1]
    if not len(experts):
        return _Change(-np.inf)
    remaining = layer.placed[experts]
    remaining[:, layer.hot_rank] = False
    replicas_left = layer.replicas[experts] - 1
    rise = layer.shares[experts] / replicas_left - layer.replica_loads[experts]
    raised_loads = layer.loads + rise[:, np.newaxis] * layer.paces
    target_loads = np.where(remaining, raised_loads, 0.0).max(axis=1)
    highest = layer.loads[layer.hot_rank]
    source_loads = highest - layer.replica_loads[experts] * layer.paces[layer.hot_rank]
    reliefs = highest - np.maximum(target_loads, source_loads)
    row = int(reliefs.argmax())
    if reliefs[row] <= MIN_LOAD_FALL:
        return _Change(-np.inf)
    score = float(reliefs[row]) + min_gain
    return _Change(score, ((int(experts[row]), layer.hot_rank),))
