import asyncio
import types
import unittest

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.upstream_crashes import ASK_MS, LINK_MS, UpstreamCrashes
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import (
    Site,
    answers,
    event_ids,
    resets,
    streams,
    until,
    upstream,
)
from tests.loopback import run


def make_life(life="a@1", leaving=False):
    address = types.SimpleNamespace(ip="10.0.0.1", port=80)
    entry = types.SimpleNamespace(instance="a", leaving=leaving, address=address)
    return types.SimpleNamespace(life=life, entry=entry)


class TestEvidence(unittest.TestCase):
    def play(self, work, refused=True, takes_ms=3):
        async def play(loop):
            clock = loop.make_clock()
            self.requests = CrashingRequests(clock, lambda message: None)
            self.asked = 0

            async def is_refused(ip, port):
                self.asked += 1
                await asyncio.sleep(takes_ms / 1000)
                return refused

            self.listed = True
            self.crashes = UpstreamCrashes(
                self.requests, is_refused, lambda instance: self.listed, clock
            )
            await work()

        run_virtually(play)

    def test_a_connection_that_was_cut_is_no_crash(self):
        async def work():
            self.assertFalse(await self.crashes.examine("f", make_life()))
            self.assertEqual(self.requests.crashes("f"), 0)

        self.play(work, refused=False)

    def test_all_that_break_together_ask_once(self):
        async def work():
            life = make_life()
            asks = [self.crashes.examine(f"f{at}", life) for at in range(6)]
            self.assertEqual(await asyncio.gather(*asks), [True] * 6)
            self.assertTrue(await self.crashes.examine("late", life))
            self.assertEqual((self.asked, self.requests.suspects), (1, 7))

        self.play(work)

    def test_a_caller_that_leaves_meanwhile_takes_no_evidence_along(self):
        async def work():
            asking = asyncio.ensure_future(self.crashes.examine("f", make_life()))
            await asyncio.sleep(0.001)
            asking.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(self.requests.crashes("f"), 1)

        self.play(work)

    def test_a_dark_host_is_not_waited_for(self):
        async def work():
            began_s = asyncio.get_running_loop().time()
            self.assertFalse(await self.crashes.examine("f", make_life()))
            took_s = asyncio.get_running_loop().time() - began_s
            self.assertLessEqual(took_s, ASK_MS / 1000 + 0.001)

        self.play(work, takes_ms=10 * ASK_MS)

    def test_an_upstream_that_leaves_counts_against_nobody(self):
        async def work():
            leaving = make_life(leaving=True)
            self.assertFalse(await self.crashes.examine("f", leaving))
            self.crashes.note_restart(leaving)
            self.assertEqual(self.requests.crashes("f"), 0)

        self.play(work)

    def test_one_that_left_unsaid_counts_against_nobody(self):
        # Its entry was removed, and it served on for a while before it exited.
        async def work():
            self.listed = False
            self.assertFalse(await self.crashes.examine("f", make_life()))
            self.assertEqual((self.asked, self.requests.suspects), (0, 0))

        self.play(work)

    def test_a_later_life_shows_that_the_former_one_ended(self):
        async def work():
            self.assertFalse(await self.crashes.examine("cut", make_life()))
            self.crashes.note_unanswered("silent", make_life())
            await asyncio.sleep(LINK_MS / 1000 - 1)
            self.crashes.note_restart(make_life())
            self.assertEqual(self.requests.crashes("cut"), 1)
            self.assertEqual(self.requests.crashes("silent"), 1)

        self.play(work, refused=False)

    def test_a_restart_under_no_request_of_ours_is_no_crash(self):
        async def work():
            self.crashes.note_restart(make_life())
            self.assertEqual(self.crashes._over, {})

        self.play(work)

    def test_an_old_break_has_nothing_to_do_with_a_restart(self):
        async def work():
            await self.crashes.examine("f", make_life())
            await asyncio.sleep(LINK_MS / 1000)
            self.crashes.note_restart(make_life())
            self.assertEqual(self.requests.crashes("f"), 0)

        self.play(work, refused=False)


class TestEntry(unittest.TestCase):
    def play(self, path, group="", script=None):
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

    def test_a_crash_of_a_plain_upstream_is_made_up_for_at_another(self):
        _, sends, _ = self.play("/safe/")
        self.assertEqual(sends, 2)

    def test_a_second_rank_group_is_not_lost_to_the_same_request(self):
        reply, sends, crashing = self.play("/chat/", group="g")
        self.assertEqual((reply.status, sends, crashing.suspects), (502, 1, 1))

    def test_a_reset_alone_makes_nobody_a_suspect(self):
        async def play():
            one = upstream(resets, answers(), resets, answers(), resets, answers())
            async with Site(one) as site:
                replies = [
                    await site.ask("/safe/", request_id=f"q-{at}", body=b"same")
                    for at in range(3)
                ]
                return [one.status for one in replies], site.entry.crashing.suspects

        self.assertEqual(run(play()), ([200] * 3, 0))

    def test_a_stream_whose_events_came_goes_on_in_the_other_group(self):
        # An innocent one, beside a request that crashes its engine.
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
