import asyncio
import unittest
from unittest import mock

from fuchsiahatch_gateway import jobs
from fuchsiahatch_gateway.datagrams import LoadReport
from tests.gateway.sites import (
    ENGINE,
    HOST,
    KEY,
    Reply,
    Site,
    answers,
    encode_request,
    event_ids,
    make_configuration,
    make_route,
    refuses,
    resets,
    streams,
    until,
    upstream,
    waits,
)
from tests.loopback import run


def begin_head(request):
    return f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"


async def ask_one(path, *scripts, **options):
    one = upstream(*scripts)
    async with Site(one) as site:
        return await site.ask(path, **options), one


def make_load(one, pace, running=0):
    address = str(one.entry.address)
    return LoadReport(address, 0, running, pace, True, "g", 50.0)


class TestPlainAnswers(unittest.TestCase):
    def test_an_answer_comes_back_unchanged(self):
        reply, one = run(
            ask_one("/safe/x?y=1", answers(201, b"a body", **{"X-Own": "kept"}))
        )
        self.assertEqual((reply.status, reply.body), (201, b"a body"))
        self.assertEqual(reply.headers["x-own"], "kept")
        self.assertEqual(reply.headers["fuchsiahatch-response-signature"], "sig-1")
        (request,) = one.received
        self.assertEqual((request.method, request.target), ("POST", "/safe/x?y=1"))

    def test_a_upstream_is_shown_the_team_and_never_the_key(self):
        forged = [("Fuchsiahatch-Tenant", "team-b"), ("X-Other", "1")]
        _, one = run(ask_one("/safe/", answers(), headers=forged))
        headers = one.received[0].headers
        self.assertEqual(headers["fuchsiahatch-tenant"], "team-a")
        self.assertEqual(headers["x-other"], "1")
        self.assertNotIn("authorization", headers)
        self.assertEqual(headers["fuchsiahatch-expect-instance"], "i-0")
        self.assertLessEqual(int(headers["fuchsiahatch-deadline-ms"]), 1_400)

    def test_a_body_reaches_the_upstream_whole(self):
        _, one = run(ask_one("/safe/", answers(), body=b"x" * 300_000))
        self.assertEqual(one.received[0].body, b"x" * 300_000)

    def test_unknown_routes_and_keys_are_denied(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                return (
                    await site.ask("/none/"),
                    await site.ask("/safe/", key="wrong"),
                    await site.ask("/safe/", key=""),
                    await site.ask("/open/", key=""),
                )

        statuses = [reply.status for reply in run(asks())]
        self.assertEqual(statuses, [404, 401, 401, 200])

    def test_a_upstreams_own_failure_is_passed_on(self):
        reply, _ = run(ask_one("/hold/", answers(500, b"failed")))
        self.assertEqual((reply.status, reply.body), (500, b"failed"))

    def test_the_longest_prefix_selects(self):
        async def asks():
            one, other = (
                upstream(answers(body=b"short")),
                upstream(answers(body=b"long")),
            )
            async with Site(one) as site:
                await site.add_upstream("i-9", other, service="other")
                routes = [
                    make_route("/safe/", "safe"),
                    make_route("/safe/deep/", "safe", "other"),
                ]
                site.store.put("op/config", make_configuration(2, routes))
                await until(lambda: site.entry.routes.configuration.version == 2)
                reply = await site.ask("/safe/deep/x")
                await other.close()
                return reply

        self.assertEqual(run(asks()).body, b"long")


class TestAtMostOnce(unittest.TestCase):
    def test_a_hold_whose_answer_is_lost_is_not_sent_again(self):
        # A trainer is booked twice for one hour: the upstream ran the hold, its answer
        # was lost, and the balancer sent the hold to a second upstream.
        async def asks():
            upstreams = [upstream(resets), upstream(resets)]
            async with Site(*upstreams) as site:
                reply = await site.ask("/twice/")
                return reply, sum(len(one.received) for one in upstreams)

        reply, sends = run(asks())
        self.assertEqual(sends, 1)
        # 503 would say that it has not run.
        self.assertEqual(reply.status, 502)

    def test_a_hold_that_was_not_run_may_go_to_a_second_upstream(self):
        reply, one = run(ask_one("/twice/", refuses(), answers()))
        self.assertEqual((reply.status, len(one.received)), (200, 2))

    def test_a_refused_hold_says_when_to_come_back(self):
        reply, _ = run(ask_one("/hold/", refuses()))
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    def test_a_safe_request_is_sent_again(self):
        for first in (resets, answers(500, b"failed"), refuses()):
            reply, one = run(ask_one("/safe/", first, answers()))
            self.assertEqual((reply.status, len(one.received)), (200, 2))

    def test_no_more_upstreams_than_the_route_allows(self):
        reply, one = run(ask_one("/safe/", resets))
        self.assertEqual((reply.status, len(one.received)), (502, 2))

    def test_no_place_after_a_send_is_no_refusal(self):
        # A caller is told that nothing ran, and a first try had run: its answer was
        # lost, and then there was no place for a second one.
        async def asks():
            async def goes_and_resets(request, wire):
                site.store.remove("servers/i-0")
                await until(lambda: not site.entry.fleet.upstreams)
                wire.reset()

            async with Site(upstream(goes_and_resets)) as site:
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 502)

    def test_time_over_after_a_send_is_no_refusal(self):
        # The caller of a hold is told "not run", books elsewhere, and the first
        # upstream's booking comes through after all.
        reply, _ = run(ask_one("/hold/", waits, headers=[]))
        self.assertEqual(reply.status, 504)


class TestMixedAnswers(unittest.TestCase):
    def test_a_late_second_answer_reaches_nobody(self):
        # A member reads another member's booking: an upstream sends a second answer to
        # the first request, and it lies where the second one's answer is due.
        async def doubled(request, wire):
            await wire.answer(request, body=b"first")
            await asyncio.sleep(0.05)
            await wire.answer(request, body=b"first again")

        async def asks():
            one = upstream(doubled, answers(body=b"second"))
            async with Site(one) as site:
                replies = [await site.ask("/safe/", request_id="q-1")]
                replies.append(await site.ask("/safe/", request_id="q-2"))
                return [reply.body for reply in replies]

        self.assertEqual(run(asks()), [b"first", b"second"])

    def test_a_strangers_answer_before_ours_is_passed_over(self):
        # As above, with the second answer in the same packet as the wanted one.
        async def stranger_first(request, wire):
            other = type(request)("POST", "/", {"fuchsiahatch-request-id": "q-0"}, b"")
            await wire.answer(other, body=b"another caller's")
            await wire.answer(request, body=b"own")

        reply, _ = run(ask_one("/hold/", stranger_first))
        self.assertEqual((reply.status, reply.body), (200, b"own"))

    def test_a_success_without_a_signature_is_none(self):
        async def unsigned(request, wire):
            head = (
                f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"
            )
            await wire.raw(head.encode() + b"Content-Length: 2\r\n\r\nok")

        reply, _ = run(ask_one("/hold/", unsigned))
        self.assertEqual(reply.status, 502)

    def test_a_cut_body_is_no_answer(self):
        async def cut(request, wire):
            head = (
                f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"
            )
            head += "Fuchsiahatch-Response-Signature: s\r\nContent-Length: 9\r\n\r\n"
            await wire.raw(head.encode() + b"half")
            wire.close()

        reply, _ = run(ask_one("/hold/", cut))
        self.assertEqual(reply.status, 502)

    def test_a_body_without_a_length_ends_with_its_connection(self):
        def unframed(end):
            async def script(request, wire):
                head = begin_head(request)
                await wire.raw(
                    head.encode() + b"Fuchsiahatch-Response-Signature: s\r\n\r\n"
                )
                await wire.raw(b"whole")
                await asyncio.sleep(0.05)
                getattr(wire, end)()

            return script

        reply, _ = run(ask_one("/hold/", unframed("close")))
        self.assertEqual((reply.status, reply.body), (200, b"whole"))
        reply, _ = run(ask_one("/hold/", unframed("reset")))
        self.assertEqual(reply.status, 502)

    def test_bytes_that_are_no_answer_are_not_passed_on(self):
        async def garbage(request, wire):
            await wire.raw(b"\x00\x01 not an answer\r\n\r\n")

        reply, _ = run(ask_one("/hold/", garbage))
        self.assertEqual(reply.status, 502)


class TestStreams(unittest.TestCase):
    def test_events_come_as_they_are_made(self):
        async def asks():
            async def slow(request, wire):
                await wire.begin_stream(request)
                await wire.event(1)
                await asyncio.sleep(0.3)
                await wire.event(2)
                await wire.end_stream()

            async with Site(upstream(slow)) as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(encode_request("/chat/"))
                first = await asyncio.wait_for(reader.readuntil(b"piece 1\n\n"), 0.25)
                rest = await reader.read(-1)
                writer.close()
                return Reply(first + rest)

        reply = run(asks())
        self.assertEqual(event_ids(reply.body), [1, 2])
        self.assertTrue(reply.whole)

    def test_a_stream_goes_on_at_another_upstream(self):
        # A skipper's brief stops midway: its upstream was reset between two events.
        async def asks():
            upstreams = [
                upstream(streams(1, 3, end=False), streams(4, 6)) for _ in "ab"
            ]
            upstreams[1]._scripts = upstreams[0]._scripts
            async with Site(*upstreams) as site:
                reply = await site.ask("/chat/")
                sent = [one for each in upstreams for one in each.received]
                return reply, sent

        reply, sent = run(asks())
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4, 5, 6])
        self.assertTrue(reply.whole)
        last_ids = {request.headers.get("last-event-id") for request in sent}
        self.assertEqual(last_ids, {None, "3"})

    def test_a_silent_stream_goes_on_elsewhere(self):
        # A skipper leaves after two seconds without a word: one rank of the group has
        # died, and the others stand still for 1.5 s before they say so.
        async def stalls(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await asyncio.sleep(30)

        with mock.patch.object(jobs, "STREAM_SILENCE_SHARE", 0.1):
            reply, _ = run(ask_one("/chat/", stalls, streams(2, 4)))
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4])
        self.assertTrue(reply.whole)

    def test_a_stream_leaves_a_rank_that_became_slow(self):
        # Every stream of a service stumbles until the last one on a slow engine has
        # ended, 24 passes later: all ranks of its group wait for its step in each pass.
        async def crawls(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await asyncio.sleep(30)

        async def asks():
            slow, sound = upstream(crawls), upstream(streams(2, 4))
            async with Site(slow, sound) as site:
                fleet = site.entry.fleet
                fleet.engine_of = lambda service: ENGINE
                ranks = [fleet.upstreams[f"i-{number}"] for number in range(2)]
                fleet.observe(make_load(ranks[0], pace=1.0))
                fleet.observe(make_load(ranks[1], pace=1.0, running=5))
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(encode_request("/chat/"))
                begun = await reader.readuntil(b"id: 1\ndata: piece 1\n\n")
                fleet.observe(make_load(ranks[0], pace=12.0, running=1))
                rest = await asyncio.wait_for(reader.read(-1), 0.5)
                writer.close()
                (moved,) = sound.received
                return Reply(begun + rest), moved.headers.get("last-event-id")

        reply, resumed_behind = run(asks())
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4])
        self.assertTrue(reply.whole)
        self.assertEqual(resumed_behind, "1")

    def test_a_silent_upstream_costs_half_of_the_time(self):
        # A cancellation notice is lost with an upstream that takes it and is silent.
        reply, one = run(ask_one("/safe/", waits, answers()))
        self.assertEqual((reply.status, len(one.received)), (200, 2))

    def test_a_stream_whose_second_upstream_fails_ends_broken(self):
        # A brief ends with the text of an error in its midst.
        cut, failed = streams(1, 3, end=False), answers(500, b"failed")
        reply, one = run(ask_one("/chat/", cut, failed))
        self.assertEqual(len(one.received), 2)
        self.assertFalse(reply.whole)
        self.assertNotIn(b"failed", reply.body)

    def test_half_an_event_is_dropped(self):
        # A brief has the start of one sentence twice: half an event was passed on,
        # and the next upstream sent it again from its beginning.
        async def cut_inside(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.raw(b"b\r\nid: 2\ndata:\r\n")
            await asyncio.sleep(0.02)
            wire.reset()

        reply, _ = run(ask_one("/chat/", cut_inside, streams(2, 3)))
        self.assertEqual(event_ids(reply.body), [1, 2, 3])
        self.assertTrue(reply.whole)

    def test_a_stream_that_may_not_be_resumed_ends_broken(self):
        # Half a brief looks like a whole one: its end was sent for a broken stream.
        reply, one = run(ask_one("/brief/", streams(1, 3, end=False), streams(4, 6)))
        self.assertFalse(reply.whole)
        self.assertEqual(len(one.received), 1)

    def test_a_stream_that_never_began_is_refused_or_failed(self):
        reply, one = run(ask_one("/brief/", refuses()))
        self.assertEqual((reply.status, len(one.received)), (503, 2))
        reply, one = run(ask_one("/brief/", resets))
        self.assertEqual((reply.status, len(one.received)), (502, 1))


class TestCallersWhoLeave(unittest.TestCase):
    def test_an_upstreams_work_ends_with_its_caller(self):
        # Engines write answers for members who have left: the connection to the
        # upstream stayed open after the caller's was closed.
        async def asks():
            one = upstream(waits)
            async with Site(one) as site:
                _, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(encode_request("/chat/"))
                await until(lambda: one.received)
                writer.close()
                await until(lambda: one.left, 0.4)
                (known,) = site.entry.fleet.upstreams.values()
                return known.own

        self.assertEqual(run(asks()), 0)

    def test_a_request_that_waits_is_forgotten_with_its_caller(self):
        async def asks():
            one = upstream(waits)
            async with Site(one) as site:
                writers = []
                for number in range(7):
                    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
                    writer.write(encode_request("/chat/", request_id=f"q-{number}"))
                    writers.append(writer)
                    await until(
                        lambda n=number: (
                            len(one.received) == min(n + 1, 6)
                            and site.entry.placer.waiting == n // 6
                        )
                    )
                writers[-1].close()
                await until(lambda: not site.entry.placer.waiting)
                for writer in writers:
                    writer.close()
                (known,) = site.entry.fleet.upstreams.values()
                await until(lambda: known.own == 0)
                return len(one.received)

        self.assertEqual(run(asks()), 6)


class TestUpstreamsThatLeave(unittest.TestCase):
    def test_a_leaving_upstream_gets_nothing_new(self):
        # A booking is lost with an upstream that had said long before that it leaves.
        async def asks():
            old, new = upstream(answers(body=b"old")), upstream(answers(body=b"new"))
            async with Site(old, new) as site:
                site.put_upstream("i-0", old.port, "draining")
                await until(lambda: site.entry.fleet.upstreams["i-0"].entry.leaving)
                return [(await site.ask("/safe/")).body for _ in range(8)]

        self.assertEqual(set(run(asks())), {b"new"})

    def test_another_upstream_at_the_address_is_noticed(self):
        # A request runs at a service it was never meant for: the address of an upstream
        # that is gone was given to another one.
        async def misdirected(request, wire):
            await wire.answer(request, 421, b"")

        async def asks():
            wrong, right = upstream(misdirected), upstream(answers(body=b"right"))
            async with Site(wrong, right) as site:
                bodies = [(await site.ask("/twice/")).body for _ in range(6)]
                return bodies, len(wrong.received)

        bodies, sent = run(asks())
        self.assertEqual(set(bodies), {b"right"})
        self.assertLessEqual(sent, 1)

    def test_a_dark_upstream_costs_no_answer(self):
        async def asks():
            gone = upstream(answers())
            async with Site(gone, upstream(answers())) as site:
                await gone.close()
                site.entry.pool.close_idle("127.0.0.1", gone.port)
                return [(await site.ask("/hold/")).status for _ in range(6)]

        self.assertEqual(set(run(asks())), {200})


class TestConfiguration(unittest.TestCase):
    def test_an_older_version_never_comes_back(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                keys = ("new-key",)
                site.store.put("op/config", make_configuration(5, keys=keys))
                await until(lambda: site.entry.routes.configuration.version == 5)
                site.store.put("op/config", make_configuration(4))
                await asyncio.sleep(0.1)
                revoked = await site.ask("/safe/", key=KEY)
                return revoked.status, (await site.ask("/safe/", key="new-key")).status

        self.assertEqual(run(asks()), (401, 200))

    def test_a_change_after_the_history_is_lost_is_in_force(self):
        # A revoked key goes on working: the store dropped its history with the change
        # in it, and the entry watched on from a revision that no longer existed.
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.put("op/config", make_configuration(7, keys=("other",)))
                site.store.compact()
                await until(lambda: site.entry.routes.configuration.version == 7)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 401)

    def test_what_was_known_goes_on_while_the_store_is_away(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.faults.status = 503
                site.store.compact()
                await asyncio.sleep(0.3)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 200)

    def test_an_unreadable_configuration_changes_nothing(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.put("op/config", b"{not json")
                await asyncio.sleep(0.1)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 200)


class TestCallersConnections(unittest.TestCase):
    def test_a_connection_is_kept_for_more_requests(self):
        async def asks():
            async with Site(
                upstream(answers(body=b"one"), answers(body=b"two"))
            ) as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                bodies = []
                for number in range(2):
                    request_id = f"q-{number}"
                    writer.write(encode_request("/safe/", request_id, keep=True))
                    data = await reader.readuntil(b"\r\n\r\n")
                    bodies.append(await reader.readexactly(3))
                    assert data.startswith(b"HTTP/1.1 200")
                writer.close()
                return bodies

        self.assertEqual(run(asks()), [b"one", b"two"])

    def test_what_is_no_request_is_refused(self):
        async def asks(data):
            async with Site(upstream(answers())) as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(data)
                reply = Reply(await reader.read(-1))
                writer.close()
                return reply.status

        smuggled = (
            f"POST /safe/ HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5\r\n"
            "Content-Length: 6\r\n\r\nabcdef"
        )
        self.assertEqual(run(asks(smuggled.encode())), 400)
        self.assertEqual(run(asks(b"nonsense\r\n\r\n")), 400)
        long_head = b"GET / HTTP/1.1\r\nX: " + b"a" * 40_000
        self.assertEqual(run(asks(long_head)), 431)


if __name__ == "__main__":
    unittest.main()
