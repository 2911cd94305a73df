"""The regions in which requests may be handled, by route and team."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Configuration, Route, Team
    from fuchsiahatch_gateway.request_traits import RequestTraits

#: Names of regions; None for no limit. An empty set allows nothing.
Regions: t.TypeAlias = frozenset[str] | None


def common_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that two limits both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class AllowedRegions:
    """The present limits of routes and teams, and the regions of zones.

    Parameters
    ----------
    read_zones : callable, optional
        Returns the region of each zone, by zone.

    Notes
    -----
    A request is bound by the configuration at the time of each send, also if it was
    matched to its route under an earlier one. Only where its route or team has gone
    since, the regions that were allowed then hold.
    """

    __slots__ = ("_read_zones", "_routes", "_teams")

    def __init__(self, read_zones: t.Callable[[], t.Mapping[str, str]] = dict) -> None:
        self._read_zones = read_zones
        self._routes: dict[str, Regions] = {}
        #: Requests to public routes have the empty team.
        self._teams: dict[str, Regions] = {"": None}

    def apply(self, configuration: "Configuration") -> None:
        """Apply the limits of a configuration."""
        teams = configuration.teams or {}
        self._routes = _regions_by_name(configuration.routes)
        self._teams = {"": None} | _regions_by_name(teams.values())

    def of(self, traits: "RequestTraits") -> Regions:
        """Return the regions in which a request may be handled now."""
        return common_regions(
            self._routes.get(traits.route, traits.allowed_regions),
            self._teams.get(traits.team, traits.allowed_regions),
        )

    def include_zone(self, regions: Regions, zone: str) -> bool:
        """Return whether a zone is in one of the regions.

        A zone of unknown region is in no region; None includes all zones.
        """
        return regions is None or self._read_zones().get(zone) in regions


def _regions_by_name(owners: "t.Iterable[Route | Team]") -> dict[str, Regions]:
    """Return the limit of each name; routes of one name have their limits in common."""
    regions: dict[str, Regions] = {}
    for owner in owners:
        former = regions.get(owner.name)
        regions[owner.name] = common_regions(former, owner.allowed_regions)
    return regions
