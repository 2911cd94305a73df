import asyncio
import random
import unittest
from unittest import mock

from fuchsiahatch_adapter.upstreams import decode_leaving
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway import stated_leaving
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.stated_leaving import StatedLeaving
from fuchsiahatch_http1.answers import Head
from tests.gateway.sites import (
    Site,
    answers,
    event_ids,
    make_configuration,
    until,
    upstream,
)
from tests.gateway.test_fleet import item
from tests.loopback import run

LEAVING = {"Server-Leaving": "1"}


async def streams_and_leaves(request, wire):
    chunked = {"Transfer-Encoding": "chunked", **LEAVING}
    lines = [
        "HTTP/1.1 200 OK",
        f"Fuchsiahatch-Request-Id: {request.request_id}",
        "Fuchsiahatch-Response-Signature: sig-1",
        *(f"{name}: {value}" for name, value in chunked.items()),
    ]
    await wire.raw("\r\n".join([*lines, "", ""]).encode())
    for number in (1, 2):
        await wire.event(number)
    await wire.end_stream()


def rejects(status):
    headers = {"Fuchsiahatch-Not-Executed": "1", **LEAVING}
    return answers(status, b"", **headers)


async def answers_another_first(request, wire):
    await wire.raw(
        b"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: q-earlier\r\n"
        b"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    )
    await wire.answer(request)


class TestServerLeaving(unittest.TestCase):
    """An upstream whose answers say that it leaves, while its entry says ready."""

    def count_after(self, script, path="/hold/x", statuses=(200,)):
        """Return the requests that an upstream gets after its first answer."""

        async def play():
            leaving, other = upstream(script), upstream(answers())
            async with Site(leaving) as site:
                first = await site.ask(path, request_id="q-0")
                await site.add_upstream("i-1", other)
                await until(lambda: len(site.entry.fleet.upstreams) == 2)
                received = len(leaving.received)
                replies = await asyncio.gather(
                    *(site.ask("/hold/x", request_id=f"q-{n}") for n in range(1, 9))
                )
                await other.close()
                return first, len(leaving.received) - received, replies

        first, sends, replies = run(play())
        self.assertIn(first.status, statuses)
        self.assertEqual({reply.status for reply in replies}, {200})
        return sends

    def test_gets_no_request_after_a_success(self):
        self.assertEqual(self.count_after(answers(**LEAVING)), 0)

    def test_gets_no_request_after_an_error(self):
        script = answers(500, b"failed", **LEAVING)
        self.assertEqual(self.count_after(script, statuses=(500,)), 0)

    def test_gets_no_request_after_a_rejection(self):
        self.assertEqual(self.count_after(rejects(503), statuses=(503,)), 0)

    def test_gets_no_request_after_a_stream(self):
        self.assertEqual(self.count_after(streams_and_leaves, "/chat/x"), 0)

    def test_gets_no_request_after_a_late_answer_to_an_earlier_request(self):
        self.assertEqual(self.count_after(answers_another_first, "/safe/x"), 0)

    def test_another_upstream_at_the_address_does_not_mark_it(self):
        async def play():
            async with Site(upstream(rejects(421))) as site:
                await site.ask("/hold/x")
                (one,) = site.entry.fleet.upstreams.values()
                return one.statements.leaving

        self.assertFalse(run(play()))

    def test_what_it_has_begun_is_finished(self):
        async def play():
            async with Site(upstream(streams_and_leaves)) as site:
                return await site.ask("/chat/x")

        reply = run(play())
        self.assertTrue(reply.whole)
        self.assertEqual(event_ids(reply.body), [1, 2])

    def test_gets_no_request_through_an_outage_and_an_older_copy_of_the_store(self):
        async def play():
            leaving, other = upstream(answers(**LEAVING)), upstream(answers())
            async with Site(leaving) as site:
                # Polls the store through the outage, as in an entry that runs.
                polling = asyncio.ensure_future(site.entry.registration.run())
                copy = site.store.copy()
                await site.ask("/hold/x", request_id="q-0")
                site.store.faults.status = 503
                await asyncio.sleep(0.2)
                site.store.faults.status = 0
                site.store.restore(copy)
                site.store.remove("servers/i-0")
                await until(lambda: not site.entry.fleet.upstreams)
                site.put_upstream("i-0", leaving.port)
                await site.add_upstream("i-1", other)
                site.store.put("op/config", make_configuration(2))
                await until(lambda: len(site.entry.fleet.upstreams) == 2)
                for number in range(1, 9):
                    await site.ask("/hold/x", request_id=f"q-{number}")
                await other.close()
                polling.cancel()
                return len(leaving.received)

        self.assertEqual(run(play()), 1)


class TestValues(unittest.TestCase):
    def test_only_0_and_1_are_readable(self):
        self.assertTrue(decode_leaving(b"1"))
        self.assertFalse(decode_leaving(b"0"))
        self.assertFalse(decode_leaving(None))
        for value in (b"", b"yes", b"2"):
            with self.subTest(value=value), self.assertRaises(FormError):
                decode_leaving(value)

    def test_an_unreadable_value_changes_nothing_and_is_logged_once(self):
        clock = ManualClock()
        fleet = Fleet("a", clock, random.Random(1))
        fleet.apply({"a": item("a", 1)})
        head = Head(200, ((b"server-leaving", b"maybe"),))
        stated = StatedLeaving(clock, lambda entry: self.fail("it doesn't leave"))
        with mock.patch.object(stated_leaving, "log_event") as write:
            for _ in range(3):
                stated.note_head(fleet.upstreams["a"], head)
        self.assertEqual(write.call_count, 1)
        self.assertFalse(fleet.upstreams["a"].leaving)


class TestIncarnations(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.fleet = Fleet("a", self.clock, random.Random(1), self.clock)
        self.fleet.apply({"a": item("a", 1, born=100)})
        statements = self.fleet.upstreams["a"].statements
        statements.leaving, statements.leaving_stated_ms = True, self.clock.now_ms()

    def choose(self):
        return self.fleet.choose("svc", ())

    def test_a_lapse_of_the_registration_changes_nothing(self):
        self.fleet.apply({})
        self.clock.advance(5_000)
        self.fleet.apply({"a": item("a", 1, born=100, created=9)})
        self.assertIsNone(self.choose())

    def test_a_new_process_under_its_instance_is_chosen(self):
        self.clock.advance(5_000)
        self.fleet.apply({"a": item("a", 1, born=14_000)})
        self.assertIsNotNone(self.choose())

    def test_an_answer_of_the_new_process_counts_before_its_restart_is_known(self):
        self.fleet.apply({"a": item("a", 1, born=9_800)})
        self.assertIsNone(self.choose())


if __name__ == "__main__":
    unittest.main()
