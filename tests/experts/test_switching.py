import unittest
from unittest import mock

from fuchsiahatch_experts import switching
from fuchsiahatch_experts.rank_orders import (
    Armed,
    Order,
    OrderKind,
    OrderResult,
    RankReport,
)
from fuchsiahatch_experts.switch_versions import last_rank, newest_version
from fuchsiahatch_experts.switching import MAX_HOLD_AHEAD_PASSES, Phase, Switch
from fuchsiahatch_standins.rank_rules import MixedMaps
from tests.experts.switch_model import RANKS, Leader, Model

#: Schedules of one test run; each has 600 turns with trouble and 800 without.
SCHEDULES = 120
#: Schedules after which a guard that is taken out must have been found.
GUARDLESS_SCHEDULES = 400
#: Schedules in which a leader that was replaced mixes maps if it goes on regardless.
SUCCESSION_SEEDS = (275, 21_325, 22_037, 23_169, 38_801)


def play(seed, make_switch=Switch):
    model = Model(seed, make_switch)
    model.run(600)
    return model


def finds_mixed(make_switch):
    for seed in range(GUARDLESS_SCHEDULES):
        try:
            play(seed, make_switch)
        except MixedMaps:
            return True
    return False


class ArmsWithoutHold(Switch):
    __slots__ = ()

    def _hold(self, now_ms):
        self._arm_until_ms = now_ms + switching.ARM_LIMIT_MS
        self.phase = Phase.ARMING


class ReleasesAtTheFirstArm(Switch):
    __slots__ = ()

    def _arm(self, now_ms):
        goal = Armed(self._version, self._step)
        if any(report.armed == goal for report in self._reports.values()):
            self._armed_version = self._version
            self.phase = Phase.RELEASING


class ClearsWithoutANewerVersion(Switch):
    __slots__ = ()

    def _clearing_order(self, rank, report):
        if report.armed is not None:
            return Order(
                rank, OrderKind.DISARM, self.epoch, version=report.armed.version
            )
        if report.held is not None:
            return Order(rank, OrderKind.GO, self.epoch, step=report.held)
        return None


class ArmsItsOwnRankAtOnce(Switch):
    __slots__ = ()

    def _others_armed(self):
        return True


class ArmsItsOwnRankUncommitted(Switch):
    __slots__ = ()

    def _arming_order(self, rank, report):
        self._committed = self._version
        return super()._arming_order(rank, report)


class ClearsTheLastRankLast(Switch):
    __slots__ = ()

    def _last_is_void(self):
        return True


class GoesOnWithoutAnyRank(Switch):
    __slots__ = ()

    def _settle_without_one(self, reports, now_ms):
        if len(reports) < self._ranks - 1 or not any(one.held for one in reports):
            return
        (absent,) = set(range(self._ranks)) - {report.rank for report in reports}
        self._absent = absent
        self._reports.pop(absent, None)
        self._seen_ms.pop(absent, None)
        self._clear(max(map(newest_version, reports)))


class SettlesWithoutClearing(Switch):
    __slots__ = ()

    def _settle(self, now_ms):
        self._end_settling()


class HoldsFarAhead(Switch):
    __slots__ = ()

    def start(self, placement, now_ms, hold_ahead=MAX_HOLD_AHEAD_PASSES, standby=None):
        return super().start(placement, now_ms, MAX_HOLD_AHEAD_PASSES, standby)


class TestSwitch(unittest.TestCase):
    def test_a_late_go_of_a_hold_far_ahead_ends_no_later_hold(self):
        for seed in range(SCHEDULES // 2):
            with self.subTest(seed):
                play(seed, HoldsFarAhead)

    def test_no_pass_begins_with_mixed_maps(self):
        # A member's answer mixes two maps' experts when a pass begins while some ranks
        # have switched and others have not: leaders die and wake, orders are carried
        # out seconds late or twice, agents and groups start anew, all at once.
        switched = sum(play(seed).switched for seed in range(SCHEDULES))
        self.assertGreater(switched, SCHEDULES)

    def test_no_group_is_held_for_good(self):
        # A group stands still for ever: its leader died between hold and go, and
        # nobody else ends the hold.
        for seed in range(SCHEDULES // 2):
            model = play(seed)
            model.settle(800)
            before = model.step
            model.settle(200)
            self.assertGreater(model.step, before, f"seed {seed}")

    def test_without_a_lease_no_maps_are_mixed(self):
        # A pass runs with two maps: a leader whose lease had ended went on, while its
        # successor spoke with the engines of agents that stood still. Its own rank is
        # armed last now, so that it mixes nothing even where it asks nobody.
        for seed in SUCCESSION_SEEDS:
            play(seed)
        with mock.patch.object(Leader, "is_obeyed", lambda self, now_ms: True):
            for seed in (*SUCCESSION_SEEDS, *range(SCHEDULES)):
                with self.subTest(seed):
                    play(seed)

    def test_each_guard_taken_out_is_found(self):
        for guardless in (
            ArmsWithoutHold,
            ReleasesAtTheFirstArm,
            ClearsWithoutANewerVersion,
            SettlesWithoutClearing,
            ArmsItsOwnRankAtOnce,
            ArmsItsOwnRankUncommitted,
            GoesOnWithoutAnyRank,
        ):
            with self.subTest(guardless.__name__):
                self.assertTrue(finds_mixed(guardless))


def report(rank, **changes):
    fields = dict(
        epoch=1,
        term=1,
        open=True,
        step=50,
        map_version=0,
        prepared=0,
        armed=None,
        held=None,
        experts=((rank,),),
    )
    return RankReport(rank, **{**fields, **changes})


def observe_all(switch, now_ms, **changes):
    for rank in range(RANKS):
        switch.observe(report(rank, **changes), now_ms)


class TestPhases(unittest.TestCase):
    def setUp(self):
        self.switch = Switch(1, 0, RANKS)
        observe_all(self.switch, 0)
        observe_all(self.switch, 10, step=60)
        self.assertTrue(self.switch.start((((0,), (1,), (2,)),), 10))
        self.version = self.switch.orders(10)[0].version

    def test_waits_for_all_copies(self):
        self.switch.observe(report(0, step=60, prepared=self.version), 20)
        self.assertIs(self.switch.phase, Phase.COPYING)
        observe_all(self.switch, 30, step=60, prepared=self.version)
        (hold,) = self.switch.orders(30)
        self.assertEqual((hold.kind, hold.rank, hold.step), (OrderKind.HOLD, 1, 62))

    def test_a_hold_that_came_too_late_names_a_later_pass(self):
        observe_all(self.switch, 30, step=60, prepared=self.version)
        (hold,) = self.switch.orders(30)
        observe_all(self.switch, 40, step=62, prepared=self.version)
        self.switch.answered(hold, OrderResult.REFUSED, 41)
        (again,) = self.switch.orders(42)
        self.assertEqual(again.step, 64)

    def hold_and_go_silent(self, armed_ranks, vouched=False):
        """Return another leader that has heard all ranks but the silent leader's."""
        observe_all(self.switch, 30, step=60, prepared=self.version)
        (hold,) = self.switch.orders(30)
        other = Switch(2, 1, RANKS, may_start=False)
        other.experts = RANKS
        armed = Armed(self.version, hold.step)
        for now_ms in (40, 40 + switching.ABSENCE_MS):
            for rank in (1, 2):
                changes = {
                    "term": 2,
                    "step": 60,
                    "prepared": self.version,
                    "held": hold.step if rank == 1 else None,
                    "armed": armed if rank in armed_ranks else None,
                    "uncommitted_version": self.version if vouched and rank == 1 else 0,
                }
                other.observe(report(rank, **changes), now_ms)
        return other, hold.step

    def test_a_hold_ends_without_a_word_of_its_leaders_host(self):
        # Every stream stops for four seconds: the leader's host stood still behind its
        # hold, and nobody else could say whether its own rank was armed.
        other, step = self.hold_and_go_silent(armed_ranks=(2,))
        now_ms = 41 + switching.ABSENCE_MS
        self.assertIs(other.phase, Phase.CLEARING)
        found = {(one.rank, one.kind) for one in other.orders(now_ms)}
        self.assertEqual(found, {(1, OrderKind.PREPARE), (2, OrderKind.DISARM)})
        clear = other._clear_version
        self.assertEqual(last_rank(clear), 0)
        for rank, held in ((2, None), (1, step)):
            fields = {"term": 2, "step": 60, "prepared": clear, "held": held}
            other.observe(report(rank, **fields), now_ms)
        (go,) = other.orders(now_ms + 1)
        self.assertEqual((go.kind, go.rank, go.step), (OrderKind.GO, 1, step))

    def test_the_part_of_an_absent_rank_is_what_nobody_else_holds(self):
        other, _ = self.hold_and_go_silent(armed_ranks=())
        prepare = other.orders(41 + switching.ABSENCE_MS)[0]
        self.assertEqual(prepare.placement, (((0,), (1,), (2,)),))

    def test_the_map_in_force_is_told_as_its_agent_knows_it(self):
        # All streams of 63 ranks stand still for 15 s: a leader's host stopped while
        # passes were held. Its successors told each rank a map of which the silent
        # rank's part was worked out anew, 2.2 KB that differ from what all others
        # know, and their link of 4 Mbit/s was full of it.
        known = (((0, 1), (1,), (2,)),)
        other, _ = self.hold_and_go_silent(armed_ranks=())
        other.known_map = {0: known}.get
        prepare = other.orders(41 + switching.ABSENCE_MS)[0]
        self.assertEqual(prepare.placement, known)
        self.assertEqual(other.map_in_force, (0, known))

    def test_a_hold_stays_while_its_leaders_rank_may_be_armed(self):
        # A pass runs with two maps: all ranks but the silent leader's were armed, and
        # it had armed its own before its host stood still.
        other, _ = self.hold_and_go_silent(armed_ranks=(1, 2))
        self.assertIs(other.phase, Phase.SETTLING)
        self.assertEqual(other.orders(60 + switching.ABSENCE_MS), [])

    def test_a_standby_that_agreed_to_nothing_ends_the_hold(self):
        # Every stream stops for four seconds: the leader's host stood still when all
        # other ranks had been armed, and before its own was.
        other, _ = self.hold_and_go_silent(armed_ranks=(1, 2), vouched=True)
        self.assertIs(other.phase, Phase.CLEARING)
        found = {(one.rank, one.kind) for one in other.orders(99)}
        self.assertEqual(found, {(1, OrderKind.DISARM), (2, OrderKind.DISARM)})

    def test_a_leader_arms_its_own_rank_last(self):
        observe_all(self.switch, 30, step=60, prepared=self.version)
        (hold,) = self.switch.orders(30)
        fields = {"step": 60, "prepared": self.version}
        self.switch.observe(report(1, held=hold.step, **fields), 31)
        armed = Armed(self.version, hold.step)
        self.assertEqual([one.rank for one in self.switch.orders(31)], [1, 2])
        self.switch.observe(report(1, held=hold.step, armed=armed, **fields), 32)
        self.assertEqual(self.switch.orders(33), [])
        self.switch.observe(report(2, armed=armed, **fields), 34)
        (commit,) = self.switch.orders(35)
        self.assertEqual((commit.rank, commit.kind), (1, OrderKind.COMMIT))
        self.switch.answered(commit, OrderResult.BEGUN, 36)
        (own,) = self.switch.orders(37)
        self.assertEqual((own.rank, own.kind), (0, OrderKind.ARM))

    def test_a_replaced_leader_orders_nothing_more(self):
        # A pass runs with two maps: a leader that had been replaced unawares took the
        # arms that its successor saw carried out late for its own.
        observe_all(self.switch, 30, step=60, prepared=self.version)
        self.switch.observe(report(2, term=2, step=60, prepared=self.version), 31)
        self.assertTrue(self.switch.replaced)
        self.assertEqual(self.switch.orders(32), [])

    def test_no_pass_is_held_twice(self):
        # On an idle group a switch is given up and the next one holds the same pass.
        # The first one's go, carried out seconds late, ends the second hold while some
        # ranks are armed and others are not.
        observe_all(self.switch, 30, step=60, prepared=self.version)
        (hold,) = self.switch.orders(30)
        self.switch.observe(report(1, step=60, prepared=self.version, held=62), 40)
        late_ms = 41 + switching.ARM_LIMIT_MS
        clear = next(one.version for one in self.switch.orders(late_ms) if one.version)
        observe_all(self.switch, late_ms, step=60, prepared=clear)
        self.assertIs(self.switch.phase, Phase.IDLE)
        self.assertTrue(self.switch.start((((0,), (1,), (2,)),), late_ms))
        version = self.switch.orders(late_ms)[0].version
        observe_all(self.switch, late_ms + 1, step=60, prepared=version)
        (again,) = self.switch.orders(late_ms + 1)
        self.assertGreater(again.step, hold.step)

    def test_a_refused_copy_is_given_up(self):
        (order, *_) = [
            Order(0, OrderKind.PREPARE, 1, version=self.version, placement=())
        ]
        self.switch.answered(order, OrderResult.REFUSED, 20)
        self.assertIs(self.switch.phase, Phase.IDLE)
        self.assertEqual(self.switch.abandoned, 1)

    def test_a_new_epoch_forgets_everything(self):
        observe_all(self.switch, 30, epoch=2, step=61)
        self.assertIs(self.switch.phase, Phase.IDLE)
        self.assertEqual(self.switch.orders(31), [])

    def test_a_leader_waits_until_all_ranks_obey_its_term(self):
        # A group that has a leader is never switched: an agent learnt of the leader
        # before it knew its own group, and never took over the leader's term.
        late = Switch(5, 0, RANKS)
        observe_all(late, 0, term=1)
        self.assertIs(late.phase, Phase.SETTLING)
        observe_all(late, 10, term=5)
        self.assertIs(late.phase, Phase.IDLE)
