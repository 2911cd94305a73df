"""Orders of one change that some agents pass on to others for the leader.

A change of four copies a rank is 1.1 KB to each of 96 agents: 0.3 s of the leader's
link of 3 Mbit/s. Passed on by ten agents it is 13 KB of the leader's link and 9 KB of
theirs. Whoever passes orders on decides nothing: each agent checks its own order as if
it came from the leader, and answers the leader.
"""

import math
import typing as t

from fuchsiahatch_experts.map_changes import MapChange
from fuchsiahatch_experts.rank_orders import Order, OrderKind
from fuchsiahatch_gateway.datagrams import (
    OrderRelay,
    OrderRequest,
    Peer,
    RelayedOrder,
)

#: Time on the leader's link beyond which a change's orders are passed on: a switch
#: takes some 300 ms in all, and ten ms more for the second way.
DIRECT_MS = 25
#: Time after which an order that was passed on goes out directly if it has no answer:
#: two ways of some ms, and one engine that is asked.
RELAY_TIMEOUT_MS = 120


def relay_count(ranks: int) -> int:
    """Return how many agents pass orders on: as many as each passes on itself."""
    return max(round(math.sqrt(ranks)), 1)


def make_relays(
    group: str,
    term: int,
    order: Order,
    change: MapChange,
    targets: t.Sequence[RelayedOrder],
) -> list[tuple[OrderRelay, Peer]]:
    """Return what to send, and to whom, so that an order reaches all its targets.

    Parameters
    ----------
    group : str
    term : int
    order : Order
        To copy; alike for all but its rank.
    change : MapChange
    targets : sequence of RelayedOrder
        The first of each part passes the order on to the others of it.
    """
    parts = relay_count(len(targets))
    shared = [targets[at::parts] for at in range(parts)]
    return [
        (
            OrderRelay(group, term, order.epoch, order.version, change, tuple(part)),
            part[0].peer,
        )
        for part in shared
        if part
    ]


def make_request(relay: OrderRelay, target: RelayedOrder, leader: Peer) -> OrderRequest:
    """Return one target's order, to be answered to the leader."""
    order = Order(target.rank, OrderKind.PREPARE, relay.epoch, version=relay.version)
    return OrderRequest(
        relay.group, relay.term, target.number, order, relay.change, leader
    )
