"""One rank in step grants: it promises terms, and accepts and grants windows."""

import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_experts.grants import (
    Accepted,
    Answer,
    Ask,
    Commit,
    Committed,
    EngineState,
    LoadWeights,
    Order,
    Proposal,
    Propose,
    RankEffect,
    Refused,
    Reply,
    Request,
    SendOrder,
    Starved,
    Told,
    Window,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.orders import OrderGate

_WindowRequest: t.TypeAlias = Propose | Commit


class Rank:
    """State of one incarnation of a rank's agent.

    Parameters
    ----------
    rank : int
        The rank's number in the group.
    incarnation : str
        Identifies this incarnation of the agent.
    gate : OrderGate
        Decides when orders may be sent to the engine.

    Notes
    -----
    A new incarnation knows no term and no accepted window. The engine's state, read
    at the first `Ask`, replaces both.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_gate",
        "_pending",
        "accepted",
        "engine",
        "incarnation",
        "rank",
        "starved",
        "term",
    )

    def __init__(self, rank: int, incarnation: str, gate: "OrderGate") -> None:
        self.rank = rank
        self.incarnation = incarnation
        self.term = 0
        self.accepted: Proposal | None = None
        self.engine: EngineState | None = None
        self.starved = False
        self._gate = gate
        self._pending: Request | None = None

    def receive(self, request: Request, now_ms: int) -> list[RankEffect]:
        """Process a leader's request."""
        if request.term < self.term:
            return [self._refuse(request, Code.OLD_TERM)]
        if isinstance(request, Ask):
            return self._promise(request, now_ms)
        rejection = self._rejection_of(request)
        if rejection is not None:
            return [self._refuse(request, rejection)]
        self.term = request.term
        if isinstance(request, Propose):
            return self._accept(request, now_ms)
        return self._commit(request, now_ms)

    def read_engine(self, now_ms: int) -> list[RankEffect]:
        """Read the engine's state, after a restart and while no leader asks for it."""
        order = Order(term=0, epoch=0)
        if not self._gate.may_send(order, now_ms):
            return []
        return self._send_order(None, order)

    def engine_answered(self, state: EngineState) -> list[RankEffect]:
        """Process the engine's answer to the outstanding order."""
        self._gate.note_answer()
        starved = self._starvation(state)
        if self.engine is not None and state.epoch != self.engine.epoch:
            self.accepted = None
        self.engine = state
        request, self._pending = self._pending, None
        return starved + self._answer(request, state)

    def engine_refused(self) -> list[RankEffect]:
        """Process the engine's refusal of an order with an old fencing number."""
        self._gate.note_answer()
        request, self._pending = self._pending, None
        return self._refuse_pending(request, Code.OLD_TERM)

    def engine_lost(self, now_ms: int) -> list[RankEffect]:
        """Process a missing answer: the engine's state is unknown from now on."""
        self._gate.note_lost(now_ms)
        self.engine = None
        request, self._pending = self._pending, None
        return self._refuse_pending(request, Code.UPSTREAM_FAILED)

    def _answer(self, request: Request | None, state: EngineState) -> list[RankEffect]:
        if request is None:
            return []
        if isinstance(request, Ask):
            return self._report_state(request)
        if isinstance(request, Propose):
            return self._accept_if_loaded(request)
        if state.granted != request.window:
            return [self._refuse(request, Code.NO_GRANT)]
        return [Reply(self._committed(request))]

    def _starvation(self, state: EngineState) -> list[RankEffect]:
        was_starved = self.starved
        self.starved = state.granted is not None and state.step >= state.granted_end
        return [Starved(state.step)] if self.starved and not was_starved else []

    def _promise(self, ask: Ask, now_ms: int) -> list[RankEffect]:
        order = Order(ask.term, ask.epoch, ask.begin)
        if not self._gate.may_send(order, now_ms):
            return [self._refuse(ask, Code.IN_PROGRESS)]
        self.term = ask.term
        return self._send_order(ask, order)

    def _report_state(self, ask: Ask) -> list[RankEffect]:
        assert self.engine is not None
        state = Told(
            self.rank,
            self.incarnation,
            ask.term,
            ask.number,
            self._last_engine_state(),
            self.accepted,
        )
        missing = ask.wanted_map not in self.engine.weights
        return [Reply(state), *[LoadWeights(ask.wanted_map)] * missing]

    def _last_engine_state(self) -> EngineState:
        # Guards against an agent that restarts after its engine was granted a window:
        # if it reported the window as free, the next leader would grant the same steps
        # under another map to the other ranks, and two ranks would run one step
        # differently. The engine's window is therefore reported as granted.
        assert self.engine is not None
        return self.engine

    def _accept(self, propose: Propose, now_ms: int) -> list[RankEffect]:
        engine = self._last_engine_state()
        window = propose.window
        if window != engine.granted and window.start != engine.granted_end:
            return [self._refuse(propose, Code.NO_GRANT)]
        order = Order(term=0, epoch=0)
        if self._has_weights(window) or not self._gate.may_send(order, now_ms):
            return self._accept_if_loaded(propose)
        # Guards against a group that stalls although its weights have arrived: while a
        # window is proposed, no leader asks for the engine's state.
        return self._send_order(propose, order)

    def _accept_if_loaded(self, propose: Propose) -> list[RankEffect]:
        window = propose.window
        if not self._has_weights(window):
            load = LoadWeights(window.map_version)
            return [self._refuse(propose, Code.WEIGHTS_MISSING), load]
        self.accepted = Proposal(propose.term, window)
        accepted = Accepted(self.rank, self.incarnation, propose.term, window)
        return [Reply(accepted)]

    def _has_weights(self, window: Window) -> bool:
        assert self.engine is not None
        return window.map_version in self.engine.weights

    def _commit(self, commit: Commit, now_ms: int) -> list[RankEffect]:
        assert self.engine is not None
        if commit.window == self.engine.granted:
            return [Reply(self._committed(commit))]
        if self.accepted != Proposal(commit.term, commit.window):
            return [self._refuse(commit, Code.NO_GRANT)]
        order = Order(commit.term, commit.epoch, window=commit.window)
        if not self._gate.may_send(order, now_ms):
            return [self._refuse(commit, Code.IN_PROGRESS)]
        return self._send_order(commit, order)

    def _send_order(self, request: Request | None, order: Order) -> list[RankEffect]:
        self._pending = request
        self._gate.note_sent(order)
        return [SendOrder(order)]

    def _rejection_of(self, request: _WindowRequest) -> Code | None:
        if not self._is_for_this_incarnation(request):
            return Code.OLD_INCARNATION
        if self.engine is None:
            return Code.UPSTREAM_FAILED
        if request.epoch != self.engine.epoch:
            return Code.OLD_EPOCH
        return None

    def _is_for_this_incarnation(self, request: _WindowRequest) -> bool:
        # Guards against a message to an earlier incarnation of the agent: a restarted
        # rank has forgotten the higher term that it promised, would accept an old
        # leader's window, and would run it under the old map while the other ranks
        # follow the new leader. The old message names the old incarnation.
        return request.incarnation == self.incarnation

    def _committed(self, commit: Commit) -> Committed:
        return Committed(self.rank, self.incarnation, commit.term, commit.window)

    def _refuse_pending(self, request: Request | None, code: Code) -> list[RankEffect]:
        return [] if request is None else [self._refuse(request, code)]

    def _refuse(self, request: Request, code: Code) -> Reply:
        answer: Answer = Refused(
            self.rank, self.incarnation, self.term, request.term, code
        )
        return Reply(answer)
