"""The leader of one term: it grants windows of steps that all ranks accepted."""

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
    """Where a term stands."""

    ASKING = "asking"
    READY = "ready"
    PROPOSING = "proposing"
    COMMITTING = "committing"
    OVER = "over"


_IN_ROUND = (Phase.PROPOSING, Phase.COMMITTING)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowSettings:
    """How far grants run ahead.

    Attributes
    ----------
    window_steps : int
        Steps in a window.
    ahead_steps : int
        Granted steps left at the foremost rank when the next window is proposed.
    """

    window_steps: int = 64
    ahead_steps: int = 64


class Leader:
    """State of one term.

    Parameters
    ----------
    term, epoch : int
        As won by compare-and-swap in the service.
    begin : bool
        Whether the epoch is new, so that engines start it.
    ranks : int
        Number of ranks in the group.
    wanted_map : int
        Map version to grant once its weights are in place everywhere.
    pace : WindowSettings, optional

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_begin",
        "_done",
        "_heard",
        "_number",
        "_pace",
        "_ranks",
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
        pace: WindowSettings | None = None,
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
        self._pace = WindowSettings() if pace is None else pace
        self._number = 0
        self._heard = dict.fromkeys(self._ranks, 0)
        self._done: set[int] = set()

    def tick(self) -> list[LeaderEffect]:
        """Send what is outstanding (again), or the heartbeat."""
        if self.phase is Phase.OVER:
            return []
        if self.phase is Phase.READY:
            return self._send(self._ranks)
        if self.phase is Phase.ASKING:
            return self._send(
                rank for rank in self._ranks if rank not in self.rank_states
            )
        return self._send(rank for rank in self._ranks if rank not in self._done)

    def receive(self, answer: Answer) -> list[LeaderEffect]:
        """Take a rank's answer."""
        if self.phase is Phase.OVER:
            return []
        if isinstance(answer, Refused):
            return self._refused(answer)
        if answer.term != self.term:
            return []
        if isinstance(answer, Told):
            return self._told(answer)
        if not self._counts(answer):
            return []
        return self._agreed(answer)

    def _refused(self, answer: Refused) -> list[LeaderEffect]:
        if answer.asked_term != self.term:
            return []
        if answer.term > self.term:
            # Guards against a paused leader that wakes after its successor has
            # begun: its windows would go out beside the new ones. One refusal
            # is enough, since every rank has promised the successor's term.
            self.phase = Phase.OVER
            return [StepDown(answer.term)]
        if answer.code is Code.OLD_TERM:
            return self._end()
        if answer.code is Code.OLD_INCARNATION and self.phase in _IN_ROUND:
            return self._rank_restarted(answer.rank)
        return []

    def _told(self, told: Told) -> list[LeaderEffect]:
        if self.phase in _IN_ROUND or told.number <= self._heard[told.rank]:
            return []
        self._heard[told.rank] = told.number
        self.rank_states[told.rank] = told
        if self.phase is Phase.ASKING:
            return self._recover() if len(self.rank_states) == len(self._ranks) else []
        if not self._fits(told):
            return self._end(new_epoch=told.engine.epoch < self.epoch)
        return self._propose_next()

    def _counts(self, answer: Accepted | Committed) -> bool:
        wanted = Accepted if self.phase is Phase.PROPOSING else Committed
        if self.phase not in _IN_ROUND or not isinstance(answer, wanted):
            return False
        if answer.window != self.window:
            return False
        return answer.incarnation == self.rank_states[answer.rank].incarnation

    def _agreed(self, answer: Accepted | Committed) -> list[LeaderEffect]:
        self._done.add(answer.rank)
        if len(self._done) < len(self._ranks):
            return []
        self._done.clear()
        if self.phase is Phase.PROPOSING:
            self.phase = Phase.COMMITTING
            return self._send(self._ranks)
        self.phase = Phase.READY
        self.granted = self.window
        return self._propose_next()

    def _recover(self) -> list[LeaderEffect]:
        engines = [told.engine for told in self.rank_states.values()]
        if any(engine.epoch != self.epoch for engine in engines):
            # A new engine knows none of the group's steps: all start anew.
            return self._end(new_epoch=True)
        self._begin = False
        foremost = max(engines, key=lambda engine: engine.granted_end)
        rearmost = min(engines, key=lambda engine: engine.granted_end)
        self.granted = rearmost.granted
        if foremost.granted_end > rearmost.granted_end:
            assert foremost.granted is not None
            return self._propose(foremost.granted)
        # Guards against a leader that dies between accept and commit: a commit
        # may already be with a rank whose answer is lost. Had the window been
        # planned anew, that rank would run it under the old map.
        open_proposals = self._open_proposals(foremost.granted_end)
        if open_proposals:
            highest = max(open_proposals, key=lambda proposal: proposal.term)
            return self._propose(highest.window)
        self.phase = Phase.READY
        return self._propose_next()

    def _open_proposals(self, start: int) -> list[Proposal]:
        accepted = (told.accepted for told in self.rank_states.values())
        return [
            one for one in accepted if one is not None and one.window.start == start
        ]

    def _fits(self, told: Told) -> bool:
        end = self._granted_end()
        ahead = told.accepted is not None and told.accepted.window.end > end
        engine = told.engine
        return engine.epoch == self.epoch and engine.granted_end == end and not ahead

    def _propose_next(self) -> list[LeaderEffect]:
        end = self._granted_end()
        foremost = max(told.engine.step for told in self.rank_states.values())
        if end - foremost > self._pace.ahead_steps:
            return []
        return self._propose(
            Window(end, end + self._pace.window_steps, self._next_map())
        )

    def _next_map(self) -> int:
        # Guards against a granted map whose weights are still being fetched:
        # the group would stand still for as long as the weight store takes.
        engines = [told.engine for told in self.rank_states.values()]
        ready = all(self.wanted_map in engine.weights for engine in engines)
        if ready or self.granted is None:
            return self.wanted_map
        return self.granted.map_version

    def _propose(self, window: Window) -> list[LeaderEffect]:
        self.window = window
        self.phase = Phase.PROPOSING
        # What was asked before this round tells of a state that the round changes.
        self._heard = dict.fromkeys(self._ranks, self._number)
        self._done.clear()
        return self._send(self._ranks)

    def _rank_restarted(self, rank: int) -> list[LeaderEffect]:
        # Guards against two windows for the same steps in one term: a rank's
        # agent restarts in the round, the window is planned anew under another
        # map, and a late copy of the first proposal replaces the second at a
        # rank that answered both. A new term makes the late copy refused.
        return self._end()

    def _end(self, new_epoch: bool = False) -> list[LeaderEffect]:
        self.phase = Phase.OVER
        return [TakeTerm(new_epoch)]

    def _granted_end(self) -> int:
        return 0 if self.granted is None else self.granted.end

    def _send(self, ranks) -> list[LeaderEffect]:
        return [Send(rank, self._request(rank)) for rank in ranks]

    def _request(self, rank: int) -> Request:
        if self.phase in (Phase.ASKING, Phase.READY):
            self._number += 1
            return Ask(
                self.term, self.epoch, self._number, self._begin, self.wanted_map
            )
        assert self.window is not None
        kind = Propose if self.phase is Phase.PROPOSING else Commit
        incarnation = self.rank_states[rank].incarnation
        return kind(self.term, self.epoch, incarnation, self.window)
