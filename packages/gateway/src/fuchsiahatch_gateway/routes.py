"""Matching of requests to routes and teams of the active configuration."""

import dataclasses
import random
import typing as t

from fuchsiahatch_adapter.configuration import (
    Configuration,
    Engine,
    Route,
    Team,
    decode_configuration,
)
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError, RefusedError, RequestError

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


class RouteTable:
    """The active configuration, with its routes by host.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first one is applied.
    """

    __slots__ = (
        "_by_host",
        "_era",
        "_gaps_ms",
        "_urgencies",
        "_value",
        "configuration",
    )

    def __init__(self) -> None:
        self._era = 0
        self._value = b""
        self.configuration: Configuration | None = None
        self._by_host: dict[str, list[Route]] = {}
        #: Pause objective and priorities by service, which each choice asks for.
        self._gaps_ms: dict[str, int] = {}
        self._urgencies: dict[str, tuple[int, ...]] = {}

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
        self._gaps_ms = {
            service: shortest_gap_ms(candidate.routes, service)
            for service in candidate.services
        }
        self._urgencies = {
            service: route_urgencies(candidate.routes, service)
            for service in candidate.services
        }
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=candidate.version,
            routes=len(candidate.routes),
        )
        return True

    def engine_of(self, service: str) -> Engine | None:
        """Return the engine settings of a service; None if it has no model engines."""
        configuration = self.configuration
        definition = (
            None if configuration is None else configuration.services.get(service)
        )
        return None if definition is None else definition.engine

    def gap_ms_of(self, service: str) -> int:
        """Return the shortest event gap objective of a service's routes; 0 without."""
        return self._gaps_ms.get(service, 0)

    def urgencies_of(self, service: str) -> tuple[int, ...]:
        """Return the priority classes of a service's routes, most urgent first."""
        return self._urgencies.get(service, ())

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


def route_urgencies(routes: t.Iterable[Route], service: str) -> tuple[int, ...]:
    """Return the distinct priority classes of a service's routes, ascending."""
    urgencies = {route.urgency for route in routes if service in dict(route.services)}
    return tuple(sorted(urgencies))


def _group_by_host(routes: t.Iterable[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host.lower(), []).append(route)
    return by_host
