"""Decides when to evaluate a group's map and when to plan a change of it."""

import dataclasses
import typing as t

import numpy as np

from fuchsiahatch_experts.drift import (
    MIN_TOTAL_GAIN,
    Demand,
    IndexedMap,
    PlanSearch,
    copies_in_a_pass,
    decay_time_for,
    expected_skew,
    plan_change,
)
from fuchsiahatch_experts.pass_forecast import PassForecast

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.rank_orders import Placement

#: Minimum weight of the demand estimate, in requests, before a map is changed.
MIN_DEMAND_WEIGHT = 4.0
#: Share of the routes' shortest gap between events, with one event per pass, below
#: which passes cause no change: copies would cost more than faster passes bring. On a
#: quiet day this saves a third of the copies (1,205 instead of 1,879 GB) at the same
#: share of requests in time (0.976 and 0.977).
SHORT_PASS_SHARE = 0.42
#: Share of that gap up to which a change must bring `MEDIUM_PASS_MIN_GAIN`. During each
#: change, ranks that answer late delay a pass and with it all streams; streams whose
#: passes are far shorter than the gap gain nothing from even shorter ones.
MEDIUM_PASS_SHARE = 0.6
#: Minimum fall in the mean skew for such passes. A shift of demand allows for this much
#: within some 100 ms; a higher minimum would delay the response to a shift.
MEDIUM_PASS_MIN_GAIN = 0.1
#: Interval between two evaluations of the demand. One takes 0.03 ms with 96 ranks.
CHECK_INTERVAL_MS = 20
#: Interval after a search without result until the next one, unless the skew has grown.
#: A search takes 20 ms and more with 96 ranks. At every evaluation, searches would take
#: most of the leader's time: it would read the agents' states 0.4 s late and consider
#: all agents silent.
REPLAN_INTERVAL_MS = 250
#: Growth of the skew since the last search without result that allows another one at
#: once: half of what a change must bring.
REPLAN_SKEW_GROWTH = MIN_TOTAL_GAIN / 2


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """Expert layout of a group's ranks, and the cost of changing it.

    Attributes
    ----------
    layers, experts : int
        Layers with experts, and experts per layer.
    places, spare : int
        Replicas per layer that a rank holds, and how many of them one change may
        replace.
    share : float
        Share of a pass that is spent in expert layers.
    copy_ms : float
        Time in which a rank copies one expert.
    """

    layers: int
    experts: int
    places: int
    spare: int
    share: float
    copy_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PassTiming:
    """Timing of a group's passes.

    Attributes
    ----------
    pass_ms : float
        Latest measured length of a pass.
    gap_ms : float
        Shortest gap that routes allow between two events.
    paces : sequence of float
        Time that each rank takes for a load, relative to the usual time.
    """

    pass_ms: float
    gap_ms: float
    paces: t.Sequence[float]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastSearch:
    """The last search for a plan: for which map, at which skew, and when.

    A map is identified by epoch and version, as a group that is formed anew starts at
    version 0 again.
    """

    map_id: tuple[int, int]
    skew: float
    started_ms: int


def min_total_gain(pass_ms: float, gap_ms: float) -> float:
    """Return the minimum fall in the mean skew for a change.

    Parameters
    ----------
    pass_ms : float
        Expected length of passes under the current map.
    gap_ms : float
        Shortest gap that routes allow between two events; 0 if there is none.
    """
    return (
        MEDIUM_PASS_MIN_GAIN if pass_ms < MEDIUM_PASS_SHARE * gap_ms else MIN_TOTAL_GAIN
    )


class MapPlanner:
    """Tracks a group's demand and plans changes of its map.

    Parameters
    ----------
    layout : ExpertLayout

    Attributes
    ----------
    demand : Demand
    copies_per_rank : int
        Maximum copies per rank in the last search.
    expected_ms : float
        Expected length of passes at the last evaluation.
    """

    __slots__ = (
        "_forecast",
        "_indexed_map",
        "_last_search",
        "_layout",
        "_map_id",
        "_running",
        "copies_per_rank",
        "demand",
        "expected_ms",
    )

    def __init__(self, layout: ExpertLayout) -> None:
        self._layout = layout
        self._forecast = PassForecast(layout.share)
        self._running: dict[int, int] = {}
        self._indexed_map: IndexedMap | None = None
        self._map_id = (-1, -1)
        self._last_search: _LastSearch | None = None
        self.demand = Demand(layout.layers, layout.experts)
        self.copies_per_rank = 0
        self.expected_ms = 0.0

    def add_choices(self, rank: int, running: int, choices: bytes, now_ms: int) -> None:
        """Add how often a rank's requests chose each expert.

        Parameters
        ----------
        rank, running : int
            Number of the rank, and of the requests that it runs.
        choices : bytes
            One count per expert, layer by layer.
        now_ms : int

        Raises
        ------
        ValueError
            If the number of counts isn't the number of experts in all layers.
        """
        shape = (self._layout.layers, self._layout.experts)
        counts = np.frombuffer(choices, dtype=np.uint8).reshape(shape)
        sums = np.maximum(counts.sum(axis=1, keepdims=True), 1)
        self._running[rank] = running
        self.demand.decay_time_ms = decay_time_for(sum(self._running.values()))
        self.demand.add(counts / sums, running, now_ms)

    def is_due(self, now_ms: int) -> bool:
        """Return whether the next evaluation of the demand is due."""
        updated_ms = self._forecast.updated_ms
        return updated_ms is None or now_ms - updated_ms >= CHECK_INTERVAL_MS

    def start_search(
        self,
        epoch: int,
        version: int,
        placement: "Placement",
        passes: PassTiming,
        max_copies: int,
        now_ms: int,
    ) -> PlanSearch | None:
        """Return a search for a change of the map, if one may be worthwhile.

        Parameters
        ----------
        epoch, version : int
            Identify the current map.
        placement : Placement
            The current map.
        passes : PassTiming
        max_copies : int
            Copies per rank that fit a change's orders.
        now_ms : int
        """
        if self.demand.weight < MIN_DEMAND_WEIGHT:
            return None
        indexed_map = self._index_map(epoch, version, placement)
        skew = expected_skew(indexed_map, self.demand, passes.paces)
        self.expected_ms = self._forecast.predict_ms(passes.pass_ms, skew, now_ms)
        if self.expected_ms < SHORT_PASS_SHARE * passes.gap_ms:
            return None
        if self._repeats_last_search(skew, now_ms):
            return None
        layout = self._layout
        max_copies_per_rank = min(layout.spare * layout.layers, max_copies)
        copies = copies_in_a_pass(self.expected_ms, layout.copy_ms, max_copies_per_rank)
        self.copies_per_rank = copies
        # Counts as a search without result until a plan that it finds changes the map.
        self._last_search = _LastSearch(self._map_id, skew, now_ms)
        return plan_change(
            indexed_map,
            self.demand,
            layout.places,
            passes.paces,
            copies,
            layout.spare,
            min_total_gain(self.expected_ms, passes.gap_ms),
        )

    def _index_map(
        self, epoch: int, version: int, placement: "Placement"
    ) -> IndexedMap:
        if self._indexed_map is None or self._map_id != (epoch, version):
            self._indexed_map = IndexedMap(placement, self._layout.experts)
            self._map_id = (epoch, version)
        return self._indexed_map

    def _repeats_last_search(self, skew: float, now_ms: int) -> bool:
        """Return whether a search now would find as little as the last one did."""
        last = self._last_search
        if last is None or last.map_id != self._map_id:
            return False
        if skew >= last.skew + REPLAN_SKEW_GROWTH:
            return False
        return now_ms - last.started_ms < REPLAN_INTERVAL_MS
