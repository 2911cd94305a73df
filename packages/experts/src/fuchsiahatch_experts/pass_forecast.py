"""What a group's passes will take, before they have been measured."""

import collections

#: Age of the demand that the measured time of passes is of: it is a mean over windows.
#: Without a forecast a shift of demand was followed by the first change of map after
#: 0.44 s in the mean (ten shifts of a day's log), and with it after 0.24 s.
PASS_LAG_MS = 300


class PassForecast:
    """Tells from the expected skew how long passes will be.

    Parameters
    ----------
    expert_share : float
        Share of a pass that is the experts'.
    """

    __slots__ = ("_expert_share", "_skews")

    def __init__(self, expert_share: float) -> None:
        self._expert_share = expert_share
        self._skews: collections.deque[tuple[int, float]] = collections.deque()

    @property
    def looked_ms(self) -> int | None:
        """When a skew was last noted."""
        return self._skews[-1][0] if self._skews else None

    def expect_ms(self, pass_ms: float, skew: float, now_ms: int) -> float:
        """Note the skew of now and return what passes will take.

        Parameters
        ----------
        pass_ms : float
            As measured of late.
        skew : float
            Most loaded rank over the mean, as the demand of now makes it.
        now_ms : int
        """
        skews = self._skews
        skews.append((now_ms, skew))
        while len(skews) > 1 and now_ms - skews[1][0] >= PASS_LAG_MS:
            skews.popleft()
        before = skews[0][1]
        growth = max(skew / before - 1.0, 0.0) if before else 0.0
        return pass_ms * (1.0 + self._expert_share * growth)
