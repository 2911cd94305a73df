import asyncio
import unittest
from unittest import mock

from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.route_durations import MIN_OBSERVED_MS
from tests.gateway.sites import (
    Site,
    answers,
    event_ids,
    refuses,
    resets,
    streams,
    until,
    upstream,
    waits,
)
from tests.loopback import run

#: Times until the entry ends; the deadline of requests, 1,400 ms, lies between them.
SOON_MS, LATE_MS = 800, 5_000


def stop(site, in_ms):
    """Begin to stop as the entry does, with its end after a time."""
    entry = site.entry
    entry.callers.leave()
    entry.stop_admission.begin(entry._clock.now_ms() + in_ms)


class TestStoppingEntry(unittest.TestCase):
    def check_refused(self, reply):
        self.assertEqual(reply.status, 503)
        self.assertIn(b"LEAVING", reply.body)
        self.assertEqual(reply.headers["connection"], "close")
        self.assertLess(float(reply.headers["retry-after"]), 0.1)

    def test_a_request_that_may_outlast_the_entry_is_refused_and_not_passed_on(self):
        async def play():
            async with Site(upstream(answers())) as site:
                stop(site, SOON_MS)
                return await site.ask("/safe/"), site.upstreams[0].received

        reply, received = run(play())
        self.check_refused(reply)
        self.assertEqual(received, [])

    def test_a_request_with_an_earlier_deadline_is_passed_on(self):
        async def play():
            async with Site(upstream(answers())) as site:
                stop(site, LATE_MS)
                return await site.ask("/safe/")

        self.assertEqual(run(play()).status, 200)

    def test_a_request_of_a_route_with_short_answers_is_passed_on(self):
        async def play():
            async with Site(upstream(answers(), answers())) as site:
                earlier_ms = site.entry._clock.now_ms() - MIN_OBSERVED_MS
                site.entry.stop_admission.durations.note("r-safe", 5, earlier_ms)
                await site.ask("/safe/")
                stop(site, SOON_MS)
                return await site.ask("/safe/"), await site.ask("/hold/")

        known, unknown = run(play())
        self.assertEqual(known.status, 200)
        self.check_refused(unknown)

    def test_a_request_in_the_queue_is_refused_as_soon_as_the_stop_begins(self):
        async def play():
            async with Site(upstream(waits), **{}) as site:
                site.put_upstream("i-0", site.upstreams[0].port, slots=1)
                await until(lambda: site.entry.fleet.upstreams["i-0"].entry.places == 1)
                first = asyncio.ensure_future(site.ask("/hold/"))
                await until(lambda: site.upstreams[0].received)
                second = asyncio.ensure_future(site.ask("/hold/", request_id="q-2"))
                await until(lambda: site.entry.placer.waiting)
                stop(site, SOON_MS)
                async with asyncio.timeout(0.2):
                    reply = await second
                first.cancel()
                return reply, len(site.upstreams[0].received)

        reply, received = run(play())
        self.check_refused(reply)
        self.assertEqual(received, 1)

    def test_a_request_that_waits_for_a_permit_is_refused_as_the_stop_begins(self):
        async def play():
            async with Site(upstream(answers())) as site:
                asked_for = asyncio.Event()

                async def issue_none(upstream):
                    asked_for.set()
                    await asyncio.sleep(30)

                site.entry.placer._ask_permit = issue_none
                with mock.patch.object(Fleet, "needs_permit"):
                    asked = asyncio.ensure_future(site.ask("/hold/"))
                    await asked_for.wait()
                    stop(site, SOON_MS)
                    async with asyncio.timeout(0.2):
                        reply = await asked
                places = site.entry.fleet.upstreams["i-0"].local_requests
                return reply, places, site.upstreams[0].received

        reply, places, received = run(play())
        self.check_refused(reply)
        self.assertEqual((places, received), (0, []))

    def test_a_request_that_its_upstream_refuses_is_not_passed_on_again(self):
        async def play():
            async def stops_and_refuses(request, wire):
                stop(site, SOON_MS)
                await refuses()(request, wire)

            servers = upstream(stops_and_refuses), upstream(stops_and_refuses)
            async with Site(*servers) as site:
                reply = await site.ask("/safe/")
                return reply, sum(len(one.received) for one in servers)

        reply, received = run(play())
        self.check_refused(reply)
        self.assertEqual(received, 1)

    def test_a_request_that_may_have_run_is_neither_repeated_nor_called_refused(self):
        async def play():
            async def stops_and_resets(request, wire):
                stop(site, SOON_MS)
                await resets(request, wire)

            servers = upstream(stops_and_resets), upstream(stops_and_resets)
            async with Site(*servers) as site:
                reply = await site.ask("/safe/")
                return reply, sum(len(one.received) for one in servers)

        reply, received = run(play())
        self.assertEqual((reply.status, received), (502, 1))

    def test_a_stream_that_has_begun_moves_to_another_upstream(self):
        async def play():
            async def breaks(request, wire):
                await wire.begin_stream(request)
                await wire.event(1)
                await asyncio.sleep(0.05)
                stop(site, SOON_MS)
                wire.reset()

            scripts = breaks, streams(2, 4)
            order = iter(scripts)

            async def next_script(request, wire):
                await next(order)(request, wire)

            servers = [upstream(next_script, next_script) for _ in range(2)]
            async with Site(*servers) as site:
                return await site.ask("/chat/")

        reply = run(play())
        self.assertTrue(reply.whole)
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4])


class TestEnd(unittest.TestCase):
    """Requests that are still unanswered when the entry ends."""

    def test_a_request_at_an_upstream_gets_an_error_and_its_upstream_a_reset(self):
        cut = asyncio.Event()

        async def waits_for_the_end(request, wire):
            try:
                await asyncio.sleep(30)
            finally:
                cut.set()

        async def play():
            async with Site(upstream(waits_for_the_end)) as site:
                asked = asyncio.ensure_future(site.ask("/hold/"))
                await until(lambda: site.upstreams[0].received)
                site.entry.callers.leave()
                await site.entry.callers.end(100)
                async with asyncio.timeout(1):
                    await cut.wait()
                    return await asked

        reply = run(play())
        self.assertEqual((reply.status, reply.whole), (502, True))
        self.assertEqual(reply.headers["connection"], "close")

    def test_a_request_in_the_queue_is_refused(self):
        async def play():
            async with Site() as site:
                site.put_upstream("i-0", 9, slots=0)
                asked = asyncio.ensure_future(site.ask("/hold/"))
                await until(lambda: site.entry.placer.waiting)
                site.entry.callers.leave()
                await site.entry.callers.end(100)
                return await asked

        reply = run(play())
        self.assertEqual((reply.status, reply.whole), (503, True))
        self.assertEqual(reply.headers["connection"], "close")
