"""Room of the rank groups that an entry sends to, by their load reports."""

import dataclasses
import functools
import random
import typing as t

from fuchsiahatch_adapter.configuration import Engine
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.defaults import MAX_LOAD_AGE_MS
from fuchsiahatch_gateway.line_limits import LineLimit
from fuchsiahatch_routing.group_room import GroupLoad, RoomFigures, free_room
from fuchsiahatch_routing.paced_turns import PacedTurns
from fuchsiahatch_routing.pass_model import ImbalanceEstimate, PassModel
from fuchsiahatch_routing.reserved_room import admitted_share

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.request_traits import RequestTraits
    from fuchsiahatch_gateway.routes import RouteTable

#: Interval at which a group's load and pass time are evaluated. Its ranks report some
#: hundred times a second in all.
EVALUATION_INTERVAL_MS = 50
#: Time without a report after which a group's state is dropped: it is assumed to begin
#: anew.
FORGET_MS = 30_000
#: Change of the room per rank, in requests, that is worth a line in the log.
LOGGED_CHANGE = 1.0
NO_GROUPS: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReading:
    """What the metrics show of a group: requests, and the estimated imbalance."""

    room: float
    load: int
    imbalance: float


@dataclasses.dataclass(slots=True)
class _Group:
    """State of one rank group.

    Attributes
    ----------
    turns : PacedTurns
    imbalance : ImbalanceEstimate
    reported_ms : int
        Time of the latest report.
    evaluated_ms : int or None
    room_per_rank : float or None
        By the latest evaluation.
    logged_room : float or None
        The room per rank that was last logged.
    load : GroupLoad
        At the latest evaluation.
    """

    turns: PacedTurns
    imbalance: ImbalanceEstimate = dataclasses.field(default_factory=ImbalanceEstimate)
    reported_ms: int = 0
    evaluated_ms: int | None = None
    room_per_rank: float | None = None
    logged_room: float | None = None
    load: GroupLoad = dataclasses.field(default_factory=GroupLoad)


class GroupRooms:
    """Decides which rank groups have room for a request.

    Parameters
    ----------
    routes : RouteTable
    upstreams_of : callable
        Returns all known upstreams of a service, in use or not: ranks that get no new
        requests take part in the passes of their group.
    count_entries : callable
        Returns the number of live entries, this one included.
    clock : Clock
    rng : random.Random
    drained_zones : callable, optional
        Returns the zones whose upstreams get no new requests.
    """

    __slots__ = (
        "_clock",
        "_count_entries",
        "_drained_zones",
        "_groups",
        "_lines",
        "_rng",
        "_routes",
        "_upstreams_of",
    )

    def __init__(
        self,
        routes: "RouteTable",
        upstreams_of: "t.Callable[[str], t.Sequence[Upstream]]",
        count_entries: t.Callable[[], int],
        clock: "Clock",
        rng: random.Random,
        drained_zones: t.Callable[[], t.Collection[str]] = frozenset,
    ) -> None:
        self._drained_zones = drained_zones
        self._routes = routes
        self._upstreams_of = upstreams_of
        self._count_entries = count_entries
        self._clock = clock
        self._rng = rng
        self._lines = LineLimit(clock)
        self._groups: dict[str, _Group] = {}

    def note_report(self, upstream: "Upstream") -> None:
        """Apply the load report that an upstream has just received."""
        figures = self._figures_of(upstream.entry.service)
        if figures is None or not upstream.group:
            return
        now_ms = self._clock.now_ms()
        group = self._group(upstream.group)
        group.reported_ms = now_ms
        evaluated_ms = group.evaluated_ms
        if evaluated_ms is None or now_ms - evaluated_ms >= EVALUATION_INTERVAL_MS:
            self._evaluate(upstream.entry.service, now_ms, figures)

    def full_groups(self, service: str, traits: "RequestTraits") -> t.Collection[str]:
        """Return the groups of a service that have no room for a request."""
        figures = self._figures_of(service)
        if figures is None:
            return NO_GROUPS
        loads = self._loads_of(service)
        share = self._share_of(service, traits)
        return {
            name
            for name, load in loads.items()
            if load.is_known and self._free_room(name, load, figures, share) < 1.0
        }

    def takes_turn(self, upstream: "Upstream", traits: "RequestTraits") -> bool:
        """Return whether a waiting request may be sent to an upstream's group now.

        It counts as sent then. Otherwise it waits on, for a later report or the end of
        another request.
        """
        service = upstream.entry.service
        figures = self._figures_of(service)
        entries = self._count_entries()
        if figures is None or not upstream.group or entries < 2:
            return True
        load = self._loads_of(service)[upstream.group]
        if not load.is_known:
            return True
        share = self._share_of(service, traits)
        free = self._free_room(upstream.group, load, figures, share)
        return self._group(upstream.group).turns.take(
            free / entries, upstream.report_interval_ms, self._clock.now_ms()
        )

    def readings(self) -> dict[str, GroupReading]:
        """Return each group's room, load and imbalance at its latest evaluation."""
        self._forget_silent(self._clock.now_ms())
        return {
            name: GroupReading(
                group.room_per_rank * group.load.ranks,
                group.load.requests,
                group.imbalance.value,
            )
            for name, group in self._groups.items()
            if group.room_per_rank is not None
        }

    def _figures_of(self, service: str) -> RoomFigures | None:
        """Return a service's figures; None where its groups have no limit.

        Nothing limits engines whose requests don't lengthen their passes, nor services
        whose routes don't differ in priority: held back, a request of the only class is
        as late as in a pass that is too long.
        """
        gap_ms = self._routes.gap_ms_of(service)
        limited = gap_ms and self._routes.has_classes(service)
        engine = self._routes.engine_of(service) if limited else None
        if engine is None or not engine.step_ms_per_request:
            return None
        return _room_figures(engine, gap_ms)

    def _share_of(self, service: str, traits: "RequestTraits") -> float:
        return admitted_share(self._routes.class_count(service), traits.priority_class)

    def _free_room(
        self, name: str, load: GroupLoad, figures: RoomFigures, share: float
    ) -> float:
        group = self._group(name)
        if group.room_per_rank is None:
            group.room_per_rank = figures.room_per_rank(group.imbalance.value)
        return free_room(load, group.room_per_rank, share)

    def _loads_of(self, service: str) -> dict[str, GroupLoad]:
        """Return the load of each rank group of a service.

        This is done for each choice of an upstream, over up to 192 of them.
        """
        earliest_ms = self._clock.now_ms() - MAX_LOAD_AGE_MS
        drained_zones = self._drained_zones()
        loads: dict[str, GroupLoad] = {}
        for upstream in self._upstreams_of(service):
            name = upstream.group
            if not name:
                continue
            load = loads.get(name)
            if load is None:
                load = loads[name] = GroupLoad(capacity=0)
            reported_ms = upstream.reported_ms
            if reported_ms is None or reported_ms < earliest_ms:
                load.silent += 1
                continue
            entry = upstream.entry
            slots = entry.places
            requests = upstream.local_requests + upstream.peer_requests
            has_free_slot = requests < slots
            load.ranks += 1
            load.requests += requests
            load.running += requests if has_free_slot else slots
            if (
                has_free_slot
                and entry.zone not in drained_zones
                and upstream.accepts_requests
            ):
                load.capacity += slots
            else:
                load.capacity += requests
            if upstream.pass_ms:
                load.measured += 1
                load.passes_ms += upstream.pass_ms
        return loads

    def _evaluate(self, service: str, now_ms: int, figures: RoomFigures) -> None:
        """Evaluate all groups of a service, as their loads are added up together."""
        for name, load in self._loads_of(service).items():
            group = self._group(name)
            group.load = load
            if load.is_known:
                group.imbalance.note_pass(
                    figures.model,
                    figures.slots,
                    load.running / load.ranks,
                    load.pass_ms,
                    now_ms,
                )
            group.room_per_rank = figures.room_per_rank(group.imbalance.value)
            self._log_change(name, group, figures, now_ms)
            group.evaluated_ms = now_ms
        self._forget_silent(now_ms)

    def _log_change(
        self, name: str, group: _Group, figures: RoomFigures, now_ms: int
    ) -> None:
        room = group.room_per_rank
        assert room is not None
        if group.logged_room is None:
            group.logged_room = room
        if abs(room - group.logged_room) < LOGGED_CHANGE or not self._lines.allows(
            name
        ):
            return
        log_event(
            Event.GROUP_ROOM_CHANGED,
            group=name,
            room_per_rank=round(room, 2),
            before=round(group.logged_room, 2),
            imbalance=round(group.imbalance.value, 2),
            requests=group.load.requests,
            ranks=group.load.ranks,
            silent=group.load.silent,
            pass_ms=round(group.load.pass_ms, 1),
            objective_ms=figures.objective_ms,
            report_age_ms=now_ms - group.reported_ms,
        )
        group.logged_room = room

    def _forget_silent(self, now_ms: int) -> None:
        silent = [
            name
            for name, group in self._groups.items()
            if now_ms - group.reported_ms > FORGET_MS
        ]
        for name in silent:
            del self._groups[name]

    def _group(self, name: str) -> _Group:
        group = self._groups.get(name)
        if group is None:
            turns = PacedTurns(self._rng)
            group = self._groups[name] = _Group(turns, reported_ms=self._clock.now_ms())
        return group


@functools.lru_cache(maxsize=64)
def _room_figures(engine: Engine, gap_ms: int) -> RoomFigures:
    model = PassModel(
        engine.steps_per_pass * engine.step_ms,
        engine.steps_per_pass * engine.step_ms_per_request,
        engine.expert_share if engine.expert_layers else 0.0,
    )
    return RoomFigures(model, engine.places, gap_ms)
