import asyncio
import random
import unittest
from unittest import mock

from fuchsiahatch_adapter.upstreams import MAX_RETRY_AFTER_MS, decode_retry_after_ms
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import FormError, RefusedError
from fuchsiahatch_gateway import backoffs
from fuchsiahatch_gateway.answer_statements import StatementRecords
from fuchsiahatch_gateway.backoffs import Backoffs
from fuchsiahatch_gateway.defaults import MAX_RETRY_AFTER_MS as MAX_REFUSAL_MS
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.known_upstream import Upstream
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from fuchsiahatch_http1.answers import Head
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.test_fleet import item


def make_head(*retry_after, status=503):
    return Head(status, tuple((b"retry-after", value) for value in retry_after))


class TestValues(unittest.TestCase):
    def test_seconds_may_be_fractions_and_of_any_length(self):
        cases = {
            b"3": 3_000,
            b"0.25": 250,
            b"0.0001": 1,
            b"0": 0,
            b" 2 ": 2_000,
            b"1e9": MAX_RETRY_AFTER_MS,
            b"1e300": MAX_RETRY_AFTER_MS,
        }
        for value, delay_ms in cases.items():
            with self.subTest(value=value):
                self.assertEqual(decode_retry_after_ms(value), delay_ms)

    def test_other_values_are_unreadable(self):
        date = b"Thu, 03 Dec 2026 16:00:00 GMT"
        for value in (b"", b"-1", b"nan", b"inf", b"soon", b"3, 5", date):
            with self.subTest(value=value), self.assertRaises(FormError):
                decode_retry_after_ms(value)


class TestPeriods(unittest.TestCase):
    """Which backoff period of an upstream holds."""

    def play(self, steps):
        """Run steps with a new upstream at an entry, and return their result."""

        async def play(loop):
            self.clock = loop.make_clock()
            self.fleet = Fleet("a", self.clock, random.Random(1), self.clock)
            self.revision = 0
            self.put(item("a", 1))
            self.ended = []
            self.backoffs = Backoffs(self.clock, lambda name: None, self.ended.append)
            return await steps()

        return run_virtually(play)

    def put(self, *items):
        self.fleet.apply({one.key.rpartition("/")[2]: one for one in items})

    @property
    def upstream(self):
        return self.fleet.upstreams["a"]

    def left_ms(self):
        return self.upstream.backoff_left_ms(self.clock.now_ms())

    def note(self, *retry_after, status=503, upstream=None):
        head = make_head(*retry_after, status=status)
        self.backoffs.note_head(upstream or self.upstream, head)

    def check_left(self, left_ms):
        self.assertEqual(max(self.left_ms() - backoffs.CLOCK_STEP_MS, 0), left_ms)

    def test_the_latest_end_holds(self):
        async def steps():
            self.note(b"3")
            await asyncio.sleep(1)
            self.note(b"1")
            self.check_left(2_000)
            self.note(b"5", b"0.5")
            self.check_left(5_000)
            await asyncio.sleep(4)
            self.assertEqual(self.ended, [])
            await asyncio.sleep(1.1)
            self.assertEqual(self.ended, ["svc"])
            self.check_left(0)

        self.play(steps)

    def test_a_success_does_not_end_it_and_starts_none(self):
        async def steps():
            for status in (200, 404, 500):
                self.note(b"3", status=status)
            self.check_left(0)
            self.note(b"3", status=429)
            self.note(status=200)
            self.check_left(3_000)

        self.play(steps)

    def test_an_unreadable_value_beside_a_readable_one_is_skipped_with_a_line(self):
        async def steps():
            with mock.patch.object(backoffs, "log_event") as write:
                self.note(b"soon", b"2")
                self.note(b"later")
            self.check_left(2_000)
            names = [call.args[0].name for call in write.call_args_list]
            return names

        self.assertEqual(self.play(steps), ["STATEMENT_UNREADABLE", "UPSTREAM_BACKOFF"])

    def test_each_period_has_one_line_and_each_second_one_extension(self):
        async def steps():
            with mock.patch.object(backoffs, "log_event") as write:
                for _ in range(200):
                    self.note(b"1")
                    await asyncio.sleep(0.01)
                await asyncio.sleep(1.1)
            names = [call.args[0].name for call in write.call_args_list]
            return names

        names = self.play(steps)
        self.assertEqual(names.count("UPSTREAM_BACKOFF_ENDED"), 1)
        self.assertLessEqual(names.count("UPSTREAM_BACKOFF"), 4)

    def test_it_survives_a_lapse_of_the_registration(self):
        async def steps():
            self.note(b"3")
            in_flight = self.upstream
            self.put()
            await asyncio.sleep(1)
            self.put(item("a", 1, created=5))
            self.check_left(2_000)
            self.note(b"4", upstream=in_flight)
            self.check_left(4_000)

        self.play(steps)

    def test_an_answer_during_a_lapse_counts_after_it(self):
        async def steps():
            in_flight = self.upstream
            self.put()
            self.note(b"3", upstream=in_flight)
            self.put(item("a", 1, created=5))
            self.check_left(3_000)

        self.play(steps)

    def test_another_upstream_at_the_address_starts_without_it(self):
        async def steps():
            self.note(b"3")
            self.put(item("b", 1, created=5))
            return self.fleet.choose("svc", ()).entry.instance

        self.assertEqual(self.play(steps), "b")

    def test_an_upstream_that_restarted_under_its_instance_starts_without_it(self):
        async def steps():
            await asyncio.sleep(1)
            self.put(item("a", 1, born=100))
            former = self.upstream
            self.note(b"9")
            await asyncio.sleep(2)
            self.put(item("a", 1, born=2_900))
            self.assertIsNot(self.upstream, former)
            self.check_left(0)

        self.play(steps)

    def test_an_upstream_that_restarted_during_a_lapse_starts_without_it(self):
        async def steps():
            self.put(item("a", 1, born=100))
            self.note(b"9")
            await asyncio.sleep(2)
            self.put()
            self.put(item("a", 1, born=1_900))
            self.check_left(0)

        self.play(steps)

    def test_an_answer_of_the_new_process_counts_before_its_restart_is_known(self):
        async def steps():
            self.put(item("a", 1, born=100))
            await asyncio.sleep(2)
            self.note(b"3")
            await asyncio.sleep(0.2)
            self.put(item("a", 1, born=1_900))
            self.check_left(2_800)

        self.play(steps)

    def test_statements_of_long_gone_upstreams_are_dropped(self):
        clock = ManualClock(1_000)
        records = StatementRecords(clock)
        fleet = Fleet("a", clock, random.Random(1))
        fleet.apply({"a": item("a", 1), "b": item("b", 2)})
        fleet.upstreams["b"].statements.backoff_until_ms = 3_600_000
        for one in fleet.upstreams.values():
            records.keep(one)
        clock.advance(700_000)
        records.keep(Upstream(fleet.upstreams["a"].entry))
        self.assertEqual(sorted(records._unlisted), ["a", "b"])
        clock.advance(3_600_000)
        records.keep(Upstream(fleet.upstreams["a"].entry))
        self.assertEqual(sorted(records._unlisted), ["a"])


class TestWaiting(unittest.TestCase):
    """What requests do while upstreams accept nothing."""

    def play(self, steps):
        async def play(loop):
            self.clock = loop.make_clock()
            self.fleet = Fleet("a", self.clock, random.Random(1))
            self.fleet.apply({"a": item("a", 1, slots=1), "b": item("b", 2, slots=1)})
            self.placer = Placer(self.fleet, self.clock)
            self.backoffs = Backoffs(
                self.clock, self.placer.refuse_waiting, self.placer.serve_waiting
            )
            return await steps()

        return run_virtually(play)

    def note(self, name, retry_after):
        self.backoffs.note_head(self.fleet.upstreams[name], make_head(retry_after))

    def acquire(self, wait_ms=500):
        return self.placer.acquire("svc", RequestTraits("t", 1), (), wait_ms)

    def check_refusal(self, fault, earliest_ms):
        self.assertEqual(fault.result, Code.BACKING_OFF)
        self.assertAlmostEqual(fault.retry_after_ms, earliest_ms, delta=2)

    def test_a_request_that_can_not_wait_so_long_is_refused_at_once(self):
        async def steps():
            self.note("a", b"9")
            self.note("b", b"3")
            with self.assertRaises(RefusedError) as refused:
                await self.acquire()
            self.check_refusal(refused.exception, 3_000)
            return self.clock.now_ms()

        self.assertEqual(self.play(steps), 0)

    def test_a_request_that_can_wait_is_served_when_the_first_period_ends(self):
        async def steps():
            self.note("a", b"0.4")
            self.note("b", b"0.2")
            chosen = await self.acquire()
            return chosen.entry.instance, self.clock.now_ms()

        instance, served_ms = self.play(steps)
        self.assertEqual(instance, "b")
        self.assertAlmostEqual(served_ms, 200, delta=2)

    def test_waiting_requests_are_refused_when_the_last_upstream_begins_one(self):
        async def steps():
            held = [await self.acquire(), await self.acquire()]
            short, long = (
                asyncio.ensure_future(self.acquire(wait_ms)) for wait_ms in (500, 2_000)
            )
            await asyncio.sleep(0.1)
            self.note("a", b"3")
            self.note("b", b"1")
            await asyncio.wait({short}, timeout=0.01)
            self.check_refusal(short.exception(), 1_000)
            for one in held:
                self.placer.release(one)
            chosen = await long
            return chosen.entry.instance, self.clock.now_ms()

        instance, served_ms = self.play(steps)
        self.assertEqual(instance, "b")
        self.assertAlmostEqual(served_ms, 1_100, delta=3)

    def test_an_assigned_slot_is_given_back_if_its_upstream_begins_one(self):
        async def steps():
            held = [await self.acquire(), await self.acquire()]
            waiting = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0.1)
            first = held[0].entry.instance
            self.placer.release(held[0])
            self.note(first, b"5")
            await asyncio.sleep(0.1)
            self.placer.release(held[1])
            chosen = await waiting
            other = self.fleet.upstreams[first].local_requests
            return first, chosen.entry.instance, other

        first, chosen, requests_left = self.play(steps)
        self.assertNotEqual(first, chosen)
        self.assertEqual(requests_left, 0)

    def test_the_other_upstream_gets_no_more_than_its_slots(self):
        async def steps():
            self.note("a", b"5")
            await self.acquire()
            with self.assertRaises(RefusedError) as refused:
                await self.acquire()
            return refused.exception.result, self.clock.now_ms()

        self.assertEqual(self.play(steps), (Code.OVERLOADED, 500))

    def test_requests_return_slowly_to_an_upstream_after_its_period(self):
        async def steps():
            self.fleet.apply({"a": item("a", 1, slots=6)})
            self.note("a", b"0.5")
            await asyncio.sleep(0.51)
            counts = []
            for _ in range(4):
                held = []
                while (chosen := self.fleet.choose("svc", ())) is not None:
                    chosen.local_requests += 1
                    held.append(chosen)
                counts.append(len(held))
                for chosen in held:
                    self.placer.release(chosen)
                answer = Head(200, ())
                self.backoffs.note_head(self.fleet.upstreams["a"], answer)
            return counts

        self.assertEqual(self.play(steps), [1, 2, 4, 6])

    def test_callers_are_asked_to_return_before_an_hour_has_passed(self):
        async def steps():
            self.note("a", b"3600")
            self.note("b", b"3600")
            with self.assertRaises(RefusedError) as refused:
                await self.acquire()
            return refused.exception.retry_after_ms

        self.assertEqual(self.play(steps), MAX_REFUSAL_MS)


if __name__ == "__main__":
    unittest.main()
