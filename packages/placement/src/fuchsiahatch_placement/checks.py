"""The agent's own check of a request's place, after the entry's."""

import dataclasses
import enum
import typing as t

from fuchsiahatch_core.codes import Code

if t.TYPE_CHECKING:
    from fuchsiahatch_core.identities import Offer
    from fuchsiahatch_placement.records import Snapshot


class Step(enum.Enum):
    """What the agent does with a request."""

    RUN = "run"
    LEARN = "learn"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """The agent's decision; a refusal means that nothing was run.

    Attributes
    ----------
    step : Step
        ``LEARN``: read the entry's document first, then check again.
    code : Code
    detail : str
    """

    step: Step
    code: Code = Code.OK
    detail: str = ""


def check_request(
    snapshot: "Snapshot",
    entry_revision: int,
    team: str,
    zone: str,
    offer: "Offer",
) -> Ruling:
    """Check a request against what the agent itself knows.

    Parameters
    ----------
    snapshot : Snapshot
        In force at the agent.
    entry_revision : int
        Revision that the entry decided on.
    team : str
    zone : str
        The agent's own availability zone.
    offer : Offer
        What the entry chose.

    Notes
    -----
    A stale or faulty entry sends work to a place that was just forbidden. The
    agent has learned the newer revision from another entry, so it refuses as
    not run and the entry catches up.
    """
    if entry_revision < snapshot.revision:
        detail = f"decided on revision {entry_revision}, {snapshot.revision} is known"
        return Ruling(Step.REFUSE, Code.STALE_REVISION, detail)
    if entry_revision > snapshot.revision:
        detail = f"revision {entry_revision} is not known here yet"
        return Ruling(Step.LEARN, Code.STALE_REVISION, detail)
    placement = snapshot.placements.get(team)
    if placement is None:
        return Ruling(Step.REFUSE, Code.UNKNOWN_TEAM, f"no record names team {team!r}")
    if placement.closed_reason:
        return Ruling(Step.REFUSE, Code.TEAM_CLOSED, placement.closed_reason)
    place = placement.places.get(zone)
    if place is None or offer not in place.offers:
        detail = f"team {team!r} may not use {offer.name}@{offer.version} in {zone}"
        return Ruling(Step.REFUSE, Code.NO_ALLOWED_PLACE, detail)
    return Ruling(Step.RUN)
