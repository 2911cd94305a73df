"""Which orders of a switch are out, and when they are sent again."""

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult

#: Time after which an order without an effect is sent again: a message to an agent and
#: its answer, of a few ms, and one order that is asked twice.
RESEND_MS = 80
#: Time after which a copy without an effect is sent again; it is refused or has no
#: effect where the first one arrived.
RESEND_COPY_MS = 600

#: An order's identity: its rank, kind, version and step.
_OrderKey = tuple[int, OrderKind, int, int]


class SentOrders:
    """Keeps note of the orders of one switch."""

    __slots__ = ("_accepted", "_sent_ms", "_unsure")

    def __init__(self) -> None:
        self._sent_ms: dict[_OrderKey, int] = {}
        self._accepted: set[_OrderKey] = set()
        self._unsure: set[_OrderKey] = set()

    def forget(self) -> None:
        """Forget all of them: their switch has ended."""
        self._sent_ms.clear()
        self._accepted.clear()
        self._unsure.clear()

    def note_sent(self, order: Order, now_ms: int) -> None:
        """Note that an order goes out."""
        self._sent_ms[_key(order)] = now_ms

    def note_answer(self, order: Order, result: OrderResult) -> None:
        """Take in an answer; an order that has none is sent again at once."""
        key = _key(order)
        if result is OrderResult.BEGUN:
            self._accepted.add(key)
            return
        if result is OrderResult.UNKNOWN:
            # One that comes late as well has no effect.
            self._unsure.add(key)
        self._sent_ms.pop(key, None)

    def is_unsure(self, order: Order) -> bool:
        """Return whether an order had no answer once, and may be under way."""
        return _key(order) in self._unsure

    def is_due(self, order: Order, now_ms: int) -> bool:
        """Return whether to send an order now."""
        key = _key(order)
        sent_ms = self._sent_ms.get(key)
        if sent_ms is None:
            return True
        copying = order.kind is OrderKind.PREPARE
        if copying and key in self._accepted:
            return False
        return now_ms - sent_ms >= (RESEND_COPY_MS if copying else RESEND_MS)


def _key(order: Order) -> _OrderKey:
    return (order.rank, order.kind, order.version, order.step)
