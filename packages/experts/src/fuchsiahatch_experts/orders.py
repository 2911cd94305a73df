"""Fencing of orders at the agent, for engines that ignore fencing numbers."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.grants import Order


class OrderGate:
    """Decides whether an order may go to the engine now.

    Parameters
    ----------
    engine_fences : bool
        Whether the engine refuses an order whose fencing number is old.
    settle_ms : int
        Longest time after which an engine that does not check may still carry
        out an order whose answer was lost.
    now_ms : int
        When this life of the agent began.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_engine_fences", "_opens_ms", "_outstanding", "_settle_ms", "_term")

    def __init__(self, engine_fences: bool, settle_ms: int, now_ms: int) -> None:
        self._engine_fences = engine_fences
        self._settle_ms = settle_ms
        self._term = 0
        self._outstanding = False
        self._opens_ms = now_ms
        self._wait_for_lost_orders(now_ms)

    def may_send(self, order: "Order", now_ms: int) -> bool:
        """Say whether an order may be given now.

        Notes
        -----
        Guards against an old leader's order that reaches an engine after its
        successor's: the engine takes it if it ignores fencing numbers, and two
        ranks run a step under different maps. One order at a time with a term
        that never falls keeps them in order at the one process that gives any.
        """
        free = not self._outstanding and now_ms >= self._opens_ms
        return free and (order.term == 0 or order.term >= self._term)

    def note_sent(self, order: "Order") -> None:
        """Note that an order has gone out."""
        self._term = max(self._term, order.term)
        self._outstanding = True

    def note_answer(self) -> None:
        """Note the engine's answer."""
        self._outstanding = False

    def note_lost(self, now_ms: int) -> None:
        """Note that no answer came; the order may still be carried out."""
        self._outstanding = False
        self._wait_for_lost_orders(now_ms)

    def _wait_for_lost_orders(self, now_ms: int) -> None:
        # A lost order, or one of the agent's earlier life, may reach the engine
        # after its state was read: the leader then hears that a window is free
        # which the engine goes on to run. An engine that checks refuses it, as
        # every reading raises its number; any other is read only once nothing
        # can be on its way.
        if not self._engine_fences:
            self._opens_ms = now_ms + self._settle_ms
