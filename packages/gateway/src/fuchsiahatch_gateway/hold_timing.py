"""Which pass a switch holds: one that isn't due before all ranks are armed."""

import math

from fuchsiahatch_experts.switching import HOLD_AHEAD, MOST_AHEAD

#: Passes of this length or more leave time to hold the very next one: a hold and its
#: arms take some 20 ms. Holding the second next would cost a pass of up to 1.5 s more.
LONG_PASS_MS = 200
#: Share of a switch's time by which the known one falls behind it where it was shorter.
DECAY_SHARE = 0.2


class HoldTiming:
    """Knows how long the ranks of a group took of late until all were armed.

    A pass that is held longer than the usual one lasts is a pause in each stream of the
    group at once. A later pass leaves the arms more time; the map comes into force
    later by as much.
    """

    __slots__ = ("arming_ms",)

    def __init__(self) -> None:
        #: From the order to hold until all ranks were armed.
        self.arming_ms = 0.0

    def note(self, took_ms: float) -> None:
        """Take in how long a switch took; one that was longer counts at once."""
        decayed_ms = self.arming_ms + DECAY_SHARE * (took_ms - self.arming_ms)
        self.arming_ms = max(took_ms, decayed_ms)

    def passes_ahead(self, pass_ms: float) -> int:
        """Return how many passes beyond the last one begun to hold.

        Parameters
        ----------
        pass_ms : float
            Usual length of a pass; 0 where it isn't known.
        """
        if pass_ms >= LONG_PASS_MS:
            return 1
        if not pass_ms:
            return HOLD_AHEAD
        # The last one begun may be about to end.
        needed = 1 + math.ceil(self.arming_ms / pass_ms)
        return min(max(needed, HOLD_AHEAD), MOST_AHEAD)
