"""Running estimate of each expert's share of the load."""

import typing as t

import numpy as np

if t.TYPE_CHECKING:
    import numpy.typing as npt


class PopularityEstimate:
    """An exponentially weighted mean of the experts' shares of the load.

    Parameters
    ----------
    layers, experts : int
    half_life_ms : float
        Age at which a count has half the weight of a new one.

    Notes
    -----
    Counts are normalized to shares before they are averaged, so that a step with many
    tokens does not outweigh steps with few.

    .. versionadded:: 0.1
    """

    __slots__ = ("_half_life_ms", "_updated_ms", "shares")

    def __init__(self, layers: int, experts: int, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._updated_ms: int | None = None
        self.shares = np.full((layers, experts), 1.0 / experts)

    def observe(self, counts: "npt.NDArray[t.Any]", now_ms: int) -> None:
        """Add the token counts of the steps since the last call.

        Parameters
        ----------
        counts : ndarray, shape (layers, experts)
            Tokens routed to each expert; layers without tokens keep their estimate.
        now_ms : int
        """
        totals = counts.sum(axis=1, keepdims=True)
        observed = np.where(totals > 0, counts / np.maximum(totals, 1), self.shares)
        retained = self._retained_share(now_ms)
        self.shares = retained * self.shares + (1.0 - retained) * observed
        self._updated_ms = now_ms

    def _retained_share(self, now_ms: int) -> float:
        if self._updated_ms is None:
            return 0.0
        return 0.5 ** ((now_ms - self._updated_ms) / self._half_life_ms)
