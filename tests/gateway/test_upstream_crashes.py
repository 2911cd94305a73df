import asyncio
import types
import unittest

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.upstream_crashes import (
    CORRELATION_MS,
    MAX_PROBES,
    OVERRUN_MS,
    PROBE_TIMEOUT_MS,
    UpstreamCrashes,
)
from fuchsiahatch_http1.pool import Reachability
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.crash_model import whole
from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import (
    Site,
    answers,
    encode_request,
    event_ids,
    resets,
    streams,
    until,
    upstream,
)
from tests.loopback import run


def make_upstream(incarnation="a@1", leaving=False, closed_until_ms=0):
    address = types.SimpleNamespace(ip="10.0.0.1", port=80)
    entry = types.SimpleNamespace(instance="a", address=address)
    return types.SimpleNamespace(
        incarnation=incarnation,
        entry=entry,
        leaving=leaving,
        open=True,
        group="",
        closed_until_ms=closed_until_ms,
    )


class TestCrashDetection(unittest.TestCase):
    def simulate(self, scenario, found=Reachability.REFUSED, takes_ms=3):
        async def main(loop):
            self.clock = clock = loop.make_clock()
            self.requests = CrashingRequests(clock, lambda message: None)
            self.probes, self.found = 0, found

            async def probe(ip, port):
                self.probes += 1
                await asyncio.sleep(takes_ms / 1000)
                return self.found

            self.listed = True
            self.crashes = UpstreamCrashes(
                self.requests, probe, lambda instance: self.listed, clock
            )
            await scenario()

        run_virtually(main)

    def test_a_connection_that_was_cut_is_no_crash(self):
        async def scenario():
            self.assertFalse(await self.crashes.examine(whole("f"), make_upstream()))
            self.assertEqual(self.requests.crashes(whole("f")), 0)

        self.simulate(scenario, found=Reachability.LISTENING)

    def test_answers_that_break_together_share_a_probe(self):
        async def scenario():
            target = make_upstream()
            asks = [self.crashes.examine(whole(f"f{at}"), target) for at in range(6)]
            self.assertEqual(await asyncio.gather(*asks), [True] * 6)
            self.assertTrue(await self.crashes.examine(whole("late"), target))
            self.assertEqual((self.probes, self.requests.suspects), (1, 7))

        self.simulate(scenario)

    def test_a_caller_that_disconnects_does_not_cancel_the_probe(self):
        async def scenario():
            asking = asyncio.ensure_future(
                self.crashes.examine(whole("f"), make_upstream())
            )
            await asyncio.sleep(0.001)
            asking.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(self.requests.crashes(whole("f")), 1)

        self.simulate(scenario)

    def test_an_unreachable_host_delays_the_check_by_the_timeout_only(self):
        async def scenario():
            began_s = asyncio.get_running_loop().time()
            self.assertFalse(await self.crashes.examine(whole("f"), make_upstream()))
            took_s = asyncio.get_running_loop().time() - began_s
            self.assertLessEqual(took_s, PROBE_TIMEOUT_MS / 1000 + 0.001)

        self.simulate(scenario, takes_ms=10 * PROBE_TIMEOUT_MS)

    def test_a_leaving_upstream_counts_against_no_request(self):
        async def scenario():
            leaving = make_upstream(leaving=True)
            self.assertFalse(await self.crashes.examine(whole("f"), leaving))
            self.crashes.note_restart(leaving)
            self.assertEqual(self.requests.crashes(whole("f")), 0)

        self.simulate(scenario)

    def test_a_removed_upstream_counts_against_no_request(self):
        # Its entry was removed while it still served, some time before it exited.
        async def scenario():
            self.listed = False
            self.assertFalse(await self.crashes.examine(whole("f"), make_upstream()))
            self.assertEqual((self.probes, self.requests.suspects), (0, 0))

        self.simulate(scenario)

    def test_a_restart_shows_that_the_previous_incarnation_ended(self):
        async def scenario():
            self.assertFalse(await self.crashes.examine(whole("cut"), make_upstream()))
            self.crashes.note_unanswered(whole("silent"), make_upstream())
            await asyncio.sleep(CORRELATION_MS / 1000 - 1)
            self.crashes.note_restart(make_upstream())
            self.assertEqual(self.requests.crashes(whole("cut")), 1)
            self.assertEqual(self.requests.crashes(whole("silent")), 1)

        self.simulate(scenario, found=Reachability.LISTENING)

    def test_a_restart_without_a_broken_answer_is_no_crash(self):
        async def scenario():
            self.crashes.note_restart(make_upstream())
            self.assertEqual(self.crashes._ended, {})

        self.simulate(scenario)

    def test_streams_that_a_stalled_group_dropped_are_not_blamed_for_a_later_crash(
        self,
    ):
        # Another member of the group had crashed; this one follows seconds later.
        async def scenario():
            target = make_upstream()
            self.assertFalse(await self.crashes.examine(whole("dropped"), target))
            await asyncio.sleep(CORRELATION_MS / 1000 - 2)
            self.found = Reachability.REFUSED
            self.assertTrue(await self.crashes.examine(whole("deadly"), target))
            self.assertEqual(self.requests.crashes(whole("deadly")), 1)
            self.assertEqual(self.requests.crashes(whole("dropped")), 0)

        self.simulate(scenario, found=Reachability.LISTENING)

    def test_streams_that_left_a_stalled_group_are_not_blamed_for_a_later_crash(self):
        async def scenario():
            stalled = make_upstream(closed_until_ms=2_500)
            self.crashes.note_unanswered(whole("left"), stalled)
            await asyncio.sleep(CORRELATION_MS / 1000 - 1)
            self.assertTrue(await self.crashes.examine(whole("deadly"), stalled))
            self.assertEqual(self.requests.crashes(whole("left")), 0)

        self.simulate(scenario)

    def test_an_answer_is_doubted_while_its_upstream_can_not_be_reached(self):
        async def scenario():
            self.assertFalse(await self.crashes.still_works(make_upstream()))
            self.assertEqual((self.probes, self.crashes._ended), (MAX_PROBES, {}))

        self.simulate(scenario, Reachability.UNREACHABLE)

    def test_an_answer_is_doubted_behind_the_end_of_its_upstream(self):
        async def scenario():
            self.assertFalse(await self.crashes.still_works(make_upstream()))
            self.assertTrue(await self.crashes.examine(whole("f"), make_upstream()))
            self.assertFalse(await self.crashes.still_works(make_upstream()))
            self.assertEqual((self.probes, self.requests.crashes(whole("f"))), (1, 1))

        self.simulate(scenario)

    def test_the_planned_end_of_an_upstream_makes_an_answer_doubtful_but_no_crash(self):
        async def scenario():
            leaving = make_upstream(leaving=True)
            self.assertFalse(await self.crashes.still_works(leaving))
            self.assertEqual(self.crashes._ended, {})

        self.simulate(scenario)

    def test_a_leaving_upstream_that_listens_still_works(self):
        async def scenario():
            self.assertTrue(await self.crashes.still_works(make_upstream(leaving=True)))

        self.simulate(scenario, Reachability.LISTENING)

    def test_an_old_broken_answer_is_not_linked_to_a_restart(self):
        async def scenario():
            await self.crashes.examine(whole("f"), make_upstream())
            await asyncio.sleep(CORRELATION_MS / 1000)
            self.crashes.note_restart(make_upstream())
            self.assertEqual(self.requests.crashes(whole("f")), 0)

        self.simulate(scenario, found=Reachability.LISTENING)

    def abandon(self, name="f", works_ms=1_000, upstream=None):
        upstream = upstream or make_upstream()
        ends_ms = self.clock.now_ms() + works_ms
        self.crashes.note_abandoned(whole(name), upstream, ends_ms)

    def test_a_crash_counts_against_a_request_whose_caller_has_left(self):
        # Upstreams that go on with it would end one after the other, unnoticed.
        async def scenario():
            self.abandon()
            self.assertTrue(await self.crashes.examine(whole("g"), make_upstream()))
            self.assertEqual(self.requests.crashes(whole("f")), 1)

        self.simulate(scenario)

    def test_an_idle_connection_that_ends_shows_the_crash_under_an_abandoned_request(
        self,
    ):
        async def scenario():
            self.abandon()
            self.crashes.note_idle_end("10.0.0.1", 80)
            await asyncio.sleep(0.01)
            self.assertEqual(self.requests.crashes(whole("f")), 1)

        self.simulate(scenario)

    def test_a_restart_shows_the_crash_under_an_abandoned_request(self):
        async def scenario():
            self.abandon()
            await asyncio.sleep(CORRELATION_MS / 1000)
            self.crashes.note_restart(make_upstream())
            self.assertEqual(self.requests.crashes(whole("f")), 1)

        self.simulate(scenario)

    def test_a_caller_that_leaves_a_sound_upstream_makes_no_suspect(self):
        async def scenario():
            self.abandon()
            self.crashes.note_idle_end("10.0.0.1", 80)
            await asyncio.sleep(0.01)
            self.assertEqual((self.probes, self.requests.suspects), (1, 0))

        self.simulate(scenario, found=Reachability.LISTENING)

    def test_an_abandoned_request_is_not_blamed_for_a_crash_behind_its_deadline(self):
        async def scenario():
            self.abandon(works_ms=1_000)
            await asyncio.sleep((1_000 + OVERRUN_MS) / 1000)
            self.crashes.note_idle_end("10.0.0.1", 80)
            self.assertTrue(await self.crashes.examine(whole("g"), make_upstream()))
            self.assertEqual(self.requests.crashes(whole("f")), 0)

        self.simulate(scenario)

    def test_an_idle_connection_that_ends_without_an_abandoned_request_is_no_probe(
        self,
    ):
        async def scenario():
            self.abandon()
            self.crashes.note_idle_end("10.0.0.2", 80)
            await asyncio.sleep(0.01)
            self.assertEqual((self.probes, self.requests.suspects), (0, 0))

        self.simulate(scenario)

    def test_an_upstream_that_leaves_counts_against_no_abandoned_request(self):
        async def scenario():
            self.abandon(upstream=make_upstream(leaving=True))
            self.crashes.note_restart(make_upstream())
            self.assertEqual(self.requests.suspects, 0)

        self.simulate(scenario)


class TestEntry(unittest.TestCase):
    def send_deadly_request(self, path, group="", script=None):
        """Send the deadly request once to an entry before two upstreams."""

        async def play():
            async with Site() as site:
                site.upstreams = [MortalUpstream(site, name, 2.0) for name in "ab"]
                for one in site.upstreams:
                    one.script = script or answers()
                    await one.start()
                fleet = site.entry.fleet
                await until(lambda: len(fleet.upstreams) == 2)
                for number, one in enumerate(fleet.upstreams.values()):
                    name = f"{group}{number}" if group else ""
                    address = str(one.entry.address)
                    fleet.observe(LoadReport(address, 0, 0, 1.0, True, name, 50.0))
                reply = await site.ask(path, body=DEADLY)
                return reply, deadly_sends(site.upstreams), site.entry.crashing

        return run(play())

    def test_a_crash_of_a_plain_upstream_is_retried_at_another(self):
        _, sends, _ = self.send_deadly_request("/safe/")
        self.assertEqual(sends, 2)

    def test_a_second_rank_group_does_not_get_the_same_request(self):
        reply, sends, crashing = self.send_deadly_request("/chat/", group="g")
        self.assertEqual((reply.status, sends, crashing.suspects), (502, 1, 1))

    def test_a_request_whose_callers_leave_before_the_crashes_is_held_back(self):
        # The upstream goes on with it, and ends once more for each caller.
        async def send_and_leave(site, number):
            _, writer = await asyncio.open_connection("127.0.0.1", site.port)
            name = f"q-{number}"
            writer.write(encode_request("/safe/", request_id=name, body=DEADLY))
            await asyncio.sleep(0.05)
            writer.close()

        async def play():
            async with Site() as site:
                one = MortalUpstream(site, "a", 0.2, crash_after_s=0.1, goes_on=True)
                site.upstreams = [one]
                await one.start()
                fleet = site.entry.fleet
                for number in range(6):
                    await until(lambda: one.instance in fleet.upstreams)
                    await send_and_leave(site, number)
                    await asyncio.sleep(0.4)
                return deadly_sends(site.upstreams)

        self.assertEqual(run(play()), 3)

    def test_a_reset_alone_makes_no_suspect(self):
        async def play():
            one = upstream(resets, answers(), resets, answers(), resets, answers())
            async with Site(one) as site:
                replies = [
                    await site.ask("/safe/", request_id=f"q-{at}", body=b"same")
                    for at in range(3)
                ]
                return [one.status for one in replies], site.entry.crashing.suspects

        self.assertEqual(run(play()), ([200] * 3, 0))

    def test_a_stream_with_events_is_resumed_in_the_other_group(self):
        # It ran beside a request that crashed their engine.
        async def play():
            async with Site() as site:
                first = MortalUpstream(site, "a", 2.0)
                other = MortalUpstream(site, "b", 2.0, streams(4, 8))
                site.upstreams = [first, other]

                async def begin_and_end(request, wire):
                    await streams(1, 3, end=None)(request, wire)
                    await asyncio.sleep(0.02)
                    first.ending = asyncio.ensure_future(first.end())
                    await asyncio.sleep(30)

                first.script = begin_and_end
                for one in site.upstreams:
                    await one.start()
                fleet = site.entry.fleet
                await until(lambda: len(fleet.upstreams) == 2)
                for instance, running in (("a-1", 0), ("b-1", 3)):
                    address = str(fleet.upstreams[instance].entry.address)
                    load = LoadReport(address, 0, running, 1.0, True, instance, 50.0)
                    fleet.observe(load)
                return await site.ask("/chat/"), site.entry.crashing.suspects

        reply, suspects = run(play())
        self.assertEqual((reply.status, reply.whole, suspects), (200, True, 0))
        self.assertEqual(event_ids(reply.body), list(range(1, 9)))


if __name__ == "__main__":
    unittest.main()
