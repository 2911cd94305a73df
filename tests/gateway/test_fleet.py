import random
import unittest

import orjson

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway import fleet, group_returns, upstream_gate
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.known_upstream import places_of_rank
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from tests.gateway.sites import ENGINE


def item(instance, port, created=1, **changes):
    fields = make_upstream_entry("svc", f"10.0.0.1:{port}", **changes)
    return Item(f"servers/{instance}", orjson.dumps(fields), created, created)


def load(
    port,
    running=0,
    queued=0,
    pace=1.0,
    is_open=True,
    group="",
    pass_ms=0.0,
    born_ms=0,
):
    upstream = f"10.0.0.1:{port}"
    return LoadReport(upstream, queued, running, pace, is_open, group, pass_ms, born_ms)


class TestFleet(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.fleet = Fleet("a", self.clock, random.Random(1))

    def apply(self, **items):
        self.fleet.apply(items)

    def choose(self, tried=()):
        chosen = self.fleet.choose("svc", tried)
        return None if chosen is None else chosen.entry.instance

    def test_the_newest_incarnation_at_an_address_counts(self):
        # After a power loss half of all requests are refused for seconds: they go to
        # previous incarnations of upstreams, whose entries haven't expired yet.
        self.apply(new=item("new", 80, created=9), old=item("old", 80, created=3))
        self.assertEqual(list(self.fleet.upstreams), ["new"])

    def test_the_first_load_reports_of_engines_are_awaited(self):
        # After a complete power loss a request is refused twice in a row: entries are
        # up half a second before the rank groups have formed, and send requests to
        # engines that refuse them.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        self.assertIsNone(self.choose())
        self.fleet.observe(load(1, is_open=False))
        self.fleet.observe(load(2))
        self.assertEqual(self.choose(), "b")

    def test_each_engine_gets_nothing_before_its_own_first_report(self):
        # After a complete power loss 400 requests are refused, a third of them twice:
        # entries are up before the agents. When the first agents report that their
        # group is forming, the engines of all other agents look open, get requests and
        # refuse them. All such refusals come between the starts of the first and the
        # last agent, and end when the groups have formed.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, is_open=False))
        self.assertIsNone(self.choose())
        self.fleet.observe(load(2, is_open=False))
        self.clock.advance(upstream_gate.FIRST_REPORT_TIMEOUT_MS)
        self.assertIsNone(self.choose())
        self.fleet.observe(load(2))
        self.assertEqual(self.choose(), "b")

    def test_a_rank_group_that_lost_a_member_gets_nothing_until_it_reports_again(self):
        # Its other members report for 1.5 s that it works, and then that it doesn't.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        for port in (1, 2):
            self.fleet.observe(load(port, group="g"))
        self.fleet.note_crash("a@0", "g")
        self.assertIsNone(self.choose())
        self.fleet.observe(load(2, group="g"))
        self.assertIsNone(self.choose())
        self.fleet.observe(load(2, group="g", is_open=False))
        self.clock.advance(300)
        self.fleet.observe(load(2, group="g"))
        self.clock.advance(upstream_gate.OPENING_DELAY_MS)
        self.assertEqual(self.choose(), "b")

    def test_the_return_of_crashed_groups_is_learned(self):
        self.apply(a=item("a", 1), b=item("b", 2), c=item("c", 3))
        for port, group in ((1, "g"), (2, "g"), (3, "h")):
            self.fleet.observe(load(port, group=group))
        self.assertIsNone(self.fleet.return_ms("svc", None))
        self.fleet.note_crash("a@0", "g")
        self.assertIsNone(self.fleet.return_ms("svc", None))
        self.clock.advance(500)
        self.fleet.note_crash("c@0", "h")
        left_ms = group_returns.DEFAULT_RETURN_MS - 500
        self.assertEqual(self.fleet.return_ms("svc", None), left_ms)
        self.clock.advance(1_500)
        self.fleet.observe(load(2, group="g", is_open=False))
        self.clock.advance(1_000)
        self.fleet.observe(load(2, group="g"))
        self.assertIsNone(self.fleet.return_ms("svc", None))
        self.fleet.note_crash("b@0", "g")
        self.assertEqual(self.fleet.return_ms("svc", None), 500)

    def test_a_group_that_reports_no_stall_is_used_again_after_a_time(self):
        self.apply(a=item("a", 1), b=item("b", 2), c=item("c", 3))
        for port, group in ((1, "g"), (2, "g"), (3, "h")):
            self.fleet.observe(load(port, group=group))
        self.fleet.note_crash("a@0", "g")
        self.assertEqual({self.choose() for _ in range(20)}, {"c"})
        self.fleet.note_crash("c@7", "h")
        self.assertEqual(self.choose(), "c")
        self.clock.advance(fleet.GROUP_CLOSED_MS)
        for port in (2, 3):
            self.fleet.observe(load(port, group="g" if port == 2 else "h"))
        self.assertEqual({self.choose() for _ in range(20)}, {"b", "c"})

    def test_the_first_engine_that_opens_does_not_get_all_waiting_requests(self):
        # After a complete power loss the first of 64 engines that opens gets the
        # requests of all 33 entries at once: it has 5 slots and queues 20 more, and
        # refuses 100; others wait in its queue for a second. Its group opened with it,
        # and the reports of the other ranks were some 100 ms away. The refusals came
        # 3 ms after a report that was 0 to 2 ms old, all at three engines.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2), c=item("c", 3))
        for port in (1, 2, 3):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(1, group="g"))
        self.assertIsNone(self.choose())
        self.clock.advance(upstream_gate.OPENING_DELAY_MS)
        self.fleet.observe(load(2, group="g"))
        self.assertIn(self.choose(), ("a", "b"))

    def test_engines_that_open_one_by_one_are_withheld_for_one_delay(self):
        # After a complete power loss the ranks of a group open one after another, some
        # 50 ms apart. Callers wait until the last one has opened, though the first have
        # had free slots for long: each further one restarts the delay, as none counts
        # as usable during it.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(**{name: item(name, port) for port, name in enumerate("abcd", 1)})
        for port in (1, 2, 3, 4):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(1, group="g"))
        self.clock.advance(upstream_gate.OPENING_DELAY_MS // 2)
        self.fleet.observe(load(2, group="g"))
        self.assertIsNone(self.choose())
        self.clock.advance(
            upstream_gate.OPENING_DELAY_MS - upstream_gate.OPENING_DELAY_MS // 2
        )
        self.fleet.observe(load(3, group="g"))
        self.assertIn(self.choose(), ("a", "b", "c"))

    def test_a_group_that_opens_again_is_delayed_again(self):
        # A rank dies and its group forms again: all its engines close, and the first to
        # open again would get the waiting requests of all entries.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, group="g"))
        self.fleet.observe(load(2, group="g"))
        self.clock.advance(10 * upstream_gate.OPENING_DELAY_MS)
        for port in (1, 2):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(2, group="g"))
        self.assertIsNone(self.choose())
        self.clock.advance(upstream_gate.OPENING_DELAY_MS)
        self.assertEqual(self.choose(), "b")

    def test_there_is_no_delay_once_all_are_open(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        for port in (1, 2):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(1, group="g"))
        self.fleet.observe(load(2, group="g"))
        self.assertIsNotNone(self.choose())

    def test_an_engine_that_opens_while_others_are_open_is_used_at_once(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2), c=item("c", 3))
        self.clock.advance(upstream_gate.FIRST_REPORT_TIMEOUT_MS)
        self.fleet.observe(load(1, running=6, group="g"))
        self.fleet.observe(load(2, is_open=False, group="h"))
        self.fleet.observe(load(3, is_open=False, group="h"))
        self.fleet.observe(load(2, group="g"))
        self.assertEqual(self.choose(), "b")

    def test_reports_that_become_less_frequent_again_are_no_silence(self):
        # With 100 entries an engine reports its load every 0.9 s, and every 0.1 s while
        # it is nearly full. In the hour after a busy one, three quarters of all engines
        # look silent to each entry at any moment, and the others get all requests.
        self.apply(a=item("a", 1))
        for _ in range(50):
            self.clock.advance(100)
            self.fleet.observe(load(1, running=5))
        for _ in range(5):
            self.clock.advance(900)
            self.fleet.observe(load(1, running=1))
        self.clock.advance(899)
        upstream = self.fleet.upstreams["a"]
        self.assertFalse(upstream.is_silent(self.clock.now_ms()))

    def test_missing_load_reports_delay_requests_for_a_limited_time(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1))
        self.assertIsNone(self.choose())
        self.clock.advance(upstream_gate.FIRST_REPORT_TIMEOUT_MS)
        self.assertEqual(self.choose(), "a")

    def test_leaving_and_closed_upstreams_get_no_request(self):
        self.apply(a=item("a", 1, state="draining"), b=item("b", 2), c=item("c", 3))
        self.fleet.observe(load(2, is_open=False))
        self.assertEqual({self.choose() for _ in range(10)}, {"c"})

    def test_the_least_loaded_is_chosen_until_all_are_full(self):
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, running=5))
        self.fleet.observe(load(2, running=2))
        self.assertEqual(self.choose(), "b")
        self.fleet.observe(load(2, running=6))
        self.assertEqual(self.choose(), "a")
        self.fleet.observe(load(1, running=5, queued=2))
        self.assertIsNone(self.choose())

    def test_a_stale_report_is_ignored(self):
        self.apply(a=item("a", 1))
        self.fleet.observe(load(1, running=6))
        self.assertIsNone(self.choose())
        self.clock.advance(5_000)
        self.assertEqual(self.choose(), "a")

    def test_a_slow_upstream_gets_fewer_requests(self):
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, running=1, pace=6.0))
        self.fleet.observe(load(2, running=5))
        self.assertEqual(self.choose(), "b")
        self.fleet.observe(load(2, running=6))
        self.assertIsNone(self.choose())

    def test_a_very_slow_rank_of_a_group_gets_no_request(self):
        # All streams of a service are late while one of 12 engines works at a twelfth
        # of its pace: with a minimum of one request, each pass of the group waits for
        # the step of that request.
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, running=0, pace=12.0, group="g"))
        self.fleet.observe(load(2, running=6, group="g"))
        self.assertIsNone(self.choose())
        self.fleet.observe(load(2, running=5, group="g"))
        self.assertEqual(self.choose(), "b")

    def test_a_group_whose_ranks_are_all_slow_is_filled(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.apply(a=item("a", 1), b=item("b", 2))
        for port in (1, 2):
            self.fleet.observe(load(port, running=5, pace=5.0, group="g"))
        self.assertIsNotNone(self.choose())

    def test_places_of_a_slow_rank_take_no_longer_than_a_full_one(self):
        for slowness, places in ((1.0, 6), (1.3, 4), (2.0, 1), (3.0, 0), (12.0, 0)):
            self.assertEqual(places_of_rank(ENGINE, 6, slowness), places)

    def test_a_slow_group_is_filled_last(self):
        # Half of all streams have gaps though every second slot is free: requests go to
        # the 7 healthy ranks of a group whose 8th works at a twelfth of its pace.
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(1, running=1, group="g-1", pass_ms=700.0))
        self.fleet.observe(load(2, running=5, group="g-2", pass_ms=65.0))
        self.assertEqual(self.choose(), "b")
        self.fleet.observe(load(2, running=6, group="g-2", pass_ms=65.0))
        self.assertEqual(self.choose(), "a")

    def test_an_upstream_whose_agent_fell_silent_is_chosen_last(self):
        # One of 12 engines gets most requests, and none of them is answered: its host
        # has stalled, its load is no longer reported, and it looks idle.
        self.apply(a=item("a", 1), b=item("b", 2))
        for _ in range(10):
            self.clock.advance(100)
            self.fleet.observe(load(1))
            self.fleet.observe(load(2, running=4))
        for _ in range(5):
            self.clock.advance(100)
            self.fleet.observe(load(2, running=5))
        self.assertEqual({self.choose() for _ in range(10)}, {"b"})
        self.fleet.observe(load(2, running=6))
        self.assertEqual(self.choose(), "a")

    def test_infrequent_reports_are_no_silence(self):
        self.apply(a=item("a", 1))
        for _ in range(30):
            self.clock.advance(400)
            self.fleet.observe(load(1))
        self.clock.advance(900)
        self.assertFalse(self.fleet.upstreams["a"].is_silent(self.clock.now_ms()))
        self.clock.advance(800)
        self.assertTrue(self.fleet.upstreams["a"].is_silent(self.clock.now_ms()))

    def test_an_upstream_without_a_report_is_chosen_after_those_with_one(self):
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.observe(load(2, running=3))
        self.assertEqual(self.choose(), "b")

    def test_failures_are_forgotten(self):
        self.apply(a=item("a", 1), b=item("b", 2))
        self.fleet.upstreams["a"].note_failure(0)
        self.assertEqual({self.choose() for _ in range(10)}, {"b"})
        self.clock.advance(60_000)
        self.assertEqual({self.choose() for _ in range(30)}, {"a", "b"})

    def test_a_tried_upstream_is_chosen_last(self):
        self.apply(a=item("a", 1), b=item("b", 2))
        self.assertEqual({self.choose(("a",)) for _ in range(10)}, {"b"})
        self.assertIsNotNone(self.choose(("a", "b")))

    def test_another_group_is_chosen_after_a_failure(self):
        # A stream stops twice: it is resumed at another rank of the group of which a
        # member has just died.
        self.apply(a=item("a", 1), b=item("b", 2), c=item("c", 3))
        for port, group in ((1, "g-1"), (2, "g-1"), (3, "g-2")):
            self.fleet.observe(load(port, running=5 * (port == 3), group=group))
        self.assertEqual({self.choose(("a",)) for _ in range(10)}, {"c"})
        self.fleet.observe(load(3, running=6, group="g-2"))
        self.assertEqual({self.choose(("a",)) for _ in range(10)}, {"b"})

    def test_a_restart_discards_the_state_of_the_previous_incarnation(self):
        # A fifth of the slots stays unused for good: an engine crashed, another one
        # answered at its address meanwhile, and it came back under its own instance.
        self.apply(a=item("a", 1, born=1_000))
        former = self.fleet.upstreams["a"]
        former.local_requests, former.misplaced = 6, True
        former.note_failure(0)
        self.fleet.observe(load(1, running=6, pace=12.0, group="g", born_ms=1_000))
        self.assertIsNone(self.choose())
        departed = []
        self.fleet.on_departed = departed.append
        self.apply(a=item("a", 1, born=2_000, sequence=1))
        self.assertEqual(self.choose(), "a")
        current = self.fleet.upstreams["a"]
        self.assertEqual(
            (current.local_requests, current.pace, current.group), (0, 1.0, "")
        )
        self.assertFalse(self.fleet.is_usable(former))
        self.assertEqual([entry.born_ms for entry in departed], [1_000])

    def test_the_agent_is_first_to_report_a_restart(self):
        # A crashed engine is back within a second, while the store still has the entry
        # of its previous incarnation, which is leaving and whose load is still known.
        self.apply(a=item("a", 1, born=1_000, state="draining"))
        self.fleet.observe(load(1, running=6, born_ms=1_000))
        self.fleet.observe(load(1, running=1, born_ms=2_000))
        self.apply(a=item("a", 1, born=1_000, state="draining", sequence=2))
        self.assertEqual(self.choose(), "a")
        self.fleet.observe(load(1, running=6, queued=9, born_ms=1_000))
        self.assertEqual(self.fleet.upstreams["a"].load(0), 1)

    def test_a_first_known_start_time_is_no_restart(self):
        self.apply(a=item("a", 1))
        self.fleet.upstreams["a"].local_requests = 2
        self.fleet.observe(load(1, running=2, born_ms=1_000))
        self.assertEqual(self.fleet.upstreams["a"].local_requests, 2)

    def test_an_unreadable_entry_is_counted_once(self):
        # One bad entry would fill the log if it were logged at each change of any.
        broken = Item("servers/b", b"{", 1, 1)
        for _ in range(3):
            self.apply(a=item("a", 1), b=broken)
        self.assertEqual(self.fleet.unreadable, 1)
        self.assertEqual(list(self.fleet.upstreams), ["a"])

    def test_an_unreadable_entry_is_skipped(self):
        broken = Item("servers/b", b"{", 1, 1)
        self.apply(a=item("a", 1), b=broken)
        self.assertEqual(list(self.fleet.upstreams), ["a"])
