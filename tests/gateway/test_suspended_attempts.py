import asyncio
import unittest
from unittest import mock

from fuchsiahatch_gateway.answer_relay import MAX_KEPT_BODY_BYTES
from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.delivery import Delivery
from fuchsiahatch_standins.scripted_upstream import encode_head
from tests.gateway.sites import (
    ROUTES,
    Site,
    answers,
    event_ids,
    make_configuration,
    refuses,
    until,
    upstream,
    waits,
)
from tests.gateway.test_moved_streams import (
    ALL_EVENTS,
    streams_on,
    streams_with_silence,
)
from tests.loopback import run

DEADLINE_MS = 4_000
#: Silence behind which a stream moves.
SILENT_S = 1.3
LONG_BODY = b"x" * (MAX_KEPT_BODY_BYTES + 1)


async def begins_without_events(request, wire):
    await wire.begin_stream(request)
    await asyncio.sleep(30)


async def answers_late(request, wire):
    await asyncio.sleep(SILENT_S)
    await wire.answer(request)


async def breaks_off_long_answer(request, wire):
    headers = {"Content-Type": "text/plain"}
    await wire.raw(encode_head(request.request_id, 200, None, headers))
    await wire.raw(b"%x\r\n%s\r\n" % (len(LONG_BODY), LONG_BODY))
    await asyncio.sleep(0.5)
    wire.reset()


class TestSuspendedAttempts(unittest.TestCase):
    def ask(self, first, second, path="/chat/", on_silent=None, on_moved=None):
        """Send a request to one upstream, let it move to another."""

        async def play():
            silent, other = upstream(first), upstream(second)
            async with Site(silent) as site:
                routes = [{**route, "timeoutMs": DEADLINE_MS} for route in ROUTES]
                site.store.put("op/config", make_configuration(2, routes))
                await until(lambda: site.entry.routes.configuration.version == 2)
                asking = asyncio.ensure_future(site.ask(path, deadline_ms=DEADLINE_MS))
                await until(lambda: silent.received)
                await site.add_upstream("i-other", other)
                known = site.entry.fleet.upstreams
                await until(lambda: "i-other" in known)
                if on_silent is not None:
                    on_silent(site)
                if on_moved is not None:
                    await until(lambda: other.received)
                    await on_moved(site, silent)
                reply = await asking
                self.assertEqual({one.local_requests for one in known.values()}, {0})
                now_ms = site.entry._clock.now_ms()
                self.other_failures = known["i-other"].failures(now_ms)
                self.spent = site.entry.budget.spent
                await other.close()
                self.received = len(other.received)
                return reply

        return run(play())

    def check_whole(self, reply):
        self.assertEqual(event_ids(reply.body), ALL_EVENTS)
        self.assertTrue(reply.whole)

    def test_a_stream_goes_on_where_the_other_upstream_sends_its_head_alone(self):
        self.check_whole(self.ask(streams_with_silence(), begins_without_events))

    def test_an_error_of_the_other_upstream_is_relayed(self):
        reply = self.ask(waits, answers(404, b"none"), "/safe/")
        self.assertEqual((reply.status, reply.body), (404, b"none"))

    def test_an_error_of_the_other_upstream_ends_a_stream_without_an_event(self):
        reply = self.ask(waits, answers(404, b"none"))
        self.assertEqual((reply.status, reply.body), (404, b"none"))

    def test_no_events_follow_a_long_answer_that_breaks_off(self):
        reply = self.ask(streams_with_silence(0, 2.5), breaks_off_long_answer)
        self.assertTrue(reply.body.startswith(b"xxx"))
        self.assertFalse(reply.whole)
        self.assertNotIn(b"data: piece", reply.body)

    def test_a_long_error_of_the_other_upstream_is_relayed_whole(self):
        reply = self.ask(streams_with_silence(0, 2.5), answers(404, LONG_BODY))
        self.assertEqual((reply.status, len(reply.body)), (404, len(LONG_BODY)))
        self.assertTrue(reply.whole)

    def test_a_stream_that_is_held_goes_on_where_it_has_begun(self):
        with mock.patch.object(CrashingRequests, "held_ms", lambda *_: self.held_ms):
            self.held_ms = 0

            def hold(site):
                self.held_ms = 10_000

            reply = self.ask(streams_with_silence(), streams_on(), on_silent=hold)
        self.check_whole(reply)
        self.assertEqual(self.received, 0)

    def test_events_before_the_suspension_count_for_the_attempt_that_goes_on(self):
        # Without them, a crash of its rank group would forbid to resume the stream.
        async def breaks_off(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await asyncio.sleep(SILENT_S)
            wire.reset()

        outcomes = []
        note = Delivery._note_answer_or_crash

        async def keep(delivery, job, upstream, outcome):
            outcomes.append(outcome)
            await note(delivery, job, upstream, outcome)

        with mock.patch.object(Delivery, "_note_answer_or_crash", keep):
            self.ask(breaks_off, refuses())
        relayed = [one.events_relayed for one in outcomes]
        self.assertEqual(relayed, [True, False, True])

    def test_an_upstream_that_was_merely_slower_has_not_failed(self):
        self.check_whole(self.ask(streams_with_silence(), waits))
        self.assertEqual(self.other_failures, 0)

    async def check_withdrawn(self, site, silent):
        self.is_suspected = True
        site.entry.delivery.withdraw_suspects()
        await until(lambda: silent.left, limit_s=0.5)

    def ask_suspected(self, name, value, first, second, check):
        """Let a request move, and make it a suspect before anything has come."""
        self.is_suspected = False
        former = getattr(CrashingRequests, name)

        def method(requests, request):
            return value if self.is_suspected else former(requests, request)

        with mock.patch.object(CrashingRequests, name, method):
            return self.ask(first, second, "/safe/", on_moved=check)

    def test_a_suspended_attempt_that_has_not_begun_is_withdrawn_as_it_is_held(self):
        reply = self.ask_suspected(
            "held_ms", 10_000, waits, answers_late, self.check_withdrawn
        )
        self.assertEqual(reply.status, 502)

    def test_a_suspended_attempt_that_has_not_begun_is_withdrawn_as_a_suspect(self):
        async def check(site, silent):
            site.entry.fleet.upstreams["i-other"].group = "g-crashed"
            await self.check_withdrawn(site, silent)

        reply = self.ask_suspected(
            "confined_to", "g-crashed", waits, answers_late, check
        )
        self.assertEqual((reply.status, reply.body), (200, b"ok"))

    def test_a_retry_that_was_not_sent_is_refunded_as_the_first_upstream_goes_on(self):
        def may_send(delivery, job, *_):
            return job.suspended is None

        with mock.patch.object(Delivery, "_may_send", may_send):
            self.check_whole(self.ask(streams_with_silence(), waits))
        self.assertEqual((self.received, self.spent), (0, 0))

    def test_a_retry_of_a_held_request_that_was_not_sent_is_refunded(self):
        with mock.patch.object(CrashingRequests, "held_ms", lambda *_: self.held_ms):
            self.held_ms = 0

            def hold(site):
                self.held_ms = 10_000

            self.ask(streams_with_silence(), streams_on(), on_silent=hold)
        self.assertEqual((self.received, self.spent), (0, 0))

    def test_a_retry_that_the_other_upstream_refused_stays_spent(self):
        self.check_whole(self.ask(streams_with_silence(), refuses()))
        self.assertEqual((self.received, self.spent), (1, 1))
