import asyncio
import os
import random
import types
import unittest
from unittest import mock

import orjson

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import group_rooms
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.defaults import MAX_LOAD_AGE_MS
from fuchsiahatch_gateway.entry import Entry
from fuchsiahatch_gateway.entry_gauges import add_gauges
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.group_rooms import GroupRooms
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import METRICS_PATH, Process
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_routing.pass_model import INITIAL_IMBALANCE
from tests.gateway.rank_group_model import ENGINE, SLOTS, make_document, make_routes
from tests.gateway.sites import make_settings
from tests.gateway.test_fleet import item
from tests.loopback import run

RANKS = 8
#: Pass times of 5 requests per rank at imbalances of 1.2 and 2.5.
EVEN_MS = 86.5
SKEWED_MS = 146.7


class _GroupCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.start(make_routes())

    def start(self, routes, entries=1):
        self.fleet = Fleet("a", self.clock, random.Random(1))
        self.fleet.engine_of = routes.engine_of
        self.rooms = GroupRooms(
            routes,
            self.fleet.of_service,
            lambda: entries,
            self.clock,
            random.Random(2),
            lambda: self.fleet.drains.zones,
        )
        self.fleet.on_reported = self.rooms.note_report
        self.fleet.full_groups = self.rooms.full_groups
        self.fleet.takes_turn = self.rooms.takes_turn
        ranks = {f"i{n}": item(f"i{n}", n + 1, slots=SLOTS) for n in range(RANKS)}
        self.fleet.apply(ranks)

    def report(self, *loads, pass_ms=0.0, group="g", is_open=True):
        """Have the ranks report, some time after their last reports."""
        self.clock.advance(100)
        for port, running in enumerate(loads, 1):
            address = f"10.0.0.1:{port}"
            self.fleet.observe(
                LoadReport(address, 0, running, 1.0, is_open, group, pass_ms, 0)
            )

    def admits(self, urgency=0):
        return self.fleet.choose("svc", (), RequestTraits("t", urgency)) is not None

    def admitted(self):
        return [urgency for urgency in (0, 1, 2) if self.admits(urgency)]

    def imbalance(self):
        return self.rooms.readings()["g"].imbalance


class TestRoom(_GroupCase):
    def test_a_group_that_starts_is_assumed_to_be_unbalanced(self):
        # 8 ranks of 4.53 requests: 36.2. With 40 on them, the passes after the first
        # shift of demand take over 150 ms, and all streams are late.
        self.report(*[5] * 4, *[4] * 4)
        self.assertEqual(self.imbalance(), INITIAL_IMBALANCE)
        self.assertFalse(self.admits())
        self.report(*[5] * 3, *[4] * 5)
        self.assertTrue(self.admits())

    def test_all_slots_are_used_once_passes_were_measured_to_be_even(self):
        for _ in range(1_000):
            self.report(*[5] * RANKS, pass_ms=EVEN_MS)
        self.report(*[5] * (RANKS - 1), 4, pass_ms=EVEN_MS)
        self.assertTrue(self.admits(0))

    def test_long_passes_leave_less_room(self):
        for _ in range(1_000):
            self.report(*[5] * RANKS, pass_ms=EVEN_MS)
        self.report(*[5] * RANKS, pass_ms=SKEWED_MS)
        self.report(*[5] * (RANKS - 1), 4, pass_ms=SKEWED_MS)
        self.assertFalse(self.admits(0))

    def test_less_urgent_requests_are_held_back_first(self):
        # 36.2 requests in all, 33.3 for the second class and 30.8 for the third.
        for requests, admitted in (
            (29, [0, 1, 2]),
            (31, [0, 1]),
            (32, [0, 1]),
            (33, [0]),
            (35, [0]),
            (36, []),
        ):
            loads = [requests // RANKS + (n < requests % RANKS) for n in range(RANKS)]
            self.report(*loads)
            self.assertEqual(self.admitted(), admitted, requests)

    def test_requests_sent_since_the_reports_count(self):
        self.report(*[4] * RANKS)
        for upstream in list(self.fleet.upstreams.values())[:4]:
            upstream.local_requests += 1
        self.assertFalse(self.admits())

    def test_ranks_that_get_no_new_requests_count(self):
        # A rank that is leaving still takes part in each pass, with its streams. If it
        # did not count, the room would shrink to that of the other ranks.
        self.report(*[4] * RANKS)
        self.assertEqual(self.admitted(), [0, 1])
        leaving = {
            f"i{n}": item(f"i{n}", n + 1, 2, slots=SLOTS, state="draining")
            for n in range(4)
        }
        staying = {f"i{n}": item(f"i{n}", n + 1, slots=SLOTS) for n in range(4, RANKS)}
        self.fleet.apply({**leaving, **staying})
        self.report(*[4] * RANKS)
        self.assertEqual(self.admitted(), [0, 1])

    def test_room_is_reserved_beside_ranks_in_a_drained_zone(self):
        # Their free slots count as room, and the other ranks have fewer slots than 0.85
        # of it: less urgent requests would fill all of them in a burst.
        zones = {f"i{n}": "b" if n < 4 else "a" for n in range(RANKS)}
        self.fleet.apply(
            {
                name: item(name, port, slots=SLOTS, zone=zone)
                for port, (name, zone) in enumerate(zones.items(), 1)
            }
        )
        self.fleet.apply_drains({"b"})
        self.report(*[0] * 4, *[4] * 3, 5)
        self.assertEqual(self.admitted(), [0, 1])
        self.report(*[0] * 4, *[5] * 3, 3)
        self.assertEqual(self.admitted(), [0])

    def test_another_group_is_used_instead(self):
        self.report(*[5] * 4, group="full")
        for port in range(5, RANKS + 1):
            address = f"10.0.0.1:{port}"
            self.fleet.observe(LoadReport(address, 0, 2, 1.0, True, "free", 0.0, 0))
        chosen = {self.fleet.choose("svc", ()).group for _ in range(20)}
        self.assertEqual(chosen, {"free"})


class TestWithoutLimit(_GroupCase):
    def test_silent_agents_leave_only_the_slots(self):
        # Reports of half of the ranks say nothing about the group, and a frozen load
        # would keep it closed.
        self.report(*[5] * RANKS)
        self.assertFalse(self.admits())
        self.clock.advance(MAX_LOAD_AGE_MS)
        self.report(*[4] * 4)
        self.assertEqual(self.admitted(), [0, 1, 2])

    def test_a_few_silent_agents_leave_the_limit_of_the_others(self):
        self.report(*[5] * RANKS)
        self.clock.advance(MAX_LOAD_AGE_MS)
        self.report(*[5] * 5, 4)
        self.assertEqual(self.rooms.full_groups("svc", RequestTraits()), {"g"})

    def test_a_service_without_a_pause_objective_is_limited_by_its_slots(self):
        self.start(make_routes(gap_ms=None))
        self.report(*[5] * (RANKS - 1), 4)
        self.assertEqual(self.admitted(), [0, 1, 2])
        self.assertEqual(self.rooms.readings(), {})

    def test_engines_without_a_time_per_request_are_limited_by_their_slots(self):
        # The imbalance would be a quotient by zero: each load report and each choice
        # of an upstream would fail, and no request of the service would be served.
        self.start(make_routes(engine={**ENGINE, "per_seq_ms": 0.0}))
        self.report(*[5] * (RANKS - 1), 4, pass_ms=EVEN_MS)
        self.assertEqual(self.admitted(), [0, 1, 2])

    def test_routes_of_one_priority_are_limited_by_their_slots(self):
        # Guards against requests that are held back though none is more urgent: late
        # first events in place of long pauses, and some refused.
        self.start(make_routes(urgencies=(2,)))
        self.report(*[5] * (RANKS - 1), 4, pass_ms=SKEWED_MS)
        self.assertEqual(self.admitted(), [0, 1, 2])
        self.assertTrue(self.fleet.takes_turn(self.fleet.upstreams["i0"], ANY_REQUEST))
        self.assertEqual(self.rooms.readings(), {})

    def test_engines_outside_of_groups_are_limited_by_their_slots(self):
        self.report(*[5] * (RANKS - 1), 4, group="")
        self.assertEqual(self.admitted(), [0, 1, 2])


class TestTurns(_GroupCase):
    def turns(self, entries):
        """Return how many of 20 reports within an interval allow a request."""
        self.start(make_routes(), entries)
        self.report(*[4] * RANKS)
        upstream = self.fleet.upstreams["i0"]
        allowed = 0
        for _ in range(20):
            self.clock.advance(5)
            allowed += self.rooms.takes_turn(upstream, RequestTraits())
        return allowed

    def test_an_entry_among_many_takes_its_part_of_the_room(self):
        # 4 requests fit: 31 entries that see this would send 31 and more.
        self.assertLessEqual(self.turns(31), 1)

    def test_a_single_entry_awaits_no_turn(self):
        self.assertEqual(self.turns(1), 20)


class TestState(_GroupCase):
    def test_a_change_of_the_room_by_a_whole_request_is_logged_once(self):
        with mock.patch.object(group_rooms, "log_event") as log:
            for _ in range(4):
                self.report(*[5] * RANKS, pass_ms=SKEWED_MS)
            log.assert_not_called()
            for _ in range(20):
                self.report(*[5] * RANKS, pass_ms=200.0)
        log.assert_called_once()
        self.assertEqual(log.call_args.args, (Event.GROUP_ROOM_CHANGED,))
        fields = log.call_args.kwargs
        self.assertEqual((fields["group"], fields["ranks"]), ("g", RANKS))
        self.assertLess(fields["room_per_rank"], fields["before"] - 1.0)
        self.assertEqual(fields["pass_ms"], 200.0)
        self.assertEqual(fields["report_age_ms"], 0)

    def test_readings_state_room_and_load_of_all_ranks(self):
        self.report(*[3] * RANKS)
        self.clock.advance(group_rooms.EVALUATION_INTERVAL_MS)
        self.report(*[3] * RANKS)
        reading = self.rooms.readings()["g"]
        self.assertAlmostEqual(reading.room, 4.53 * RANKS, places=1)
        self.assertEqual(reading.imbalance, INITIAL_IMBALANCE)

    def test_a_group_that_is_gone_is_dropped(self):
        # Groups of former layouts would stay in the metrics for ever.
        self.report(*[3] * RANKS, group="former")
        self.clock.advance(group_rooms.FORGET_MS)
        self.report(*[3] * RANKS)
        self.assertEqual(list(self.rooms.readings()), ["g"])

    def test_a_group_without_reports_has_no_reading(self):
        # Once all agents are silent, or the limit is removed from the configuration,
        # no further report drops the group: its last load would be shown for ever.
        self.report(*[3] * RANKS)
        self.clock.advance(group_rooms.FORGET_MS + 1)
        self.assertEqual(self.rooms.readings(), {})


class TestEntry(unittest.TestCase):
    def setUp(self):
        null = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, null)
        self.process = Process(make_settings(1), LineWriter(null, lambda: 0))
        self.entry = Entry(self.process)
        self.entry.routes.apply(orjson.dumps(make_document()))
        self.entry.fleet.apply({"i0": item("i0", 1, slots=SLOTS)})

    def report(self, running):
        load = LoadReport("10.0.0.1:1", 0, running, 1.0, True, "g", 0.0, 0)
        self.entry._handle_load(load, None)

    def test_its_choice_of_upstreams_keeps_the_room(self):
        # Four requests of 4.53 on a rank of 5 slots.
        self.report(3)
        self.assertIsNotNone(self.entry.fleet.choose("svc", (), RequestTraits()))
        self.report(4)
        self.assertIsNone(self.entry.fleet.choose("svc", (), RequestTraits()))

    def test_it_reserves_room_beside_a_drained_zone(self):
        # 10 slots are left of three ranks with room for 13.6 requests.
        zones = {"i0": "a", "i1": "a", "i2": "b"}
        self.entry.fleet.apply(
            {
                name: item(name, port, slots=SLOTS, zone=zone)
                for port, (name, zone) in enumerate(zones.items(), 1)
            }
        )
        self.entry.fleet.apply_drains({"b"})
        for port, running in ((1, 4), (2, 4), (3, 0)):
            address = f"10.0.0.1:{port}"
            load = LoadReport(address, 0, running, 1.0, True, "g", 0.0, 0)
            self.entry._handle_load(load, None)
        choose = self.entry.fleet.choose
        self.assertIsNotNone(choose("svc", (), RequestTraits(priority_class=0)))
        self.assertIsNone(choose("svc", (), RequestTraits(priority_class=2)))

    def test_a_request_that_waits_when_agents_fall_silent_is_served(self):
        # Only slots count once the last reports are too old, but no event says so. A
        # patient caller's request would wait beside free slots until it is refused.
        async def wait():
            self.report(SLOTS)
            serving = asyncio.ensure_future(self.entry._serve_waiting_forever())
            traits = RequestTraits("t", 2)
            waiting = asyncio.ensure_future(
                self.entry.placer.acquire("svc", traits, (), 2_000)
            )
            await asyncio.sleep(0.01)
            self.entry.fleet.upstreams["i0"].reported_ms -= MAX_LOAD_AGE_MS
            try:
                return (await waiting).local_requests
            finally:
                serving.cancel()

        self.assertEqual(run(wait()), 1)

    def test_its_metrics_have_each_group(self):
        add_gauges(self.entry, self.process)
        self.report(4)
        bodies = []
        exchange = types.SimpleNamespace(
            target=METRICS_PATH, respond=lambda *answer: bodies.append(answer[2])
        )
        run(self.process._answer_metrics(exchange))
        for line in (b"room", b"load", b"imbalance"):
            self.assertIn(b'fuchsiahatch_group_%b{group="g"}' % line, bodies[0])


if __name__ == "__main__":
    unittest.main()
