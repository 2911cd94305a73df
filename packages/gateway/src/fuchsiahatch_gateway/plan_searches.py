"""Incremental search of a leader for plans of its group's map."""

import asyncio
import typing as t
import zlib

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.plan_readiness import Lack, PlanReadiness
from fuchsiahatch_gateway.tasks import Tasks

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Engine
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_experts.drift import Plan, PlanSearch
    from fuchsiahatch_experts.planning import MapPlanner, PassTiming
    from fuchsiahatch_experts.switching import Switch
    from fuchsiahatch_gateway.datagrams import RankState

#: Steps of a search, of 0.1 ms each, before it yields to the event loop.
SEARCH_STEPS_PER_TURN = 20


class PlanSearches:
    """Follows a group's demand and searches for changes of its map.

    Parameters
    ----------
    group : str
    ranks : int
    switch : Switch
    clock : Clock
    on_plan : callable
        Called with a plan for the map in force and the data on its passes; returns
        whether the switch to it was started.

    Attributes
    ----------
    engine : Engine or None
        The engines' figures, once they are known.
    gap_ms : int
        Shortest gap that the group's routes allow between two events; 0 if there is
        none or it is unknown.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_on_plan",
        "_paces",
        "_planner",
        "_ranks",
        "_readiness",
        "_searching",
        "_switch",
        "_tasks",
        "engine",
        "gap_ms",
    )

    def __init__(
        self,
        group: str,
        ranks: int,
        switch: "Switch",
        clock: "Clock",
        on_plan: t.Callable[["Plan", "PassTiming"], bool],
    ) -> None:
        self._group = group
        self._ranks = ranks
        self._switch = switch
        self._clock = clock
        self._on_plan = on_plan
        self._paces: dict[int, float] = {}
        self._planner: MapPlanner | None = None
        self._readiness = PlanReadiness(group)
        self._searching = False
        self._tasks = Tasks()
        self.engine: Engine | None = None
        self.gap_ms = 0

    def set_engine(self, engine: "Engine", gap_ms: int) -> None:
        """Set or update the engines' figures."""
        if (engine, gap_ms) == (self.engine, self.gap_ms):
            return
        if engine != self.engine:
            # The recorded demand belongs to another layout.
            self._planner = None
        self.engine, self.gap_ms = engine, gap_ms
        log_event(
            Event.FIGURES_LEARNT,
            group=self._group,
            layers=engine.expert_layers,
            experts=engine.experts,
            gap_ms=gap_ms,
        )

    def count(self, state: "RankState", now_ms: int) -> None:
        """Record a rank's pace and the recent expert choices of its requests."""
        self._paces[state.report.rank] = state.pace
        engine = self.engine
        if engine is None or not state.choices:
            return
        try:
            choices = zlib.decompress(state.choices)
            planner = self._planner or self._make_planner(engine)
            planner.add_choices(state.report.rank, state.running, choices, now_ms)
        except (zlib.error, ValueError) as fault:
            log_event(Event.DATAGRAM_DROPPED, detail=f"choices: {fault}")

    def work(self, pass_ms: float, max_copies: int, now_ms: int) -> None:
        """Start a search for a change of the map, if one may pay off now.

        Parameters
        ----------
        pass_ms : float
            Recent mean time of a pass; 0 while the group is idle.
        max_copies : int
            Most copies per rank that the orders of one change may have.
        now_ms : int
        """
        lack = self._find_lack()
        # A group without requests runs no passes and needs no other map.
        self._readiness.note(lack if pass_ms else None, now_ms)
        planner = self._planner
        if lack is not None or planner is None:
            return
        if self._searching or not planner.is_due(now_ms):
            return
        placement, version = self._switch.placement, self._switch.map_version
        if placement is None or version is None:
            return
        from fuchsiahatch_experts.planning import PassTiming

        paces = [self._paces.get(rank, 1.0) for rank in range(self._ranks)]
        passes = PassTiming(pass_ms, self.gap_ms, paces)
        search = planner.start_search(
            self._switch.epoch, version, placement, passes, max_copies, now_ms
        )
        if search is not None:
            self._searching = True
            self._tasks.begin(self._search(search, version, passes))

    def _find_lack(self) -> Lack | None:
        """Return what is lacking to make a plan, if anything."""
        if self.engine is None:
            return Lack.ENGINE
        if self._planner is None:
            return Lack.CHOICES
        return None if self._switch.ready else Lack.SETTLED_MAP

    def stop(self) -> None:
        """Cancel the search in progress."""
        self._tasks.cancel()

    def _make_planner(self, engine: "Engine") -> "MapPlanner":
        # Imported here as only a leader needs it: numpy costs memory and import time.
        from fuchsiahatch_experts.planning import ExpertLayout, MapPlanner

        layout = ExpertLayout(
            engine.expert_layers,
            engine.experts,
            engine.expert_places,
            engine.spare_places or 1,
            engine.expert_share,
            engine.copy_ms,
        )
        self._planner = MapPlanner(layout)
        return self._planner

    async def _search(
        self, search: "PlanSearch", version: int, passes: "PassTiming"
    ) -> None:
        """Search for a plan in steps; the loop reads datagrams in between."""
        try:
            result: list[Plan | None] = []
            while not result:
                result = _advance_search(search)
                await asyncio.sleep(0)
        finally:
            self._searching = False
        plan = result[0]
        if plan is None or self._switch.map_version != version:
            return
        if self._on_plan(plan, passes):
            self._log_plan(plan, passes)

    def _log_plan(self, plan: "Plan", passes: "PassTiming") -> None:
        planner = self._planner
        assert planner is not None
        log_event(
            Event.MAP_PLANNED,
            group=self._group,
            copies=plan.copies,
            copies_per_rank=planner.copies_per_rank,
            pass_ms=round(passes.pass_ms, 1),
            expected_pass_ms=round(planner.expected_ms, 1),
            skew_before=round(plan.skew_before, 3),
            skew_after=round(plan.skew_after, 3),
            slowest_pace=round(max(passes.paces), 2),
            shifts=planner.demand.shifts,
        )


def _advance_search(search: "PlanSearch") -> "list[Plan | None]":
    """Advance a search by some steps; return its result in a list once it has ended."""
    try:
        for _ in range(SEARCH_STEPS_PER_TURN):
            next(search)
    except StopIteration as ended:
        return [ended.value]
    return []
