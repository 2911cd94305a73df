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
    urgency : int
        Priority class, 0 first.
    prompt_tokens, answer_tokens : int
        Size of a generation: its prompt, and the maximum of its output.
    route : str
    allowed_regions : frozenset of str or None
        Regions in which it might be handled when it was matched to its route; None for
        no limit. `AllowedRegions.of` returns those of the present configuration.
    """

    team: str = ""
    urgency: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    route: str = ""
    allowed_regions: "Regions" = None


#: For questions that aren't about a particular request.
ANY_REQUEST = RequestTraits()
