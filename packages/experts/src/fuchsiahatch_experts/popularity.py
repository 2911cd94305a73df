"""A running estimate of how much load each expert draws."""

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
        Age at which a count weighs half as much as a fresh one.

    Notes
    -----
    Counts are turned into shares before they are averaged, so that a busy step
    does not outweigh the quiet ones beside it.

    .. versionadded:: 0.1
    """

    __slots__ = ("_half_life_ms", "_seen_ms", "shares")

    def __init__(self, layers: int, experts: int, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._seen_ms: int | None = None
        self.shares = np.full((layers, experts), 1.0 / experts)

    def observe(self, counts: "npt.NDArray[t.Any]", now_ms: int) -> None:
        """Take in the token counts of the steps since the last call.

        Parameters
        ----------
        counts : ndarray, shape (layers, experts)
            Tokens that each expert was given; layers without tokens are skipped.
        now_ms : int
        """
        totals = counts.sum(axis=1, keepdims=True)
        fresh = np.where(totals > 0, counts / np.maximum(totals, 1), self.shares)
        kept = self._kept(now_ms)
        self.shares = kept * self.shares + (1.0 - kept) * fresh
        self._seen_ms = now_ms

    def _kept(self, now_ms: int) -> float:
        if self._seen_ms is None:
            return 0.0
        return 0.5 ** ((now_ms - self._seen_ms) / self._half_life_ms)
