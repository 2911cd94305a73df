"""Matching of requests to routes and teams of the active configuration."""

import bisect
import dataclasses
import itertools
import random
import typing as t

from fuchsiahatch_adapter.configuration import (
    ColdStart,
    Configuration,
    Engine,
    Route,
    Service,
    Team,
    decode_configuration,
)
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError, RefusedError, RequestError
from fuchsiahatch_gateway.allowed_regions import Regions, common_regions

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.caller_requests import CallerRequest

#: Team of requests to routes that require no key.
NO_TEAM = Team("", None)


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """A request's route and team, and the version of their configuration."""

    route: Route
    team: Team
    version: int

    @property
    def urgency(self) -> int:
        """Priority class of the request, 0 first; the team's overrides the route's."""
        return self.route.urgency if self.team.urgency is None else self.team.urgency

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key by priority: the team's, then the route's among equals."""
        return self.urgency, self.route.urgency

    @property
    def allowed_regions(self) -> Regions:
        """Regions that both the route and the team allow; None for no limit."""
        return common_regions(self.route.allowed_regions, self.team.allowed_regions)


class RouteTable:
    """The active configuration, with its routes by host.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first one is applied.
    """

    __slots__ = (
        "_by_host",
        "_classes",
        "_era",
        "_gaps_ms",
        "_value",
        "configuration",
    )

    def __init__(self) -> None:
        self._era = 0
        self._value = b""
        self.configuration: Configuration | None = None
        self._by_host: dict[str, list[Route]] = {}
        #: Sorted precedences of requests, for services whose routes differ in priority.
        self._classes: dict[str, list[tuple[int, int]]] = {}
        #: Shortest event gap objective by service.
        self._gaps_ms: dict[str, int] = {}

    def apply(self, value: bytes, era: int = 0) -> bool:
        """Activate a configuration unless it is outdated; return whether that was done.

        Parameters
        ----------
        value : bytes
        era : int, optional
            The store's era when the value was read.

        Notes
        -----
        A stale read, a restarted watch or a store that was restored from a backup may
        return an older version after a newer one, which would bring back a route that
        was removed. After a restore (a later era), an operator may write another
        configuration under a version number that was lost; that one is applied.
        """
        try:
            candidate = decode_configuration(value)
        except FormError as fault:
            log_event(
                Event.CONFIGURATION_UNREADABLE,
                code=int(fault.result),
                detail=fault.detail,
            )
            return False
        if self.configuration is not None:
            if candidate.version < self.configuration.version:
                return False
            rewritten = era > self._era and value != self._value
            if candidate.version == self.configuration.version and not rewritten:
                return False
        self.configuration = candidate
        self._era, self._value = era, value
        self._by_host = _group_by_host(candidate.routes)
        self._classes = _classes_by_service(candidate)
        self._gaps_ms = {
            service: shortest_gap_ms(candidate.routes, service)
            for service in candidate.services
        }
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=candidate.version,
            routes=len(candidate.routes),
            classes={name: len(ranks) for name, ranks in self._classes.items()},
        )
        return True

    def engine_of(self, service: str) -> Engine | None:
        """Return the engine settings of a service; None if it has no model engines."""
        definition = self._definition(service)
        return None if definition is None else definition.engine

    def has_classes(self, service: str) -> bool:
        """Return whether the routes of a service differ in priority."""
        return service in self._classes

    def class_count(self, service: str) -> int:
        """Return the number of priority classes of a service; 1 without any."""
        return len(self._classes.get(service, ())) or 1

    def class_of(self, match: Match, service: str) -> int:
        """Return a request's priority class at a service, 0 first.

        Where the service's routes differ in priority, classes are numbered by the
        team's priority and then the route's. Elsewhere the team's overrides the
        route's.
        """
        classes = self._classes.get(service)
        if classes is None:
            return match.urgency
        return bisect.bisect_left(classes, match.precedence)

    def cold_start_of(self, service: str) -> ColdStart | None:
        """Return a service's figures for cold upstreams; None if it states none."""
        definition = self._definition(service)
        return None if definition is None else definition.cold_start

    def _definition(self, service: str) -> Service | None:
        configuration = self.configuration
        return None if configuration is None else configuration.services.get(service)

    def gap_ms_of(self, service: str) -> int:
        """Return the shortest event gap objective of a service's routes; 0 without."""
        return self._gaps_ms.get(service, 0)

    def match(self, request: "CallerRequest") -> Match:
        """Return a request's route and team.

        Raises
        ------
        RefusedError
            When no configuration was applied yet.
        RequestError
            When no route matches or the key is unknown.
        """
        configuration = self.configuration
        if configuration is None:
            raise RefusedError("no configuration is known yet", Code.NOT_FRESH)
        routes = self._by_host.get(request.host, ())
        route = next(
            (
                candidate
                for candidate in routes
                if request.path.startswith(candidate.prefix)
            ),
            None,
        )
        if route is None:
            raise RequestError("no route matches", Code.NOT_FOUND)
        if route.public or configuration.teams is None:
            return Match(route, NO_TEAM, configuration.version)
        team = configuration.teams.get(request.key)
        if team is None:
            raise RequestError("the key is unknown", Code.UNKNOWN_TEAM)
        return Match(route, team, configuration.version)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, drawn by their weights."""
    if len(route.services) == 1:
        return route.services[0][0]
    services, weights = zip(*route.services, strict=True)
    return rng.choices(services, weights)[0]


def shortest_gap_ms(routes: t.Iterable[Route], service: str) -> int:
    """Return the lowest event gap objective of a service's routes; 0 without any."""
    gaps = (
        route.gap_ms
        for route in routes
        if route.gap_ms and service in dict(route.services)
    )
    return min(gaps, default=0)


def _group_by_host(routes: t.Iterable[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host.lower(), []).append(route)
    return by_host


def _classes_by_service(
    configuration: Configuration,
) -> dict[str, list[tuple[int, int]]]:
    """Return the sorted precedences of each service whose routes differ in priority.

    Only routes that require a key count where there are teams: requests without one
    belong to no team that others compete with.
    """
    teams = configuration.teams
    by_service: dict[str, set[int]] = {}
    for route in configuration.routes:
        if teams is None or not route.public:
            for service, _ in route.services:
                by_service.setdefault(service, set()).add(route.urgency)
    levels = {team.urgency for team in (teams or {"": NO_TEAM}).values()}
    return {
        service: _precedences(levels, urgencies)
        for service, urgencies in by_service.items()
        if len(urgencies) > 1
    }


def _precedences(
    levels: t.Iterable[int | None], urgencies: t.Iterable[int]
) -> list[tuple[int, int]]:
    precedences = {
        (urgency if level is None else level, urgency)
        for level, urgency in itertools.product(levels, urgencies)
    }
    return sorted(precedences)
