"""What a process may hold for its callers, from what its host gives to it."""

import dataclasses
import typing as t

from fuchsiahatch_gateway.kept_bytes import MAX_KEPT_BYTES
from fuchsiahatch_http1.received_bytes import DEFAULT_MAX_BYTES
from fuchsiahatch_http1.server_state import ServerLimits

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.node_settings import NodeSettings

#: Share of a process's memory for what it holds of callers' requests.
RECEIVED_SHARE = 0.25
#: Share of it for what is kept of answers to them.
KEPT_SHARE = 0.2
#: Limits of requests that have no body.
SIDE_CALL_LIMITS = ServerLimits(body_bytes=0)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a process holds at most.

    Attributes
    ----------
    received_bytes, kept_bytes : int
        Of requests, and of answers.
    """

    received_bytes: int
    kept_bytes: int


def caller_limits(settings: "NodeSettings") -> CallerLimits:
    """Return the limits of a process."""
    memory_bytes = settings.memory_bytes
    if memory_bytes is None:
        return CallerLimits(DEFAULT_MAX_BYTES, MAX_KEPT_BYTES)
    return CallerLimits(
        int(RECEIVED_SHARE * memory_bytes), int(KEPT_SHARE * memory_bytes)
    )
