"""Chooses the pass that a switch holds: one not due before all ranks are armed."""

import math

from fuchsiahatch_experts.switching import HOLD_AHEAD_PASSES, MAX_HOLD_AHEAD_PASSES

#: Passes of this length or more leave time to hold the next one: a hold and the arming
#: after it take some 20 ms. Holding the second next would delay the switch by one more
#: pass of up to 1.5 s.
LONG_PASS_MS = 200
#: Weight of a switch that was quicker than the estimate: the estimate falls slowly.
DECAY_SHARE = 0.2


class HoldTiming:
    """Estimates how long the ranks of a group take until all are armed.

    A pass that is held for longer than a usual pass lasts pauses all streams of the
    group at once. Holding a later pass leaves more time for arming, but delays the new
    map by as much.
    """

    __slots__ = ("arming_ms",)

    def __init__(self) -> None:
        #: Estimated time from the hold order until all ranks are armed.
        self.arming_ms = 0.0

    def note(self, took_ms: float) -> None:
        """Update the estimate from one switch; a slower one counts in full at once."""
        decayed_ms = self.arming_ms + DECAY_SHARE * (took_ms - self.arming_ms)
        self.arming_ms = max(took_ms, decayed_ms)

    def passes_ahead(self, pass_ms: float) -> int:
        """Return how many passes after the last one begun the hold is set.

        Parameters
        ----------
        pass_ms : float
            Usual length of a pass; 0 if unknown.
        """
        if pass_ms >= LONG_PASS_MS:
            return 1
        if not pass_ms:
            return HOLD_AHEAD_PASSES
        # The last pass begun may be about to end, so it leaves no time.
        needed = 1 + math.ceil(self.arming_ms / pass_ms)
        return min(max(needed, HOLD_AHEAD_PASSES), MAX_HOLD_AHEAD_PASSES)
