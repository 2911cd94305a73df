"""A home's ledger: the state of each key, so that none runs twice here."""

import collections
import dataclasses
import itertools
import typing as t

from automat import TypeMachineBuilder

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import (
    LEDGER_BYTES,
    RETENTION_MS,
    RETRY_AFTER_MS,
    TEAM_LEDGER_BYTES,
)
from fuchsiahatch_core.exceptions import AttemptError, RefusedError, RequestError
from fuchsiahatch_core.identities import AttemptId
from fuchsiahatch_delivery.keys import LedgerKey
from fuchsiahatch_delivery.verdicts import Verdict

#: Memory charged for a row beside its answer; resident memory grows by 2,273 bytes
#: for a key with a short answer.
_ROW_BYTES = 2_048
_MAX_FENCED_ATTEMPTS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A finished answer, kept for retries.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
    pieces : tuple of bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    pieces: tuple[bytes, ...]

    @property
    def size_bytes(self) -> int:
        """Memory that the answer takes, near enough."""
        named = sum(len(name) + len(value) for name, value in self.headers)
        return named + sum(map(len, self.pieces))


@dataclasses.dataclass(frozen=True, slots=True)
class RunOrder:
    """An entry's order to run a key.

    Attributes
    ----------
    key : LedgerKey
    attempt : AttemptId
    fingerprint : bytes
    issued_ms : int
        Reading of this home's clock that the entry's ticket holds.
    """

    key: LedgerKey
    attempt: AttemptId
    fingerprint: bytes
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The key is new here: queue it, then ask `Ledger.dispatch`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """The key is queued or running: forward the answer as it arrives."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The key is done: return the kept answer."""

    answer: KeptAnswer


Step = Start | Follow | Replay


class KeyLifecycle(t.Protocol):
    """State machine of a key."""

    def dispatch(self) -> bool:
        """Give the key to the upstream, unless it is fenced or was given before."""

    def finish(self) -> None:
        """Note the whole answer."""

    def lose(self) -> None:
        """Note that there is no whole answer."""

    def withdraw(self) -> bool:
        """Take it back, unless its end is known."""

    def fence(self) -> bool:
        """Forbid the upstream, unless it has been given the key."""

    def verdict(self) -> Verdict:
        """Return what became of the key."""


class _NoState:
    """Data of the state machine; it has none, as the row keeps it."""


def _build_lifecycle() -> t.Callable[[_NoState], KeyLifecycle]:
    builder = TypeMachineBuilder(KeyLifecycle, _NoState)
    queued = builder.state("queued")
    dispatched = builder.state("dispatched")
    withdrawn = builder.state("withdrawn")
    done = builder.state("done")
    lost = builder.state("lost")
    fenced = builder.state("fenced")
    queued.upon(KeyLifecycle.dispatch).to(dispatched).returns(True)
    queued.upon(KeyLifecycle.fence).to(fenced).returns(True)
    fenced.upon(KeyLifecycle.fence).loop().returns(True)
    dispatched.upon(KeyLifecycle.finish).to(done).returns(None)
    dispatched.upon(KeyLifecycle.lose).to(lost).returns(None)
    dispatched.upon(KeyLifecycle.withdraw).to(withdrawn).returns(True)
    for state in (dispatched, done, lost, fenced):
        state.upon(KeyLifecycle.dispatch).loop().returns(False)
    for state in (queued, done, lost, fenced):
        state.upon(KeyLifecycle.withdraw).loop().returns(False)
    for state in (dispatched, done, lost):
        state.upon(KeyLifecycle.fence).loop().returns(False)
    verdicts = (
        (queued, Verdict.NOT_RUN),
        (dispatched, Verdict.RUNNING),
        (done, Verdict.DONE),
        (lost, Verdict.UNKNOWN),
        (fenced, Verdict.NOT_RUN),
    )
    for state, verdict in verdicts:
        state.upon(KeyLifecycle.verdict).loop().returns(verdict)
    return builder.build()


_new_lifecycle = _build_lifecycle()


@dataclasses.dataclass(slots=True)
class _Row:
    lifecycle: KeyLifecycle
    fingerprint: bytes
    attempt: AttemptId | None
    settled_ms: int | None = None
    fenced: bool = False
    answer: KeptAnswer | None = None

    @property
    def size_bytes(self) -> int:
        return _ROW_BYTES + (self.answer.size_bytes if self.answer else 0)


class Ledger:
    """Keeps keys and fenced attempts for one incarnation of a home.

    Parameters
    ----------
    incarnation : str
        The incarnation of the home.
    team_bytes, total_bytes : int, optional
        Memory for one team's keys and answers, and for those of all teams.
    retention_ms : int, optional
        How long a key that is neither queued nor running is kept.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_fenced_attempts",
        "_free_bytes",
        "_incarnation",
        "_retention_ms",
        "_rows",
        "_settled",
        "_team_bytes",
        "_used_bytes",
    )

    def __init__(
        self,
        incarnation: str,
        team_bytes: int = TEAM_LEDGER_BYTES,
        total_bytes: int = LEDGER_BYTES,
        retention_ms: int = RETENTION_MS,
    ) -> None:
        self._incarnation = incarnation
        self._team_bytes = team_bytes
        self._free_bytes = total_bytes
        self._retention_ms = retention_ms
        self._rows: dict[LedgerKey, _Row] = {}
        self._settled: collections.deque[tuple[int, LedgerKey]] = collections.deque()
        self._fenced_attempts: dict[AttemptId, int] = {}
        self._used_bytes: collections.Counter[str] = collections.Counter()

    def check_home(self, incarnation: str) -> None:
        """Check that a request is meant for this incarnation of the home.

        Raises
        ------
        RefusedError
            When it is meant for another.
        """
        # A restarted home has lost its ledger: a retry would look new to it, and a
        # fence that it sets would not cover what ran before the restart.
        if incarnation != self._incarnation:
            detail = "this home was restarted since the key was bound to it"
            raise RefusedError(detail, Code.WRONG_HOME, 0)

    def begin(self, order: RunOrder, now_ms: int) -> Step:
        """Take an order to run a key.

        Raises
        ------
        RequestError
            When the key began with another request.
        RefusedError
            When the key or the attempt is fenced, or there is no memory for it.
        AttemptError
            When the key ran and its answer is not to be had, or it may have been
            forgotten.
        """
        self._expire(now_ms)
        if order.attempt in self._fenced_attempts:
            # A delayed order arrives after its attempt was reported as NOT_RUN;
            # running it now would contradict that verdict.
            raise RefusedError("this attempt was resolved as not run", Code.NOT_RUN, 0)
        row = self._rows.get(order.key)
        if row is not None:
            return self._step(row, order.fingerprint)
        if now_ms - order.issued_ms >= self._retention_ms:
            # A retry that is delayed for longer than keys are kept finds no row and
            # looks new; running it could be the second run. The ticket is older than
            # any row of the key, so a row can have expired only if the ticket has.
            detail = "the ticket is older than this home remembers keys"
            raise AttemptError(detail, Code.TICKET_EXPIRED)
        self._reserve(order.key.team)
        lifecycle = _new_lifecycle(_NoState())
        self._rows[order.key] = _Row(lifecycle, order.fingerprint, order.attempt)
        return Start()

    def dispatch(self, key: LedgerKey, attempt: AttemptId) -> bool:
        """Ask, as the last step before the upstream, whether an attempt may run."""
        row = self._rows.get(key)
        # A key that was resolved while queued may be queued anew by a later attempt:
        # the earlier one, said not to have run, must not run on the later one's row.
        return row is not None and row.attempt == attempt and row.lifecycle.dispatch()

    def release(self, key: LedgerKey, attempt: AttemptId) -> None:
        """Forget a key that was refused before it was dispatched."""
        row = self._rows.get(key)
        if row is not None and row.attempt == attempt and not row.fenced:
            self._drop(key)

    def withdraw(self, key: LedgerKey, attempt: AttemptId) -> None:
        """Forget a key whose order surely never reached the upstream."""
        row = self._rows.get(key)
        if row is not None and row.attempt == attempt and row.lifecycle.withdraw():
            self._drop(key)

    def finish(self, key: LedgerKey, answer: KeptAnswer, now_ms: int) -> None:
        """Keep the whole answer of a key, if there is room for it."""
        row = self._rows[key]
        row.lifecycle.finish()
        self._settle(key, row, now_ms)
        team = key.team
        if self._has_room(team, answer.size_bytes):
            row.answer = answer
            self._take_room(team, answer.size_bytes)

    def lose(self, key: LedgerKey, now_ms: int) -> None:
        """Note that a dispatched key brought no whole answer."""
        row = self._rows[key]
        row.lifecycle.lose()
        self._settle(key, row, now_ms)

    def resolve(self, key: LedgerKey, attempt: AttemptId, now_ms: int) -> Verdict:
        """Return the verdict on an attempt, and fence it when it hasn't run.

        Returns
        -------
        Verdict
            NOT_RUN holds for ever: the attempt is refused when it comes later.
        """
        self._expire(now_ms)
        row = self._rows.get(key)
        if row is not None and not row.fenced and row.attempt != attempt:
            # Another attempt under the same key is queued or has run.
            verdict = row.lifecycle.verdict()
            return Verdict.RUNNING if verdict is Verdict.NOT_RUN else verdict
        if row is not None and row.lifecycle.verdict() is not Verdict.NOT_RUN:
            return row.lifecycle.verdict()
        if len(self._fenced_attempts) >= _MAX_FENCED_ATTEMPTS:
            return Verdict.UNKNOWN
        self._fenced_attempts[attempt] = now_ms
        if row is not None and not row.fenced:
            # This removes it from the queue, as `dispatch` then finds no row.
            self._drop(key)
        return Verdict.NOT_RUN

    def fence(self, key: LedgerKey, now_ms: int) -> Verdict:
        """Forbid a key in this incarnation of the home, unless it was dispatched.

        Returns
        -------
        Verdict
            NOT_RUN when it is fenced, else what became of it.
        """
        self._expire(now_ms)
        row = self._rows.get(key)
        if row is None:
            self._reserve(key.team)
            row = _Row(_new_lifecycle(_NoState()), b"", None)
            self._rows[key] = row
        if row.lifecycle.fence() and not row.fenced:
            row.fenced = True
            self._settle(key, row, now_ms)
        return row.lifecycle.verdict()

    def find(self, key: LedgerKey, fingerprint: bytes, now_ms: int) -> Step | None:
        """Look for a key without running it.

        Returns
        -------
        Follow, Replay or None
            None when no run of it is known here.

        Raises
        ------
        RequestError
            When the key began with another request.
        AttemptError
            When it ran and its answer is not to be had.
        """
        self._expire(now_ms)
        row = self._rows.get(key)
        if row is None or row.fenced:
            return None
        return self._step(row, fingerprint)

    def used_bytes(self, team: str) -> int:
        """Return the memory that a team's keys take."""
        return self._used_bytes[team]

    def _step(self, row: _Row, fingerprint: bytes) -> Step:
        if row.fenced:
            raise RefusedError("this key is fenced at this home", Code.FENCED, 0)
        if row.fingerprint != fingerprint:
            detail = "the key began with another request; use a new key for a new one"
            raise RequestError(detail, Code.KEY_REUSED)
        verdict = row.lifecycle.verdict()
        if verdict is Verdict.DONE and row.answer is not None:
            return Replay(row.answer)
        if verdict is Verdict.DONE:
            detail = "the request ran; its answer was too long to keep"
            raise AttemptError(detail, Code.ANSWER_NOT_KEPT)
        if verdict is Verdict.UNKNOWN:
            detail = "the request may have run; its upstream gave no whole answer"
            raise AttemptError(detail, Code.UNKNOWN)
        return Follow()

    def _reserve(self, team: str) -> None:
        if not self._has_room(team, _ROW_BYTES):
            # Evicting a key instead of refusing would let a retry of it run again.
            detail = f"this home remembers no more keys of team {team!r} for now"
            raise RefusedError(detail, Code.LEDGER_FULL, RETRY_AFTER_MS)
        self._take_room(team, _ROW_BYTES)

    def _has_room(self, team: str, size_bytes: int) -> bool:
        used_bytes = self._used_bytes[team] + size_bytes
        return used_bytes <= self._team_bytes and size_bytes <= self._free_bytes

    def _take_room(self, team: str, size_bytes: int) -> None:
        self._used_bytes[team] += size_bytes
        self._free_bytes -= size_bytes

    def _drop(self, key: LedgerKey) -> None:
        row = self._rows.pop(key)
        self._take_room(key.team, -row.size_bytes)
        if not self._used_bytes[key.team]:
            del self._used_bytes[key.team]

    def _settle(self, key: LedgerKey, row: _Row, now_ms: int) -> None:
        row.settled_ms = now_ms
        self._settled.append((now_ms, key))

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._retention_ms
        while self._settled and self._settled[0][0] <= oldest_ms:
            settled_ms, key = self._settled.popleft()
            row = self._rows.get(key)
            if row is not None and row.settled_ms == settled_ms:
                self._drop(key)
        fenced = itertools.takewhile(
            lambda item: item[1] <= oldest_ms, self._fenced_attempts.items()
        )
        for attempt, _ in list(fenced):
            del self._fenced_attempts[attempt]
