"""Finding a request's route and team in the configuration in force."""

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

#: Team of requests that need no key.
NO_TEAM = Team("", None)


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """A request's route and team, and the version that they are of."""

    route: Route
    team: Team
    version: int

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 first; a team's own goes before its route's."""
        return self.route.urgency if self.team.urgency is None else self.team.urgency


class RouteTable:
    """The configuration in force.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first one is read.
    """

    __slots__ = ("_by_host", "_era", "_value", "configuration")

    def __init__(self) -> None:
        self._era = 0
        self._value = b""
        self.configuration: Configuration | None = None
        self._by_host: dict[str, list[Route]] = {}

    def apply(self, value: bytes, era: int = 0) -> bool:
        """Take a configuration over whole, unless it is older; return whether.

        Parameters
        ----------
        value : bytes
        era : int, optional
            Of the store, as it was read.

        Notes
        -----
        A stale read, a watch that begins anew or a store that came back from an older
        copy may show an older version after a newer one: callers would see a route come
        back that was dropped. Behind such a return the operator may have written
        another configuration under the version that was lost; that one holds.
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
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=candidate.version,
            routes=len(candidate.routes),
        )
        return True

    def engine_of(self, service: str) -> Engine | None:
        """Return how a service's model engines work; None for a plain service."""
        configuration = self.configuration
        definition = (
            None if configuration is None else configuration.services.get(service)
        )
        return None if definition is None else definition.engine

    def match(self, request: "CallerRequest") -> Match:
        """Return a request's route and team.

        Raises
        ------
        RefusedError
            When no configuration is known yet.
        RequestError
            When no route matches, or the key is unknown.
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
    """Return one of the route's services by their weights."""
    if len(route.services) == 1:
        return route.services[0][0]
    services, weights = zip(*route.services, strict=True)
    return rng.choices(services, weights)[0]


def shortest_gap_ms(routes: t.Iterable[Route], service: str) -> int:
    """Return the shortest pause between events that a service's routes allow, or 0."""
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
