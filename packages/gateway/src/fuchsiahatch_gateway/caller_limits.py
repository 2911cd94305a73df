"""What a process may hold for its callers, from what its host gives to it."""

import dataclasses
import resource
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
#: Shares of its sockets for connections of callers, for lookups and readiness checks,
#: and for metrics. The rest is for connections to upstreams and the store.
CALLERS_SHARE = 0.5
SIDE_CALLS_SHARE = 0.125
METRICS_SHARE = 0.03125
#: Memory of a connection with a short request and its answer.
CONNECTION_BYTES = 65_536
#: Share of a process's memory for the connections of callers.
CONNECTIONS_SHARE = 0.4
#: Fewest connections of each kind, however few the sockets are.
MIN_CONNECTIONS = 4
#: Descriptors that are counted on at most where the settings give none.
MAX_DESCRIPTORS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a process holds at most.

    Attributes
    ----------
    received_bytes, kept_bytes : int
        Of requests, and of answers.
    caller_connections, side_connections, metrics_connections : int
        Open connections of callers, of lookups and readiness checks, and for metrics.
    """

    received_bytes: int
    kept_bytes: int
    caller_connections: int
    side_connections: int
    metrics_connections: int


def caller_limits(settings: "NodeSettings") -> CallerLimits:
    """Return the limits of a process."""
    sockets = settings.max_sockets or _allowed_descriptors()
    memory_bytes = settings.memory_bytes
    callers = _share_of(sockets, CALLERS_SHARE)
    received_bytes, kept_bytes = DEFAULT_MAX_BYTES, MAX_KEPT_BYTES
    if memory_bytes is not None:
        received_bytes = int(RECEIVED_SHARE * memory_bytes)
        kept_bytes = int(KEPT_SHARE * memory_bytes)
        affordable = int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES)
        callers = max(min(callers, affordable), MIN_CONNECTIONS)
    return CallerLimits(
        received_bytes,
        kept_bytes,
        callers,
        _share_of(sockets, SIDE_CALLS_SHARE),
        _share_of(sockets, METRICS_SHARE),
    )


def side_call_limits() -> ServerLimits:
    """Return the limits of requests that have no body."""
    return ServerLimits(body_bytes=0)


def _share_of(sockets: int, share: float) -> int:
    return max(int(share * sockets), MIN_CONNECTIONS)


def _allowed_descriptors() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(soft, MAX_DESCRIPTORS) if soft > 0 else MAX_DESCRIPTORS
