"""Relaying of a change's orders: some agents forward them for the leader.

A change with four copies per rank is 1.1 KB to each of 96 agents, which takes 0.3 s of
a leader's link of 3 Mbit/s. Relayed by ten agents it takes 13 KB of the leader's link
and 9 KB of each of theirs. A relaying agent decides nothing: each agent checks its
order as if it came from the leader, and replies to the leader.
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

#: Time on the leader's link above which the orders of a change are relayed. A switch
#: takes some 300 ms, and the second hop adds 10 ms.
DIRECT_MS = 25
#: Time after which a relayed order without a reply is sent directly. A reply takes two
#: hops of some ms each, and one call to an engine.
RELAY_TIMEOUT_MS = 120


def relay_count(ranks: int) -> int:
    """Return how many agents relay orders: as many as each of them relays to."""
    return max(round(math.sqrt(ranks)), 1)


def make_relays(
    group: str,
    term: int,
    order: Order,
    change: MapChange,
    targets: t.Sequence[RelayedOrder],
) -> list[tuple[OrderRelay, Peer]]:
    """Return the relay messages, with their recipients, that reach all targets.

    Parameters
    ----------
    group : str
    term : int
    order : Order
        A PREPARE order; the same for all targets but for its rank.
    change : MapChange
    targets : sequence of RelayedOrder
        They are split into parts; the first target of each part relays the order to
        the rest of its part.
    """
    parts = relay_count(len(targets))
    shared = [targets[first::parts] for first in range(parts)]
    return [
        (
            OrderRelay(group, term, order.epoch, order.version, change, tuple(part)),
            part[0].peer,
        )
        for part in shared
        if part
    ]


def make_request(relay: OrderRelay, target: RelayedOrder, leader: Peer) -> OrderRequest:
    """Return the order for one target, whose reply goes to the leader."""
    order = Order(target.rank, OrderKind.PREPARE, relay.epoch, version=relay.version)
    return OrderRequest(
        relay.group, relay.term, target.number, order, relay.change, leader
    )
