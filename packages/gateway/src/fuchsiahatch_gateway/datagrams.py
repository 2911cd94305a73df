"""Messages between our processes over UDP: loads, rank states, orders.

All of them may be lost, doubled or late. A load or a state is replaced by the next one;
an order is sent again until a state shows its effect.
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

Peer = tuple[str, int]

_Count = t.Annotated[int, msgspec.Meta(ge=0)]
_Rate = t.Annotated[float, msgspec.Meta(ge=0, lt=1e9)]
_Duration = t.Annotated[float, msgspec.Meta(ge=0, lt=1e9)]
#: Above 0, as upstreams' places are divided by it.
_Pace = t.Annotated[float, msgspec.Meta(gt=0, lt=1e9)]


#: Crashes that are told of one request at most, the last ones.
MOST_CRASHES_TOLD = 8
_Fingerprint = t.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Life = t.Annotated[str, msgspec.Meta(max_length=128)]
_Lives = t.Annotated[tuple[_Life, ...], msgspec.Meta(max_length=MOST_CRASHES_TOLD)]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Load of one upstream, from the agent beside it.

    Attributes
    ----------
    upstream : str
        Its address, ``ip:port``.
    queued, running : int
    pace : float
    open : bool
        Whether its rank group works.
    group : str
        That group; empty where it has none.
    pass_ms : float
        Time that a pass of the group takes; 0 while it is idle.
    born_ms : int
        Start of the upstream's process; 0 where it doesn't say.
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
        Grows with each state that one life of an agent sends.
    report : RankReport
    running : int
    pace : float
        How much slower than usual the engine works.
    choices : bytes
        How often requests chose each expert of late, layer by layer, as `draw_evenly`
        draws them; compressed, as most experts are chosen seldom.
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
        That map, as its difference from one that the agent should know.
    leader : Peer or None
        Who is to be answered; whoever sent it by default.
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
    """What became of an order.

    Attributes
    ----------
    group : str
    term, number : int
    result : OrderResult
    lacks_base : bool
        Whether the agent doesn't know the map that the order's differs from.
    """

    group: str
    term: int
    number: int
    result: OrderResult
    lacks_base: bool = False


class StandbyNotice(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Word of a leader to its standby that a switch is under way.

    Attributes
    ----------
    group : str
    term : int
    peers : dict of int to Peer
        Where the agents of the ranks take datagrams.
    asks_state : bool
        Whether the standby is to send its rank's state at once.
    """

    group: str
    term: int
    peers: dict[int, Peer]
    asks_state: bool = False

    def __post_init__(self) -> None:
        for peer in self.peers.values():
            check_peer(peer)


class TakeoverNotice(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Word of a standby to all agents that it ends its silent leader's switch."""

    group: str
    term: int


class EntryBeat(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Heartbeat of an entry to another one.

    Attributes
    ----------
    node : str
    serving : bool
        Whether callers may come; False from one that leaves.
    """

    node: str
    serving: bool


class RelayedOrder(msgspec.Struct, frozen=True, array_like=True):
    """Whom an order is passed on to.

    Attributes
    ----------
    rank, number : int
        The order's number is of its leader, as in `OrderRequest`.
    peer : Peer
    """

    rank: int
    number: int
    peer: Peer

    def __post_init__(self) -> None:
        check_peer(self.peer)


class OrderRelay(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Orders to copy, to be passed on by the agent of the first target.

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
    """Question of an entry whether it may send a request to an upstream.

    Attributes
    ----------
    number : int
        Names the question in its answer.
    upstream : str
        Its instance.
    rate_per_s : float
        The requests a second that it takes, as whoever asks has heard.
    age_ms : int
        How long ago it said so.
    """

    number: int
    upstream: str
    rate_per_s: _Rate
    age_ms: _Count


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Answer to it: 0 for a permit, or when to ask again."""

    number: int
    wait_ms: _Count


class RateNotice(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Word of an entry to all others that an upstream names the rate it takes, or ends.

    Attributes
    ----------
    upstream : str
        Its instance.
    born_ms : int
        Start of the life that said so.
    rate_per_s : float or None
        None where its answers name none any more.
    age_ms : int
        How long ago it said so.
    """

    upstream: str
    born_ms: _Count
    rate_per_s: _Rate | None
    age_ms: _Count


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Word of an entry to all others that upstreams have crashed under a request.

    Attributes
    ----------
    fingerprint : str
    lives : tuple of str
        All that it knows of, so that the next notice makes up for a lost one.
    """

    fingerprint: _Fingerprint
    lives: _Lives


class Clearance(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Word of an entry to all others that a request got a whole answer after all."""

    fingerprint: _Fingerprint


class LateNotice(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Word of an entry to all others that an upstream owes it an answer for too long.

    Attributes
    ----------
    upstream : str
        Its instance.
    born_ms : int
        Start of the life that owes it.
    """

    upstream: str
    born_ms: _Count


Message = (
    LoadReport
    | RankState
    | OrderRequest
    | OrderReply
    | StandbyNotice
    | TakeoverNotice
    | EntryBeat
    | OrderRelay
    | PermitRequest
    | PermitReply
    | RateNotice
    | CrashNotice
    | Clearance
    | LateNotice
)

_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message, whose every field is checked.

    Raises
    ------
    FormError
        When it is none of ours.
    """
    with decoding("datagram"):
        return _DECODER.decode(data)


def check_peer(peer: Peer) -> None:
    """Check that datagrams can be sent to a peer.

    Raises
    ------
    ValueError
    """
    ip, port = peer
    ipaddress.IPv4Address(ip)
    if not 0 < port <= LAST_PORT:
        raise ValueError(f"{port} is no port")


class DatagramPort(protocol.DatagramProtocol):
    """Sends and receives messages at one UDP port.

    Parameters
    ----------
    on_message : callable
        Is given each message and who sent it.
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
            # A full link or a cut: the next report replaces this one.
            log_event(Event.DATAGRAM_DROPPED, peer=str(peer), detail=str(fault))

    def datagramReceived(self, data: bytes, addr: Peer) -> None:
        """Decode a datagram and hand it on."""
        try:
            message = decode(data)
        except FormError as fault:
            log_event(Event.DATAGRAM_DROPPED, peer=str(addr), detail=fault.detail)
            return
        try:
            self._on_message(message, addr)
        except Exception as fault:
            # One message must not take the port from all others.
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))
