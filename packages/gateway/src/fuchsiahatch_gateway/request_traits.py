"""What the choice of an upstream may know of a request."""

import dataclasses


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
    """

    team: str = ""
    urgency: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0


#: For questions that aren't about a particular request.
ANY_REQUEST = RequestTraits()
