"""A way to spread control over the nodes at the expected size."""

import dataclasses
import math

from fuchsiahatch_bench.expected_sizes import SIZE
from fuchsiahatch_core.defaults import FRESH_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A way to spread control over the nodes, not built yet.

    Attributes
    ----------
    watchers : int
        Entries that watch each agent.
    report_pause_s : int
        Time between two reports of an agent to one entry.
    segments : int
        Segments that one entry serves, of one for each model.
    freshness_pause_s : float
        Time between two confirmations of the revision.
    """

    watchers: int = 3
    report_pause_s: int = 5
    segments: int = 2
    freshness_pause_s: float = FRESH_MS / 2_000

    @property
    def watched(self) -> int:
        """Return how many agents one entry watches."""
        return math.ceil(SIZE.upstreams * self.watchers / SIZE.entries)

    @property
    def segment_teams(self) -> float:
        """Return the teams of one segment."""
        return SIZE.teams / SIZE.models

    @property
    def segment_changes_per_s(self) -> float:
        """Return the changes of one segment."""
        return SIZE.changes_per_s / SIZE.models


PLAN = Plan()
