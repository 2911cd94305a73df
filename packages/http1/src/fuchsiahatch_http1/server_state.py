"""What the connections of one server share."""

import dataclasses
import typing as t

from twisted.internet import reactor

from fuchsiahatch_http1.connection_states import (
    ClosedConnection,
    CloseReason,
    CutRequest,
    Limit,
)
from fuchsiahatch_http1.discarding import DiscardLimit
from fuchsiahatch_http1.exchange import Exchange
from fuchsiahatch_http1.open_connections import OpenConnections
from fuchsiahatch_http1.received_bytes import ReceivedBytes
from fuchsiahatch_http1.turns import Turns

#: Open connections of a server, where the host's descriptors aren't known.
DEFAULT_MAX_CONNECTIONS = 1_024

Handler = t.Callable[[Exchange], t.Coroutine[t.Any, t.Any, None]]


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """Size and time limits of requests; may be changed while serving."""

    header_bytes: int = 16_384
    headers: int = 256
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


def _ignore_close(reason: CloseReason) -> None:
    """Do nothing when a connection is closed."""


def _ignore_cut(cut: CutRequest) -> None:
    """Do nothing when a request is cut."""


def _ignore_limit(limit: Limit) -> None:
    """Do nothing when a limit is reached."""


def _schedule_soon(call: t.Callable[[], None]) -> None:
    reactor.callLater(0, call)


@dataclasses.dataclass(slots=True)
class CallerShare:
    """What all servers of a process share out among their callers.

    Attributes
    ----------
    turns : Turns
        Of connections that have more to parse.
    received : ReceivedBytes
        What is held of their requests.
    discards : DiscardLimit
        What is read of those that were refused.
    on_limit : callable
        Called for each request or connection that ends at a limit.
    """

    turns: Turns = dataclasses.field(default_factory=lambda: Turns(_schedule_soon))
    received: ReceivedBytes = dataclasses.field(default_factory=ReceivedBytes)
    discards: DiscardLimit = dataclasses.field(
        default_factory=lambda: DiscardLimit(reactor.seconds)
    )
    on_limit: t.Callable[[Limit], None] = _ignore_limit


@dataclasses.dataclass(slots=True)
class ServerState:
    """State of a server that its connections use.

    Attributes
    ----------
    handle : coroutine function
        Answers an exchange; cancelled when the caller disconnects.
    limits : ServerLimits
    leaving : bool
        Whether the server is shutting down, so that each answer closes its
        connection.
    on_close : callable
        Called once for each connection that begins to close, with the reason.
    on_cut : callable
        Called with each request whose connection ends before its answer.
    on_closed : list of callable
        Each is called once for each connection whose socket has been closed.
    connections : OpenConnections
    max_connections : int
        Beyond them another one is closed for each new one.
    share : CallerShare
    """

    handle: Handler
    limits: ServerLimits = dataclasses.field(default_factory=ServerLimits)
    leaving: bool = False
    on_close: t.Callable[[CloseReason], None] = _ignore_close
    on_cut: t.Callable[[CutRequest], None] = _ignore_cut
    on_closed: list[t.Callable[[ClosedConnection], None]] = dataclasses.field(
        default_factory=list
    )
    connections: OpenConnections = dataclasses.field(default_factory=OpenConnections)
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    share: CallerShare = dataclasses.field(default_factory=CallerShare)
