"""Fencing of orders at the agent, for engines that ignore fencing numbers."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.grants import Order


class OrderGate:
    """Decides whether an order may be sent to the engine now.

    Parameters
    ----------
    engine_fences : bool
        Whether the engine refuses an order whose fencing number is old.
    settle_ms : int
        Longest time after which an engine that ignores fencing numbers may still
        carry out an order whose answer was lost.
    now_ms : int
        When this incarnation of the agent started.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_engine_fences",
        "_open_after_ms",
        "_outstanding",
        "_settle_ms",
        "_term",
    )

    def __init__(self, engine_fences: bool, settle_ms: int, now_ms: int) -> None:
        self._engine_fences = engine_fences
        self._settle_ms = settle_ms
        self._term = 0
        self._outstanding = False
        self._open_after_ms = now_ms
        self._wait_for_lost_orders(now_ms)

    def may_send(self, order: "Order", now_ms: int) -> bool:
        """Return whether an order may be sent now.

        Notes
        -----
        Guards against an old leader's order that reaches an engine after its
        successor's: an engine that ignores fencing numbers accepts it, and two ranks
        run a step under different maps. The agent is the only process that sends
        orders to its engine, and keeps them in sequence by sending one at a time with
        a term that never decreases.
        """
        is_open = not self._outstanding and now_ms >= self._open_after_ms
        return is_open and (order.term == 0 or order.term >= self._term)

    def note_sent(self, order: "Order") -> None:
        """Record that an order was sent."""
        self._term = max(self._term, order.term)
        self._outstanding = True

    def note_answer(self) -> None:
        """Record that the engine answered."""
        self._outstanding = False

    def note_lost(self, now_ms: int) -> None:
        """Record that no answer arrived; the order may still be carried out."""
        self._outstanding = False
        self._wait_for_lost_orders(now_ms)

    def _wait_for_lost_orders(self, now_ms: int) -> None:
        # A lost order, or one of the agent's earlier incarnation, may reach the engine
        # after its state was read: a window is then reported to the leader as free that
        # the engine still runs. An engine that checks fencing numbers refuses the
        # order, as the read that answers an `Ask` raises the number; any other engine
        # is read only when no order can be in transit.
        if not self._engine_fences:
            self._open_after_ms = now_ms + self._settle_ms
