"""Rate limit of the orders that a leader sends over its link."""

from fuchsiahatch_gateway.order_relays import DIRECT_MS, relay_count

#: Time that one map change may take on the leader's link: a third of the timeout for an
#: order's reply.
CHANGE_LINK_MS = 100
#: Share of the leader's link for orders, and the bytes that may be sent at once. The
#: states of all ranks arrive over the same link.
ORDERS_LINK_SHARE = 0.5
BURST_BYTES = 8_192
#: Size of an order without its map, including the headers of its datagram.
ORDER_BYTES = 120
#: Size of one copy in a map change: 3.6 bytes for each of 96 copies, 4 of 261.
COPY_BYTES = 4
#: Most copies per rank in one change, whatever the link's bandwidth.
MAX_COPIES = 64


class OrderPacer:
    """Token bucket that spreads PREPARE orders over time.

    A burst of 63 orders of 700 bytes overflows a link of 4 Mbit/s: some orders of each
    change are lost, and the change waits 300 ms for their replies, often twice.

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
        #: At least the largest order, which could never be sent otherwise.
        self._capacity_bytes = BURST_BYTES
        self._refilled_ms = now_ms

    def order_budget(self, change_bytes: int, now_ms: int) -> int:
        """Return how many orders with a change of that size may be sent now."""
        order_bytes = ORDER_BYTES + change_bytes
        self._refill(order_bytes, now_ms)
        return max(int(self._budget_bytes // order_bytes), 0)

    def may_send(self, size_bytes: int, now_ms: int) -> bool:
        """Return whether an order of that size may be sent now."""
        self._refill(size_bytes, now_ms)
        return self._budget_bytes >= size_bytes

    def _refill(self, order_bytes: int, now_ms: int) -> None:
        refill = ORDERS_LINK_SHARE * self._link_bytes_per_s / 1000
        budget_bytes = self._budget_bytes + refill * (now_ms - self._refilled_ms)
        self._capacity_bytes = max(self._capacity_bytes, order_bytes)
        self._budget_bytes = min(budget_bytes, self._capacity_bytes)
        self._refilled_ms = now_ms

    def needs_relays(self, ranks: int, change_bytes: int) -> bool:
        """Return whether orders sent to all ranks would occupy the link too long."""
        size_bytes = ranks * (ORDER_BYTES + change_bytes)
        max_bytes = DIRECT_MS / 1000 * ORDERS_LINK_SHARE * self._link_bytes_per_s
        return size_bytes > max_bytes

    def spend(self, size_bytes: int) -> None:
        """Take an order that was sent out of the budget."""
        self._budget_bytes -= size_bytes

    def max_copies_per_rank(self, ranks: int) -> int:
        """Return how many copies per rank a change may have to reach all in time.

        Each relaying agent is sent the copies of all ranks: 300 rows to each of 63
        agents occupy a link of 4 Mbit/s for longer than the reply timeout, each order
        is sent again, and no change ever completes.
        """
        max_bytes = CHANGE_LINK_MS / 1000 * self._link_bytes_per_s
        copy_bytes = relay_count(ranks) * ranks * COPY_BYTES
        return int(min(max_bytes / copy_bytes, MAX_COPIES)) or 1
