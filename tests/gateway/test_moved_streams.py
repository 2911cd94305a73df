import asyncio
import unittest

from tests.gateway.sites import (
    ROUTES,
    Site,
    event_ids,
    make_configuration,
    refuses,
    resets,
    until,
    upstream,
    waits,
)
from tests.loopback import run

#: Longer than an entry waits for the next event of a stream that it may resume
#: elsewhere, and shorter than callers do.
SILENCE_S = 1.3
EVENTS = 6
ALL_EVENTS = list(range(1, EVENTS + 1))
LONG_MS = 8_000


def streams_with_silence(behind=3, silence_s=SILENCE_S):
    """Return a script of a stream that pauses behind an event; 0: before its head."""

    async def script(request, wire):
        if not behind:
            await asyncio.sleep(silence_s)
        await wire.begin_stream(request)
        for number in ALL_EVENTS:
            await wire.event(number)
            if number == behind:
                await asyncio.sleep(silence_s)
        await wire.end_stream()

    return script


def streams_on(behind=3):
    """Return a script of a stream that is resumed behind an event."""

    async def script(request, wire):
        await wire.begin_stream(request)
        for number in range(behind + 1, EVENTS + 1):
            await wire.event(number)
        await wire.end_stream()

    return script


class TestSilentUpstreams(unittest.TestCase):
    def ask(self, first, second):
        """Send a stream to one upstream, let it move to another; return what came."""

        async def play():
            silent, other = upstream(first), upstream(second)
            async with Site(silent) as site:
                routes = [{**route, "timeoutMs": LONG_MS} for route in ROUTES]
                site.store.put("op/config", make_configuration(2, routes))
                await until(lambda: site.entry.routes.configuration.version == 2)
                asking = asyncio.ensure_future(site.ask("/chat/", deadline_ms=LONG_MS))
                await until(lambda: silent.received)
                await site.add_upstream("i-other", other)
                await until(lambda: "i-other" in site.entry.fleet.upstreams)
                reply = await asking
                taken = [
                    one.local_requests for one in site.entry.fleet.upstreams.values()
                ]
                self.assertEqual(taken, [0, 0])
                await asyncio.sleep(0.05)
                await other.close()
                return reply, silent, other

        return run(play())

    def check_whole(self, reply):
        self.assertEqual(event_ids(reply.body), ALL_EVENTS)
        self.assertTrue(reply.whole)

    def test_a_stream_is_not_cut_as_the_upstream_that_it_would_move_to_refuses_it(self):
        reply, silent, other = self.ask(streams_with_silence(), refuses())
        self.check_whole(reply)
        self.assertEqual((silent.left, len(other.received)), (0, 1))

    def test_a_stream_is_not_cut_as_the_upstream_that_it_would_move_to_fails(self):
        reply, _, other = self.ask(streams_with_silence(), resets)
        self.check_whole(reply)
        self.assertEqual(len(other.received), 1)

    def test_an_event_that_had_half_arrived_isn_t_lost_by_a_refused_move(self):
        half = b"id: 3\ndata: on"

        async def script(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.event(2)
            await wire.raw(b"%x\r\n%s\r\n" % (len(half), half))
            await asyncio.sleep(SILENCE_S)
            await wire.raw(b"3\r\ne\n\n\r\n")
            for number in range(4, EVENTS + 1):
                await wire.event(number)
            await wire.end_stream()

        reply, _, _ = self.ask(script, refuses())
        self.check_whole(reply)
        self.assertIn(b"data: one\n", reply.body)

    def test_a_stream_goes_on_at_once_where_its_upstream_speaks_before_the_other(self):
        reply, silent, other = self.ask(streams_with_silence(), waits)
        self.check_whole(reply)
        self.assertEqual((silent.left, other.left), (0, 1))

    def test_a_stream_without_an_event_isn_t_failed_by_a_refused_move(self):
        reply, silent, _ = self.ask(streams_with_silence(behind=0), refuses())
        self.assertEqual(reply.status, 200)
        self.check_whole(reply)
        self.assertEqual(silent.left, 0)

    def test_a_silent_upstream_stops_working_once_another_one_has_begun(self):
        forever = streams_with_silence(silence_s=30)
        reply, silent, _ = self.ask(forever, streams_on())
        self.check_whole(reply)
        self.assertEqual(silent.left, 1)
