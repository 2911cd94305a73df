"""Following a demand that moves every few seconds: which experts to copy next."""

import dataclasses
import math
import typing as t

import numpy as np

from fuchsiahatch_experts.maps import ExpertMap, count_moves, rank_loads
from fuchsiahatch_experts.packing import improve_within

if t.TYPE_CHECKING:
    import numpy.typing as npt

    from fuchsiahatch_experts.rank_orders import Placement

#: Experts that a rank copies for one change while passes are short. One takes 150 ms,
#: and passes are 15% longer meanwhile; with more the demand has moved on before they
#: are of use.
COPIES_PER_RANK = 1
#: Fall in a layer's skew that one copy must bring.
LEAST_GAIN = 0.05
#: Fall in the mean skew over all layers that a change as a whole must bring.
LEAST_TOTAL_GAIN = 0.05
#: Time constant with which choices are forgotten while few requests run in a group;
#: demand moves every 2 to 4 s.
MEMORY_MS = 700.0
#: Requests that run in a group up to which the memory is that long: 8 ranks of 4. Where
#: more run, the mix of requests is evened out in less time, and a long memory is lag
#: alone. With 350 ms in place of 700 and some 110 requests in a group of 32 ranks, 0.77
#: of the worth owed was earned on a day of high load instead of 0.62.
FEW_REQUESTS = 32
#: Time constant of the demand that is compared with it.
RECENT_MS = 160.0
#: Sum of the differences of all experts' shares of a layer that counts as a shift in
#: any case; it lies between 0 and 2. A mix of few requests alone makes some 0.2.
SHIFT_CHANGE = 0.35
#: Times the usual difference that counts as one too, and the least that does. Where
#: most experts are chosen by all requests alike, a shift that doubles the load of the
#: slowest rank makes 0.1, and the mix 0.02.
SHIFT_TIMES_USUAL = 3.0
LEAST_SHIFT_CHANGE = 0.06
#: Time constant of the usual difference.
USUAL_CHANGE_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Plan:
    """A map to switch to.

    Attributes
    ----------
    placement : Placement
    copies : int
    skew_before, skew_after : float
        Most loaded rank over the mean, on average over the layers, as expected from
        the demand that is known.
    """

    placement: "Placement"
    copies: int
    skew_before: float
    skew_after: float


#: A search for a plan that is under way.
PlanSearch = t.Generator[None, None, Plan | None]


def memory_for(requests: int) -> float:
    """Return the time constant of the memory, in ms, for the requests that run.

    By the root of their number: the scatter of a mean falls with the root of the
    requests that are counted in it.
    """
    return MEMORY_MS * min(1.0, math.sqrt(FEW_REQUESTS / max(requests, 1)))


class Demand:
    """How often each expert was chosen of late.

    Parameters
    ----------
    layers, experts : int

    Attributes
    ----------
    memory_ms : float
        Time constant with which choices are forgotten.
    weight : float
        Requests that are counted in all.
    shifts : int
        Layers whose past was forgotten, ever.

    Notes
    -----
    Each state counts by the requests that its rank writes for, not by its choices. An
    engine chooses experts for prompt tokens too, which are nine in ten of all tokens
    and a tenth of the work: a map made for them would follow the prompts that were
    read last, not the answers that are being written.

    A long memory evens out the mix of requests; it also keeps a demand that is gone.
    A layer whose demand of the last moments differs much from the remembered one
    forgets all that came before.
    """

    __slots__ = (
        "_decayed_ms",
        "_recent",
        "_usual_change",
        "_usual_noted_ms",
        "memory_ms",
        "shifts",
        "weight",
        "weights",
    )

    def __init__(self, layers: int, experts: int) -> None:
        self._decayed_ms: int | None = None
        self.memory_ms = MEMORY_MS
        self._recent = np.zeros((layers, experts))
        self.weights = np.zeros((layers, experts))
        self.weight = 0.0
        self.shifts = 0
        #: Difference of the layer in the middle of all, of late; before it is known,
        #: the one of a mix of few requests.
        self._usual_change = SHIFT_CHANGE / SHIFT_TIMES_USUAL
        self._usual_noted_ms: int | None = None

    def add(self, shares: "npt.NDArray[np.float64]", running: int, now_ms: int) -> None:
        """Count one rank's choices since its last state.

        Parameters
        ----------
        shares : ndarray, shape (layers, experts)
            Share of each expert in the choices of its layer.
        running : int
            Requests that the rank works on.
        now_ms : int
        """
        self._decay(now_ms)
        self._recent += running * shares
        self.weights += running * shares
        self.weight += running

    def forget_shifted(self) -> None:
        """Let the layers whose demand has shifted forget what was before."""
        change = np.abs(_normal(self._recent) - _normal(self.weights)).sum(axis=1)
        shifted = change > self._shift_threshold()
        self.weights[shifted] = self._recent[shifted]
        self.shifts += int(shifted.sum())
        self._note_usual(float(np.median(change)))

    def _shift_threshold(self) -> float:
        """Return the difference of a layer that counts as a shift of it."""
        least = max(SHIFT_TIMES_USUAL * self._usual_change, LEAST_SHIFT_CHANGE)
        return min(least, SHIFT_CHANGE)

    def _note_usual(self, change: float) -> None:
        now_ms, noted_ms = self._decayed_ms, self._usual_noted_ms
        self._usual_noted_ms = now_ms
        if now_ms is None or noted_ms is None:
            return
        weight = 1.0 - math.exp((noted_ms - now_ms) / USUAL_CHANGE_MS)
        self._usual_change += weight * (change - self._usual_change)

    def _decay(self, now_ms: int) -> None:
        if self._decayed_ms is not None:
            age_ms = max(now_ms - self._decayed_ms, 0)
            kept = np.exp(-age_ms / self.memory_ms)
            self.weights *= kept
            self.weight *= kept
            self._recent *= np.exp(-age_ms / RECENT_MS)
        self._decayed_ms = now_ms


def _normal(weights: "npt.NDArray[np.float64]") -> "npt.NDArray[np.float64]":
    totals = weights.sum(axis=1, keepdims=True)
    return weights / np.where(totals > 0, totals, 1.0)


class GroupMap:
    """The map of a group, laid out once for all looks at it.

    Parameters
    ----------
    placement : Placement
    experts : int
        Of a layer.

    Attributes
    ----------
    placement : Placement
    table : ExpertMap

    Notes
    -----
    A leader looks at its map 50 times a second. Laying one of 16 layers and 96 ranks
    out takes 1.9 ms, a look at one that is laid out 0.03 ms.
    """

    __slots__ = ("_cells", "_columns", "_replicas", "placement", "table")

    def __init__(self, placement: "Placement", experts: int) -> None:
        self.placement = placement
        self.table = as_map(placement, experts)
        layers, held, ranks = np.nonzero(self.table.placed)
        self._cells = layers * experts + held
        self._columns = layers * len(placement[0]) + ranks
        self._replicas = self.table.replicas().ravel()[self._cells]

    def skew(self, demand: Demand, paces: "npt.NDArray[np.float64]") -> float:
        """Return the slowest rank's time over the usual mean, the mean over layers."""
        layers, _, ranks = self.table.placed.shape
        parts = demand.weights.ravel()[self._cells] / self._replicas
        loads = np.bincount(self._columns, parts, layers * ranks)
        return _mean_skew(loads.reshape(layers, ranks), paces)


def expected_skew(known: GroupMap, demand: Demand, paces: t.Sequence[float]) -> float:
    """Return the slowest rank's time over the mean, as the demand of late makes it."""
    demand.forget_shifted()
    return known.skew(demand, np.array(paces))


def plan_change(
    known: GroupMap,
    demand: Demand,
    slots: int,
    paces: t.Sequence[float] | None = None,
    copies_per_rank: int = COPIES_PER_RANK,
    copies_per_layer: int | None = None,
    least_total_gain: float = LEAST_TOTAL_GAIN,
) -> PlanSearch:
    """Search for the next change of a map.

    Parameters
    ----------
    known : GroupMap
        The map in force.
    demand : Demand
    slots : int
        Experts of one layer that a rank has memory for.
    paces : sequence of float, optional
        How much slower than usual each rank works.
    copies_per_rank, copies_per_layer : int, optional
        Copies that a rank may take in all, and in one layer.
    least_total_gain : float, optional
        Fall in the mean skew over all layers that the change must bring.

    Yields
    ------
    None
        Each 0.1 ms or so. A search at 96 ranks with five copies each takes 55 ms of a
        core, and its host, with 0.645 of one, would hear nobody for 85 ms.

    Returns
    -------
    Plan or None
        None when no change is worth its copies.
    """
    demand.forget_shifted()
    ranks = len(known.placement[0])
    weighed = np.ones(ranks) if paces is None else np.array(paces)
    target = yield from improve_within(
        known.table,
        demand.weights.copy(),
        slots,
        copies_per_rank,
        LEAST_GAIN,
        weighed,
        copies_per_layer,
    )
    before = known.skew(demand, weighed)
    after = _mean_skew(rank_loads(target, demand.weights), weighed)
    if before - after < least_total_gain:
        return None
    copies = int(count_moves(known.table, target).sum())
    return Plan(as_placement(target), copies, before, after)


def finish(search: PlanSearch) -> Plan | None:
    """Run a search to its end and return what it found."""
    try:
        while True:
            next(search)
    except StopIteration as ended:
        return t.cast(Plan | None, ended.value)


def copies_in_a_pass(pass_ms: float, copy_ms: float, most: int) -> int:
    """Return how many experts a rank copies for one change.

    As many as it copies in the time of a pass: a change takes effect as a pass begins,
    so that fewer bring nothing sooner, and each further change waits for two passes.
    With one copy a change, an engine at a twelfth of its pace was relieved in six
    changes and 3.7 s, the passes of which took up to 1.5 s.

    Parameters
    ----------
    pass_ms, copy_ms : float
    most : int
        Copies that one change may have at all.
    """
    if copy_ms <= 0:
        return COPIES_PER_RANK
    return max(COPIES_PER_RANK, min(int(pass_ms / copy_ms), most))


def _mean_skew(
    loads: "npt.NDArray[np.float64]", paces: "npt.NDArray[np.float64]"
) -> float:
    """Return the slowest rank's time over the usual mean, the mean over layers."""
    means = loads.mean(axis=1)
    slowest = (loads * paces).max(axis=1)
    return float((slowest / np.where(means > 0, means, 1.0)).mean())


def as_map(placement: "Placement", experts: int) -> ExpertMap:
    """Return a placement as a table of layers, experts and ranks."""
    placed = np.zeros((len(placement), experts, len(placement[0])), dtype=bool)
    for at, layer in enumerate(placement):
        for rank, held in enumerate(layer):
            placed[at, list(held), rank] = True
    return ExpertMap(placed)


def as_placement(expert_map: ExpertMap) -> "Placement":
    """Return a table of layers, experts and ranks as a placement."""
    return tuple(
        tuple(tuple(np.flatnonzero(held).tolist()) for held in layer.T)
        for layer in expert_map.placed
    )
