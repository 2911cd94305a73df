"""A way to spread control over the nodes at the expected size."""

import dataclasses
import math

from fuchsiahatch_bench.expected_sizes import SIZE
from fuchsiahatch_core.defaults import FRESH_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Pauses and subsets that are not built yet.

    Attributes
    ----------
    watchers : int
        Entries that watch each agent.
    report_pause_s : float
        Time between two reports of an agent to one entry.
    beat_pause_s : float
        Time between two heartbeats of an entry.
    segments : int
        Segments that one entry serves, of one for each model.
    confirm_pause_s : float
        Time between two confirmations of all its revisions.
    """

    watchers: int = 3
    report_pause_s: float = 10
    beat_pause_s: float = 5
    segments: int = 2
    confirm_pause_s: float = FRESH_MS / 2_000

    @property
    def watched(self) -> int:
        """Return how many agents one entry watches."""
        return math.ceil(SIZE.upstreams * self.watchers / SIZE.entries)

    @property
    def segment_teams(self) -> float:
        """Return the teams of one segment."""
        return SIZE.teams / SIZE.models

    @property
    def changes_per_s(self) -> float:
        """Return the changes of all segments that one entry serves."""
        return SIZE.changes_per_s / SIZE.models * self.segments


PLAN = Plan()
#: Agents that follow one entry's revisions; each follows one.
FOLLOWERS = SIZE.upstreams / SIZE.entries
