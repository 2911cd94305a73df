"""Packing experts onto ranks: afresh, or with few moves from the current map."""

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

#: A smaller fall of the highest load is taken for rounding.
SMALLEST_GAIN = 1e-9
#: Changes that one search tries per layer and rank before it stops.
CHANGES_PER_RANK = 2


def pack(popularity: "Floats", ranks: int, slots: int) -> ExpertMap:
    """Pack afresh: replicate hot experts, then longest processing time first.

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
        When the ranks together have no room for every expert.
    """
    if popularity.shape[1] > ranks * slots:
        detail = f"{popularity.shape[1]} experts don't fit {ranks} ranks of {slots}"
        raise MapError(detail)
    layers = [_pack_layer(layer, ranks, slots) for layer in popularity]
    return ExpertMap(np.stack(layers))


def count_replicas(popularity: "Floats", ranks: int, slots: int) -> list[int]:
    """Share out the spare slots of one layer to the experts most loaded per replica.

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
    least_gain: float,
    paces: "Floats | None" = None,
    copies_per_layer: int | None = None,
) -> t.Generator[None, None, ExpertMap]:
    """Change a map by the few copies that relieve it most, over all layers.

    Ranks copy side by side, so a change takes as long as the rank with the most
    copies; each may take `copies_per_rank` in all its layers together. The copies go
    to the layers where one brings the most.

    Parameters
    ----------
    current : ExpertMap
    popularity : ndarray, shape (layers, experts)
    slots : int
    copies_per_rank : int
    least_gain : float
        Fall in a layer's skew that one copy must bring.
    paces : ndarray, shape (ranks,), optional
        Time that each rank takes for a load, over the usual; all 1 by default. A rank
        that is slow is relieved before it holds the others back.
    copies_per_layer : int, optional
        Copies that a rank may take in one layer; no fewer than in all by default.

    Yields
    ------
    None
        Behind each search for a copy, so that a loop can do other work meanwhile.

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
    left = np.full(ranks, copies_per_rank)
    left_here = np.full((len(shares), ranks), copies_per_layer)

    def find_best(at: int) -> _Change:
        free = np.minimum(left, left_here[at])
        return _best_change(placed[at], shares[at], slots, free, paces)

    best = []
    for at in range(len(shares)):
        best.append(find_best(at))
        yield
    while left.any():
        at = max(range(len(best)), key=lambda layer: best[layer].score)
        if best[at].score <= max(least_gain, SMALLEST_GAIN):
            break
        change = best[at]
        if all(left[rank] and left_here[at, rank] for _, rank in change.added):
            _apply(placed[at], change)
            for _, rank in change.added:
                left[rank] -= 1
                left_here[at, rank] -= 1
        best[at] = find_best(at)
        yield
    return ExpertMap(placed)


def _best_change(
    placed: "Bools", shares: "Floats", slots: int, left: "Ints", paces: "Floats"
) -> "_Change":
    """Find a layer's best change among ranks that may still copy."""
    if not shares.any():
        return _Change(-np.inf)
    return _find_change(_survey(placed, shares, paces), slots, 0.0, left > 0)


def improve(
    current: ExpertMap,
    popularity: "Floats",
    slots: int,
    least_gain: "float | Floats" = 0.0,
) -> ExpertMap:
    """Change a map step by step, as long as the moves are worth their price.

    Each change relieves the most loaded rank: a replica elsewhere (one move), an
    expert shifted elsewhere (one move), two experts swapped (two moves) or a surplus
    replica dropped (no move). Of the chain of changes, the part is kept whose fall in
    skew, less `least_gain` for each expert moved, is largest.

    Parameters
    ----------
    current : ExpertMap
    popularity : ndarray, shape (layers, experts)
    slots : int
    least_gain : float or ndarray of shape (layers,), optional
        Fall in skew (highest load over mean) that one move must bring.

    Returns
    -------
    ExpertMap
        Equal to `current` in each layer where no move is worth its price.
    """
    layers = len(popularity)
    gains = np.broadcast_to(least_gain, (layers,)).tolist()
    improved = [
        _improve_layer(placed, shares, slots, gain)
        for placed, shares, gain in zip(current.placed, popularity, gains, strict=True)
    ]
    return ExpertMap(np.stack(improved))


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """One change of a layer's map: (expert, rank) cells that leave and that come."""

    score: float
    dropped: tuple[tuple[int, int], ...] = ()
    added: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Layer:
    """One layer's map with what each search for a change needs of it.

    Attributes
    ----------
    placed : ndarray of bool, shape (experts, ranks)
    cell_experts, cell_ranks : ndarray of int
        Its replicas as parallel arrays, by expert. A rank holds a few experts in a
        hundred: over these a search takes 0.10 ms, over the whole table it took
        0.21 ms (192 experts, 96 ranks of 3 places), and one plan makes a hundred.
    """

    placed: "Bools"
    cell_experts: "Ints"
    cell_ranks: "Ints"
    shares: "Floats"
    replicas: "Ints"
    unit: "Floats"
    paces: "Floats"
    loads: "Floats"
    hot: int
    hot_experts: "Ints"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Slots:
    """Slots that a replica may take, as parallel arrays.

    Attributes
    ----------
    experts : ndarray of int
        Expert that gives way; -1 where the slot is free.
    ranks : ndarray of int
    loads : ndarray
        Of the rank without the expert that gives way.
    peaks : ndarray
        Highest load among ranks that take over from a replica that gives way.
    room : ndarray of bool, shape (hot experts, slots)
        Whether the rank lacks the expert.
    """

    experts: "Ints"
    ranks: "Ints"
    loads: "Floats"
    peaks: "Floats"
    room: "Bools"


def _pack_layer(popularity: "Floats", ranks: int, slots: int) -> "Bools":
    replicas = count_replicas(popularity, ranks, slots)
    pieces = sorted(
        (-popularity[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    )
    placed = np.zeros((len(replicas), ranks), dtype=bool)
    loads = np.zeros(ranks)
    used = np.zeros(ranks, dtype=int)
    for load, expert in pieces:
        closed = (used >= slots) | placed[expert]
        rank = int(np.where(closed, np.inf, loads).argmin())
        # The last free slots may all be on ranks that hold the expert already;
        # the replica is left out then, as a second one there would bring nothing.
        if closed[rank]:
            continue
        placed[expert, rank] = True
        loads[rank] -= load
        used[rank] += 1
    return placed


def _improve_layer(
    current: "Bools", popularity: "Floats", slots: int, least_gain: float
) -> "Bools":
    total = popularity.sum()
    if total <= 0:
        return current
    shares = popularity * (current.shape[1] / total)
    placed = current.copy()
    layer = _survey(placed, shares)
    first_peak = layer.loads[layer.hot]
    best, best_value, moves = current, SMALLEST_GAIN, 0
    for _ in range(CHANGES_PER_RANK * current.shape[1]):
        if first_peak - 1.0 - least_gain * (moves + 1) <= best_value:
            break
        change = _find_change(layer, slots, least_gain)
        if change.score <= SMALLEST_GAIN:
            break
        _apply(placed, change)
        layer = _survey(placed, shares)
        moves = int((placed & ~current).sum())
        value = first_peak - layer.loads[layer.hot] - least_gain * moves
        if value > best_value:
            best, best_value = placed.copy(), value
    return best


def _apply(placed: "Bools", change: _Change) -> None:
    for cell in change.dropped:
        placed[cell] = False
    for cell in change.added:
        placed[cell] = True


def _survey(placed: "Bools", shares: "Floats", paces: "Floats | None" = None) -> _Layer:
    experts, ranks = placed.shape
    if paces is None:
        paces = np.ones(ranks)
    cell_experts, cell_ranks = np.divmod(np.flatnonzero(placed), ranks)
    replicas = np.bincount(cell_experts, minlength=experts)
    unit = shares / replicas
    loads = np.bincount(cell_ranks, unit[cell_experts], ranks) * paces
    hot = int(loads.argmax())
    hot_experts = cell_experts[cell_ranks == hot]
    return _Layer(
        placed,
        cell_experts,
        cell_ranks,
        shares,
        replicas,
        unit,
        paces,
        loads,
        hot,
        hot_experts,
    )


def _find_change(
    layer: _Layer, slots: int, least_gain: float, copying: "Bools | None" = None
) -> _Change:
    """Return the change that relieves the most loaded rank most per move.

    `copying` says which ranks may copy an expert; all may by default.
    """
    if copying is None:
        copying = np.ones(layer.placed.shape[1], dtype=bool)
    takeable = _find_slots(layer, slots, copying)
    found = (
        _find_replica(layer, takeable),
        _find_shift(layer, takeable),
        _find_swap(layer, copying),
        _find_drop(layer, least_gain),
    )
    return max(found, key=lambda change: change.score)


def _find_slots(layer: _Layer, slots: int, copying: "Bools") -> _Slots:
    """List the slots that are free or held by a replica that isn't the last."""
    surplus = layer.replicas > 1
    chosen = surplus[layer.cell_experts] & copying[layer.cell_ranks]
    experts, ranks = layer.cell_experts[chosen], layer.cell_ranks[chosen]
    held = np.bincount(layer.cell_ranks, minlength=len(layer.loads))
    free = np.flatnonzero((held < slots) & copying)
    rise = layer.shares / np.maximum(layer.replicas - 1, 1) - layer.unit
    # The leaving rank itself is counted in, which only makes the search shy of
    # taking a replica from a rank that is nearly the most loaded.
    added = rise[layer.cell_experts] * layer.paces[layer.cell_ranks]
    risen = layer.loads[layer.cell_ranks] + added
    first_cells = np.cumsum(layer.replicas) - layer.replicas
    peaks = np.maximum.reduceat(risen, first_cells)
    left = layer.loads[ranks] - layer.unit[experts] * layer.paces[ranks]
    all_ranks = np.concatenate([ranks, free])
    return _Slots(
        experts=np.concatenate([experts, np.full(len(free), -1)]),
        ranks=all_ranks,
        loads=np.concatenate([left, layer.loads[free]]),
        peaks=np.concatenate([peaks[experts], np.zeros(len(free))]),
        room=~layer.placed[layer.hot_experts][:, all_ranks],
    )


def _find_replica(layer: _Layer, takeable: _Slots) -> _Change:
    """Find the best new replica of an expert of the most loaded rank."""
    experts = layer.hot_experts
    arriving = layer.shares[experts] / (layer.replicas[experts] + 1)
    relief = (layer.unit[experts] - arriving) * layer.paces[layer.hot]
    here = layer.loads[layer.hot] - relief
    return _find_copy(layer, takeable, arriving, here, keep=True)


def _find_shift(layer: _Layer, takeable: _Slots) -> _Change:
    """Find the best expert to take from the most loaded rank to another."""
    arriving = layer.unit[layer.hot_experts]
    here = layer.loads[layer.hot] - arriving * layer.paces[layer.hot]
    return _find_copy(layer, takeable, arriving, here, keep=False)


def _find_copy(
    layer: _Layer, takeable: _Slots, arriving: "Floats", here: "Floats", keep: bool
) -> _Change:
    if not len(takeable.ranks):
        return _Change(-np.inf)
    added = arriving[:, np.newaxis] * layer.paces[takeable.ranks]
    there = np.maximum(takeable.loads + added, takeable.peaks)
    peaks = np.maximum(there, here[:, np.newaxis])
    scores = np.where(takeable.room, layer.loads[layer.hot] - peaks, -np.inf)
    row, column = divmod(int(scores.argmax()), scores.shape[1])
    expert = int(layer.hot_experts[row])
    victim, rank = int(takeable.experts[column]), int(takeable.ranks[column])
    dropped = [] if victim < 0 else [(victim, rank)]
    dropped += [] if keep else [(expert, layer.hot)]
    score = float(scores[row, column])
    return _Change(score, tuple(dropped), ((expert, rank),))


def _find_swap(layer: _Layer, copying: "Bools") -> _Change:
    """Find the best swap of an expert of the most loaded rank for another's."""
    elsewhere = ~layer.placed[layer.cell_experts, layer.hot] & copying[layer.cell_ranks]
    experts, ranks = layer.cell_experts[elsewhere], layer.cell_ranks[elsewhere]
    if not len(ranks) or not copying[layer.hot]:
        return _Change(-np.inf)
    relief = layer.unit[layer.hot_experts][:, np.newaxis] - layer.unit[experts]
    highest = layer.loads[layer.hot]
    here = highest - relief * layer.paces[layer.hot]
    peaks = np.maximum(layer.loads[ranks] + relief * layer.paces[ranks], here)
    room = ~layer.placed[layer.hot_experts][:, ranks]
    scores = np.where(room, (highest - peaks) / 2, -np.inf)
    row, column = divmod(int(scores.argmax()), scores.shape[1])
    expert, other = int(layer.hot_experts[row]), int(experts[column])
    rank = int(ranks[column])
    score = float(scores[row, column])
    return _Change(
        score,
        ((expert, layer.hot), (other, rank)),
        ((expert, rank), (other, layer.hot)),
    )


def _find_drop(layer: _Layer, least_gain: float) -> _Change:
    """Find the best surplus replica for the most loaded rank to drop.

    It needs no move, so the price of one is added to its score.
    """
    experts = layer.hot_experts[layer.replicas[layer.hot_experts] > 1]
    if not len(experts):
        return _Change(-np.inf)
    others = layer.placed[experts]
    others[:, layer.hot] = False
    left = layer.replicas[experts] - 1
    rise = layer.shares[experts] / left - layer.unit[experts]
    risen = layer.loads + rise[:, np.newaxis] * layer.paces
    there = np.where(others, risen, 0.0).max(axis=1)
    highest = layer.loads[layer.hot]
    here = highest - layer.unit[experts] * layer.paces[layer.hot]
    reliefs = highest - np.maximum(there, here)
    row = int(reliefs.argmax())
    if reliefs[row] <= SMALLEST_GAIN:
        return _Change(-np.inf)
    score = float(reliefs[row]) + least_gain
    return _Change(score, ((int(experts[row]), layer.hot),))
