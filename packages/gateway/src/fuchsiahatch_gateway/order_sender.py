"""Sends a leader's orders to the agents of its ranks and tracks their replies."""

import dataclasses
import itertools
import typing as t

import msgspec

from fuchsiahatch_experts.map_changes import (
    NO_BASE,
    MapChange,
    first_map,
    make_change,
)
from fuchsiahatch_experts.rank_orders import Order, OrderResult, Placement
from fuchsiahatch_experts.switching import Phase
from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    OrderReply,
    OrderRequest,
    Peer,
    RelayedOrder,
    encode,
)
from fuchsiahatch_gateway.order_relays import RELAY_TIMEOUT_MS, make_relays

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.switching import Switch
    from fuchsiahatch_gateway.order_pacing import OrderPacer
    from fuchsiahatch_gateway.rank_agent import RankAgent

REPLY_TIMEOUT_MS = 300
#: Phases in which PREPARE orders are sent.
_COPYING = (Phase.COPYING, Phase.CLEARING)


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    """One PREPARE order, the same for all ranks but for the rank, and its targets."""

    order: Order
    change: MapChange
    targets: list[RelayedOrder]


@dataclasses.dataclass(frozen=True, slots=True)
class _DirectOrder:
    """A PREPARE order that is sent to its agent without a relay."""

    request: OrderRequest
    peer: Peer


class OrderSender:
    """Sends orders to agents, some of them through relaying agents.

    Parameters
    ----------
    group : str
    term, ranks : int
    local_agent : RankAgent
        Agent of the leader's rank, which knows the number of experts per layer.
    datagrams : DatagramPort
    switch : Switch
        Notified of the result of each order.
    pacer : OrderPacer
    """

    __slots__ = (
        "_change",
        "_change_version",
        "_datagrams",
        "_full_change",
        "_full_change_version",
        "_group",
        "_local_agent",
        "_missing_base",
        "_numbers",
        "_pacer",
        "_pending",
        "_queued",
        "_queued_version",
        "_ranks",
        "_relay_batches",
        "_relayed",
        "_switch",
        "_term",
    )

    def __init__(
        self,
        group: str,
        term: int,
        ranks: int,
        local_agent: "RankAgent",
        datagrams: DatagramPort,
        switch: "Switch",
        pacer: "OrderPacer",
    ) -> None:
        self._group = group
        self._term = term
        self._ranks = ranks
        self._local_agent = local_agent
        self._datagrams = datagrams
        self._switch = switch
        self._pacer = pacer
        self._numbers = itertools.count(1)
        #: Orders without a reply and the replies' deadlines, by number.
        self._pending: dict[int, tuple[Order, int]] = {}
        #: Orders to relay, by the base of their change: the map that all other agents
        #: know, or none.
        self._relay_batches: dict[int, _Batch] = {}
        #: PREPARE orders that wait for budget on the link, by rank; a newer order
        #: replaces an older one of its rank.
        self._queued: dict[int, _DirectOrder] = {}
        self._queued_version = 0
        #: Version and base of the last order that was relayed to a rank.
        self._relayed: dict[int, tuple[int, int]] = {}
        #: Ranks whose agents lack the base of the change.
        self._missing_base: set[int] = set()
        self._full_change_version = 0
        self._full_change = MapChange(NO_BASE, 0, 0, b"")
        self._change_version = 0
        self._change = MapChange(NO_BASE, 0, 0, b"")

    def order_budget(self, now_ms: int) -> int | None:
        """Return how many orders may be sent now; None if there is no limit.

        Only PREPARE orders are paced: passes may be held while any other is pending.
        """
        if self._switch.phase is not Phase.COPYING or self._needs_relays(self._change):
            return None
        return self._pacer.order_budget(len(self._change.edits), now_ms)

    def send(self, order: Order, peer: Peer, now_ms: int) -> None:
        """Send an order; a PREPARE order is queued until `flush`."""
        number = next(self._numbers)
        if order.placement is None:
            self._expect_reply(number, order, now_ms + REPLY_TIMEOUT_MS)
            request = OrderRequest(self._group, self._term, number, order)
            self._datagrams.send(request, peer)
            return
        change = self._change_for(order)
        order = msgspec.structs.replace(order, placement=None)
        relayed_as = (order.version, change.base)
        if self._needs_relays(change) and self._relayed.get(order.rank) != relayed_as:
            # An order is relayed once: the agent that should have relayed it may be
            # unreachable.
            self._relayed[order.rank] = relayed_as
            self._expect_reply(number, order, now_ms + RELAY_TIMEOUT_MS)
            batch = self._relay_batches.setdefault(
                change.base, _Batch(order, change, [])
            )
            batch.targets.append(RelayedOrder(order.rank, number, peer))
            return
        if order.version != self._queued_version:
            self._queued_version = order.version
            self._queued.clear()
        request = OrderRequest(self._group, self._term, number, order, change)
        self._queued[order.rank] = _DirectOrder(request, peer)

    def flush(self, now_ms: int) -> None:
        """Send the orders to relay, and the queued ones that the budget allows."""
        self._send_relays()
        if self._switch.phase not in _COPYING:
            self._queued.clear()
        for rank, direct in tuple(self._queued.items()):
            data = encode(direct.request)
            if not self._pacer.may_send(len(data), now_ms):
                # Relayed orders with late replies are queued too. Sent all at once,
                # they delay every reply further and no change completes.
                return
            del self._queued[rank]
            self._pacer.spend(len(data))
            deadline_ms = now_ms + REPLY_TIMEOUT_MS
            self._expect_reply(direct.request.number, direct.request.order, deadline_ms)
            self._datagrams.send_encoded(data, direct.peer)

    def _send_relays(self) -> None:
        for batch in self._relay_batches.values():
            for relay, peer in make_relays(
                self._group, self._term, batch.order, batch.change, batch.targets
            ):
                self._datagrams.send(relay, peer)
        self._relay_batches.clear()

    def receive_reply(self, reply: OrderReply, now_ms: int) -> bool:
        """Process an agent's reply; return whether its order was pending."""
        pending = self._pending.pop(reply.number, None)
        if pending is None or reply.term != self._term or reply.group != self._group:
            return False
        if reply.lacks_base:
            self._missing_base.add(pending[0].rank)
        else:
            self._missing_base.discard(pending[0].rank)
        self._switch.answered(pending[0], reply.result, now_ms)
        return True

    def expire_replies(self, now_ms: int) -> None:
        """Report pending orders whose reply deadline has passed as UNKNOWN."""
        expired = [
            number
            for number, (_, deadline_ms) in self._pending.items()
            if now_ms > deadline_ms
        ]
        for number in expired:
            order, _ = self._pending.pop(number)
            self._switch.answered(order, OrderResult.UNKNOWN, now_ms)

    def _expect_reply(self, number: int, order: Order, deadline_ms: int) -> None:
        """Note that an order is being sent, and the deadline of its reply."""
        self._pending[number] = (order, deadline_ms)

    def _needs_relays(self, change: MapChange) -> bool:
        """Return whether a change sent to all ranks would fill the link."""
        return self._pacer.needs_relays(self._ranks, len(change.edits))

    def _change_for(self, order: Order) -> MapChange:
        """Return an order's map as a change from the map in force."""
        assert order.placement is not None
        if order.rank in self._missing_base:
            # Agents that have restarted know no map. The full change goes through
            # relays as well: sent by the leader to each of them, full maps fill its
            # link and no change completes.
            return self._full_change_for(order)
        if self._change_version != order.version:
            self._change_version = order.version
            self._change = make_change(order.placement, *self._change_base())
        return self._change

    def _full_change_for(self, order: Order) -> MapChange:
        """Return an order's map as a change without a base, cached by version."""
        assert order.placement is not None
        if self._full_change_version != order.version:
            self._full_change_version = order.version
            self._full_change = make_change(order.placement)
        return self._full_change

    def _change_base(self) -> tuple[int, Placement | None]:
        """Return the map in force if the agents know it as this leader does."""
        in_force = self._switch.map_in_force
        if in_force is None:
            return NO_BASE, None
        base, placement = in_force
        if self._local_agent.known_map(base, self._ranks) is None:
            # This agent has restarted, and so may have all others. Each of them would
            # first reply that it lacks the base, and then get a full map by itself.
            return NO_BASE, None
        if base == 0 and placement != first_map(
            len(placement), self._local_agent.experts_per_layer, self._ranks
        ):
            return NO_BASE, None
        return base, placement
