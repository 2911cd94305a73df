import asyncio
import random
import unittest
from unittest import mock

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway import zone_drains
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from fuchsiahatch_gateway.stated_rates import StatedRate
from fuchsiahatch_gateway.store_health import StoreHealth
from fuchsiahatch_gateway.upstream_gate import FIRST_REPORT_TIMEOUT_MS
from fuchsiahatch_gateway.zone_drains import ZoneDrains
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import ENGINE, Site, answers, event_ids, until, upstream
from tests.gateway.test_fleet import item, load
from tests.loopback import run

DRAIN = "op/evacuate/"
#: Requests after which each of two usable upstreams would have got some.
REQUESTS = 12
#: Tags of requests, so that no two have the same id.
TAGS = iter(range(1_000_000))


class TestZoneDrains(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.drains = ZoneDrains(self.clock)

    def apply(self, *zones):
        with mock.patch.object(zone_drains, "log_event") as write:
            self.drains.apply(zones, {"a": 2, "b": 0})
        return [(call.args[0], call.kwargs["zone"]) for call in write.call_args_list]

    def test_each_begin_and_end_has_one_line(self):
        begun, ended = Event.ZONE_DRAIN_BEGUN, Event.ZONE_DRAIN_ENDED
        self.assertEqual(self.apply("a"), [(begun, "a")])
        self.assertEqual(self.apply("a"), [])
        self.assertEqual(self.apply("b"), [(begun, "b"), (ended, "a")])

    def test_an_unknown_zone_is_logged(self):
        lines = self.apply("x")
        self.assertIn((Event.DRAINED_ZONE_UNKNOWN, "x"), lines)


class TestFleet(unittest.TestCase):
    """The gate: which upstreams may get new requests."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.fleet = Fleet("a", self.clock, random.Random(1), self.clock)
        self.fleet.apply({"i": item("i", 1, zone="a"), "j": item("j", 2, zone="b")})

    def chosen(self):
        choices = (self.fleet.choose("svc", ()) for _ in range(REQUESTS))
        return {choice and choice.entry.instance for choice in choices}

    def test_upstreams_of_a_drained_zone_get_no_request(self):
        self.fleet.apply_drains({"a"})
        self.assertEqual(self.chosen(), {"j"})
        self.assertFalse(self.fleet.is_usable(self.fleet.upstreams["i"]))
        self.assertTrue(self.fleet.is_usable(self.fleet.upstreams["j"]))

    def test_an_upstream_that_registers_in_a_drained_zone_gets_none(self):
        self.fleet.apply_drains({"c"})
        self.fleet.apply({"k": item("k", 3, zone="c")})
        self.assertEqual(self.chosen(), {None})

    def test_an_upstream_that_restarts_in_a_drained_zone_gets_none(self):
        self.fleet.apply_drains({"a"})
        items = {"i": item("i", 1, zone="a", born=5), "j": item("j", 2, zone="b")}
        self.fleet.apply(items)
        self.fleet.observe(load(1, born_ms=9_000))
        self.assertEqual(self.chosen(), {"j"})

    def test_requests_go_there_again_after_the_end(self):
        self.fleet.apply_drains({"a", "b"})
        self.assertEqual(self.chosen(), {None})
        self.fleet.apply_drains({"b"})
        self.assertEqual(self.chosen(), {"i"})

    def test_a_service_is_drained_if_all_its_upstreams_are_that_do_not_leave(self):
        self.assertIsNone(self.fleet.gate.refusal("svc"))
        self.fleet.apply_drains({"a"})
        self.assertIsNone(self.fleet.gate.refusal("svc"))
        self.fleet.upstreams["j"].misplaced = True
        self.assertEqual(self.fleet.gate.refusal("svc"), Code.ZONE_DRAINED)
        self.assertIsNone(self.fleet.gate.refusal("other"))

    def test_a_service_with_a_backoff_elsewhere_is_not_drained(self):
        self.fleet.apply_drains({"a"})
        self.fleet.upstreams["j"].statements.backoff_until_ms = 60_000
        self.assertIsNone(self.fleet.gate.refusal("svc"))
        self.assertEqual(self.fleet.gate.unavailability("svc").wait_ms, 50_000)

    def test_a_service_whose_group_opens_again_is_not_drained(self):
        # The group of all upstreams opens again, and the report of its rank in the
        # drained zone comes first: all waiting requests would be refused, some 50 ms
        # before the other ranks open.
        self.fleet.engine_of = lambda service: ENGINE
        self.clock.advance(FIRST_REPORT_TIMEOUT_MS)
        self.fleet.apply_drains({"a"})
        for port in (1, 2):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(1, group="g"))
        self.assertIsNone(self.fleet.gate.refusal("svc"))

    def test_a_service_whose_first_load_reports_are_awaited_is_not_drained(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.fleet.apply_drains({"a"})
        self.assertIsNone(self.fleet.gate.refusal("svc"))

    def test_ranks_in_a_drained_zone_do_not_delay_a_group_that_opens(self):
        # All ranks outside the drained zone are open; the delay at opening waits for
        # further ones.
        self.fleet.engine_of = lambda service: ENGINE
        self.fleet.apply_drains({"a"})
        for port in (1, 2):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(2, group="g"))
        self.assertEqual(self.chosen(), {"j"})


class TestDeletions(unittest.TestCase):
    """The operator's items have no leases, and end when they are deleted."""

    def play(self, leased):
        health, clock = StoreHealth(), ManualClock(1_000)
        copy = ItemCopy("z/", health, clock, lambda: None, leased)
        health.note_failure(1_000, "")
        clock.advance(10_000)
        health.note_answer(clock.now_ms())
        copy.replace_all([item_of(f"z/{number}") for number in range(6)])
        copy.replace_all([])
        return len(copy.items), health.settled(clock.now_ms() + 5_000)

    def test_items_without_leases_go_at_once_after_an_outage(self):
        async def play():
            self.assertEqual(self.play(leased=True)[0], 6)
            self.assertEqual(self.play(leased=False)[0], 0)

        run(play())

    def test_the_end_of_many_drains_is_no_sign_of_lost_leases(self):
        # The deletion of upstreams' entries would be deferred for 2.3 s after it.
        async def play():
            health, clock = StoreHealth(), ManualClock(1_000)
            copy = ItemCopy("z/", health, clock, lambda: None, leased=False)
            copy.replace_all([item_of(f"z/{number}") for number in range(6)])
            copy.replace_all([])
            return health.settled(clock.now_ms())

        self.assertTrue(run(play()))


def item_of(key):
    return Item(key, b"", 1, 1)


class TestPlacer(unittest.TestCase):
    def acquire(self, placer, wait_ms=500):
        return placer.acquire("svc", RequestTraits("t", 1), (), wait_ms)

    def test_a_drain_that_begins_while_a_permit_is_awaited_is_kept(self):
        async def play(loop):
            fleet = Fleet("a", loop.make_clock(), random.Random(1))
            fleet.apply({"i": item("i", 1, zone="a")})
            fleet.upstreams["i"].stated = StatedRate(5.0, 0)

            async def ask_permit(upstream):
                await asyncio.sleep(0.05)
                fleet.apply_drains({"a"})
                return 0

            placer = Placer(fleet, loop.make_clock(), ask_permit)
            with self.assertRaises(RefusedError) as caught:
                await self.acquire(placer)
            return caught.exception.result, fleet.upstreams["i"].local_requests

        self.assertEqual(run_virtually(play), (Code.ZONE_DRAINED, 0))

    def test_a_drain_that_begins_after_a_slot_was_assigned_is_kept(self):
        # The waiting request has got its slot, and its task hasn't run since.
        async def play(loop):
            fleet = Fleet("a", loop.make_clock(), random.Random(1))
            items = {"i": item("i", 1, zone="a", slots=1)}
            fleet.apply(items)
            placer = Placer(fleet, loop.make_clock())
            first = await self.acquire(placer)
            second = asyncio.ensure_future(self.acquire(placer))
            await asyncio.sleep(0.01)
            placer.release(first)
            fleet.apply(items | {"j": item("j", 2, zone="b")})
            fleet.apply_drains({"a"})
            chosen = await second
            return chosen.entry.instance, first.local_requests

        self.assertEqual(run_virtually(play), ("j", 0))


class TestEntry(unittest.TestCase):
    """A real entry; `i-0` is in zone kl-a, `i-1` in zone kl-b."""

    def play(self, steps, *scripts):
        """Run steps with an entry and its two upstreams; return their result."""

        async def play():
            first = upstream(*(scripts or (answers(body=b"kl-a"),)))
            second = upstream(answers(body=b"kl-b"))
            async with Site(first) as site:
                await site.add_upstream("i-1", second, zone="kl-b")
                await until(lambda: len(site.entry.fleet.upstreams) == 2)
                try:
                    return await steps(site)
                finally:
                    await second.close()

        return run(play())

    async def drain(self, site, *zones, value=b""):
        for zone in zones:
            site.store.put(DRAIN + zone, value)
        await self.until_drained(site, *zones)

    async def until_drained(self, site, *zones):
        drains = site.entry.fleet.drains
        await until(lambda: drains.zones == frozenset(zones))

    async def ask(self, site, path="/safe/x"):
        return await site.ask(path, request_id=f"q-{next(TAGS)}")

    async def bodies(self, site):
        replies = [await self.ask(site) for _ in range(REQUESTS)]
        return {reply.body for reply in replies}

    def check_refused(self, reply):
        self.assertEqual(reply.status, 503)
        self.assertIn(b"[213 ZONE_DRAINED]", reply.body)
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    def test_a_drained_zone_gets_nothing_until_the_item_is_removed(self):
        async def steps(site):
            await self.drain(site, "kl-a")
            during = await self.bodies(site)
            site.store.remove(DRAIN + "kl-a")
            await self.drain(site, "kl-b")
            return during, await self.bodies(site)

        self.assertEqual(self.play(steps), ({b"kl-b"}, {b"kl-a"}))

    def test_an_unreadable_value_drains_too(self):
        async def steps(site):
            await self.drain(site, "kl-a", value=b"\xff\x00 {")
            return await self.bodies(site)

        self.assertEqual(self.play(steps), {b"kl-b"})

    def test_an_unknown_zone_changes_nothing(self):
        async def steps(site):
            await self.drain(site, "nowhere", "")
            reply, fleet = await self.ask(site), site.entry.fleet
            return reply.status, len(fleet.gate.usable("svc"))

        self.assertEqual(self.play(steps), (200, 2))

    def test_all_zones_of_a_service_are_refused_at_once(self):
        async def steps(site):
            await self.drain(site, "kl-a", "kl-b")
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            reply = await self.ask(site)
            return reply, loop.time() - began_s

        reply, took_s = self.play(steps)
        self.check_refused(reply)
        # A request may wait 0.4 of its 1.4 s.
        self.assertLess(took_s, 0.4)

    def test_waiting_requests_are_refused_when_the_last_zone_is_drained(self):
        async def steps(site):
            site.put_upstream("i-0", site.upstreams[0].port, slots=1)
            await self.drain(site, "kl-b")
            fleet = site.entry.fleet
            await until(lambda: fleet.upstreams["i-0"].entry.places == 1)
            holding = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.upstreams[0].received)
            waiting = [asyncio.ensure_future(self.ask(site)) for _ in range(3)]
            await until(lambda: site.entry.placer.waiting == 3)
            site.store.put(DRAIN + "kl-a", b"")
            replies = await asyncio.gather(*waiting)
            return await holding, replies, len(site.upstreams[0].received)

        held, replies, received = self.play(steps, answers_late)
        self.assertEqual((held.status, held.body), (200, b"late"))
        for reply in replies:
            self.check_refused(reply)
        self.assertEqual(received, 1)

    def test_waiting_requests_go_to_another_zone(self):
        async def steps(site):
            site.put_upstream("i-0", site.upstreams[0].port, slots=1)
            fleet = site.entry.fleet
            await until(lambda: fleet.upstreams["i-0"].entry.places == 1)
            await self.drain(site, "kl-b")
            holding = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.upstreams[0].received)
            waiting = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.entry.placer.waiting)
            site.store.put(DRAIN + "kl-a", b"")
            site.store.remove(DRAIN + "kl-b")
            reply = await waiting
            await holding
            return reply.body, len(site.upstreams[0].received)

        self.assertEqual(self.play(steps, answers_late), (b"kl-b", 1))

    def test_a_drain_that_begins_while_a_connection_is_awaited_is_kept(self):
        async def steps(site):
            site.store.remove("servers/i-1")
            fleet, pool = site.entry.fleet, site.entry.pool
            await until(lambda: len(fleet.upstreams) == 1)
            acquire = pool.acquire

            async def acquire_slowly(ip, port, excluded=()):
                connection = await acquire(ip, port, excluded)
                if port == site.upstreams[0].port:
                    await self.drain(site, "kl-a")
                return connection

            with mock.patch.object(type(pool), "acquire", side_effect=acquire_slowly):
                reply = await self.ask(site, "/hold/x")
            return reply, len(site.upstreams[0].received), fleet.upstreams["i-0"]

        reply, received, drained = self.play(steps)
        self.check_refused(reply)
        self.assertEqual(received, 0)
        self.assertEqual(drained.local_requests, 0)

    def test_a_stream_in_progress_finishes_and_a_resumed_one_goes_elsewhere(self):
        async def play():
            go_on = asyncio.Event()
            first, other = upstream(streams_until(go_on)), upstream(continues_stream)
            async with Site(first) as site:
                finishing = asyncio.ensure_future(self.ask(site, "/chat/x"))
                resuming = asyncio.ensure_future(self.ask(site, "/chat/y"))
                await until(lambda: len(first.received) == 2)
                await site.add_upstream("i-1", other, zone="kl-b")
                await until(lambda: len(site.entry.fleet.upstreams) == 2)
                await self.drain(site, "kl-a")
                go_on.set()
                replies = await asyncio.gather(finishing, resuming)
                await other.close()
            received = len(first.received), len(other.received)
            return [event_ids(reply.body) for reply in replies], received

        events, received = run(play())
        self.assertEqual(events, [[1, 2, 3], [1, 2, 3]])
        self.assertEqual(received, (2, 1))

    def test_the_last_state_holds_in_an_outage_and_is_read_anew_after_it(self):
        async def steps(site):
            await self.drain(site, "kl-a")
            site.store.faults.status = 503
            site.store.cut()
            await until(lambda: not site.entry.health.answers)
            site.store.remove(DRAIN + "kl-a")
            site.store.put(DRAIN + "kl-b", b"")
            during = await self.bodies(site)
            site.store.faults.status = 0
            await self.until_drained(site, "kl-b")
            return during, await self.bodies(site)

        self.assertEqual(self.play(steps), ({b"kl-b"}, {b"kl-a"}))

    def test_drains_are_read_anew_after_lost_history(self):
        async def steps(site):
            site.store.faults.status = 503
            site.store.cut()
            await until(lambda: not site.entry.health.answers)
            site.store.put(DRAIN + "kl-a", b"")
            site.store.compact()
            site.store.faults.status = 0
            await self.until_drained(site, "kl-a")
            return await self.bodies(site)

        self.assertEqual(self.play(steps), {b"kl-b"})

    def test_a_store_restored_from_an_older_copy_is_believed(self):
        async def steps(site):
            site.store.put(DRAIN + "kl-a", b"")
            await self.until_drained(site, "kl-a")
            copy = site.store.copy()
            site.store.remove(DRAIN + "kl-a")
            await self.drain(site, "kl-b")
            before = await self.bodies(site)
            site.store.restore(copy)
            await self.until_drained(site, "kl-a")
            return before, await self.bodies(site)

        self.assertEqual(self.play(steps), ({b"kl-a"}, {b"kl-b"}))

    def test_two_zones_at_once_leave_the_third(self):
        async def steps(site):
            third = upstream(answers(body=b"kl-c"))
            await site.add_upstream("i-2", third, zone="kl-c")
            await until(lambda: len(site.entry.fleet.upstreams) == 3)
            await self.drain(site, "kl-a", "kl-b")
            bodies = await self.bodies(site)
            await third.close()
            return bodies

        self.assertEqual(self.play(steps), {b"kl-c"})


class TestStart(unittest.TestCase):
    def test_a_starting_entry_knows_the_drained_zones_before_it_serves(self):
        async def play():
            first = upstream(answers())
            site = Site(first)
            site.store.put(DRAIN + "kl-a", b"")
            async with site:
                reply = await site.ask("/safe/x")
                return reply, len(first.received)

        reply, received = run(play())
        self.assertIn(b"[213 ZONE_DRAINED]", reply.body)
        self.assertEqual(received, 0)


async def answers_late(request, wire):
    await asyncio.sleep(0.4)
    await wire.answer(request, body=b"late")


def streams_until(go_on):
    """Stream an event, and the rest when told to; break off for ``/chat/y``."""

    async def script(request, wire):
        await wire.begin_stream(request)
        await wire.event(1)
        await go_on.wait()
        if request.target.endswith("y"):
            wire.reset()
            return
        for number in (2, 3):
            await wire.event(number)
        await wire.end_stream()

    return script


async def continues_stream(request, wire):
    await wire.begin_stream(request)
    for number in range(int(request.headers["last-event-id"]) + 1, 4):
        await wire.event(number)
    await wire.end_stream()


if __name__ == "__main__":
    unittest.main()
