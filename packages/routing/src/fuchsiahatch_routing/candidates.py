"""Which upstreams may serve a request, and why the rest may not."""

import dataclasses
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_core.identities import Home, Offer

if t.TYPE_CHECKING:
    from fuchsiahatch_placement.records import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """State of an upstream that routing decides by.

    Attributes
    ----------
    home : Home
        The current incarnation of the agent on its host.
    zone : str
    address : str
        ``ip:port`` of the agent.
    offers : frozenset of Offer
    live, leaving : bool
    in_flight, queued, limit : int
        Load by the agent's latest report plus what this entry has outstanding.
    straggling : bool
        Whether an agent recently reported that its rank slows its group down.
    """

    home: Home
    zone: str
    address: str
    offers: frozenset[Offer]
    live: bool
    leaving: bool
    in_flight: int = 0
    queued: int = 0
    limit: int = 1
    straggling: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a caller asks for: a name and a version; an empty version means any."""

    name: str
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream together with the offer that would serve the request."""

    upstream: Upstream
    offer: Offer


@dataclasses.dataclass(frozen=True, slots=True)
class Eligibility:
    """Whether one upstream is a candidate, and the reason."""

    upstream: Upstream
    offer: Offer | None
    reason: str

    @property
    def allowed(self) -> bool:
        """Whether the upstream may take the request."""
        return self.offer is not None


def check_eligibility(
    snapshot: "Snapshot", upstreams: t.Iterable[Upstream], team: str, target: Target
) -> list[Eligibility]:
    """Return for each upstream whether it is a candidate, and the reason.

    Raises
    ------
    RequestError
        When the team is unknown.
    RefusedError
        When the team is closed on this node.
    """
    placement = snapshot.placements.get(team)
    if placement is None:
        raise RequestError(
            f"no placement record names team {team!r}", Code.UNKNOWN_TEAM
        )
    if placement.closed_reason:
        detail = f"team {team!r} is closed here: {placement.closed_reason}"
        raise RefusedError(detail, Code.TEAM_CLOSED)
    return [
        _check_upstream(placement.places, upstream, target) for upstream in upstreams
    ]


def find_candidates(
    snapshot: "Snapshot", upstreams: t.Iterable[Upstream], team: str, target: Target
) -> list[Candidate]:
    """Return the upstreams that may serve a request.

    Raises
    ------
    RequestError
        When the team is unknown, or no record lets it use the target.
    RefusedError
        When every allowed upstream is unreachable, leaving or absent.
    """
    eligibilities = check_eligibility(snapshot, upstreams, team, target)
    candidates = [
        Candidate(eligibility.upstream, eligibility.offer)
        for eligibility in eligibilities
        if eligibility.offer is not None
    ]
    if candidates:
        return candidates
    places = snapshot.placements[team].places.values()
    if not any(_matching(place.offers, target) for place in places):
        detail = f"no record lets team {team!r} use {target.name!r} {target.version}"
        raise RequestError(detail.rstrip(), Code.UNKNOWN_TARGET)
    detail = (
        f"no live upstream for team {team!r} and {target.name!r} in an allowed zone"
    )
    raise RefusedError(detail, Code.NO_LIVE_UPSTREAM, retry_after_ms=1_000)


def _check_upstream(
    places: t.Mapping[str, t.Any], upstream: Upstream, target: Target
) -> Eligibility:
    served = _matching(upstream.offers, target)
    if not served:
        return Eligibility(upstream, None, f"does not serve {target.name}")
    place = places.get(upstream.zone)
    if place is None:
        return Eligibility(upstream, None, f"zone {upstream.zone} is not allowed")
    allowed = sorted(served & place.offers)
    if not allowed:
        return Eligibility(upstream, None, f"version not allowed in {upstream.zone}")
    if not upstream.live:
        return Eligibility(upstream, None, "not live")
    if upstream.leaving:
        return Eligibility(upstream, None, "leaving")
    return Eligibility(upstream, allowed[-1], "candidate")


def _matching(offers: frozenset[Offer], target: Target) -> frozenset[Offer]:
    return frozenset(
        offer
        for offer in offers
        if offer.name == target.name and target.version in ("", offer.version)
    )
