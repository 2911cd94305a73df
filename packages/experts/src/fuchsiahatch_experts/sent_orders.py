"""Outstanding orders of a switch, and when they are resent."""

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult

#: Time after which an order without an effect is resent: it covers a message to an
#: agent and its answer, of a few ms, and one order that is sent twice.
RESEND_INTERVAL_MS = 80
#: Time after which a copy order without an effect is resent; if the first one arrived,
#: the second is refused or has no effect.
RESEND_COPY_INTERVAL_MS = 600

#: An order's identity: its rank, kind, version and step.
_OrderKey = tuple[int, OrderKind, int, int]


class SentOrders:
    """Tracks the orders of one switch and their answers."""

    __slots__ = ("_accepted", "_sent_ms", "_unanswered")

    def __init__(self) -> None:
        self._sent_ms: dict[_OrderKey, int] = {}
        self._accepted: set[_OrderKey] = set()
        self._unanswered: set[_OrderKey] = set()

    def forget(self) -> None:
        """Forget all orders, as their switch has ended."""
        self._sent_ms.clear()
        self._accepted.clear()
        self._unanswered.clear()

    def note_sent(self, order: Order, now_ms: int) -> None:
        """Record that an order is sent."""
        self._sent_ms[_key(order)] = now_ms

    def note_answer(self, order: Order, result: OrderResult) -> None:
        """Record an answer; an order whose answer was lost is resent at once."""
        key = _key(order)
        if result is OrderResult.BEGUN:
            self._accepted.add(key)
            return
        if result is OrderResult.UNKNOWN:
            # If the lost order is carried out late as well, it has no second effect.
            self._unanswered.add(key)
        self._sent_ms.pop(key, None)

    def had_no_answer(self, order: Order) -> bool:
        """Return whether an answer was lost, so that the order may be in progress."""
        return _key(order) in self._unanswered

    def is_due(self, order: Order, now_ms: int) -> bool:
        """Return whether an order is to be sent now."""
        key = _key(order)
        sent_ms = self._sent_ms.get(key)
        if sent_ms is None:
            return True
        copying = order.kind is OrderKind.PREPARE
        if copying and key in self._accepted:
            return False
        return now_ms - sent_ms >= (
            RESEND_COPY_INTERVAL_MS if copying else RESEND_INTERVAL_MS
        )


def _key(order: Order) -> _OrderKey:
    return (order.rank, order.kind, order.version, order.step)
