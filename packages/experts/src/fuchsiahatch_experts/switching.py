"""Switching all ranks of a group to another expert map, as a pure state machine.

The leader of a rank group passes in the ranks' reports and their answers to orders,
and sends the orders that the state machine returns. Ranks don't compare maps, so a pass
must never begin while some ranks are armed with a map and others are not:

1. `prepare` at each rank: the rank copies the experts that it doesn't hold yet.
2. `hold` an upcoming pass at the standby's rank, until its report shows the hold.
3. `arm` each rank for that pass, until each report shows it. The leader's rank is
   armed last, after the standby has accepted the `commit`.
4. `go`: the pass begins, and all ranks switch maps with it.

A leader that abandons a switch after step 3 has begun first invalidates every `arm`,
including one whose answer was lost and that is carried out seconds later: a rank that
has prepared a newer version refuses to arm an older one. The rank that is armed last is
invalidated first.

The last rank is therefore armed only while all other ranks are armed and after the
standby has accepted the commit. When the leader's host stalls, its rank and engine
stall with it. As long as some other rank isn't armed, or the standby confirms that it
accepted no commit, the leader's rank isn't armed either, and the group can proceed
without its report. If the pass were held on the leader's host, no other rank could
establish this: groups then stalled for the four seconds that the host did.
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

#: Passes between the last begun pass and the held one. With one, the hold often arrives
#: too late and is refused; with two, the ranks are mostly armed before it is due.
HOLD_AHEAD_PASSES = 2
#: Upper bound of the same distance, for a group whose ranks take long to arm.
MAX_HOLD_AHEAD_PASSES = 4
#: Passes that a new leader lets begin before its first hold. An earlier leader's `go`
#: may still be carried out late, but names a pass at most `MAX_HOLD_AHEAD_PASSES` after
#: the last begun one, so that it can't release a later hold too early.
TAKEOVER_PASSES = MAX_HOLD_AHEAD_PASSES
#: Time limit for the copies; one of 1.7 GB takes 150 ms over the engines' links.
COPY_TIMEOUT_MS = 2_000
#: Time for which passes may be held before a switch is abandoned. Callers of a stream
#: count a pause over 120 ms as late.
ARM_TIMEOUT_MS = 400
#: Age above which a rank's report is ignored.
MAX_REPORT_AGE_MS = 1_000
#: Time without a report of the last rank after which a new leader proceeds without it,
#: where that is safe. Agents accept a new term within some 10 ms.
ABSENT_RANK_TIMEOUT_MS = 60


class Phase(enum.Enum):
    """Progress of a switch."""

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
    leader_rank, ranks : int
    may_start : bool, optional
        Whether it may begin switches, or only finishes those of an earlier leader.

    Attributes
    ----------
    phase : Phase
    epoch : int
    experts : int
        Experts of a layer; 0 while unknown.
    switched, abandoned : int
        Numbers of completed and of abandoned switches.
    replaced : bool
        Whether an agent has accepted a later term; no more orders are sent then.
    known_map : callable
        Returns the map of a version as known to the leader's agent, or None.
    """

    __slots__ = (
        "_absent",
        "_arm_until_ms",
        "_armed_version",
        "_clear_version",
        "_committed",
        "_copy_until_ms",
        "_hold_ahead",
        "_last_held_step",
        "_leader_rank",
        "_may_start",
        "_next_number",
        "_ranks",
        "_reported_ms",
        "_reports",
        "_sent",
        "_settled_step",
        "_settling_since_ms",
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
        self, term: int, leader_rank: int, ranks: int, may_start: bool = True
    ) -> None:
        self.term = term
        self._leader_rank = leader_rank
        self._standby = (leader_rank + 1) % ranks
        self._ranks = ranks
        self._may_start = may_start
        self._settling_since_ms: int | None = None
        self._reports: dict[int, RankReport] = {}
        self._reported_ms: dict[int, int] = {}
        self._next_number = 1
        self._last_held_step = 0
        self._hold_ahead = HOLD_AHEAD_PASSES
        self.epoch = -1
        self.experts = 0
        self.known_map: t.Callable[[int], Placement | None] = lambda version: None
        self.replaced = False
        self.switched = 0
        self.abandoned = 0
        self._reset()

    def observe(self, report: RankReport, now_ms: int) -> None:
        """Process a rank's report, and advance the switch as far as it allows."""
        # A report with a later term shows the effects of a later leader's orders.
        # Counted as effects of this leader's, it could complete the set of armed ranks
        # after which the last one is armed.
        self.replaced = self.replaced or report.term > self.term
        if report.epoch < self.epoch or self.replaced:
            return
        if report.epoch > self.epoch:
            self.epoch = report.epoch
            self._reports.clear()
            self._reported_ms.clear()
            self._reset()
        self._reports[report.rank] = report
        self._reported_ms[report.rank] = now_ms
        if report.rank == self._absent and report.term >= self.term:
            self._absent = None
        self._advance(now_ms)

    def answered(self, order: Order, result: OrderResult, now_ms: int) -> None:
        """Process a rank's answer to an order."""
        if order.epoch != self.epoch:
            return
        self._sent.note_answer(order, result)
        if result is OrderResult.BEGUN and order.kind is OrderKind.COMMIT:
            self._committed = order.version
        elif result is OrderResult.REFUSED:
            self._handle_refusal(order, now_ms)
        self._advance(now_ms)

    @property
    def placement(self) -> Placement | None:
        """The map in force according to the ranks' reports; None while unknown."""
        reports = [self._reports.get(rank) for rank in range(self._ranks)]
        experts = [report.experts for report in reports if report is not None]
        if (
            len(experts) < self._ranks
            or None in experts
            or self._common_map_version() is None
        ):
            return None
        return tuple(zip(*experts, strict=True))

    @property
    def map_version(self) -> int | None:
        """Version of the map in force; None while unknown."""
        return self._common_map_version() if len(self._reports) == self._ranks else None

    @property
    def ready(self) -> bool:
        """Whether a new switch may begin."""
        leader_report = self._reports.get(self._leader_rank)
        return (
            self.phase is Phase.IDLE
            and not self.replaced
            and self._may_start
            and not self.exhausted
            and self.placement is not None
            and leader_report is not None
            and leader_report.open
            and leader_report.step >= self._settled_step + TAKEOVER_PASSES
        )

    @property
    def exhausted(self) -> bool:
        """Whether the term has too few versions left for another switch."""
        return self._next_number + 1 >= VERSIONS_PER_TERM

    def start(
        self,
        placement: Placement,
        now_ms: int,
        hold_ahead: int = HOLD_AHEAD_PASSES,
        standby: int | None = None,
    ) -> bool:
        """Begin a switch to another map; return whether it was begun.

        Parameters
        ----------
        placement : Placement
        now_ms : int
        hold_ahead : int, optional
            Passes between the last begun pass and the held one, at most
            `MAX_HOLD_AHEAD_PASSES`.
        standby : int, optional
            Rank that holds passes; the one after the leader's rank by default.
        """
        if not self.ready or not self._has_recent_reports(now_ms):
            return False
        self._target = placement
        self._hold_ahead = hold_ahead
        if standby is None:
            standby = (self._leader_rank + 1) % self._ranks
        self._standby = standby
        self._committed = 0
        self._version = self._new_version(self._leader_rank, standby)
        self._copy_until_ms = now_ms + COPY_TIMEOUT_MS
        self.phase = Phase.COPYING
        return True

    def orders(self, now_ms: int, limit: int | None = None) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        now_ms : int
        limit : int, optional
            Maximum number of orders; the remaining ones stay due.
        """
        self._advance(now_ms)
        if self.replaced:
            return []
        pending = (
            order
            for order in self._pending_orders()
            if self._sent.is_due(order, now_ms)
        )
        due = list(itertools.islice(pending, limit))
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
        self._settled_step = -1
        self._absent: int | None = None
        self._settling_since_ms = None
        self._copy_until_ms = 0
        self._arm_until_ms = 0
        self._sent = SentOrders()

    def _advance(self, now_ms: int) -> None:
        if self._settling_since_ms is None:
            self._settling_since_ms = now_ms
        if (
            len(self._present_reports()) + (self.phase in _PHASES_ALLOWING_ABSENCE)
            < self._ranks
        ):
            return
        previous_phase = None
        while previous_phase is not self.phase:
            previous_phase = self.phase
            getattr(self, _PHASE_HANDLERS[self.phase])(now_ms)

    # Each phase handler checks the reports and enters another phase, or stays.

    def _settle(self, now_ms: int) -> None:
        reports = self._settled_reports(now_ms)
        if len(reports) < self._ranks:
            self._settle_without_last_rank(reports, now_ms)
            return
        armed = {report.armed for report in reports}
        held = [report.held for report in reports if report.held is not None]
        if armed == {None} and not held:
            self._end_settling()
        elif len(armed) == 1 and None not in armed:
            # An earlier leader armed all ranks alike; only the release is missing.
            self._armed_version = reports[0].armed.version
            self.phase = Phase.RELEASING
        else:
            self._start_clearing(max(map(newest_version, reports)))

    def _settled_reports(self, now_ms: int) -> list[RankReport]:
        """Return the recent reports of ranks that refuse an earlier leader's orders."""
        return [
            report
            for rank, report in self._reports.items()
            if report.term >= self.term
            and report.open
            and now_ms - self._reported_ms[rank] <= MAX_REPORT_AGE_MS
        ]

    def _settle_without_last_rank(self, reports: list[RankReport], now_ms: int) -> None:
        """Clear a switch whose last rank is silent and can't have been armed."""
        if len(reports) < self._ranks - 1 or self._settling_since_ms is None:
            return
        if now_ms - self._settling_since_ms < ABSENT_RANK_TIMEOUT_MS:
            return
        if all(report.held is None for report in reports):
            return
        missing = set(range(self._ranks)) - {report.rank for report in reports}
        (absent,) = missing
        newest = max(map(newest_version, reports))
        if newest and last_rank(newest) == absent and is_last_unarmed(reports, newest):
            self._absent = absent
            self._reports.pop(absent, None)
            self._reported_ms.pop(absent, None)
            self._start_clearing(newest)

    def _end_settling(self) -> None:
        self._settled_step = max(report.step for report in self._reports.values())
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
            self._arm_until_ms = now_ms + ARM_TIMEOUT_MS
            self.phase = Phase.ARMING
        elif self._last_begun_step() >= self._step:
            self._choose_step()
        elif now_ms > self._copy_until_ms:
            self._abandon()

    def _arm(self, now_ms: int) -> None:
        expected = Armed(self._version, self._step)
        if all(report.armed == expected for report in self._reports.values()):
            self._armed_version = self._version
            self.phase = Phase.RELEASING
        elif now_ms > self._arm_until_ms:
            self._start_clearing(self._version)

    def _release(self, now_ms: int) -> None:
        reports = self._reports.values()
        if any(report.held is not None or report.armed for report in reports):
            return
        if self._common_map_version() == self._armed_version:
            self.switched += 1
        else:
            self.abandoned += 1
        self._target = None
        self._sent.forget()
        if self._settled_step < 0:
            self._end_settling()
        self.phase = Phase.IDLE

    def _clear_arms(self, now_ms: int) -> None:
        reports = self._present_reports()
        if any(report.armed for report in reports):
            return
        if any(report.prepared != self._clear_version for report in reports):
            return
        if any(report.held is not None for report in reports):
            return
        self._abandon()
        if self._settled_step < 0:
            self._end_settling()

    # Helpers of the phase handlers.

    def _choose_step(self) -> None:
        # A `go` for an earlier held pass may still be carried out late. On an idle
        # group, which begins no passes, it would release a second hold of the same
        # pass too early.
        self._step = max(
            self._last_begun_step() + self._hold_ahead, self._last_held_step + 1
        )
        self._last_held_step = self._step
        self.phase = Phase.HOLDING

    def _abandon(self) -> None:
        self.abandoned += 1
        self._target = None
        self._sent.forget()
        self.phase = Phase.IDLE

    def _start_clearing(self, version: int) -> None:
        """Begin to invalidate the arms of a version."""
        if not version:
            last, standby = self._leader_rank, self._standby
        else:
            last, standby = last_rank(version), standby_rank(version)
        self._clear_version = self._new_version(last, standby)
        self.phase = Phase.CLEARING

    def _present_reports(self) -> list[RankReport]:
        """Return the reports of all ranks except the absent one."""
        return [
            report for rank, report in self._reports.items() if rank != self._absent
        ]

    def _last_begun_step(self) -> int:
        """Return the latest begun pass in any rank's report."""
        return max(report.step for report in self._reports.values())

    def _handle_refusal(self, order: Order, now_ms: int) -> None:
        if order.kind is OrderKind.HOLD and self.phase is Phase.HOLDING:
            if order.step == self._step:
                self._choose_step()
        elif order.kind is OrderKind.ARM and self.phase is Phase.ARMING:
            report = self._reports.get(order.rank)
            if report is not None and report.armed != Armed(order.version, order.step):
                self._start_clearing(self._version)
        elif order.kind is OrderKind.COMMIT and self.phase is Phase.ARMING:
            self._start_clearing(self._version)
        elif order.kind is OrderKind.PREPARE and self.phase is Phase.COPYING:
            # A repeated order whose first answer was lost may be refused because the
            # copy is already in progress.
            if order.version == self._version and not self._sent.had_no_answer(order):
                self._abandon()
            self._sent.note_sent(order, now_ms)

    def _pending_orders(self) -> t.Iterator[Order]:
        reports = self._present_reports()
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
        if phase in _PHASES_WITHOUT_ARMS and report.held is not None:
            return Order(rank, OrderKind.GO, epoch, step=report.held)
        return None

    def _arming_order(self, rank: int, report: RankReport) -> Order | None:
        version, committed = self._version, self._committed == self._version
        if rank == self._standby and self._all_but_leader_armed() and not committed:
            return Order(rank, OrderKind.COMMIT, self.epoch, version=version)
        if report.armed is not None or (rank == self._leader_rank and not committed):
            return None
        return Order(rank, OrderKind.ARM, self.epoch, version=version, step=self._step)

    def _clearing_order(self, rank: int, report: RankReport) -> Order | None:
        epoch, version = self.epoch, self._clear_version
        if rank != last_rank(version) and not self._last_rank_cleared():
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
        # Only now can no outstanding `arm` take effect after the pass is released.
        if (
            all(map(self._is_cleared, self._present_reports()))
            and report.held is not None
        ):
            return Order(rank, OrderKind.GO, epoch, step=report.held)
        return None

    def _all_but_leader_armed(self) -> bool:
        expected = Armed(self._version, self._step)
        return all(
            report.armed == expected
            for rank, report in self._reports.items()
            if rank != self._leader_rank
        )

    def _is_cleared(self, report: RankReport) -> bool:
        """Whether no arm that was sent to a rank can take effect any more."""
        return report.armed is None and report.prepared == self._clear_version

    def _last_rank_cleared(self) -> bool:
        last = last_rank(self._clear_version)
        return last == self._absent or self._is_cleared(self._reports[last])

    @property
    def map_in_force(self) -> tuple[int, Placement] | None:
        """Version and map in force, if all agents know this map by that version.

        While a rank's report is missing, it is the map known to the leader's agent.
        """
        version = self._common_map_version()
        if version is None:
            return None
        if len(self._reports) == self._ranks:
            placement = self.placement
        else:
            placement = self.known_map(version)
        return None if placement is None else (version, placement)

    def _current_placement(self) -> Placement | None:
        """Return the map in force; an absent rank's part of it may be inferred.

        An absent rank is taken to hold the experts that no other rank holds, but only
        where this leader's agent doesn't know the map. An inferred map differs from the
        one that the other agents know: 2.2 KB, sent repeatedly to each of 62 agents,
        saturated a link of 4 Mbit/s, and passes were held for 15 s.
        """
        if self._absent is None:
            return self.placement
        in_force = self.map_in_force
        if in_force is not None:
            return in_force[1]
        experts_by_rank = {
            report.rank: report.experts for report in self._present_reports()
        }
        if None in experts_by_rank.values() or not self.experts:
            return None
        layers = zip(
            *(experts_by_rank[rank] for rank in sorted(experts_by_rank)), strict=True
        )
        experts_by_rank[self._absent] = tuple(
            tuple(sorted(set(range(self.experts)).difference(*layer)))
            for layer in layers
        )
        return tuple(
            zip(*(experts_by_rank[rank] for rank in range(self._ranks)), strict=True)
        )

    def _has_recent_reports(self, now_ms: int) -> bool:
        return len(self._reported_ms) >= self._ranks and all(
            now_ms - reported_ms <= MAX_REPORT_AGE_MS
            for reported_ms in self._reported_ms.values()
        )

    def _common_map_version(self) -> int | None:
        versions = {report.map_version for report in self._reports.values()}
        return versions.pop() if len(versions) == 1 else None

    def _new_version(self, last: int, standby: int) -> int:
        number = self._next_number
        self._next_number += 1
        return make_version(self.term, number, standby, last)


#: Phases that can proceed while one rank is absent.
_PHASES_ALLOWING_ABSENCE = (Phase.SETTLING, Phase.CLEARING, Phase.IDLE)
#: Phases without outstanding arms, in which a reported hold may be released at once.
_PHASES_WITHOUT_ARMS = (Phase.IDLE, Phase.COPYING, Phase.RELEASING)

#: The handler method of each phase.
_PHASE_HANDLERS = {
    Phase.SETTLING: "_settle",
    Phase.IDLE: "_idle",
    Phase.COPYING: "_copy",
    Phase.HOLDING: "_hold",
    Phase.ARMING: "_arm",
    Phase.RELEASING: "_release",
    Phase.CLEARING: "_clear_arms",
}
