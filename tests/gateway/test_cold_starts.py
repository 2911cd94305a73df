import asyncio
import dataclasses
import itertools
import random
import types
import unittest
from unittest import mock

from fuchsiahatch_adapter.configuration import ColdStart
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway import cold_starts
from fuchsiahatch_gateway.cold_starts import MAX_PERMIT_AGE_MS, ColdStarts
from fuchsiahatch_gateway.datagrams import PermitReply
from fuchsiahatch_gateway.defaults import ENTRIES_PREFIX
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.issuer_terms import IssuerTerms
from fuchsiahatch_gateway.lookups import EntryRecord
from fuchsiahatch_gateway.permit_issuer import WARM_UP_MS, PermitIssuer
from fuchsiahatch_gateway.permits import NO_REPLY_DELAY_MS, Permits, _choose_issuer
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_gateway.stated_rates import StatedRate
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import (
    Site,
    answers,
    make_configuration,
    make_settings,
    until,
    upstream,
)
from tests.gateway.test_fleet import item, load
from tests.loopback import run

FIGURES = ColdStart(3_000, 15.0)
OVER, SLACK = 1.5, 5.0
#: Unix time at the start of a test.
NOW_MS = 1_700_000_000_000


def make_fleet(clock, entries=1, figures=FIGURES, over=OVER, slack=SLACK):
    fleet = Fleet("a", clock, random.Random(1))
    time_of_day = types.SimpleNamespace(now_ms=lambda: NOW_MS + clock.now_ms())
    fleet.cold_starts = ColdStarts(
        clock, lambda service: figures, over, slack, lambda: entries, time_of_day
    )
    return fleet


class ColdCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.fleet = make_fleet(self.clock)

    def apply(self, **items):
        self.fleet.apply(items)

    def is_cold(self, instance="a"):
        return self.fleet.cold_starts.is_cold(self.fleet.upstreams[instance])

    def assert_cold_for(self, duration_ms, instance="a"):
        self.clock.advance(duration_ms - 1)
        self.assertTrue(self.is_cold(instance))
        self.clock.advance(1)
        self.assertFalse(self.is_cold(instance))


class TestColdPeriods(ColdCase):
    """An upstream that is cold and isn't known to be crashes under usual traffic."""

    def test_it_is_cold_until_the_time_of_its_item_has_elapsed(self):
        self.apply(a=item("a", 1, coldRemainingMs=1_800.5))
        self.assert_cold_for(1_801)

    def test_an_item_that_is_read_again_does_not_prolong_it(self):
        # Each change of any item applies all of them again. An upstream would stay
        # cold, at a fraction of its rate, for as long as others write theirs.
        self.apply(a=item("a", 1, coldRemainingMs=1_000))
        self.clock.advance(900)
        self.apply(a=item("a", 1, coldRemainingMs=1_000), b=item("b", 2))
        self.assert_cold_for(100)

    def test_it_may_become_cold_at_any_moment(self):
        self.apply(a=item("a", 1))
        self.assertFalse(self.is_cold())
        self.apply(a=item("a", 1, created=2, coldRemainingMs=2_500))
        self.assert_cold_for(2_500)

    def test_an_unreasonable_time_of_an_item_ends(self):
        self.apply(a=item("a", 1, coldRemainingMs=1e300))
        self.clock.advance(60_000)
        self.assertFalse(self.is_cold())

    def test_a_new_incarnation_is_cold_if_it_was_born_lately(self):
        self.apply(
            old=item("old", 1, born=NOW_MS - 3_600), new=item("new", 2, born=NOW_MS)
        )
        self.assertFalse(self.is_cold("old"))
        self.assert_cold_for(FIGURES.duration_ms, "new")

    def test_a_clock_difference_of_hosts_is_allowed_for(self):
        self.apply(
            a=item("a", 1, born=NOW_MS - FIGURES.duration_ms - 400),
            b=item("b", 2, born=NOW_MS + 400),
        )
        self.assertTrue(self.is_cold("a"))
        self.assertTrue(self.is_cold("b"))

    def test_one_of_unknown_start_is_cold_if_it_comes_after_all_items_were_read(self):
        # Without the difference, an entry that starts would take all upstreams for
        # cold, and refuse most requests for 3 s.
        self.apply(a=item("a", 1))
        self.assertFalse(self.is_cold("a"))
        self.apply(a=item("a", 1), b=item("b", 2))
        self.assertFalse(self.is_cold("a"))
        self.assert_cold_for(FIGURES.duration_ms, "b")

    def test_a_restart_that_the_agent_reports_first_makes_it_cold(self):
        self.apply(a=item("a", 1, born=NOW_MS - 60_000))
        self.fleet.observe(load(1, born_ms=NOW_MS - 500))
        self.assert_cold_for(FIGURES.duration_ms)

    def test_a_start_that_the_agent_tells_later_than_the_item_makes_it_cold(self):
        # An entry that starts beside the upstream, whose item doesn't name its start,
        # would send to it as to a warm one, though the agent reports the start.
        self.apply(a=item("a", 1))
        self.clock.advance(200)
        self.fleet.observe(load(1, born_ms=NOW_MS - 500))
        self.assert_cold_for(FIGURES.duration_ms - 200)

    def test_upstreams_of_a_zone_are_cold_when_its_drain_ends(self):
        self.apply(a=item("a", 1, zone="a"), b=item("b", 2, zone="b"))
        self.fleet.note_zone_returned("a")
        self.assertFalse(self.is_cold("b"))
        self.assertEqual(self.fleet.cold_count, 1)
        self.assert_cold_for(FIGURES.duration_ms, "a")

    def test_each_end_of_a_drain_makes_its_zone_cold_and_no_other(self):
        # Guards against a drain whose end isn't passed on to the cold-start limit.
        self.apply(a=item("a", 1, zone="a"), b=item("b", 2, zone="b"))
        self.fleet.apply_drains({"a", "b"})
        self.fleet.apply_drains({"b"})
        self.assertEqual([*map(self.is_cold, "ab")], [True, False])
        self.clock.advance(FIGURES.duration_ms)
        self.assertFalse(self.is_cold("a"))
        self.fleet.apply_drains({"a", "b"})
        self.assertFalse(self.is_cold("a"))
        self.fleet.apply_drains(())
        self.assertEqual([*map(self.is_cold, "ab")], [True, True])

    def test_an_upstream_that_is_listed_after_the_drain_ended_is_cold_as_well(self):
        self.apply(b=item("b", 2, zone="b"))
        self.fleet.note_zone_returned("a")
        self.clock.advance(1_000)
        self.apply(b=item("b", 2, zone="b"), a=item("a", 1, born=NOW_MS - 9_000))
        self.assert_cold_for(FIGURES.duration_ms - 1_000)

    def test_the_period_that_ends_last_counts(self):
        self.apply(a=item("a", 1, coldRemainingMs=1_000, born=NOW_MS - 60_000))
        self.fleet.note_zone_returned("a")
        self.apply(a=item("a", 1, created=2, coldRemainingMs=10, born=NOW_MS - 60_000))
        self.assert_cold_for(FIGURES.duration_ms)

    def test_its_begin_is_logged_once_with_the_source(self):
        with mock.patch.object(cold_starts, "log_event") as log_event:
            for number, remaining_ms in enumerate((0, 3_000, 2_000, 1_000), 1):
                changed = item("a", 1, number, coldRemainingMs=remaining_ms)
                self.apply(a=changed)
                self.clock.advance(1_200)
            self.fleet.note_zone_returned("a")
        logged = [(call.args[0], call.kwargs) for call in log_event.call_args_list]
        self.assertEqual([event for event, _ in logged], [Event.UPSTREAM_COLD] * 2)
        self.assertEqual([one["source"] for _, one in logged], ["item", "drain"])
        self.assertEqual(logged[0][1]["cold_ms"], 3_000)

    def test_without_figures_nothing_is_limited(self):
        # Deployments whose configuration or settings state none are served as before.
        for figures, over, slack in (
            (None, OVER, SLACK),
            (FIGURES, None, SLACK),
            (FIGURES, OVER, None),
        ):
            self.fleet = make_fleet(self.clock, 31, figures, over, slack)
            self.apply(a=item("a", 1, coldRemainingMs=9_000, born=NOW_MS))
            self.fleet.note_zone_returned("a")
            one = self.fleet.upstreams["a"]
            self.assertFalse(self.fleet.needs_permit(one))
            for _ in range(100):
                self.assertEqual(self.fleet.cold_starts.note_send(one), 0)
            self.assertIs(self.fleet.choose("svc", (), only_unlimited=True), one)


class TestRates(ColdCase):
    def test_two_issuers_and_one_that_begins_stay_below_the_limit(self):
        # Permits that were issued in the time by which their delays differ may arrive
        # in one second.
        spread_s = 1 + cold_starts.MAX_DELAY_SPREAD_MS / 1000
        for per_s, over, slack in itertools.product(
            (5.0, 15.0, 40.0), (1.2, 1.5, 2.0), (5.0, 8.0)
        ):
            fleet = make_fleet(self.clock, 1, ColdStart(3_000, per_s), over, slack)
            limits = fleet.cold_starts.limits_of("svc")
            rate = limits.permit_rate_per_s
            whole = int(rate * spread_s) + 1
            beginning = int(cold_starts.WARM_UP_SHARE * rate * spread_s) + 1
            self.assertLessEqual(2 * whole + beginning, limits.limit_per_s)
            self.assertLessEqual(rate, per_s)

    def test_a_lower_stated_rate_takes_precedence(self):
        self.apply(a=item("a", 1, coldRemainingMs=9_000))
        one = self.fleet.upstreams["a"]
        rate = self.fleet.cold_starts.permit_rate(one).rate_per_s
        for stated, expected in ((0.5, 0.5), (200.0, rate)):
            one.stated = StatedRate(stated, 0)
            permit_rate = self.fleet.cold_starts.permit_rate(one)
            self.assertEqual(permit_rate.rate_per_s, expected)

    def test_a_configuration_that_changes_applies_at_once(self):
        figures = [ColdStart(3_000, 15.0)]
        starts = ColdStarts(self.clock, lambda service: figures[0], OVER, SLACK)
        self.assertEqual(starts.limits_of("svc").limit_per_s, 27.5)
        figures[0] = ColdStart(3_000, 10.0)
        self.assertEqual(starts.limits_of("svc").limit_per_s, 20.0)

    def test_permits_of_a_cold_upstream_have_no_burst(self):
        # After a pause the issuer of stated rates issues what it didn't for 0.4 s. Two
        # issuers that do so exceed the limit of a second.
        issuer = PermitIssuer(self.clock, burst_ms=0)
        self.assertEqual(issuer.issue("a", 8.0, 0, -WARM_UP_MS), 0)
        self.clock.advance(7_000)
        self.assertEqual(issuer.issue("a", 8.0, 0, -WARM_UP_MS), 0)
        self.assertGreater(issuer.issue("a", 8.0, 0, -WARM_UP_MS), 100)

    def test_an_issuer_of_long_standing_issues_the_whole_rate_at_once(self):
        # By the time of the first request for a permit it would begin at a quarter,
        # for longer than an upstream is cold.
        for began_ms, expected in ((-WARM_UP_MS, 16), (0, 4)):
            issuer = PermitIssuer(self.clock, burst_ms=0)
            issued = 0
            for _ in range(2_000):
                issued += issuer.issue("a", 8.0, 0, self.clock.now_ms() + began_ms) == 0
                began_ms -= 1
                self.clock.advance(1)
            self.assertAlmostEqual(issued, expected, delta=1)


class TestOwnLimit(ColdCase):
    """An upstream may be cold before any entry knows.

    Without a limit on its own sends, one entry that has most callers sends it more than
    it bears before the item is read.
    """

    def send(self, count, instance="a"):
        one = self.fleet.upstreams[instance]
        return [self.fleet.cold_starts.note_send(one) for _ in range(count)]

    def test_it_is_the_limit_divided_by_the_number_of_entries(self):
        for entries, most in ((1, 27), (4, 6), (31, 1)):
            self.fleet = make_fleet(self.clock, entries)
            self.apply(a=item("a", 1))
            waits = self.send(most)
            self.assertEqual(waits, [cold_starts.WINDOW_MS] * most)
            self.assertIsNone(self.fleet.choose("svc", ()))
            self.clock.advance(1_000)
            self.assertIsNotNone(self.fleet.choose("svc", ()))

    def test_other_upstreams_are_used_meanwhile(self):
        self.fleet = make_fleet(self.clock, 31)
        self.apply(a=item("a", 1), b=item("b", 2))
        self.send(1)
        chosen = {self.fleet.choose("svc", ()).entry.instance for _ in range(9)}
        self.assertEqual(chosen, {"b"})

    def test_a_cold_upstream_is_limited_by_permits_alone(self):
        # With it an entry that has all callers could use one permit a second.
        self.fleet = make_fleet(self.clock, 31)
        self.apply(a=item("a", 1, coldRemainingMs=9_000))
        self.assertEqual(self.send(20), [0] * 20)
        self.assertIsNotNone(self.fleet.choose("svc", ()))

    def test_entries_are_counted_only_for_upstreams_with_a_recent_send(self):
        # Each choice among 64 upstreams would count the entries 64 times, which takes
        # an entry with waiting requests a tenth of a core: it chooses anew at each of
        # 200 load reports a second.
        counted = mock.Mock(return_value=31)
        self.fleet.cold_starts = ColdStarts(
            self.clock, lambda service: FIGURES, OVER, SLACK, counted
        )
        self.apply(**{f"i{port}": item(f"i{port}", port) for port in range(1, 65)})
        self.send(1, "i7")
        counted.reset_mock()
        self.fleet.choose("svc", ())
        self.assertEqual(counted.call_count, 1)

    def test_a_request_waits_until_the_next_may_be_sent(self):
        async def play(loop):
            clock = loop.make_clock()
            self.fleet = make_fleet(clock, 31)
            self.apply(a=item("a", 1))
            placer = Placer(self.fleet, clock)
            for _ in range(3):
                await placer.acquire("svc", RequestTraits("t", 1), (), 1_500)
            return clock.now_ms()

        self.assertIn(run_virtually(play), range(2_000, 2_010))

    def test_a_permit_of_a_stated_rate_that_was_refused_is_no_send(self):
        # The upstream would be left out for a second after each refusal, so that the
        # permit that was promised meanwhile is used by nobody.
        async def play(loop):
            clock, waits = loop.make_clock(), iter([50, 0])

            async def ask(one):
                await asyncio.sleep(0.002)
                return next(waits)

            self.fleet = make_fleet(clock, 31)
            self.apply(a=item("a", 1))
            self.fleet.upstreams["a"].stated = StatedRate(10.0, 0)
            placer = Placer(self.fleet, clock, ask)
            with self.assertRaises(RefusedError):
                await placer.acquire("svc", RequestTraits("t", 1), (), 1_500)
            await asyncio.sleep(0.06)
            await placer.acquire("svc", RequestTraits("t", 1), (), 1_500)
            return clock.now_ms()

        self.assertLess(run_virtually(play), 100)

    def test_permits_of_a_stated_rate_that_come_together_do_not_exceed_it(self):
        async def play(loop):
            async def ask(one):
                await asyncio.sleep(0.002)
                return 0

            clock = loop.make_clock()
            self.fleet = make_fleet(clock, 31)
            self.apply(a=item("a", 1))
            self.fleet.upstreams["a"].stated = StatedRate(10.0, 0)
            placer = Placer(self.fleet, clock, ask)

            async def request():
                await placer.acquire("svc", RequestTraits("t", 1), (), 2_500)
                return clock.now_ms()

            ends_ms = await asyncio.gather(request(), request())
            return ends_ms, self.fleet.upstreams["a"].local_requests

        (first_ms, second_ms), local_requests = run_virtually(play)
        self.assertGreaterEqual(second_ms - first_ms, 1_000)
        self.assertEqual(local_requests, 2)

    def test_a_request_waits_no_longer_where_entries_join_meanwhile(self):
        # The limit falls from three to one, and no send reaches the lower one.
        async def play(loop):
            clock, entries = loop.make_clock(), [9]
            self.fleet = make_fleet(clock)
            self.fleet.cold_starts = ColdStarts(
                clock, lambda service: FIGURES, OVER, SLACK, lambda: entries[0]
            )
            self.apply(a=item("a", 1))
            placer = Placer(self.fleet, clock)
            for _ in range(2):
                await placer.acquire("svc", RequestTraits("t", 1), (), 1_500)
            entries[0] = 31
            await placer.acquire("svc", RequestTraits("t", 1), (), 1_500)
            return clock.now_ms()

        self.assertIn(run_virtually(play), range(1_000, 1_010))


class TestPermitValidity(ColdCase):
    def is_valid(self, reserved_ms):
        one = self.fleet.upstreams["a"]
        return Placer(self.fleet, self.clock).may_still_send(
            one, ANY_REQUEST, reserved_ms
        )

    def test_a_permit_expires(self):
        # A host that stalls with permits would use them beside those that follow.
        self.apply(a=item("a", 1, coldRemainingMs=9_000))
        self.clock.advance(MAX_PERMIT_AGE_MS)
        self.assertTrue(self.is_valid(0))
        self.clock.advance(1)
        self.assertFalse(self.is_valid(0))

    def test_no_request_without_a_permit_is_sent_once_it_is_known_to_be_cold(self):
        # It got its slot while the upstream was warm, and waited for a connection.
        self.apply(a=item("a", 1))
        self.clock.advance(100)
        self.apply(a=item("a", 1, created=2, coldRemainingMs=2_000))
        self.assertFalse(self.is_valid(50))
        self.assertTrue(self.is_valid(100))

    def test_a_further_item_of_the_period_does_not_end_permits(self):
        self.apply(a=item("a", 1, coldRemainingMs=2_000))
        self.clock.advance(1_200)
        self.apply(a=item("a", 1, created=2, coldRemainingMs=1_000))
        self.clock.advance(10)
        self.assertTrue(self.is_valid(1_150))

    def test_a_period_that_follows_another_without_a_pause_does_not_end_permits(self):
        # The first item after the end of a drain names a later end than the drain does.
        # Permits whose connection is awaited then would be lost.
        self.apply(a=item("a", 1))
        self.fleet.note_zone_returned("a")
        self.clock.advance(500)
        self.apply(a=item("a", 1, created=2, coldRemainingMs=2_900))
        self.clock.advance(10)
        self.assertTrue(self.is_valid(490))
        self.assertFalse(self.is_valid(-1))

    def test_a_warm_upstream_sets_no_limit(self):
        self.apply(a=item("a", 1))
        self.clock.advance(5_000)
        self.assertTrue(self.is_valid(0))


class TestPlacing(ColdCase):
    def play(self, waits, wait_ms=500, stated=False, extra=None):
        """Return the time and end of a request at a cold upstream, and its asks.

        `waits` are the answers to the requests for permits.
        """
        asked = []

        async def ask(one):
            asked.append(one.entry.instance)
            await asyncio.sleep(0.002)
            return next(waits)

        async def request(loop):
            clock = loop.make_clock()
            self.fleet = make_fleet(clock)
            self.apply(a=item("a", 1, coldRemainingMs=9_000), **(extra or {}))
            if stated:
                self.fleet.upstreams["a"].stated = StatedRate(1.0, 0)
            placer = Placer(self.fleet, clock, ask)
            try:
                chosen = await placer.acquire("svc", RequestTraits("t", 1), (), wait_ms)
                end = chosen.entry.instance
            except RefusedError as fault:
                end = fault
            return clock.now_ms(), end, placer.waiting

        return *run_virtually(request), asked

    def test_a_request_waits_until_a_permit_comes(self):
        at_ms, end, waiting, asked = self.play(iter([150, 100, 0]))
        self.assertEqual((end, waiting, len(asked)), ("a", 0, 3))
        self.assertIn(at_ms, range(250, 265))

    def test_it_asks_for_as_long_as_it_may_wait(self):
        _, end, _, asked = self.play(iter([50] * 5 + [0]))
        self.assertEqual((end, len(asked)), ("a", 6))

    def test_it_is_refused_at_once_if_the_permit_comes_too_late(self):
        at_ms, end, waiting, _ = self.play(iter([600]))
        self.assertIn(at_ms, range(1, 10))
        self.assertEqual((end.result, waiting), (Code.RATE_REACHED, 0))
        self.assertGreater(end.retry_after_ms, 590)

    def test_it_is_not_refused_because_the_cold_period_ends_while_it_asks(self):
        # The third permit is refused just after the period ended, and the upstream
        # takes requests without permits as soon as that answer's wait is over.
        async def play(loop):
            clock, waits = loop.make_clock(), iter([1, 1, 100])

            async def ask(one):
                await asyncio.sleep(0.002)
                return next(waits)

            self.fleet = make_fleet(clock)
            self.apply(a=item("a", 1, coldRemainingMs=7))
            placer = Placer(self.fleet, clock, ask)
            await placer.acquire("svc", RequestTraits("t", 1), (), 500)
            return clock.now_ms()

        self.assertIn(run_virtually(play), range(100, 115))

    def test_it_is_refused_after_its_wait(self):
        at_ms, end, waiting, _ = self.play(itertools.repeat(60))
        self.assertLess(at_ms, 520)
        self.assertEqual((end.result, waiting), (Code.RATE_REACHED, 0))

    def test_for_a_stated_rate_it_is_refused_at_once_as_before(self):
        at_ms, end, _, asked = self.play(iter([150]), stated=True)
        self.assertIn(at_ms, range(1, 10))
        self.assertEqual((end.result, len(asked)), (Code.RATE_REACHED, 1))

    def test_a_warm_upstream_is_used_without_a_permit(self):
        for seed in range(5):
            _, end, _, _ = self.play(
                itertools.repeat(400), extra={"b": item("b", seed + 2)}
            )
            self.assertEqual(end, "b")

    def test_a_request_that_waits_beside_a_stated_rate_gets_the_next_permit(self):
        # Its wait would last until another request ends: nothing else of a service
        # without load reports shows that the time of the next permit has come.
        async def play(loop):
            clock, waits = loop.make_clock(), iter([100, 0])

            async def ask(one):
                return next(waits)

            self.fleet = make_fleet(clock, figures=None)
            self.apply(a=item("a", 1), full=item("full", 2, slots=1))
            self.fleet.upstreams["a"].stated = StatedRate(5.0, 0)
            self.fleet.upstreams["full"].local_requests = 1
            placer = Placer(self.fleet, clock, ask)
            await placer.acquire("svc", RequestTraits("t", 1), (), 500)
            return clock.now_ms()

        self.assertIn(run_virtually(play), range(100, 110))

    def test_a_cold_one_is_awaited_beside_one_whose_stated_rate_is_reached(self):
        async def play(loop):
            clock = loop.make_clock()
            self.fleet = make_fleet(clock)
            self.apply(a=item("a", 1, coldRemainingMs=9_000), b=item("b", 2))
            cold, stated = (self.fleet.upstreams[name] for name in "ab")
            stated.stated, stated.limited_until_ms = StatedRate(1.0, 0), 100
            cold.limited_until_ms = 200
            closed = self.fleet.gate.unavailability("svc")
            return closed.wait_ms, closed.may_wait

        self.assertEqual(run_virtually(play), (200, True))

    def test_streams_are_not_moved_to_it(self):
        # A stream in progress would be abandoned for an upstream without a permit.
        self.apply(a=item("a", 1, coldRemainingMs=1_000))
        placer = Placer(self.fleet, self.clock)
        self.assertFalse(placer.has_free_slot("svc"))
        self.clock.advance(1_000)
        self.assertTrue(placer.has_free_slot("svc"))

    def test_requests_that_ask_together_wait_for_the_earliest_permit(self):
        # Each is given another time. By the last of them the permits before it would
        # be issued to nobody.
        waits = iter([100, 200, 300, 0, 0, 0])

        async def ask(one):
            await asyncio.sleep(0.002)
            return next(waits)

        async def play(loop):
            clock = loop.make_clock()
            self.fleet = make_fleet(clock)
            self.apply(a=item("a", 1, coldRemainingMs=9_000))
            placer = Placer(self.fleet, clock, ask)
            requests = (
                placer.acquire("svc", RequestTraits("t", 1), (), 500) for _ in range(3)
            )
            await asyncio.gather(*requests)
            return clock.now_ms()

        self.assertLess(run_virtually(play), 150)


class TestIssuers(ColdCase):
    def setUp(self):
        super().setUp()
        self.apply(a=item("a", 1, coldRemainingMs=9_000))
        self.upstream = self.fleet.upstreams["a"]
        self.sent = []
        self.view = {}
        nodes = ("front-1", "front-2", "front-3")
        self.first = _choose_issuer(nodes, "a")
        self.other = next(node for node in nodes if node != self.first)
        self.records = {
            node: EntryRecord(node, "a", "", ("10.0.0.1", number))
            for number, node in enumerate(nodes)
        }

    def make_permits(self, node):
        return Permits(
            node,
            lambda: self.view,
            types.SimpleNamespace(send=lambda *sent: self.sent.append(sent)),
            self.clock,
            self.fleet.upstreams.get,
            self.fleet.cold_starts.permit_rate,
        )

    def test_another_entry_gets_its_permit_by_datagram(self):
        self.view = self.records
        asking, issuing = self.make_permits(self.other), self.make_permits(self.first)

        async def ask():
            asked = asyncio.ensure_future(asking.ask(self.upstream))
            await asyncio.sleep(0)
            request, peer = self.sent.pop()
            self.assertEqual(peer, self.records[self.first].peer)
            issuing.receive_cold_request(request, ("10.0.0.1", 9))
            reply, _ = self.sent.pop()
            asking.receive_reply(reply)
            return await asked

        self.assertEqual(run(ask()), 0)
        self.assertEqual((issuing.cold_issuer.issued, issuing.issuer.issued), (1, 0))

    def test_an_entry_that_is_not_the_issuer_by_its_own_view_issues_none(self):
        # One that is cut off from the store may ask a former issuer for ever, and the
        # permits of each issuer add up.
        self.view = self.records
        former = self.make_permits(self.other)
        request = mock.Mock(number=7, upstream="a", rate_per_s=8.0, age_ms=0)
        former.receive_cold_request(request, ("10.0.0.1", 9))
        self.assertEqual(self.sent[-1][0], PermitReply(7, NO_REPLY_DELAY_MS))
        self.assertEqual(former.cold_issuer.issued, 0)

    def test_an_entry_that_knows_of_no_other_and_is_not_registered_issues_none(self):
        # All entries that start together would each be the only one.
        permits = self.make_permits("front-1")
        self.assertEqual(run(permits.ask(self.upstream)), NO_REPLY_DELAY_MS)

    def test_the_lower_of_two_known_rates_counts(self):
        self.view = self.records
        permits = self.make_permits(self.first)
        self.upstream.stated = StatedRate(0.5, 0)
        request = mock.Mock(number=7, upstream="a", rate_per_s=8.0, age_ms=0)
        permits.receive_cold_request(request, ("10.0.0.1", 9))
        self.clock.advance(1_000)
        permits.receive_cold_request(request, ("10.0.0.1", 9))
        waits = [reply.wait_ms for reply, _ in self.sent]
        self.assertEqual(waits[0], 0)
        self.assertGreater(waits[1], 0)


class TestTerms(unittest.TestCase):
    def setUp(self):
        self.terms = IssuerTerms(
            "b", lambda nodes, instance: max(nodes, default=None), 4_000
        )

    def test_it_begins_when_the_last_better_entry_goes(self):
        self.terms.note("abc", 0)
        self.assertIsNone(self.terms.began_ms("i"))
        self.terms.note("ab", 1_000)
        self.terms.note("b", 2_000)
        self.assertEqual(self.terms.began_ms("i"), 1_000)

    def test_it_begins_anew_after_another_was_the_issuer(self):
        # An entry that is registered for a moment may have issued permits.
        self.terms.note("ab", 0)
        self.terms.note("abc", 5_000)
        self.terms.note("ab", 6_000)
        self.assertEqual(self.terms.began_ms("i"), 6_000)

    def test_one_of_long_standing_keeps_its_age(self):
        for now_ms in range(0, 60_000, 100):
            self.terms.note("ab" if now_ms % 2_000 else "b", now_ms)
        self.assertLess(self.terms.began_ms("i"), 60_000 - 4_000)
        self.assertLess(len(self.terms._views), 10)

    def test_before_the_first_view_it_is_no_issuer(self):
        self.assertIsNone(self.terms.began_ms("i"))


class TestEntry(unittest.TestCase):
    def test_an_entry_sends_to_a_cold_upstream_by_permit(self):
        # The whole way: figures of the configuration and the settings, the item, the
        # permits of the entry itself. As it has just become the issuer, the permits
        # come every half a second, and six requests come at once.
        async def play():
            async with Site(upstream(*[answers(200, b"ok")] * 40)) as site:
                entry, port = site.entry, site.upstreams[0].port
                document = make_configuration(2)
                document["services"][0].update(coldStartS=3.0, coldPerS=15.0)
                registration = f"{ENTRIES_PREFIX}{entry.record.node}"
                site.store.put("op/config", document)
                record = dataclasses.replace(entry.record, peer=("127.0.0.1", 7_000))
                site.store.put(registration, record.encode())
                site.store.put("servers/i-0", make_cold_entry(port))
                await until(lambda: entry.fleet.cold_count and entry.entries.registered)
                replies = await asyncio.gather(
                    *(site.ask("/safe/", request_id=f"q-{at}") for at in range(6))
                )
                issued = entry.permits.cold_issuer.issued
                return [reply.status for reply in replies], issued

        with mock.patch("tests.gateway.sites.make_settings", make_cold_settings):
            statuses, issued = run(play())
        self.assertEqual(statuses.count(200), issued)
        self.assertIn(issued, (1, 2, 3))
        self.assertEqual(set(statuses), {200, 503})


def make_cold_settings(store_port):
    settings = make_settings(store_port)
    bounds = dataclasses.replace(settings.bounds, cold_over=OVER, cold_slack=SLACK)
    return dataclasses.replace(settings, bounds=bounds)


def make_cold_entry(port):
    return make_upstream_entry(
        "svc", f"127.0.0.1:{port}", zone="kl-a", coldRemainingMs=9_000
    )


if __name__ == "__main__":
    unittest.main()
