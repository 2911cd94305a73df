import asyncio
import json
import random
import unittest
from unittest import mock

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.allowed_regions import AllowedRegions, common_regions
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_gateway.stated_rates import StatedRate
from fuchsiahatch_gateway.upstream_gate import FIRST_REPORT_TIMEOUT_MS, OPENING_DELAY_MS
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import (
    ENGINE,
    KEY,
    Reply,
    Site,
    answers,
    dump,
    event_ids,
    make_configuration,
    make_route,
    refuses,
    until,
    upstream,
)
from tests.gateway.test_fleet import item, load
from tests.gateway.test_zone_drains import continues_stream
from tests.loopback import run

ZONES = {"a": "x", "b": "y"}
KL_ZONES = {"kl-a": "kl", "pg-a": "pg"}
NUMBERS = iter(range(1_000_000))


def traits(*regions, route="", team=""):
    return RequestTraits(team, route=route, allowed_regions=frozenset(regions))


def make_limited(version=1, route=None, team=None):
    """Return a configuration whose routes and team have allowed regions."""
    routes = [
        make_route("/safe/", "safe", allowedRegions=route),
        make_route("/hold/", "unsafe", maxAttempts=1, allowedRegions=route),
        make_route("/chat/", "streaming", resumeStreams=True, allowedRegions=route),
        make_route("/open/", "safe", public=True, allowedRegions=route),
        make_route("/free/", "safe"),
    ]
    tenant = {"name": "team-a", "apiKeys": [KEY], "allowedRegions": team}
    return {**make_configuration(version, routes), "tenants": [tenant]}


def decode(**changes):
    return decode_configuration(dump(make_limited(**changes)))


class TestAllowedRegions(unittest.TestCase):
    def setUp(self):
        self.regions = AllowedRegions(lambda: ZONES)

    def of(self, **names):
        names = {"route": "r-safe", "team": "team-a"} | names
        return self.regions.of(traits("then", **names))

    def test_both_limits_apply(self):
        x, y = frozenset("x"), frozenset("y")
        self.assertIsNone(common_regions(None, None))
        self.assertEqual(common_regions(None, x), x)
        self.assertEqual(common_regions(x, None), x)
        self.assertEqual(common_regions(x, x | y), x)
        self.assertEqual(common_regions(x, y), frozenset())

    def test_the_present_configuration_counts(self):
        for route, team, regions in (
            (["x"], None, {"x"}),
            (["x", "y"], ["y", "z"], {"y"}),
            (["x"], ["y"], set()),
            (None, ["y"], {"y"}),
            ([], [], None),
        ):
            with self.subTest(route=route, team=team):
                self.regions.apply(decode(route=route, team=team))
                self.assertEqual(self.of(), regions)

    def test_the_last_limits_of_a_removed_route_or_team_hold(self):
        self.regions.apply(decode(route=["then", "x"], team=None))
        self.assertEqual(self.of(route="gone"), {"then"})
        self.assertEqual(self.of(team="gone"), {"then"})

    def test_a_request_without_a_team_has_the_limits_of_its_route_alone(self):
        self.regions.apply(decode(route=["x"], team=["y"]))
        self.assertEqual(self.of(route="r-open", team=""), {"x"})

    def test_all_limits_of_routes_of_one_name_apply(self):
        routes = [
            make_route("/safe/", "safe", allowedRegions=["x", "y"]),
            make_route("/safe/", "safe", host="other", allowedRegions=["y", "z"]),
        ]
        document = make_limited() | {"routes": routes}
        self.regions.apply(decode_configuration(dump(document)))
        self.assertEqual(self.of(), {"y"})

    def test_a_zone_that_is_not_listed_is_in_no_region(self):
        self.assertTrue(self.regions.include_zone(frozenset("x"), "a"))
        self.assertFalse(self.regions.include_zone(frozenset("x"), "b"))
        self.assertFalse(self.regions.include_zone(frozenset("x"), "c"))
        self.assertFalse(self.regions.include_zone(frozenset(), "a"))
        self.assertTrue(self.regions.include_zone(None, "c"))


class TestFleet(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        regions = AllowedRegions(lambda: ZONES)
        rng = random.Random(1)
        self.fleet = Fleet("a", self.clock, rng, self.clock, regions)
        names = {"i": "a", "j": "b", "k": "c"}
        self.fleet.apply(
            {
                name: item(name, port, zone=zone)
                for port, (name, zone) in enumerate(names.items(), 1)
            }
        )

    def chosen(self, of_request):
        choices = (self.fleet.choose("svc", (), of_request) for _ in range(30))
        return {choice and choice.entry.instance for choice in choices}

    def test_only_upstreams_in_allowed_regions_are_chosen(self):
        self.assertEqual(self.chosen(traits("x")), {"i"})
        self.assertEqual(self.chosen(traits("y")), {"j"})
        self.assertEqual(self.chosen(traits()), {None})
        self.assertEqual(self.chosen(traits("z")), {None})

    def test_an_upstream_without_a_region_gets_only_requests_without_a_limit(self):
        self.fleet.apply_drains({"a", "b"})
        self.assertEqual(self.chosen(ANY_REQUEST), {"k"})
        self.assertEqual(self.chosen(traits("x", "y")), {None})

    def test_the_check_before_the_send_has_them_too(self):
        self.assertTrue(self.fleet.is_usable(self.fleet.upstreams["i"], traits("x")))
        self.assertFalse(self.fleet.is_usable(self.fleet.upstreams["j"], traits("x")))

    def test_refusals(self):
        self.assertIsNone(self.fleet.gate.refusal("svc", frozenset("x")))
        no_place = Code.NO_ALLOWED_PLACE
        self.assertEqual(self.fleet.gate.refusal("svc", frozenset("z")), no_place)
        self.assertEqual(self.fleet.gate.refusal("svc", frozenset()), no_place)
        self.assertEqual(self.fleet.gate.refusal("unknown", frozenset("x")), no_place)
        self.assertIsNone(self.fleet.gate.refusal("unknown", None))

    def test_an_allowed_upstream_that_leaves_is_no_reason_to_refuse_at_once(self):
        self.fleet.upstreams["i"].statements.leaving = True
        self.assertIsNone(self.fleet.gate.refusal("svc", frozenset("x")))

    def test_a_drained_zone_counts_among_the_allowed_ones(self):
        self.fleet.apply_drains({"a"})
        self.assertEqual(
            self.fleet.gate.refusal("svc", frozenset("x")), Code.ZONE_DRAINED
        )
        self.assertIsNone(self.fleet.gate.refusal("svc", frozenset("xy")))

    def test_backoff_periods_elsewhere_do_not_count(self):
        self.fleet.upstreams["i"].statements.backoff_until_ms = 12_000
        self.assertIsNone(self.fleet.gate.unavailability("svc"))
        self.assertEqual(
            self.fleet.gate.unavailability("svc", frozenset("x")).wait_ms, 2000
        )

    def test_engines_in_other_regions_do_not_delay_those_that_open(self):
        self.fleet.engine_of = lambda service: ENGINE
        self.clock.advance(FIRST_REPORT_TIMEOUT_MS)
        for port in (1, 2, 3):
            self.fleet.observe(load(port, is_open=False, group="g"))
        self.fleet.observe(load(1, group="g"))
        self.assertEqual(self.chosen(traits("x")), {"i"})
        self.assertEqual(self.chosen(traits("x", "y")), {None})
        self.clock.advance(OPENING_DELAY_MS)
        self.assertEqual(self.chosen(traits("x", "y")), {"i"})


class TestPlacer(unittest.TestCase):
    """Upstreams `i` in region x and `j` in region y, of one slot each."""

    def play(self, steps, ask_permit=None):
        async def play(loop):
            clock = loop.make_clock()
            regions = AllowedRegions(lambda: ZONES)
            self.fleet = Fleet("a", clock, random.Random(1), regions=regions)
            self.fleet.apply(
                {
                    "i": item("i", 1, zone="a", slots=1),
                    "j": item("j", 2, zone="b", slots=1),
                }
            )
            self.placer = Placer(self.fleet, clock, ask_permit)
            return await steps()

        return run_virtually(play)

    def begin(self, of_request, wait_ms=500):
        asked = self.placer.acquire("svc", of_request, (), wait_ms)
        return asyncio.ensure_future(asked)

    async def fill(self):
        """Take both slots; return their upstreams by instance."""
        for region in "xy":
            await self.begin(traits(region))
        return self.fleet.upstreams

    def test_a_request_that_cannot_use_a_slot_does_not_block_others(self):
        async def steps():
            upstreams = await self.fill()
            blocked = self.begin(traits("x"))
            await asyncio.sleep(0.01)
            others = [self.begin(traits("y")), self.begin(ANY_REQUEST)]
            await asyncio.sleep(0.01)
            self.placer.release(upstreams["j"])
            await asyncio.wait(others, return_when=asyncio.FIRST_COMPLETED)
            self.placer.release(upstreams["j"])
            served = {one.result().entry.instance for one in await settle(others)}
            found = served, blocked.done(), self.placer.waiting
            blocked.cancel()
            await settle([blocked])
            return found

        self.assertEqual(self.play(steps), ({"j"}, False, 1))

    def test_queues_of_one_service_take_turns(self):
        # With a fixed order, the requests of the first queue would get each free slot
        # for as long as it has any.
        async def steps():
            upstreams = await self.fill()
            order = []

            async def use_slot(name, of_request):
                await self.begin(of_request, wait_ms=5_000)
                order.append(name)
                await asyncio.sleep(0.01)
                self.placer.release(upstreams["i"])

            tasks = [
                asyncio.ensure_future(use_slot(name, of_request))
                for name, of_request in (
                    *[("either", traits("x", "z"))] * 6,
                    *[("x", traits("x"))] * 3,
                )
            ]
            await asyncio.sleep(0.01)
            self.placer.release(upstreams["i"])
            await asyncio.gather(*tasks)
            return order

        order = self.play(steps)
        self.assertEqual(order[:6].count("x"), 3)
        self.assertEqual(len(order), 9)

    def test_a_request_with_no_allowed_place_is_refused_at_once(self):
        async def steps():
            with self.assertRaises(RefusedError) as caught:
                await self.begin(traits("z"))
            return caught.exception.result, asyncio.get_running_loop().time()

        self.assertEqual(self.play(steps), (Code.NO_ALLOWED_PLACE, 0))

    def test_waiting_requests_follow_a_change_of_the_configuration(self):
        names = {"route": "r-safe", "team": "team-a"}

        async def steps():
            upstreams = await self.fill()
            self.fleet.regions.apply(decode(route=["x"]))
            moved = self.begin(traits("x", **names))
            refused = self.begin(traits("x", **names | {"route": "r-hold"}))
            await asyncio.sleep(0.01)
            changed = make_limited(route=["y"])
            changed["routes"][1]["allowedRegions"] = ["z"]
            self.fleet.regions.apply(decode_configuration(dump(changed)))
            self.placer.requeue_waiting()
            await asyncio.sleep(0.01)
            self.assertEqual(refused.exception().result, Code.NO_ALLOWED_PLACE)
            self.placer.release(upstreams["i"])
            await asyncio.sleep(0.01)
            self.assertFalse(moved.done())
            self.placer.release(upstreams["j"])
            return (await moved).entry.instance, self.placer.waiting

        self.assertEqual(self.play(steps), ("j", 0))

    def test_a_limit_that_comes_while_a_permit_is_awaited_is_kept(self):
        names = {"route": "r-safe", "team": "team-a"}

        async def ask_permit(upstream):
            self.fleet.regions.apply(decode(route=["y"]))
            return 0

        async def steps():
            self.fleet.upstreams["i"].stated = StatedRate(5.0, 0)
            self.fleet.regions.apply(decode(route=["x"]))
            chosen = await self.begin(traits("x", **names))
            return chosen.entry.instance, self.fleet.upstreams["i"].local_requests

        self.assertEqual(self.play(steps, ask_permit), ("j", 0))

    def test_a_moved_request_that_times_out_or_leaves_is_forgotten(self):
        names = {"route": "r-safe", "team": "team-a"}

        async def steps():
            await self.fill()
            self.fleet.regions.apply(decode(route=["x"]))
            late = self.begin(traits("x", **names), wait_ms=50)
            left = self.begin(traits("x", **names))
            await asyncio.sleep(0.01)
            self.fleet.regions.apply(decode(route=["y"]))
            self.placer.requeue_waiting()
            left.cancel()
            await asyncio.wait({late, left})
            self.assertEqual(late.exception().result, Code.OVERLOADED)
            self.assertEqual(self.placer._queue_keys(None), [])
            return self.placer.waiting

        self.assertEqual(self.play(steps), 0)


async def settle(tasks):
    done, _ = await asyncio.wait(tasks)
    return done


class TestEntry(unittest.TestCase):
    """A real entry; `i-0` is in region kl, `i-1` in pg, and `i-2` in no region."""

    def play(self, steps, *scripts, **limits):
        async def play():
            first = upstream(*(scripts or (answers(body=b"kl"),)))
            second, third = upstream(answers(body=b"pg")), upstream(answers())
            if limits.pop("resumes", False):
                second = upstream(continues_stream)
            async with Site(first, zones=KL_ZONES) as site:
                site.others = second, third
                await site.add_upstream("i-1", second, zone="pg-a")
                await site.add_upstream("i-2", third, zone="unlisted")
                await self.configure(site, 2, **limits)
                await until(lambda: len(site.entry.fleet.upstreams) == 3)
                try:
                    return await steps(site)
                finally:
                    await second.close()
                    await third.close()

        return run(play())

    async def configure(self, site, version, **limits):
        site.store.put("op/config", make_limited(version, **limits))
        routes = site.entry.routes
        await until(lambda: routes.configuration.version == version)

    async def ask(self, site, path="/safe/x", **options):
        return await site.ask(path, request_id=f"r-{next(NUMBERS)}", **options)

    async def bodies(self, site, path="/safe/x"):
        return {(await self.ask(site, path)).body for _ in range(12)}

    def test_requests_stay_in_the_regions_of_their_route_and_team(self):
        for route, team, bodies in (
            (["kl"], None, {b"kl"}),
            (None, ["pg"], {b"pg"}),
            (["kl", "pg"], ["pg", "x"], {b"pg"}),
        ):
            with self.subTest(route=route, team=team):
                self.assertEqual(self.play(self.bodies, route=route, team=team), bodies)

    def test_requests_without_a_limit_go_to_all_upstreams(self):
        async def steps(site):
            return len(site.entry.fleet.gate.usable("svc")), await self.bodies(site)

        usable, bodies = self.play(steps)
        self.assertEqual(usable, 3)
        self.assertLessEqual(bodies, {b"kl", b"pg", b"ok"})

    def test_a_request_with_no_allowed_place_is_refused_at_once(self):
        async def steps(site):
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            return await self.ask(site), loop.time() - began_s

        for route, team in ((["nowhere"], None), (["kl"], ["pg"])):
            with self.subTest(route=route, team=team):
                reply, took_s = self.play(steps, route=route, team=team)
                self.assertEqual(reply.status, 503)
                self.assertIn(b"[200 NO_ALLOWED_PLACE]", reply.body)
                self.assertIn("retry-after", reply.headers)
                # A request may wait 0.4 of its 1.4 s.
                self.assertLess(took_s, 0.4)

    def test_a_retry_stays_in_the_allowed_regions(self):
        async def steps(site):
            reply = await self.ask(site)
            return reply.status, [len(one.received) for one in site.others]

        script = refuses()
        self.assertEqual(self.play(steps, script, route=["kl"]), (503, [0, 0]))

    def test_a_change_binds_the_retry_of_an_earlier_request(self):
        # Its first attempt ends after the change; its route allowed kl alone before.
        async def steps(site):
            asking = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.upstreams[0].received)
            await self.configure(site, 3, route=["pg"])
            reply = await asking
            return reply.body, len(site.upstreams[0].received)

        script = refuses_late
        self.assertEqual(self.play(steps, script, route=["kl"]), (b"pg", 1))

    def test_a_change_binds_waiting_requests(self):
        # At once, not only when the slot that they wait for comes free.
        answered = []

        async def answers_when_told(request, wire):
            await until(lambda: answered)
            await wire.answer(request)

        async def steps(site):
            site.put_upstream("i-0", site.upstreams[0].port, slots=1)
            fleet = site.entry.fleet
            await until(lambda: fleet.upstreams["i-0"].entry.places == 1)
            holding = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.upstreams[0].received)
            waiting = asyncio.ensure_future(self.ask(site))
            await until(lambda: site.entry.placer.waiting)
            await self.configure(site, 3, route=["pg"])
            reply = await waiting
            answered.append(True)
            return reply.body, (await holding).status

        found = self.play(steps, answers_when_told, route=["kl"])
        self.assertEqual(found, (b"pg", 200))

    def test_a_change_while_a_connection_is_awaited_is_kept(self):
        async def steps(site):
            pool, port = site.entry.pool, site.upstreams[0].port
            acquire = pool.acquire

            async def acquire_slowly(ip, to_port, excluded=()):
                connection = await acquire(ip, to_port, excluded)
                if to_port == port:
                    await self.configure(site, 3, route=["pg"])
                return connection

            with mock.patch.object(type(pool), "acquire", side_effect=acquire_slowly):
                reply = await self.ask(site, "/hold/x")
            return reply.body, len(site.upstreams[0].received)

        self.assertEqual(self.play(steps, route=["kl"]), (b"pg", 0))

    def test_a_resumed_stream_stays_in_the_allowed_regions(self):
        changed = []

        async def breaks_after_the_change(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await until(lambda: changed)
            wire.reset()

        async def steps(site):
            asking = asyncio.ensure_future(self.ask(site, "/chat/x"))
            await until(lambda: site.upstreams[0].received)
            await self.configure(site, 3, route=["kl", "pg"])
            changed.append(True)
            reply = await asking
            return event_ids(reply.body), [len(one.received) for one in site.others]

        script = breaks_after_the_change
        found = self.play(steps, script, route=["kl"], resumes=True)
        self.assertEqual(found, ([1, 2, 3], [1, 0]))


class TestLookup(unittest.TestCase):
    def test_entries_of_the_region_are_named_before_others(self):
        async def play():
            async with Site(zones={"kl-a": "kl", "kl-b": "kl", "pg-a": "pg"}) as site:
                for number, zone in enumerate(("kl-a", "kl-b", "pg-a"), 1):
                    site.store.put(
                        f"fuchsiahatch-entries/e-{number}", entry(number, zone)
                    )
                await until(lambda: len(site.entry.entries.registered) == 3)
                port = await site.entry.side_calls.listen("127.0.0.1", 0)
                body = await look_up(port, "kl-a")
                await site.entry.side_calls.stop_accepting()
                return body["addresses"]

        self.assertEqual(run(play()), ["10.0.0.1:80", "10.0.0.2:80"])


def entry(number, zone):
    address = f"10.0.0.{number}"
    names = {"node": f"e-{number}", "zone": zone, "callers": f"{address}:80"}
    return {**names, "peer": [address, 7_000]}


async def look_up(port, zone):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    target = f"/-/resolve?name=x&zone={zone}"
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    head = Reply(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(head.headers["content-length"]))
    writer.close()
    return json.loads(body)


async def refuses_late(request, wire):
    await asyncio.sleep(0.4)
    headers = {"Fuchsiahatch-Not-Executed": "1"}
    await wire.answer(request, 503, b"", headers)


if __name__ == "__main__":
    unittest.main()
