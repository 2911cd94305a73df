"""Following a demand that moves every few seconds: which experts to copy next."""

import dataclasses
import typing as t

import numpy as np

from fuchsiahatch_experts.costs import layer_skew
from fuchsiahatch_experts.maps import ExpertMap, count_moves
from fuchsiahatch_experts.packing import improve_within

if t.TYPE_CHECKING:
    import numpy.typing as npt

    from fuchsiahatch_experts.switching import Placement

#: Experts that a rank copies for one change. One takes 150 ms, and passes are 15%
#: longer meanwhile; with more the demand has moved on before they are of use.
COPIES_PER_RANK = 1
#: Fall in a layer's skew that one copy must bring.
LEAST_GAIN = 0.02
#: Fall in the mean skew over all layers that a change as a whole must bring.
LEAST_TOTAL_GAIN = 0.01


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


class Demand:
    """How often each expert was chosen of late.

    Parameters
    ----------
    layers, experts : int
    memory_ms : float
        Time constant with which counts are forgotten.

    Attributes
    ----------
    weights : ndarray, shape (layers, experts)
    total : float
        Choices that were counted, ever.
    """

    __slots__ = ("_decayed_ms", "_memory_ms", "total", "weights")

    def __init__(self, layers: int, experts: int, memory_ms: float) -> None:
        self._memory_ms = memory_ms
        self._decayed_ms: int | None = None
        self.weights = np.zeros((layers, experts))
        self.total = 0.0

    def add(self, counts: "npt.NDArray[t.Any]", now_ms: int) -> None:
        """Count the choices of one rank since its last report."""
        self._decay(now_ms)
        self.weights += counts
        self.total += float(counts.sum())

    def _decay(self, now_ms: int) -> None:
        if self._decayed_ms is not None:
            age_ms = max(now_ms - self._decayed_ms, 0)
            self.weights *= np.exp(-age_ms / self._memory_ms)
        self._decayed_ms = now_ms


def plan_change(
    placement: "Placement",
    demand: Demand,
    slots: int,
    copies_per_rank: int = COPIES_PER_RANK,
) -> Plan | None:
    """Return the next change of a map, or None when none is worth its copies.

    Parameters
    ----------
    placement : Placement
        The map in force.
    demand : Demand
    slots : int
        Experts of one layer that a rank has memory for.
    copies_per_rank : int, optional
    """
    current = as_map(placement, demand.weights.shape[1])
    target = improve_within(current, demand.weights, slots, copies_per_rank, LEAST_GAIN)
    before = float(layer_skew(current, demand.weights).mean())
    after = float(layer_skew(target, demand.weights).mean())
    if before - after < LEAST_TOTAL_GAIN:
        return None
    copies = int(count_moves(current, target).sum())
    return Plan(as_placement(target), copies, before, after)


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
