"""UDP messages between the system's processes: loads, rank states, orders.

Any message may be lost, duplicated or delayed. The next load or state replaces the
previous one; an order is sent again until a state shows its effect.
"""

import ipaddress
import typing as t

import msgspec
from twisted.internet import protocol

from fuchsiahatch_adapter.forms import decoding
from fuchsiahatch_adapter.node_settings import LAST_PORT
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_experts.map_changes import MapChange
from fuchsiahatch_experts.rank_orders import Order, OrderResult, RankReport
from fuchsiahatch_gateway.crash_messages import Clearance, CrashNotice

Peer = tuple[str, int]

_Count = t.Annotated[int, msgspec.Meta(ge=0)]
_Rate = t.Annotated[float, msgspec.Meta(ge=0, lt=1e9)]
_Duration = t.Annotated[float, msgspec.Meta(ge=0, lt=1e9)]
#: Above 0, as the number of an upstream's slots is divided by it.
_Pace = t.Annotated[float, msgspec.Meta(gt=0, lt=1e9)]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Load of one upstream, from the agent on its host.

    Attributes
    ----------
    upstream : str
        Its address, ``ip:port``.
    queued, running : int
        Requests.
    pace : float
        How much slower than usual the engine works.
    open : bool
        Whether its rank group is working.
    group : str
        That group; empty if it has none.
    pass_ms : float
        Duration of a pass of the group; 0 while it is idle.
    born_ms : int
        Start time of the upstream's process; 0 if unknown.
    """

    upstream: str
    queued: _Count
    running: _Count
    pace: _Pace
    open: bool
    group: str
    pass_ms: _Duration
    born_ms: _Count = 0


class RankState(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """State of one rank, from its agent to the group's leader.

    Attributes
    ----------
    group, upstream : str
    sequence : int
        Increases with each state that one incarnation of an agent sends.
    report : RankReport
    running : int
    pace : float
        How much slower than usual the engine works.
    choices : bytes
        How often requests chose each expert recently, layer by layer, as sampled by
        `draw_evenly`; compressed, as most experts are chosen rarely.
    """

    group: str
    upstream: str
    sequence: int
    report: RankReport
    running: _Count
    pace: _Pace
    choices: bytes


class OrderRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An order from a group's leader to a rank's agent.

    Attributes
    ----------
    group : str
    term, number : int
    order : Order
        Without its map.
    change : MapChange or None
        That map, as the difference from a map that the agent should have.
    leader : Peer or None
        Where to send the reply; the sender's address by default.
    """

    group: str
    term: int
    number: int
    order: Order
    change: MapChange | None = None
    leader: Peer | None = None

    def __post_init__(self) -> None:
        if self.leader is not None:
            check_peer(self.leader)


class OrderReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Result of an order.

    Attributes
    ----------
    group : str
    term, number : int
    result : OrderResult
    lacks_base : bool
        Whether the agent lacks the map on which the order's change is based.
    """

    group: str
    term: int
    number: int
    result: OrderResult
    lacks_base: bool = False


class StandbyNotice(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Notifies a leader's standby that a switch is in progress.

    Attributes
    ----------
    group : str
    term : int
    peers : dict of int to Peer
        The datagram addresses of the ranks' agents.
    asks_state : bool
        Whether the standby should send its rank's state at once.
    """

    group: str
    term: int
    peers: dict[int, Peer]
    asks_state: bool = False

    def __post_init__(self) -> None:
        for peer in self.peers.values():
            check_peer(peer)


class TakeoverNotice(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Notifies all agents that a standby ends its silent leader's switch."""

    group: str
    term: int


class EntryHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Heartbeat of an entry to other entries and to agents.

    Attributes
    ----------
    node : str
    serving : bool
        Whether callers may connect; False when the entry leaves.
    revision : int
        Of the registration that a leaving entry ends; 0 if it doesn't know it.
    """

    node: str
    serving: bool
    revision: int = 0


class RelayedOrder(msgspec.Struct, frozen=True, array_like=True):
    """Target of a relayed order.

    Attributes
    ----------
    rank, number : int
        The order's number is that of its leader, as in `OrderRequest`.
    peer : Peer
    """

    rank: int
    number: int
    peer: Peer

    def __post_init__(self) -> None:
        check_peer(self.peer)


class OrderRelay(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Orders to copy, to be relayed by the agent of the first target.

    Attributes
    ----------
    group : str
    term, epoch, version : int
    change : MapChange
    targets : tuple of RelayedOrder
    """

    group: str
    term: int
    epoch: int
    version: int
    change: MapChange
    targets: tuple[RelayedOrder, ...]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Request of an entry for a permit to send a request to an upstream.

    Attributes
    ----------
    number : int
        Identifies this request in the reply.
    upstream : str
        Its instance.
    rate_per_s : float
        Its stated rate in requests per second, as known to the sender.
    age_ms : int
        How long ago the upstream stated it.
    """

    number: int
    upstream: str
    rate_per_s: _Rate
    age_ms: _Count


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reply to `PermitRequest`: 0 for a permit, or the time until the next attempt."""

    number: int
    wait_ms: _Count


class RateNotice(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Notifies other entries of a change or the end of an upstream's stated rate.

    Attributes
    ----------
    upstream : str
        Its instance.
    born_ms : int
        Start time of the incarnation that stated it.
    rate_per_s : float or None
        None if its answers no longer state a rate.
    age_ms : int
        How long ago the upstream stated it.
    """

    upstream: str
    born_ms: _Count
    rate_per_s: _Rate | None
    age_ms: _Count


class LateNotice(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Notifies other entries that an upstream's answer to the sender is overdue.

    Attributes
    ----------
    upstream : str
        Its instance.
    born_ms : int
        Start time of the incarnation whose answer is overdue.
    """

    upstream: str
    born_ms: _Count


class ColdPermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Request of an entry for a permit to send a request to a cold upstream.

    Attributes
    ----------
    number : int
        Identifies this request in the reply, a `PermitReply`.
    upstream : str
        Its instance.
    rate_per_s : float
        Rate at which one issuer may issue its permits, as known to the sender.
    age_ms : int
        For how long the sender has known of that rate.
    """

    number: int
    upstream: str
    rate_per_s: _Rate
    age_ms: _Count


Message = (
    LoadReport
    | RankState
    | OrderRequest
    | OrderReply
    | StandbyNotice
    | TakeoverNotice
    | EntryHeartbeat
    | OrderRelay
    | PermitRequest
    | PermitReply
    | RateNotice
    | CrashNotice
    | Clearance
    | LateNotice
    | ColdPermitRequest
)

_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message and validate all its fields.

    Raises
    ------
    FormError
        If the data isn't a valid message.
    """
    with decoding("datagram"):
        return _DECODER.decode(data)


def check_peer(peer: Peer) -> None:
    """Check that a peer's address is valid for sending datagrams.

    Raises
    ------
    ValueError
    """
    ip, port = peer
    ipaddress.IPv4Address(ip)
    if not 0 < port <= LAST_PORT:
        raise ValueError(f"{port} is not a valid port")


class DatagramPort(protocol.DatagramProtocol):
    """Sends and receives messages on one UDP port.

    Parameters
    ----------
    on_message : callable
        Called with each message and its sender.
    """

    def __init__(self, on_message: t.Callable[[Message, Peer], None]) -> None:
        self._on_message = on_message

    def send(self, message: Message, peer: Peer) -> None:
        """Send a message; it may be lost."""
        self.send_encoded(encode(message), peer)

    def send_encoded(self, data: bytes, peer: Peer) -> None:
        """Send an encoded message."""
        if self.transport is None:
            return
        try:
            self.transport.write(data, peer)
        except OSError as fault:
            # The link is congested or down: the next message replaces this one.
            log_event(Event.DATAGRAM_DROPPED, peer=str(peer), detail=str(fault))

    def datagramReceived(self, data: bytes, addr: Peer) -> None:
        """Decode a datagram and pass it to the callback."""
        try:
            message = decode(data)
        except FormError as fault:
            log_event(Event.DATAGRAM_DROPPED, peer=str(addr), detail=fault.detail)
            return
        try:
            self._on_message(message, addr)
        except Exception as fault:
            # A failure on one message must not stop the port for all others.
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))
