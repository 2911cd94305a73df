"""Begun streams whose requests become suspects while another upstream queues them."""

import asyncio
import unittest
from unittest import mock

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from tests.gateway.sites import (
    ROUTES,
    Site,
    event_ids,
    make_configuration,
    until,
    upstream,
    waits,
)
from tests.gateway.test_moved_streams import ALL_EVENTS, streams_on
from tests.loopback import run

DEADLINE_MS = 4_000
#: Time after which a queued request begins, behind the suspicion.
QUEUED_S = 0.5
GROUP = "g-crashed"


async def goes_on_late(request, wire):
    await asyncio.sleep(QUEUED_S)
    await streams_on()(request, wire)


class TestSuspectedStreams(unittest.TestCase):
    def ask(self, second, third=None, is_held=False):
        """Resume a broken stream, make it a suspect, and return what came."""
        self.is_suspected = False
        other_is_known = asyncio.Event()

        async def breaks_off(request, wire):
            await wire.begin_stream(request)
            for number in (1, 2, 3):
                await wire.event(number)
            await other_is_known.wait()
            wire.reset()

        def confined_to(requests, request):
            return GROUP if self.is_suspected and not is_held else ""

        def held_ms(requests, request):
            return 10_000 if self.is_suspected and is_held else 0

        async def play():
            first, other, last = upstream(breaks_off), upstream(second), None
            async with Site(first) as site:
                routes = [
                    {**one, "timeoutMs": DEADLINE_MS, "maxAttempts": 3}
                    for one in ROUTES
                ]
                site.store.put("op/config", make_configuration(2, routes))
                await until(lambda: site.entry.routes.configuration.version == 2)
                known = site.entry.fleet.upstreams
                begun = asyncio.ensure_future(site.ask("/chat/", deadline_ms=4_000))
                await until(lambda: first.received)
                await site.add_upstream("i-other", other)
                await until(lambda: "i-other" in known)
                other_is_known.set()
                await until(lambda: other.received)
                if third is not None:
                    last = upstream(third)
                    await site.add_upstream("i-last", last)
                    await until(lambda: "i-last" in known)
                    known["i-last"].group = GROUP
                self.is_suspected = True
                site.entry.delivery.withdraw_suspects()
                reply = await begun
                await asyncio.sleep(0.05)
                self.assertEqual({one.local_requests for one in known.values()}, {0})
                self.left = other.left
                for one in filter(None, (other, last)):
                    await one.close()
                return reply

        with (
            mock.patch.object(CrashingRequests, "confined_to", confined_to),
            mock.patch.object(CrashingRequests, "held_ms", held_ms),
        ):
            return run(play())

    def check_whole(self, reply):
        self.assertEqual(event_ids(reply.body), ALL_EVENTS)
        self.assertTrue(reply.whole)

    def test_a_begun_stream_is_not_cut_as_it_becomes_a_suspect(self):
        self.check_whole(self.ask(goes_on_late))
        self.assertEqual(self.left, 0)

    def test_a_begun_stream_moves_to_the_group_that_it_is_confined_to(self):
        self.check_whole(self.ask(waits, streams_on()))
        self.assertEqual(self.left, 1)

    def test_a_begun_stream_that_is_held_is_withdrawn_at_once(self):
        reply = self.ask(waits, is_held=True)
        self.assertEqual((reply.whole, self.left), (False, 1))


if __name__ == "__main__":
    unittest.main()
