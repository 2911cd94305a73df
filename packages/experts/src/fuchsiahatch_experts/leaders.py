"""The leader of one term, which grants windows of steps that all ranks accepted."""

import dataclasses
import enum

from fuchsiahatch_core.codes import Code
from fuchsiahatch_experts.grants import (
    Accepted,
    Answer,
    Ask,
    Commit,
    Committed,
    LeaderEffect,
    Proposal,
    Propose,
    Refused,
    Request,
    Send,
    StepDown,
    TakeTerm,
    Told,
    Window,
)


class Phase(enum.Enum):
    """State of a term."""

    ASKING = "asking"
    READY = "ready"
    PROPOSING = "proposing"
    COMMITTING = "committing"
    OVER = "over"


_ROUND_PHASES = (Phase.PROPOSING, Phase.COMMITTING)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """Size of windows, and how far ahead they are granted.

    Attributes
    ----------
    window_steps : int
        Steps in a window.
    ahead_steps : int
        Granted steps left at the most advanced rank when the next window is proposed.
    """

    window_steps: int = 64
    ahead_steps: int = 64


class Leader:
    """State of one term.

    Parameters
    ----------
    term, epoch : int
        As won by compare-and-swap in the key-value service.
    begin : bool
        Whether the epoch is new, so that engines have to start it.
    ranks : int
        Number of ranks in the group.
    wanted_map : int
        Map version to grant once its weights are in place on all ranks.
    settings : WindowSettings, optional

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_answered_ranks",
        "_ask_number",
        "_begin",
        "_last_ask_numbers",
        "_ranks",
        "_settings",
        "epoch",
        "granted",
        "phase",
        "rank_states",
        "term",
        "wanted_map",
        "window",
    )

    def __init__(
        self,
        term: int,
        epoch: int,
        begin: bool,
        ranks: int,
        wanted_map: int,
        settings: WindowSettings | None = None,
    ) -> None:
        self.term = term
        self.epoch = epoch
        self.wanted_map = wanted_map
        self.phase = Phase.ASKING
        self.rank_states: dict[int, Told] = {}
        self.granted: Window | None = None
        self.window: Window | None = None
        self._begin = begin
        self._ranks = range(ranks)
        self._settings = WindowSettings() if settings is None else settings
        self._ask_number = 0
        self._last_ask_numbers = dict.fromkeys(self._ranks, 0)
        self._answered_ranks: set[int] = set()

    def tick(self) -> list[LeaderEffect]:
        """Send or resend outstanding requests, or the heartbeat."""
        if self.phase is Phase.OVER:
            return []
        if self.phase is Phase.READY:
            return self._send(self._ranks)
        if self.phase is Phase.ASKING:
            return self._send(
                rank for rank in self._ranks if rank not in self.rank_states
            )
        return self._send(
            rank for rank in self._ranks if rank not in self._answered_ranks
        )

    def receive(self, answer: Answer) -> list[LeaderEffect]:
        """Process a rank's answer."""
        if self.phase is Phase.OVER:
            return []
        if isinstance(answer, Refused):
            return self._handle_refusal(answer)
        if answer.term != self.term:
            return []
        if isinstance(answer, Told):
            return self._handle_state(answer)
        if not self._is_expected(answer):
            return []
        return self._count_answer(answer)

    def _handle_refusal(self, answer: Refused) -> list[LeaderEffect]:
        if answer.asked_term != self.term:
            return []
        if answer.term > self.term:
            # Guards against a paused leader that resumes after its successor has
            # begun: its windows would compete with the new ones. One refusal is
            # enough, since every rank has promised the successor's term.
            self.phase = Phase.OVER
            return [StepDown(answer.term)]
        if answer.code is Code.OLD_TERM:
            return self._end_term()
        if answer.code is Code.OLD_INCARNATION and self.phase in _ROUND_PHASES:
            return self._rank_restarted(answer.rank)
        return []

    def _handle_state(self, state: Told) -> list[LeaderEffect]:
        if (
            self.phase in _ROUND_PHASES
            or state.number <= self._last_ask_numbers[state.rank]
        ):
            return []
        self._last_ask_numbers[state.rank] = state.number
        self.rank_states[state.rank] = state
        if self.phase is Phase.ASKING:
            return self._recover() if len(self.rank_states) == len(self._ranks) else []
        if not self._is_consistent(state):
            return self._end_term(new_epoch=state.engine.epoch < self.epoch)
        return self._propose_next()

    def _is_expected(self, answer: Accepted | Committed) -> bool:
        expected_type = Accepted if self.phase is Phase.PROPOSING else Committed
        if self.phase not in _ROUND_PHASES or not isinstance(answer, expected_type):
            return False
        if answer.window != self.window:
            return False
        return answer.incarnation == self.rank_states[answer.rank].incarnation

    def _count_answer(self, answer: Accepted | Committed) -> list[LeaderEffect]:
        self._answered_ranks.add(answer.rank)
        if len(self._answered_ranks) < len(self._ranks):
            return []
        self._answered_ranks.clear()
        if self.phase is Phase.PROPOSING:
            self.phase = Phase.COMMITTING
            return self._send(self._ranks)
        self.phase = Phase.READY
        self.granted = self.window
        return self._propose_next()

    def _recover(self) -> list[LeaderEffect]:
        engines = [state.engine for state in self.rank_states.values()]
        if any(engine.epoch != self.epoch for engine in engines):
            # A new engine knows none of the group's steps, so all start a new epoch.
            return self._end_term(new_epoch=True)
        self._begin = False
        most_granted = max(engines, key=lambda engine: engine.granted_end)
        least_granted = min(engines, key=lambda engine: engine.granted_end)
        self.granted = least_granted.granted
        if most_granted.granted_end > least_granted.granted_end:
            assert most_granted.granted is not None
            return self._propose(most_granted.granted)
        # Guards against a leader that fails between accept and commit: a commit may
        # have reached a rank whose answer was lost. If the window were planned again,
        # that rank would run it under the old map.
        open_proposals = self._open_proposals(most_granted.granted_end)
        if open_proposals:
            highest = max(open_proposals, key=lambda proposal: proposal.term)
            return self._propose(highest.window)
        self.phase = Phase.READY
        return self._propose_next()

    def _open_proposals(self, start: int) -> list[Proposal]:
        accepted = (state.accepted for state in self.rank_states.values())
        return [
            proposal
            for proposal in accepted
            if proposal is not None and proposal.window.start == start
        ]

    def _is_consistent(self, state: Told) -> bool:
        end = self._granted_end()
        ahead = state.accepted is not None and state.accepted.window.end > end
        engine = state.engine
        return engine.epoch == self.epoch and engine.granted_end == end and not ahead

    def _propose_next(self) -> list[LeaderEffect]:
        end = self._granted_end()
        highest_step = max(state.engine.step for state in self.rank_states.values())
        if end - highest_step > self._settings.ahead_steps:
            return []
        return self._propose(
            Window(end, end + self._settings.window_steps, self._next_map())
        )

    def _next_map(self) -> int:
        # Guards against granting a map whose weights are still being fetched: the
        # group would stall until the weight store has delivered them.
        engines = [state.engine for state in self.rank_states.values()]
        ready = all(self.wanted_map in engine.weights for engine in engines)
        if ready or self.granted is None:
            return self.wanted_map
        return self.granted.map_version

    def _propose(self, window: Window) -> list[LeaderEffect]:
        self.window = window
        self.phase = Phase.PROPOSING
        # Answers to earlier `Ask`s are ignored, as this round changes the state.
        self._last_ask_numbers = dict.fromkeys(self._ranks, self._ask_number)
        self._answered_ranks.clear()
        return self._send(self._ranks)

    def _rank_restarted(self, rank: int) -> list[LeaderEffect]:
        # Guards against two windows for the same steps in one term: a rank's agent
        # restarts during the round, the window is planned again under another map, and
        # a late copy of the first proposal replaces the second at a rank that answered
        # both. With a new term the late copy is refused.
        return self._end_term()

    def _end_term(self, new_epoch: bool = False) -> list[LeaderEffect]:
        self.phase = Phase.OVER
        return [TakeTerm(new_epoch)]

    def _granted_end(self) -> int:
        return 0 if self.granted is None else self.granted.end

    def _send(self, ranks) -> list[LeaderEffect]:
        return [Send(rank, self._request(rank)) for rank in ranks]

    def _request(self, rank: int) -> Request:
        if self.phase in (Phase.ASKING, Phase.READY):
            self._ask_number += 1
            return Ask(
                self.term, self.epoch, self._ask_number, self._begin, self.wanted_map
            )
        assert self.window is not None
        kind = Propose if self.phase is Phase.PROPOSING else Commit
        incarnation = self.rank_states[rank].incarnation
        return kind(self.term, self.epoch, incarnation, self.window)
