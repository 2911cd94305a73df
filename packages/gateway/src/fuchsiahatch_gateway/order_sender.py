"""Orders of a leader to the agents of its ranks, and what becomes of them."""

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
from fuchsiahatch_gateway.order_relays import RELAY_LIMIT_MS, share_out

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.switching import Switch
    from fuchsiahatch_gateway.order_pacing import OrderPacer
    from fuchsiahatch_gateway.rank_agent import RankAgent

#: Time after which an order without an answer counts as unanswered.
REPLY_LIMIT_MS = 300
#: Phases in which ranks are told to copy.
_COPYING = (Phase.COPYING, Phase.CLEARING)


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    """One order to copy, alike but for its rank, and whom it goes to."""

    order: Order
    change: MapChange
    targets: list[RelayedOrder]


@dataclasses.dataclass(frozen=True, slots=True)
class _Direct:
    """An order to copy that goes to its agent itself."""

    request: OrderRequest
    peer: Peer


class OrderSender:
    """Sends orders to agents, some of them by way of others.

    Parameters
    ----------
    group : str
    term, ranks : int
    own : RankAgent
        The leader's own rank, which knows how many experts a layer has.
    datagrams : DatagramPort
    switch : Switch
        Is told what became of each order.
    pacer : OrderPacer
    """

    __slots__ = (
        "_asked",
        "_change",
        "_change_of",
        "_datagrams",
        "_group",
        "_lacking",
        "_numbers",
        "_own",
        "_pacer",
        "_ranks",
        "_relayed",
        "_switch",
        "_term",
        "_to_relay",
        "_waiting",
        "_waiting_of",
        "_whole",
        "_whole_of",
    )

    def __init__(
        self,
        group: str,
        term: int,
        ranks: int,
        own: "RankAgent",
        datagrams: DatagramPort,
        switch: "Switch",
        pacer: "OrderPacer",
    ) -> None:
        self._group = group
        self._term = term
        self._ranks = ranks
        self._own = own
        self._datagrams = datagrams
        self._switch = switch
        self._pacer = pacer
        self._numbers = itertools.count(1)
        #: Orders without an answer, by number, and until when it is waited for.
        self._asked: dict[int, tuple[Order, int]] = {}
        #: What other agents pass on, by its change's base: the map that all others
        #: know, or none.
        self._to_relay: dict[int, _Batch] = {}
        #: Orders to copy that wait for room on the link, by rank; a newer one of a rank
        #: takes the place of an older one.
        self._waiting: dict[int, _Direct] = {}
        self._waiting_of = 0
        #: Version and base of what was last passed on to a rank.
        self._relayed: dict[int, tuple[int, int]] = {}
        #: Ranks whose agents lack the map that a change is told from.
        self._lacking: set[int] = set()
        self._whole_of = 0
        self._whole = MapChange(NO_BASE, 0, 0, b"")
        self._change_of = 0
        self._change = MapChange(NO_BASE, 0, 0, b"")

    def room(self, now_ms: int) -> int | None:
        """Return how many orders the link has room for now; None for any number.

        Only copies are paced: passes may be held while all other orders are out.
        """
        if self._switch.phase is not Phase.COPYING or self._needs_relays(self._change):
            return None
        return self._pacer.room(len(self._change.edits), now_ms)

    def send(self, order: Order, peer: Peer, now_ms: int) -> None:
        """Send an order; one to copy waits for `flush`."""
        number = next(self._numbers)
        if order.placement is None:
            self._await(number, order, now_ms + REPLY_LIMIT_MS)
            request = OrderRequest(self._group, self._term, number, order)
            self._datagrams.send(request, peer)
            return
        change = self._change_for(order)
        order = msgspec.structs.replace(order, placement=None)
        passed_on = (order.version, change.base)
        if self._needs_relays(change) and self._relayed.get(order.rank) != passed_on:
            # Once: whoever should have passed it on before may be gone.
            self._relayed[order.rank] = passed_on
            self._await(number, order, now_ms + RELAY_LIMIT_MS)
            batch = self._to_relay.setdefault(change.base, _Batch(order, change, []))
            batch.targets.append(RelayedOrder(order.rank, number, peer))
            return
        if order.version != self._waiting_of:
            self._waiting_of = order.version
            self._waiting.clear()
        request = OrderRequest(self._group, self._term, number, order, change)
        self._waiting[order.rank] = _Direct(request, peer)

    def flush(self, now_ms: int) -> None:
        """Send what other agents pass on, and the copies that the link has room for."""
        self._send_relays()
        if self._switch.phase not in _COPYING:
            self._waiting.clear()
        for rank, direct in tuple(self._waiting.items()):
            data = encode(direct.request)
            if not self._pacer.may_send(len(data), now_ms):
                # Orders that were passed on and are answered late go out as well: all
                # at once they made every answer later, and no change was complete.
                return
            del self._waiting[rank]
            self._pacer.spend(len(data))
            until_ms = now_ms + REPLY_LIMIT_MS
            self._await(direct.request.number, direct.request.order, until_ms)
            self._datagrams.send_encoded(data, direct.peer)

    def _send_relays(self) -> None:
        for batch in self._to_relay.values():
            for relay, peer in share_out(
                self._group, self._term, batch.order, batch.change, batch.targets
            ):
                self._datagrams.send(relay, peer)
        self._to_relay.clear()

    def take_reply(self, reply: OrderReply, now_ms: int) -> bool:
        """Take in an agent's answer; return whether it was waited for."""
        asked = self._asked.pop(reply.number, None)
        if asked is None or reply.term != self._term or reply.group != self._group:
            return False
        if reply.lacks_base:
            self._lacking.add(asked[0].rank)
        else:
            self._lacking.discard(asked[0].rank)
        self._switch.answered(asked[0], reply.result, now_ms)
        return True

    def give_up_replies(self, now_ms: int) -> None:
        """Count orders as unanswered whose answers were waited for long enough."""
        late = [
            number for number, (_, until_ms) in self._asked.items() if now_ms > until_ms
        ]
        for number in late:
            order, _ = self._asked.pop(number)
            self._switch.answered(order, OrderResult.UNKNOWN, now_ms)

    def _await(self, number: int, order: Order, until_ms: int) -> None:
        """Note that an order goes out, and until when its answer is waited for."""
        self._asked[number] = (order, until_ms)

    def _needs_relays(self, change: MapChange) -> bool:
        """Return whether a change told to all ranks would fill the link."""
        return self._pacer.needs_relays(self._ranks, len(change.edits))

    def _change_for(self, order: Order) -> MapChange:
        """Return an order's map as its difference from the one in force."""
        assert order.placement is not None
        if order.rank in self._lacking:
            # Agents that have started anew know no map. Told each of them by the
            # leader itself, whole maps filled its link, and no change was complete.
            return self._whole_map(order)
        if self._change_of != order.version:
            self._change_of = order.version
            self._change = make_change(order.placement, *self._base())
        return self._change

    def _whole_map(self, order: Order) -> MapChange:
        """Return an order's map as a whole, made once for each version."""
        assert order.placement is not None
        if self._whole_of != order.version:
            self._whole_of = order.version
            self._whole = make_change(order.placement)
        return self._whole

    def _base(self) -> tuple[int, Placement | None]:
        """Return the map in force, if the agents know it as this leader does."""
        in_force = self._switch.map_in_force
        if in_force is None:
            return NO_BASE, None
        base, known = in_force
        if self._own.known_map(base, self._ranks) is None:
            # This agent has started anew, and so may have all others: asked one by one
            # whether they know the map, they are told whole ones one by one.
            return NO_BASE, None
        if base == 0 and known != first_map(
            len(known), self._own.experts_per_layer, self._ranks
        ):
            return NO_BASE, None
        return base, known
