"""What the choice of an upstream may know of a request."""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.allowed_regions import Regions


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """Properties of a request that decide where and when it is sent.

    Attributes
    ----------
    team : str
        Empty for requests without a team.
    priority_class : int
        Class at the service, 0 first; see `RouteTable.class_of`.
    route : str
    allowed_regions : frozenset of str or None
        Regions that its route and team allowed when it was admitted; None for no
        limit. `AllowedRegions.of` returns those of the present configuration.
    confined_to : str
        The only rank group that it may be sent to; empty for any.
    """

    team: str = ""
    priority_class: int = 0
    route: str = ""
    allowed_regions: "Regions" = None
    confined_to: str = ""

    def admits(self, group: str) -> bool:
        """Return whether an upstream of a rank group may be sent the request."""
        return self.confined_to in ("", group)


#: Traits where no particular request is meant.
ANY_REQUEST = RequestTraits()
