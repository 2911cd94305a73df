"""Expert maps: which ranks hold which experts, and the resulting load."""

import dataclasses
import typing as t

import numpy as np

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import FuchsiahatchError

if t.TYPE_CHECKING:
    import numpy.typing as npt


class MapError(FuchsiahatchError):
    """An expert map that no engine can use."""

    code = Code.RECORD_INVALID


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ExpertMap:
    """Placement of each expert's weights.

    Attributes
    ----------
    placed : ndarray of bool, shape (layers, experts, ranks)
        Whether a rank holds a replica. A rank holds an expert at most once.

    Notes
    -----
    .. versionadded:: 0.1
    """

    placed: "npt.NDArray[np.bool_]"

    def replicas(self) -> "npt.NDArray[np.int_]":
        """Return how many ranks hold each expert, shape (layers, experts)."""
        return self.placed.sum(axis=2)


def check_map(expert_map: ExpertMap, slots: int) -> None:
    """Check that a map places every expert and fits into the ranks' memory.

    Parameters
    ----------
    expert_map : ExpertMap
    slots : int
        Experts of one layer that a rank has memory for.

    Raises
    ------
    MapError
        When an expert is on no rank, or a rank holds more experts than its slots.
    """
    if not expert_map.placed.any(axis=2).all():
        raise MapError("an expert is on no rank; place every expert at least once")
    fullest = expert_map.placed.sum(axis=1).max()
    if fullest > slots:
        raise MapError(f"a rank holds {fullest} experts of a layer; {slots} fit")


def rank_loads(
    expert_map: ExpertMap, popularity: "npt.NDArray[np.float64]"
) -> "npt.NDArray[np.float64]":
    """Return the load of each rank, an expert's load split evenly over its replicas.

    Parameters
    ----------
    expert_map : ExpertMap
    popularity : ndarray, shape (layers, experts)
        Load of each expert, in any unit.

    Returns
    -------
    ndarray, shape (layers, ranks)
        In the unit of `popularity`.
    """
    shares = popularity / expert_map.replicas()
    return (shares[:, np.newaxis, :] @ expert_map.placed)[:, 0, :]


def count_moves(current: ExpertMap, target: ExpertMap) -> "npt.NDArray[np.int_]":
    """Return how many experts must be fetched to change from one map to another.

    Removing a replica costs nothing, so only new replicas count.

    Returns
    -------
    ndarray of int, shape (layers,)
    """
    return (target.placed & ~current.placed).sum(axis=(1, 2))
