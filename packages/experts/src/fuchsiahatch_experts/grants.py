"""Typed messages of step grants between leader, ranks and engines."""

import dataclasses
import typing as t

from fuchsiahatch_core.codes import Code


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Steps ``[start, end)`` that all ranks run under one expert map."""

    start: int
    end: int
    map_version: int

    def __str__(self) -> str:
        return f"[{self.start}, {self.end}) map {self.map_version}"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A window that a rank accepted, with the term in which it was proposed."""

    term: int
    window: Window


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine.

    Attributes
    ----------
    epoch : int
        Group epoch that the engine was started for; 0 for a new engine.
    step : int
        Next step that the engine will run.
    granted : Window or None
        The last window that the engine was granted in this epoch.
    weights : frozenset of int
        Map versions whose weights are in place.
    compute_ms : float
        Smoothed compute time per step, without the time spent waiting for other ranks.
    """

    epoch: int = 0
    step: int = 0
    granted: Window | None = None
    weights: frozenset[int] = frozenset()
    compute_ms: float = 0.0

    @property
    def granted_end(self) -> int:
        """Return the first step that is not granted."""
        return 0 if self.granted is None else self.granted.end


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine; it answers each with its `EngineState`.

    Attributes
    ----------
    term : int
        The fencing number; 0 only reads the state, whatever term the engine has seen.
    epoch : int
        The group epoch that the order belongs to.
    begin : bool
        Whether an engine of an earlier epoch starts this epoch at step 0.
    window : Window or None
        A window to grant; None only raises the fencing number and reads the state.
    """

    term: int
    epoch: int
    begin: bool = False
    window: Window | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Leader to rank: promise this term and report the state; also the heartbeat."""

    term: int
    epoch: int
    number: int
    begin: bool
    wanted_map: int


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """Answer to `Ask`: the rank's state; ``number`` is that of the `Ask`."""

    rank: int
    incarnation: str
    term: int
    number: int
    engine: EngineState
    accepted: Proposal | None


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Leader to one incarnation of a rank: accept this window or refuse it."""

    term: int
    epoch: int
    incarnation: str
    window: Window


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to `Propose`."""

    rank: int
    incarnation: str
    term: int
    window: Window


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Leader to one incarnation of a rank: all ranks accepted the window, grant it."""

    term: int
    epoch: int
    incarnation: str
    window: Window


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Answer to `Commit`: the engine holds the window."""

    rank: int
    incarnation: str
    term: int
    window: Window


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of any request, with the reason and the rank's term and incarnation.

    Attributes
    ----------
    asked_term : int
        The term of the refused message.
    """

    rank: int
    incarnation: str
    term: int
    asked_term: int
    code: Code


Request: t.TypeAlias = Ask | Propose | Commit
Answer: t.TypeAlias = Told | Accepted | Committed | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect of a rank: send an answer to the leader."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Effect of a rank: send its engine an order and pass back the answer."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWeights:
    """Effect of a rank: have its engine fetch a map's weights."""

    map_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Starved:
    """Effect of a rank: its engine has run all granted steps and is blocked."""

    step: int
    code: Code = Code.NO_GRANT


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Effect of a leader: send a request to a rank."""

    rank: int
    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class TakeTerm:
    """Effect of a leader: this term can't continue, campaign for a new one.

    Attributes
    ----------
    new_epoch : bool
        Whether the group starts a new epoch, as after the loss of a host.
    """

    new_epoch: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Effect of a leader: a rank has promised a higher term."""

    term: int


RankEffect: t.TypeAlias = Reply | SendOrder | LoadWeights | Starved
LeaderEffect: t.TypeAlias = Send | TakeTerm | StepDown
