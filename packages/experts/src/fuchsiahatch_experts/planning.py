"""When a group's map is looked at, and when a change of it is planned."""

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

#: Requests in ranks' states that must be known before a map is changed.
LEAST_WEIGHT = 4.0
#: Share of the pause that routes allow, with an event a pass, below which passes are
#: left as they are: copies would cost more than faster passes bring. It saved a third
#: of the copies of a calm day (1,879 to 1,205 GB) at the same share of requests in time
#: (0.977 and 0.976).
SHORT_PASS_SHARE = 0.42
#: Share of that pause up to which a change must bring `EASY_GAIN`. Each change is a
#: moment in which ranks that answer late hold a pass, and with it all streams; streams
#: whose passes are far below the pause gain nothing by shorter ones.
NEAR_PASS_SHARE = 0.6
#: Fall in the mean skew that pays there. A demand that moves brings that within some
#: 100 ms: more would leave the first part of a move to grow.
EASY_GAIN = 0.1
#: Pause between two looks at the demand. One takes 0.03 ms with 96 ranks.
LOOK_PAUSE_MS = 20
#: Pause behind a plan that didn't pay, unless the skew has grown meanwhile. A plan
#: takes 20 ms and more with 96 ranks. Made at each look it took most of the leader's
#: time, which read the agents' states 0.4 s late then and took them all for silent.
VAIN_PAUSE_MS = 250
#: Growth of the skew over that of the last plan that didn't pay behind which another
#: one is made at once: half of what a change must bring.
GROWTH_BY_PLAN = MIN_TOTAL_GAIN / 2


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """What a group's ranks hold and what a change of it costs.

    Attributes
    ----------
    layers, experts : int
        Layers with experts, and experts of a layer.
    places, spare : int
        Replicas of a layer that a rank holds, and how many of them one change may
        replace.
    share : float
        Share of a pass that is the experts'.
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
    """What is known of a group's passes.

    Attributes
    ----------
    pass_ms : float
        As measured of late.
    gap_ms : float
        Shortest pause that routes allow between two events.
    paces : sequence of float
        How much slower than usual each rank works.
    """

    pass_ms: float
    gap_ms: float
    paces: t.Sequence[float]


@dataclasses.dataclass(frozen=True, slots=True)
class _VainPlan:
    """A plan that didn't pay: for which map, at which skew, and when.

    A map is named by its epoch and version: a group that forms anew is back at version
    0.
    """

    map_of: tuple[int, int]
    skew: float
    at_ms: int


def least_gain(pass_ms: float, gap_ms: float) -> float:
    """Return the fall in the mean skew that a change must bring.

    Parameters
    ----------
    pass_ms : float
        What passes will take under the map in force.
    gap_ms : float
        Shortest pause that routes allow between two events; 0 where there is none.
    """
    return EASY_GAIN if pass_ms < NEAR_PASS_SHARE * gap_ms else MIN_TOTAL_GAIN


class MapPlanner:
    """Follows a group's demand, and plans changes of its map.

    Parameters
    ----------
    layout : ExpertLayout

    Attributes
    ----------
    demand : Demand
    copies_per_rank : int
        Copies that a rank takes in the last plan.
    expected_ms : float
        What passes will take, at the last look.
    """

    __slots__ = (
        "_forecast",
        "_known",
        "_layout",
        "_running",
        "_vain",
        "_version",
        "copies_per_rank",
        "demand",
        "expected_ms",
    )

    def __init__(self, layout: ExpertLayout) -> None:
        self._layout = layout
        self._forecast = PassForecast(layout.share)
        self._running: dict[int, int] = {}
        self._known: IndexedMap | None = None
        self._version = (-1, -1)
        self._vain: _VainPlan | None = None
        self.demand = Demand(layout.layers, layout.experts)
        self.copies_per_rank = 0
        self.expected_ms = 0.0

    def add_choices(self, rank: int, running: int, choices: bytes, now_ms: int) -> None:
        """Take in how often a rank's requests chose each expert.

        Parameters
        ----------
        rank, running : int
            Its number, and the requests that it works on.
        choices : bytes
            One for each expert, layer by layer.
        now_ms : int

        Raises
        ------
        ValueError
            When there are more or fewer than experts.
        """
        shape = (self._layout.layers, self._layout.experts)
        counts = np.frombuffer(choices, dtype=np.uint8).reshape(shape)
        sums = np.maximum(counts.sum(axis=1, keepdims=True), 1)
        self._running[rank] = running
        self.demand.decay_time_ms = decay_time_for(sum(self._running.values()))
        self.demand.add(counts / sums, running, now_ms)

    def is_due(self, now_ms: int) -> bool:
        """Return whether to look at the demand now."""
        updated_ms = self._forecast.updated_ms
        return updated_ms is None or now_ms - updated_ms >= LOOK_PAUSE_MS

    def start_search(
        self,
        epoch: int,
        version: int,
        placement: "Placement",
        passes: PassTiming,
        most_copies: int,
        now_ms: int,
    ) -> PlanSearch | None:
        """Return a search for a change of the map, if one may be worth its copies.

        Parameters
        ----------
        epoch, version : int
            Of the map in force; they name it.
        placement : Placement
            That map.
        passes : PassTiming
        most_copies : int
            Copies of a rank that a change's orders have room for.
        now_ms : int
        """
        if self.demand.weight < LEAST_WEIGHT:
            return None
        known = self._lay_out(epoch, version, placement)
        skew = expected_skew(known, self.demand, passes.paces)
        self.expected_ms = self._forecast.predict_ms(passes.pass_ms, skew, now_ms)
        if self.expected_ms < SHORT_PASS_SHARE * passes.gap_ms:
            return None
        if self._would_be_vain(skew, now_ms):
            return None
        layout = self._layout
        most = min(layout.spare * layout.layers, most_copies)
        copies = copies_in_a_pass(self.expected_ms, layout.copy_ms, most)
        self.copies_per_rank = copies
        # Until it has found something it counts as one that won't.
        self._vain = _VainPlan(self._version, skew, now_ms)
        return plan_change(
            known,
            self.demand,
            layout.places,
            passes.paces,
            copies,
            layout.spare,
            least_gain(self.expected_ms, passes.gap_ms),
        )

    def _lay_out(self, epoch: int, version: int, placement: "Placement") -> IndexedMap:
        if self._known is None or self._version != (epoch, version):
            self._known = IndexedMap(placement, self._layout.experts)
            self._version = (epoch, version)
        return self._known

    def _would_be_vain(self, skew: float, now_ms: int) -> bool:
        """Return whether a plan would find as little as the last one did."""
        vain = self._vain
        if vain is None or vain.map_of != self._version:
            return False
        if skew >= vain.skew + GROWTH_BY_PLAN:
            return False
        return now_ms - vain.at_ms < VAIN_PAUSE_MS
