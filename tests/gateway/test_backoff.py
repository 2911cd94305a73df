import asyncio
import os
import time
import unittest
from unittest import mock

from fuchsiahatch_gateway.answer_statements import StatementRecords, Statements
from fuchsiahatch_gateway.backoffs import Backoffs
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.known_upstream import Upstream
from tests.gateway.backoff_model import HANDLING_MS, Simulation
from tests.gateway.sites import Site, answers, until, upstream, waits
from tests.loopback import run

#: Time after an answer in which requests that were already on their way may arrive, and
#: how many of them may.
IN_FLIGHT_S = 0.5
MAX_IN_FLIGHT = 2


def rejects(arrivals, retry_after):
    """Return a script that notes each arrival and rejects it with Retry-After."""

    async def script(request, wire):
        arrivals.append(time.monotonic())
        headers = {"Fuchsiahatch-Not-Executed": "1", "Retry-After": retry_after}
        await wire.answer(request, 503, b"", headers)

    return script


async def answers_slowly(request, wire):
    await asyncio.sleep(0.15)
    await wire.answer(request)


async def send_steadily(site, per_s, for_s):
    """Send requests at a steady rate and return their replies."""
    asked = []
    for number in range(int(per_s * for_s)):
        ask = site.ask("/safe/x", request_id=f"q-{number}")
        asked.append(asyncio.ensure_future(ask))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*asked)


def excess_arrivals(arrivals, span_s):
    """Return the most arrivals in a span that began with a rejection."""
    return max(
        sum(began + IN_FLIGHT_S < at < began + span_s for at in arrivals)
        for began in arrivals
    )


class TestRetryAfter(unittest.TestCase):
    def test_no_request_reaches_an_upstream_before_its_retry_after_has_passed(self):
        async def play():
            rejected = []
            async with Site(
                upstream(rejects(rejected, "3")), upstream(answers_slowly)
            ) as site:
                replies = await send_steadily(site, per_s=44, for_s=3.5)
            return rejected, replies

        rejected, replies = run(play())
        self.assertTrue(rejected)
        self.assertLessEqual(excess_arrivals(rejected, 3.0), MAX_IN_FLIGHT)
        self.assertEqual({reply.status for reply in replies}, {200})


class TestEntry(unittest.TestCase):
    """A real entry and its connections."""

    def test_refusal_names_the_earliest_end(self):
        async def play():
            async with Site(upstream(rejects([], "2")), upstream(answers())) as site:
                site.store.remove("servers/i-1")
                await until(lambda: len(site.entry.fleet.upstreams) == 1)
                first = await site.ask("/hold/x", request_id="q-1")
                return first, await site.ask("/hold/x", request_id="q-2")

        first, second = run(play())
        self.assertEqual((first.status, second.status), (503, 503))
        self.assertIn(b"BACKING_OFF", second.body)
        self.assertGreater(float(second.headers["retry-after"]), 1.0)

    def test_late_answer_to_an_earlier_request_counts(self):
        async def answers_first_again(request, wire):
            earlier = (
                b"HTTP/1.1 503 Busy\r\nFuchsiahatch-Request-Id: q-0\r\n"
                b"Retry-After: 5\r\nContent-Length: 0\r\n\r\n"
            )
            await wire.raw(earlier)
            await wire.answer(request)

        async def play():
            async with Site(upstream(answers_first_again)) as site:
                reply = await site.ask("/safe/x", request_id="q-1")
                (one,) = site.entry.fleet.upstreams.values()
                return reply.status, one.backoff_left_ms(
                    site.entry.backoffs._clock.now_ms()
                )

        status, left_ms = run(play())
        self.assertEqual(status, 200)
        self.assertGreater(left_ms, 4_000)

    def test_an_answer_of_another_upstream_does_not_count(self):
        async def play():
            async with Site(upstream(rejects_as_another)) as site:
                await site.ask("/hold/x", request_id="q-1")
                (one,) = site.entry.fleet.upstreams.values()
                return one.statements.backoff_until_ms

        self.assertEqual(run(play()), 0)

    def test_a_retry_that_has_nowhere_to_go_leaves_the_retry_budget_as_it_was(self):
        async def play():
            async with Site(upstream(rejects([], "5")), upstream(waits)) as site:
                site.store.remove("servers/i-1")
                await until(lambda: len(site.entry.fleet.upstreams) == 1)
                reply = await site.ask("/twice/x", request_id="q-1")
                return reply, site.entry.budget.spent

        reply, spent = run(play())
        self.assertEqual((reply.status, spent), (503, 0))
        self.assertIn(b"BACKING_OFF", reply.body)

    def test_an_error_of_an_upstream_is_relayed_if_no_other_accepts_a_retry(self):
        async def play():
            headers = {"X-Own": "kept", "Server-Leaving": "1"}
            fails = answers(500, b"failed", **headers)
            async with Site(upstream(fails), upstream(rejects([], "5"))) as site:
                site.store.remove("servers/i-0")
                await until(lambda: len(site.entry.fleet.upstreams) == 1)
                await site.ask("/hold/x", request_id="q-1")
                site.put_upstream("i-0", site.upstreams[0].port)
                await until(lambda: len(site.entry.fleet.upstreams) == 2)
                return await site.ask("/safe/x", request_id="q-2")

        reply = run(play())
        self.assertEqual((reply.status, reply.body), (500, b"failed"))
        self.assertEqual(reply.headers["x-own"], "kept")


async def rejects_as_another(request, wire):
    headers = {"Fuchsiahatch-Not-Executed": "1", "Retry-After": "5"}
    await wire.answer(request, 421, b"", headers)


def note_latest_answer(self, upstream, head):
    values = head.values(b"retry-after")
    if values:
        upstream.statements.backoff_until_ms = self._clock.now_ms() + int(
            1_000 * float(values[0])
        )


#: Seeds of the simulation; more by hand.
SEEDS = range(1, 1 + int(os.environ.get("BACKOFF_SEEDS", "6")))


class TestSimulation(unittest.TestCase):
    def test_no_request_arrives_within_a_span(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = Simulation(seed, together=(8, 11)).run()
                self.assertGreater(simulation.rejections, 30)
                self.assertEqual(simulation.most_arrivals(HANDLING_MS), 0)
                self.assertEqual(simulation.refused_with_room, 0)

    def test_the_choice_without_periods_is_detected(self):
        without = {
            "an upstream in a period isn't chosen": mock.patch.object(
                Upstream, "backoff_left_ms", lambda self, now_ms: 0
            ),
            "a slot that was assigned before is checked again": mock.patch.object(
                Fleet,
                "is_usable",
                lambda self, upstream, traits: upstream.accepts_requests,
            ),
            "a period survives a lapse": mock.patch.object(
                StatementRecords, "take", lambda self, entry: Statements()
            ),
            "a shorter time doesn't end it": mock.patch.object(
                Backoffs, "note_head", note_latest_answer
            ),
        }
        for name, guard in without.items():
            with self.subTest(name), guard:
                self.assertTrue(
                    any(
                        Simulation(seed).run().most_arrivals(HANDLING_MS)
                        for seed in range(1, 6)
                    )
                )


if __name__ == "__main__":
    unittest.main()
