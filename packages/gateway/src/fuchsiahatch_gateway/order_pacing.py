"""How many orders a leader's link has room for."""

from fuchsiahatch_gateway.order_relays import DIRECT_MS, relay_count

#: Time that a change may take on the leader's link: a third of what an order's answer
#: is waited for.
CHANGE_LINK_MS = 100
#: Share of the leader's link that orders may take, and what may go out at once. All
#: ranks' states come in over the same link.
ORDERS_LINK_SHARE = 0.5
BURST_BYTES = 8_192
#: Size of an order but for its map, with the headers of its datagram.
ORDER_BYTES = 120
#: Size of one copy in a changed map: 3.6 bytes each of 96, 4 of 261.
COPY_BYTES = 4
#: Copies of a rank that one change has at most, whatever the link carries.
MAX_COPIES = 64


class OrderPacer:
    """Spreads the orders to copy over the link's time.

    A burst of 63 orders of 700 bytes overflowed a link of 4 Mbit/s: some were lost in
    each change, and it waited 300 ms for their answers, often twice.

    Parameters
    ----------
    link_bytes_per_s : float
    now_ms : int
    """

    __slots__ = (
        "_budget_bytes",
        "_capacity_bytes",
        "_link_bytes_per_s",
        "_refilled_ms",
    )

    def __init__(self, link_bytes_per_s: float, now_ms: int) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._budget_bytes = float(BURST_BYTES)
        #: What may go out at once: the largest order at least, or it never would.
        self._capacity_bytes = BURST_BYTES
        self._refilled_ms = now_ms

    def order_budget(self, change_bytes: int, now_ms: int) -> int:
        """Return how many orders with a change of that size may go out now."""
        order_bytes = ORDER_BYTES + change_bytes
        self._refill(order_bytes, now_ms)
        return max(int(self._budget_bytes // order_bytes), 0)

    def may_send(self, size_bytes: int, now_ms: int) -> bool:
        """Return whether an order of that many bytes may go out now."""
        self._refill(size_bytes, now_ms)
        return self._budget_bytes >= size_bytes

    def _refill(self, order_bytes: int, now_ms: int) -> None:
        refill = ORDERS_LINK_SHARE * self._link_bytes_per_s / 1000
        room = self._budget_bytes + refill * (now_ms - self._refilled_ms)
        self._capacity_bytes = max(self._capacity_bytes, order_bytes)
        self._budget_bytes = min(room, self._capacity_bytes)
        self._refilled_ms = now_ms

    def needs_relays(self, ranks: int, change_bytes: int) -> bool:
        """Return whether orders to all ranks would fill the link for too long."""
        size_bytes = ranks * (ORDER_BYTES + change_bytes)
        room_bytes = DIRECT_MS / 1000 * ORDERS_LINK_SHARE * self._link_bytes_per_s
        return size_bytes > room_bytes

    def spend(self, size_bytes: int) -> None:
        """Count an order that went out."""
        self._budget_bytes -= size_bytes

    def max_copies_per_rank(self, ranks: int) -> int:
        """Return how many copies a rank may take for a change to reach all in time.

        The copies of all ranks are told to each agent that passes orders on: with 300
        rows to each of 63 agents a link of 4 Mbit/s was full for longer than orders
        are waited for, each was sent again, and no change was ever complete.
        """
        room_bytes = CHANGE_LINK_MS / 1000 * self._link_bytes_per_s
        copy_bytes = relay_count(ranks) * ranks * COPY_BYTES
        return int(min(room_bytes / copy_bytes, MAX_COPIES)) or 1
