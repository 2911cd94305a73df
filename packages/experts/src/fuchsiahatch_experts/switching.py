"""Switching all ranks of a group to another expert map, as a pure state machine.

The leader of a rank group feeds it the ranks' reports and answers to orders, and sends
the orders that it asks for. Ranks don't compare maps, so it must never happen that a
pass begins while some ranks are armed with a map and others are not:

1. `prepare` at each rank; the rank copies the experts that are new to it.
2. `hold` a coming pass at the standby's rank, until its report shows the hold.
3. `arm` each rank for that pass, until each report shows it; the leader's own last,
   once the standby has agreed to the `commit`.
4. `go`: the pass begins, and all ranks switch with it.

Whoever gives up after 3 has begun first makes every `arm` void, also one whose answer
was lost and that is carried out seconds later: a rank that has prepared a newer version
refuses to arm an older one. The rank that is armed last is made void first.

So the last rank is armed only while all others are, and not before the standby knows. A
leader whose host stands still takes its rank with it, engine and all. While any other
rank isn't armed, or the standby vouches that it agreed to nothing, that rank isn't
armed either, and the group goes on without a word of it. Nobody could say so with the
hold on the leader's own host, and groups stood still for the four seconds that it did.
"""

import enum
import itertools
import typing as t

from fuchsiahatch_experts.rank_orders import (
    Armed,
    Order,
    OrderKind,
    OrderResult,
    Placement,
    RankReport,
)
from fuchsiahatch_experts.sent_orders import SentOrders
from fuchsiahatch_experts.switch_versions import (
    VERSIONS_PER_TERM,
    is_last_unarmed,
    last_rank,
    make_version,
    newest_version,
    standby_rank,
)

#: Passes between the one last begun and the one that is held. With one, the hold often
#: comes too late and is refused; with two, the arms are mostly out before it is due.
HOLD_AHEAD_PASSES = 2
#: Most passes in between, for a group whose ranks take long to arm.
MAX_HOLD_AHEAD_PASSES = 4
#: Passes that a new leader lets begin before its first hold. An earlier leader's `go`
#: may still be carried out late; it names a pass at most `MAX_HOLD_AHEAD_PASSES`
#: beyond the last one begun, so that it can't end a later hold too soon.
TAKEOVER_PASSES = MAX_HOLD_AHEAD_PASSES
#: Time that the copies may take; one of 1.7 GB takes 150 ms over the engines' links.
COPY_LIMIT_MS = 2_000
#: Time for which passes may be held back before a switch is given up. Callers of a
#: stream count a pause over 120 ms as late.
ARM_LIMIT_MS = 400
#: Age beyond which a rank's report counts for nothing.
REPORT_LIMIT_MS = 1_000
#: Silence of the last rank behind which a new leader goes on without its word, where
#: that is safe. Agents obey a new leader within some 10 ms.
ABSENCE_MS = 60


class Phase(enum.Enum):
    """Where a switch is."""

    SETTLING = "settling"
    IDLE = "idle"
    COPYING = "copying"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    CLEARING = "clearing"


class Switch:
    """The switches of one group under one term.

    Parameters
    ----------
    term : int
        The leader's term; versions of a later term are always higher.
    own_rank, ranks : int
    may_start : bool, optional
        Whether it may begin switches, or only ends what others began.

    Attributes
    ----------
    phase : Phase
    epoch : int
    experts : int
        Experts of a layer; 0 while it isn't known.
    switched, abandoned : int
        Switches that came to their end, and that were given up.
    replaced : bool
        Whether an agent obeys a later leader: nothing is ordered any more.
    known_map : callable
        Returns the map of a version as the leader's own agent knows it, or None.
    """

    __slots__ = (
        "_absent",
        "_arm_until_ms",
        "_armed_version",
        "_clear_version",
        "_committed",
        "_copy_until_ms",
        "_first_step",
        "_held_step",
        "_hold_ahead",
        "_may_start",
        "_next_number",
        "_own_rank",
        "_ranks",
        "_reports",
        "_seen_ms",
        "_sent",
        "_settling_ms",
        "_standby",
        "_step",
        "_target",
        "_version",
        "abandoned",
        "epoch",
        "experts",
        "known_map",
        "phase",
        "replaced",
        "switched",
        "term",
    )

    def __init__(
        self, term: int, own_rank: int, ranks: int, may_start: bool = True
    ) -> None:
        self.term = term
        self._own_rank = own_rank
        self._standby = (own_rank + 1) % ranks
        self._ranks = ranks
        self._may_start = may_start
        self._settling_ms: int | None = None
        self._reports: dict[int, RankReport] = {}
        self._seen_ms: dict[int, int] = {}
        self._next_number = 1
        self._held_step = 0
        self._hold_ahead = HOLD_AHEAD_PASSES
        self.epoch = -1
        self.experts = 0
        self.known_map: t.Callable[[int], Placement | None] = lambda version: None
        self.replaced = False
        self.switched = 0
        self.abandoned = 0
        self._reset()

    def observe(self, report: RankReport, now_ms: int) -> None:
        """Take in a rank's report, and go on as far as it allows."""
        # What such an agent says of its rank is the later leader's doing. Counted as
        # our own, it would complete the ranks behind which the last one is armed.
        self.replaced = self.replaced or report.term > self.term
        if report.epoch < self.epoch or self.replaced:
            return
        if report.epoch > self.epoch:
            self.epoch = report.epoch
            self._reports.clear()
            self._seen_ms.clear()
            self._reset()
        self._reports[report.rank] = report
        self._seen_ms[report.rank] = now_ms
        if report.rank == self._absent and report.term >= self.term:
            self._absent = None
        self._advance(now_ms)

    def answered(self, order: Order, result: OrderResult, now_ms: int) -> None:
        """Take in a rank's answer to an order."""
        if order.epoch != self.epoch:
            return
        self._sent.note_answer(order, result)
        if result is OrderResult.BEGUN and order.kind is OrderKind.COMMIT:
            self._committed = order.version
        elif result is OrderResult.REFUSED:
            self._refused(order, now_ms)
        self._advance(now_ms)

    @property
    def placement(self) -> Placement | None:
        """The map in force by the ranks' own word; None while it isn't known."""
        reports = [self._reports.get(rank) for rank in range(self._ranks)]
        held = [report.experts for report in reports if report is not None]
        if len(held) < self._ranks or None in held or self._common_map() is None:
            return None
        return tuple(zip(*held, strict=True))

    @property
    def map_version(self) -> int | None:
        """Version of the map in force; None while it isn't known."""
        return self._common_map() if len(self._reports) == self._ranks else None

    @property
    def ready(self) -> bool:
        """Whether a new switch may begin."""
        own = self._reports.get(self._own_rank)
        return (
            self.phase is Phase.IDLE
            and not self.replaced
            and self._may_start
            and not self.exhausted
            and self.placement is not None
            and own is not None
            and own.open
            and own.step >= self._first_step + TAKEOVER_PASSES
        )

    @property
    def exhausted(self) -> bool:
        """Whether the term has no version left for another switch."""
        return self._next_number + 1 >= VERSIONS_PER_TERM

    def start(
        self,
        placement: Placement,
        now_ms: int,
        hold_ahead: int = HOLD_AHEAD_PASSES,
        standby: int | None = None,
    ) -> bool:
        """Begin to switch to another map; return whether it was begun.

        Parameters
        ----------
        placement : Placement
        now_ms : int
        hold_ahead : int, optional
            Passes between the one last begun and the one that is held,
            `MAX_HOLD_AHEAD_PASSES` at most.
        standby : int, optional
            Rank that holds passes; the one behind the leader's own by default.
        """
        if not self.ready or not self._is_current(now_ms):
            return False
        self._target = placement
        self._hold_ahead = hold_ahead
        if standby is None:
            standby = (self._own_rank + 1) % self._ranks
        self._standby = standby
        self._committed = 0
        self._version = self._new_version(self._own_rank, standby)
        self._copy_until_ms = now_ms + COPY_LIMIT_MS
        self.phase = Phase.COPYING
        return True

    def orders(self, now_ms: int, most: int | None = None) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        now_ms : int
        most : int, optional
            How many may be sent; the others stay due.
        """
        self._advance(now_ms)
        if self.replaced:
            return []
        wanted = (order for order in self._wanted() if self._sent.is_due(order, now_ms))
        due = list(itertools.islice(wanted, most))
        for order in due:
            self._sent.note_sent(order, now_ms)
        return due

    def _reset(self) -> None:
        self.phase = Phase.SETTLING
        self._target: Placement | None = None
        self._version = 0
        self._committed = 0
        self._armed_version = 0
        self._clear_version = 0
        self._step = 0
        self._first_step = -1
        self._absent: int | None = None
        self._settling_ms = None
        self._copy_until_ms = 0
        self._arm_until_ms = 0
        self._sent = SentOrders()

    def _advance(self, now_ms: int) -> None:
        if self._settling_ms is None:
            self._settling_ms = now_ms
        if len(self._present()) + (self.phase in _PHASES_WITHOUT_ONE) < self._ranks:
            return
        before = None
        while before is not self.phase:
            before = self.phase
            getattr(self, _STEPS[self.phase])(now_ms)

    # Each of these looks at the reports and moves on to another phase, or stays.

    def _settle(self, now_ms: int) -> None:
        reports = self._settled(now_ms)
        if len(reports) < self._ranks:
            self._settle_without_one(reports, now_ms)
            return
        armed = {report.armed for report in reports}
        held = [report.held for report in reports if report.held is not None]
        if armed == {None} and not held:
            self._end_settling()
        elif len(armed) == 1 and None not in armed:
            # An earlier leader armed all ranks alike: only the release is left.
            self._armed_version = reports[0].armed.version
            self.phase = Phase.RELEASING
        else:
            self._clear(max(map(newest_version, reports)))

    def _settled(self, now_ms: int) -> list[RankReport]:
        """Return the reports of ranks that take no order of an earlier leader."""
        return [
            report
            for rank, report in self._reports.items()
            if report.term >= self.term
            and report.open
            and now_ms - self._seen_ms[rank] <= REPORT_LIMIT_MS
        ]

    def _settle_without_one(self, reports: list[RankReport], now_ms: int) -> None:
        """Clear a switch whose last rank says nothing and can't have been armed."""
        if len(reports) < self._ranks - 1 or self._settling_ms is None:
            return
        if now_ms - self._settling_ms < ABSENCE_MS:
            return
        if all(report.held is None for report in reports):
            return
        missing = set(range(self._ranks)) - {report.rank for report in reports}
        (absent,) = missing
        newest = max(map(newest_version, reports))
        if newest and last_rank(newest) == absent and is_last_unarmed(reports, newest):
            self._absent = absent
            self._reports.pop(absent, None)
            self._seen_ms.pop(absent, None)
            self._clear(newest)

    def _end_settling(self) -> None:
        self._first_step = max(report.step for report in self._reports.values())
        self.phase = Phase.IDLE

    def _idle(self, now_ms: int) -> None:
        return

    def _copy(self, now_ms: int) -> None:
        reports = self._reports.values()
        if all(report.prepared == self._version for report in reports):
            self._choose_step()
        elif now_ms > self._copy_until_ms:
            self._abandon()

    def _hold(self, now_ms: int) -> None:
        if self._reports[self._standby].held == self._step:
            self._arm_until_ms = now_ms + ARM_LIMIT_MS
            self.phase = Phase.ARMING
        elif self._last_step() >= self._step:
            self._choose_step()
        elif now_ms > self._copy_until_ms:
            self._abandon()

    def _arm(self, now_ms: int) -> None:
        goal = Armed(self._version, self._step)
        if all(report.armed == goal for report in self._reports.values()):
            self._armed_version = self._version
            self.phase = Phase.RELEASING
        elif now_ms > self._arm_until_ms:
            self._clear(self._version)

    def _release(self, now_ms: int) -> None:
        reports = self._reports.values()
        if any(report.held is not None or report.armed for report in reports):
            return
        if self._common_map() == self._armed_version:
            self.switched += 1
        else:
            self.abandoned += 1
        self._target = None
        self._sent.forget()
        if self._first_step < 0:
            self._end_settling()
        self.phase = Phase.IDLE

    def _clear_arms(self, now_ms: int) -> None:
        reports = self._present()
        if any(report.armed for report in reports):
            return
        if any(report.prepared != self._clear_version for report in reports):
            return
        if any(report.held is not None for report in reports):
            return
        self._abandon()
        if self._first_step < 0:
            self._end_settling()

    # What the phases share.

    def _choose_step(self) -> None:
        # A `go` for a pass that was held before may still be carried out late; on an
        # idle group, which begins no passes, it would end a second hold of the same
        # pass too soon.
        self._step = max(self._last_step() + self._hold_ahead, self._held_step + 1)
        self._held_step = self._step
        self.phase = Phase.HOLDING

    def _abandon(self) -> None:
        self.abandoned += 1
        self._target = None
        self._sent.forget()
        self.phase = Phase.IDLE

    def _clear(self, version: int) -> None:
        """Begin to make the arms of a version void."""
        if not version:
            last, standby = self._own_rank, self._standby
        else:
            last, standby = last_rank(version), standby_rank(version)
        self._clear_version = self._new_version(last, standby)
        self.phase = Phase.CLEARING

    def _present(self) -> list[RankReport]:
        """Return the reports of all ranks but the one that is gone on without."""
        return [
            report for rank, report in self._reports.items() if rank != self._absent
        ]

    def _last_step(self) -> int:
        """Return the last pass begun that any rank has spoken of."""
        return max(report.step for report in self._reports.values())

    def _refused(self, order: Order, now_ms: int) -> None:
        if order.kind is OrderKind.HOLD and self.phase is Phase.HOLDING:
            if order.step == self._step:
                self._choose_step()
        elif order.kind is OrderKind.ARM and self.phase is Phase.ARMING:
            report = self._reports.get(order.rank)
            if report is not None and report.armed != Armed(order.version, order.step):
                self._clear(self._version)
        elif order.kind is OrderKind.COMMIT and self.phase is Phase.ARMING:
            self._clear(self._version)
        elif order.kind is OrderKind.PREPARE and self.phase is Phase.COPYING:
            # One whose first answer was lost may be refused because it is under way.
            if order.version == self._version and not self._sent.is_unsure(order):
                self._abandon()
            self._sent.note_sent(order, now_ms)

    def _wanted(self) -> t.Iterator[Order]:
        reports = self._present()
        if len(reports) + (self._absent is not None) < self._ranks:
            return
        for report in reports:
            order = self._order_for(report.rank, report)
            if order is not None:
                yield order

    def _order_for(self, rank: int, report: RankReport) -> Order | None:
        epoch, phase = self.epoch, self.phase
        if phase is Phase.COPYING and report.prepared != self._version:
            return Order(
                rank,
                OrderKind.PREPARE,
                epoch,
                version=self._version,
                placement=self._target,
            )
        if phase is Phase.HOLDING and rank == self._standby:
            return Order(rank, OrderKind.HOLD, epoch, step=self._step)
        if phase is Phase.ARMING:
            return self._arming_order(rank, report)
        if phase is Phase.CLEARING:
            return self._clearing_order(rank, report)
        if phase in _FREE_PHASES and report.held is not None:
            return Order(rank, OrderKind.GO, epoch, step=report.held)
        return None

    def _arming_order(self, rank: int, report: RankReport) -> Order | None:
        version, committed = self._version, self._committed == self._version
        if rank == self._standby and self._others_armed() and not committed:
            return Order(rank, OrderKind.COMMIT, self.epoch, version=version)
        if report.armed is not None or (rank == self._own_rank and not committed):
            return None
        return Order(rank, OrderKind.ARM, self.epoch, version=version, step=self._step)

    def _clearing_order(self, rank: int, report: RankReport) -> Order | None:
        epoch, version = self.epoch, self._clear_version
        if rank != last_rank(version) and not self._last_is_void():
            return None
        if report.armed is not None:
            return Order(rank, OrderKind.DISARM, epoch, version=report.armed.version)
        if report.prepared != version:
            placement = self._current_placement()
            if placement is None:
                return None
            return Order(
                rank, OrderKind.PREPARE, epoch, version=version, placement=placement
            )
        # Only now is no `arm` left that could take effect once the pass may begin.
        if all(map(self._is_void, self._present())) and report.held is not None:
            return Order(rank, OrderKind.GO, epoch, step=report.held)
        return None

    def _others_armed(self) -> bool:
        goal = Armed(self._version, self._step)
        return all(
            report.armed == goal
            for rank, report in self._reports.items()
            if rank != self._own_rank
        )

    def _is_void(self, report: RankReport) -> bool:
        """Whether no arm that was ever sent to a rank can take effect any more."""
        return report.armed is None and report.prepared == self._clear_version

    def _last_is_void(self) -> bool:
        last = last_rank(self._clear_version)
        return last == self._absent or self._is_void(self._reports[last])

    @property
    def map_in_force(self) -> tuple[int, Placement] | None:
        """Version and map in force, if all agents know that version as this one.

        Without a rank's word it is the map that the leader's own agent was told of.
        """
        version = self._common_map()
        if version is None:
            return None
        if len(self._reports) == self._ranks:
            placement = self.placement
        else:
            placement = self.known_map(version)
        return None if placement is None else (version, placement)

    def _current_placement(self) -> Placement | None:
        """Return the map in force; an absent rank's part is what nobody else holds.

        Only where this leader's agent doesn't know the map. Told as one that differs
        from what all others know it was 2.2 KB to each of 62 agents, again and again:
        the link of 4 Mbit/s was full, and groups were held for 15 s.
        """
        if self._absent is None:
            return self.placement
        in_force = self.map_in_force
        if in_force is not None:
            return in_force[1]
        held = {report.rank: report.experts for report in self._present()}
        if None in held.values() or not self.experts:
            return None
        layers = zip(*(held[rank] for rank in sorted(held)), strict=True)
        held[self._absent] = tuple(
            tuple(sorted(set(range(self.experts)).difference(*layer)))
            for layer in layers
        )
        return tuple(zip(*(held[rank] for rank in range(self._ranks)), strict=True))

    def _is_current(self, now_ms: int) -> bool:
        return len(self._seen_ms) >= self._ranks and all(
            now_ms - seen_ms <= REPORT_LIMIT_MS for seen_ms in self._seen_ms.values()
        )

    def _common_map(self) -> int | None:
        versions = {report.map_version for report in self._reports.values()}
        return versions.pop() if len(versions) == 1 else None

    def _new_version(self, last: int, standby: int) -> int:
        number = self._next_number
        self._next_number += 1
        return make_version(self.term, number, standby, last)


#: Phases in which one rank may be gone on without.
_PHASES_WITHOUT_ONE = (Phase.SETTLING, Phase.CLEARING, Phase.IDLE)
#: Phases in which no arm is out, so that a hold that shows may end at once.
_FREE_PHASES = (Phase.IDLE, Phase.COPYING, Phase.RELEASING)

#: The method that looks at the reports in each phase.
_STEPS = {
    Phase.SETTLING: "_settle",
    Phase.IDLE: "_idle",
    Phase.COPYING: "_copy",
    Phase.HOLDING: "_hold",
    Phase.ARMING: "_arm",
    Phase.RELEASING: "_release",
    Phase.CLEARING: "_clear_arms",
}
