"""Messages between our processes over UDP: loads, rank states, orders.

All of them may be lost, doubled or late. A load or a state is replaced by the next one;
an order is sent again until a state shows its effect.
"""

import dataclasses
import typing as t

import msgpack
from twisted.internet import protocol

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_experts.rank_orders import (
    Armed,
    Order,
    OrderKind,
    OrderResult,
    RankReport,
)

Peer = tuple[str, int]

#: Largest weight of an expert in `RankState.choices`; one byte each.
CHOICE_SCALE = 255


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
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
    """

    upstream: str
    queued: int
    running: int
    pace: float
    open: bool
    group: str
    pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
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
        Choices of each expert since the last state, one byte each, the largest of a
        layer as `CHOICE_SCALE`.
    totals : tuple of int
        Choices since the last state by layer.
    """

    group: str
    upstream: str
    sequence: int
    report: RankReport
    running: int
    pace: float
    choices: bytes
    totals: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order from a group's leader to a rank's agent."""

    group: str
    term: int
    number: int
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """What became of an order."""

    group: str
    term: int
    number: int
    result: OrderResult


Message = LoadReport | RankState | OrderRequest | OrderReply


def encode(message: Message) -> bytes:
    """Encode a message."""
    kind = _KINDS.index(type(message))
    return msgpack.packb([kind, *_ENCODERS[kind](message)])


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    ValueError
        When it is none of ours.
    """
    try:
        kind, *fields = msgpack.unpackb(data, use_list=False)
        return _DECODERS[kind](fields)
    except (TypeError, IndexError, msgpack.UnpackException) as fault:
        raise ValueError(f"not a message: {fault}") from fault


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
        except ValueError as fault:
            log_event(Event.DATAGRAM_DROPPED, peer=str(addr), detail=str(fault))
            return
        try:
            self._on_message(message, addr)
        except Exception as fault:
            # One message must not take the port from all others.
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))


def _encode_load(load: LoadReport) -> t.Iterable[t.Any]:
    return (
        load.upstream,
        load.queued,
        load.running,
        load.pace,
        load.open,
        load.group,
        load.pass_ms,
    )


def _decode_load(fields: t.Sequence[t.Any]) -> LoadReport:
    return LoadReport(*fields)


def _encode_state(state: RankState) -> t.Iterable[t.Any]:
    report = state.report
    armed = None if report.armed is None else (report.armed.version, report.armed.step)
    experts = None if report.experts is None else tuple(map(bytes, report.experts))
    return (
        state.group,
        state.upstream,
        state.sequence,
        state.running,
        state.pace,
        state.choices,
        state.totals,
        report.rank,
        report.epoch,
        report.term,
        report.open,
        report.step,
        report.map_version,
        report.prepared,
        armed,
        report.held,
        experts,
    )


def _decode_state(fields: t.Sequence[t.Any]) -> RankState:
    group, upstream, sequence, running, pace, choices, totals, *rest = fields
    *plain, armed, held, experts = rest
    report = RankReport(
        *plain,
        None if armed is None else Armed(*armed),
        held,
        None if experts is None else tuple(map(tuple, experts)),
    )
    return RankState(group, upstream, sequence, report, running, pace, choices, totals)


def _encode_request(request: OrderRequest) -> t.Iterable[t.Any]:
    order = request.order
    placement = None
    if order.placement is not None:
        placement = tuple(tuple(map(bytes, layer)) for layer in order.placement)
    return (
        request.group,
        request.term,
        request.number,
        order.rank,
        order.kind.value,
        order.epoch,
        order.version,
        order.step,
        placement,
    )


def _decode_request(fields: t.Sequence[t.Any]) -> OrderRequest:
    group, term, number, rank, kind, epoch, version, step, placement = fields
    if placement is not None:
        placement = tuple(tuple(map(tuple, layer)) for layer in placement)
    order = Order(rank, OrderKind(kind), epoch, version, step, placement)
    return OrderRequest(group, term, number, order)


def _encode_reply(reply: OrderReply) -> t.Iterable[t.Any]:
    return (reply.group, reply.term, reply.number, reply.result.value)


def _decode_reply(fields: t.Sequence[t.Any]) -> OrderReply:
    group, term, number, result = fields
    return OrderReply(group, term, number, OrderResult(result))


_KINDS: list[type[Message]] = [LoadReport, RankState, OrderRequest, OrderReply]
_ENCODERS: list[t.Callable[[t.Any], t.Iterable[t.Any]]] = [
    _encode_load,
    _encode_state,
    _encode_request,
    _encode_reply,
]
_DECODERS: list[t.Callable[[t.Sequence[t.Any]], Message]] = [
    _decode_load,
    _decode_state,
    _decode_request,
    _decode_reply,
]
