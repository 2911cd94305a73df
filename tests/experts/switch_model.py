"""A seeded model of one rank group, its agents and its leaders, for searches."""

import dataclasses
import random
import typing as t

from fuchsiahatch_experts.switching import (
    Armed,
    Order,
    OrderKind,
    OrderResult,
    Phase,
    RankReport,
    Switch,
)

RANKS = 3
#: Time that one turn of the model takes.
TURN_MS = 5
COPY_MS = 60
LEASE_MS = 600


@dataclasses.dataclass(slots=True)
class Rank:
    """One rank's upstream, as the platform's pages describe it."""

    map_version: int = 0
    prepared: int = 0
    highest: int = 0
    copying: int = 0
    copied_ms: int = 0
    armed: Armed | None = None
    held: int | None = None
    term: int = 0


@dataclasses.dataclass(slots=True)
class Leader:
    """One life of a leader."""

    switch: Switch
    rank: int
    until_ms: int
    frozen: bool = False
    sequences: dict[int, int] = dataclasses.field(default_factory=dict)


class MixedMaps(AssertionError):
    """A pass began while two ranks had different maps."""


class Model:
    """A group under a random schedule; raises `MixedMaps` where a guard fails.

    Parameters
    ----------
    seed : int
    make_switch : callable
        Makes a leader's switch of its term, its rank and the number of ranks.
    """

    def __init__(
        self, seed: int, make_switch: t.Callable[[int, int, int], Switch] = Switch
    ) -> None:
        self.rng = random.Random(seed)
        self.make_switch = make_switch
        self.now_ms = 0
        self.step = 0
        self.epoch = 1
        self.term = 0
        self.sequence = 0
        self.ranks = [Rank() for _ in range(RANKS)]
        self.leaders: list[Leader] = []
        self.later: list[tuple[int, int, t.Callable[[], None]]] = []
        self.busy = True
        self.pauses = 0.01
        self.switched = 0
        self.trouble = self.rng.choice((0.0, 0.05, 0.3))
        self.deaths = self.rng.choice((0.0, 0.002, 0.02))

    def run(self, turns: int) -> None:
        """Play some turns."""
        for _ in range(turns):
            self.now_ms += TURN_MS
            self._deliver()
            self._change_world()
            self._end_copies()
            self._begin_pass()
            self._report()
            for leader in self.leaders:
                self._lead(leader)

    def settle(self, turns: int) -> None:
        """Play some turns without any trouble."""
        self.trouble = self.deaths = self.pauses = 0.0
        self.busy = True
        for leader in self.leaders:
            leader.frozen = False
        self.run(turns)

    def _after(self, delay_ms: int, act: t.Callable[[], None]) -> None:
        self.sequence += 1
        self.later.append((self.now_ms + delay_ms, self.sequence, act))

    def _deliver(self) -> None:
        due = sorted(one for one in self.later if one[0] <= self.now_ms)
        self.later = [one for one in self.later if one[0] > self.now_ms]
        for _, _, act in due:
            act()

    def _change_world(self) -> None:
        rng = self.rng
        if not self.leaders or self.now_ms > self.leaders[-1].until_ms:
            self._elect()
        if rng.random() < self.deaths:
            fate = rng.random()
            leader = self.leaders[-1]
            if fate < 0.4:
                leader.until_ms = self.now_ms + rng.randrange(LEASE_MS)
                leader.frozen = True
            elif fate < 0.7:
                self.leaders.remove(leader)
                self._elect()
            elif fate < 0.85:
                self._form_anew()
            else:
                leader.frozen = not leader.frozen
        if rng.random() < self.pauses:
            self.busy = not self.busy
        if rng.random() < 0.02:
            for leader in self.leaders:
                leader.frozen = False

    def _elect(self) -> None:
        self.term += 1
        rank = self.rng.randrange(RANKS)
        switch = self.make_switch(self.term, rank, RANKS)
        self.leaders = self.leaders[-1:]
        self.leaders.append(Leader(switch, rank, self.now_ms + 3_600_000))

    def _form_anew(self) -> None:
        self.epoch += 1
        self.ranks = [Rank(term=rank.term) for rank in self.ranks]

    def _end_copies(self) -> None:
        for rank in self.ranks:
            if rank.copying and self.now_ms >= rank.copied_ms:
                rank.prepared, rank.copying = rank.copying, 0

    def _begin_pass(self) -> None:
        if not self.busy or self.rng.random() < 0.9:
            return
        if any(rank.held == self.step + 1 for rank in self.ranks):
            return
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == self.step:
                rank.map_version, rank.armed = rank.armed.version, None
        if len({rank.map_version for rank in self.ranks}) > 1:
            raise MixedMaps(f"step {self.step}: {self.ranks}")

    def _report(self) -> None:
        for number in range(RANKS):
            if self.rng.random() < 0.3:
                self._send_state(number)

    def _send_state(self, number: int) -> None:
        rank = self.ranks[number]
        self.sequence += 1
        sequence = self.sequence
        if self.rng.random() < 0.2:
            rank.term = max(rank.term, self.term)
        report = RankReport(
            number,
            self.epoch,
            rank.term,
            True,
            self.step,
            rank.map_version,
            rank.prepared,
            rank.armed,
            rank.held,
            ((number,),),
        )
        if self.rng.random() < self.trouble:
            return
        delay_ms = self.rng.choice((0, 0, 5, 20)) if self.trouble else 0
        for leader in self.leaders:
            self._after(
                delay_ms, lambda leader=leader: self._hear(leader, report, sequence)
            )

    def _hear(self, leader: Leader, report: RankReport, sequence: int) -> None:
        if leader.frozen or sequence <= leader.sequences.get(report.rank, 0):
            return
        leader.sequences[report.rank] = sequence
        leader.switch.observe(report, self.now_ms)

    def _lead(self, leader: Leader) -> None:
        if leader.frozen:
            return
        if leader.switch.ready:
            leader.switch.start((((0,), (1,), (2,)),), self.now_ms)
        for order in leader.switch.orders(self.now_ms):
            term = leader.switch.term
            self._after(
                5, lambda order=order, term=term: self._ask(leader, term, order)
            )
        self.switched = max(self.switched, leader.switch.switched)

    def _ask(self, leader: Leader, term: int, order: Order) -> None:
        rank = self.ranks[order.rank]
        if self.rng.random() < self.trouble or term < rank.term:
            self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))
            return
        rank.term = term
        if self.rng.random() < self.trouble:
            late_ms = self.rng.choice((0, 10, 50, 200, 2_000, 5_000, 12_000))
            self._after(late_ms, lambda: self._carry_out(order))
            self._after(100, lambda: self._tell(leader, order, OrderResult.UNKNOWN))
            return
        self._tell(leader, order, self._carry_out(order))
        self._send_state(order.rank)

    def _tell(self, leader: Leader, order: Order, result: OrderResult) -> None:
        if not leader.frozen:
            leader.switch.answered(order, result, self.now_ms)

    def _carry_out(self, order: Order) -> OrderResult:
        rank = self.ranks[order.rank]
        if order.epoch != self.epoch:
            return OrderResult.REFUSED
        fits = _FITS[order.kind](rank, order, self.step)
        if not fits:
            return OrderResult.REFUSED
        _EFFECTS[order.kind](rank, order, self.now_ms)
        return OrderResult.BEGUN

    @property
    def held(self) -> bool:
        """Whether any rank holds the group back."""
        return any(rank.held is not None for rank in self.ranks)

    @property
    def calm(self) -> bool:
        """Whether the newest leader is idle."""
        return self.leaders[-1].switch.phase is Phase.IDLE


def _fits_prepare(rank: Rank, order: Order, step: int) -> bool:
    if order.version in (rank.prepared, rank.copying):
        return True
    return order.version > rank.highest and rank.armed is None


def _fits_arm(rank: Rank, order: Order, step: int) -> bool:
    return rank.prepared == order.version and order.step > step


def _fits_disarm(rank: Rank, order: Order, step: int) -> bool:
    return rank.map_version != order.version


def _fits_hold(rank: Rank, order: Order, step: int) -> bool:
    return order.step > step and rank.held in (None, order.step)


def _fits_go(rank: Rank, order: Order, step: int) -> bool:
    return rank.held == order.step


def _prepare(rank: Rank, order: Order, now_ms: int) -> None:
    if order.version in (rank.prepared, rank.copying):
        return
    rank.highest = order.version
    rank.prepared = 0
    rank.copying = order.version
    rank.copied_ms = now_ms + COPY_MS


def _arm(rank: Rank, order: Order, now_ms: int) -> None:
    rank.armed = Armed(order.version, order.step)


def _disarm(rank: Rank, order: Order, now_ms: int) -> None:
    if rank.armed is not None and rank.armed.version == order.version:
        rank.armed = None


def _hold(rank: Rank, order: Order, now_ms: int) -> None:
    rank.held = order.step


def _go(rank: Rank, order: Order, now_ms: int) -> None:
    rank.held = None


_FITS = {
    OrderKind.PREPARE: _fits_prepare,
    OrderKind.ARM: _fits_arm,
    OrderKind.DISARM: _fits_disarm,
    OrderKind.HOLD: _fits_hold,
    OrderKind.GO: _fits_go,
}
_EFFECTS = {
    OrderKind.PREPARE: _prepare,
    OrderKind.ARM: _arm,
    OrderKind.DISARM: _disarm,
    OrderKind.HOLD: _hold,
    OrderKind.GO: _go,
}
