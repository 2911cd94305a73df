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

UNNAMED_REJECTION = (
    b"HTTP/1.1 503 Full\r\nFuchsiahatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


def begin_head(request):
    return f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"


def answers_and_repeats(status, headers=()):
    """Return scripts: an answer, and one that repeats it late on its connection."""
    answered = {}

    async def first(request, wire):
        answered[wire] = request
        await wire.answer(request, status, b"", dict(headers))

    async def repeated_first(request, wire):
        if wire in answered:
            await wire.answer(answered[wire], status, b"", dict(headers))
        await wire.answer(request, body=b"own")

    return first, repeated_first


async def ask_one(path, *scripts, **options):
    server = upstream(*scripts)
    async with Site(server) as site:
        return await site.ask(path, **options), server


def make_load(record, pace, running=0):
    address = str(record.entry.address)
    return LoadReport(address, 0, running, pace, True, "g", 50.0)


class TestPlainAnswers(unittest.TestCase):
    def test_answer_is_relayed_unchanged(self):
        reply, server = run(
            ask_one("/safe/x?y=1", answers(201, b"a body", **{"X-Own": "kept"}))
        )
        self.assertEqual((reply.status, reply.body), (201, b"a body"))
        self.assertEqual(reply.headers["x-own"], "kept")
        self.assertEqual(reply.headers["fuchsiahatch-response-signature"], "sig-1")
        (request,) = server.received
        self.assertEqual((request.method, request.target), ("POST", "/safe/x?y=1"))

    def test_upstream_receives_the_team_but_not_the_key(self):
        forged = [("Fuchsiahatch-Tenant", "team-b"), ("X-Other", "1")]
        _, server = run(ask_one("/safe/", answers(), headers=forged))
        headers = server.received[0].headers
        self.assertEqual(headers["fuchsiahatch-tenant"], "team-a")
        self.assertEqual(headers["x-other"], "1")
        self.assertNotIn("authorization", headers)
        self.assertEqual(headers["fuchsiahatch-expect-instance"], "i-0")
        self.assertLessEqual(int(headers["fuchsiahatch-deadline-ms"]), 1_400)

    def test_large_body_is_sent_complete(self):
        _, server = run(ask_one("/safe/", answers(), body=b"x" * 300_000))
        self.assertEqual(server.received[0].body, b"x" * 300_000)

    def test_a_request_with_an_unreadable_deadline_is_answered_and_not_reset(self):
        async def asks(deadline_ms):
            async with Site(upstream(answers())) as site:
                return await site.ask("/safe/", deadline_ms=deadline_ms)

        for deadline_ms in ("soon", "nan", "inf", "-1e400"):
            with self.subTest(deadline_ms=deadline_ms):
                self.assertEqual(run(asks(deadline_ms)).status, 400)

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

    def test_error_of_an_upstream_is_relayed(self):
        reply, _ = run(ask_one("/hold/", answers(500, b"failed")))
        self.assertEqual((reply.status, reply.body), (500, b"failed"))

    def test_longest_matching_prefix_selects_the_route(self):
        async def asks():
            server, other = (
                upstream(answers(body=b"short")),
                upstream(answers(body=b"long")),
            )
            async with Site(server) as site:
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
    def test_unsafe_request_whose_answer_is_lost_is_not_retried(self):
        # A retry would book a trainer twice: the first upstream ran the hold and only
        # its answer was lost.
        async def asks():
            upstreams = [upstream(resets), upstream(resets)]
            async with Site(*upstreams) as site:
                reply = await site.ask("/twice/")
                return reply, sum(len(server.received) for server in upstreams)

        reply, sends = run(asks())
        self.assertEqual(sends, 1)
        # 503 would mean that the request did not run.
        self.assertEqual(reply.status, 502)

    def test_unsafe_request_that_was_not_run_is_retried(self):
        reply, server = run(ask_one("/twice/", refuses(), answers()))
        self.assertEqual((reply.status, len(server.received)), (200, 2))

    def test_refusal_has_a_retry_after_header(self):
        reply, _ = run(ask_one("/hold/", refuses()))
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    def test_safe_request_is_retried(self):
        for first in (resets, answers(500, b"failed"), refuses()):
            reply, server = run(ask_one("/safe/", first, answers()))
            self.assertEqual((reply.status, len(server.received)), (200, 2))

    def test_attempts_are_limited_by_the_route(self):
        reply, server = run(ask_one("/safe/", resets))
        self.assertEqual((reply.status, len(server.received)), (502, 2))

    def test_no_slot_after_an_attempt_is_not_reported_as_a_refusal(self):
        # A refusal states that nothing ran, but the first attempt ran: its answer was
        # lost, and no slot was free for a second attempt.
        async def asks():
            async def goes_and_resets(request, wire):
                site.store.remove("servers/i-0")
                await until(lambda: not site.entry.fleet.upstreams)
                wire.reset()

            async with Site(upstream(goes_and_resets)) as site:
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 502)

    def test_timeout_after_an_attempt_is_not_reported_as_a_refusal(self):
        # A caller who got "not run" would book elsewhere, while the first upstream may
        # still complete the booking.
        reply, _ = run(ask_one("/hold/", waits, headers=[]))
        self.assertEqual(reply.status, 504)


class TestMismatchedAnswers(unittest.TestCase):
    def test_late_second_answer_is_dropped(self):
        # A caller would get another caller's answer: the upstream answers the first
        # request twice on a kept connection, and the second answer is received where
        # the answer to the next request is expected.
        async def doubled(request, wire):
            await wire.answer(request, body=b"first")
            await asyncio.sleep(0.05)
            await wire.answer(request, body=b"first again")

        async def asks():
            server = upstream(doubled, answers(body=b"second"))
            async with Site(server) as site:
                replies = [await site.ask("/safe/", request_id="q-1")]
                replies.append(await site.ask("/safe/", request_id="q-2"))
                return [reply.body for reply in replies]

        self.assertEqual(run(asks()), [b"first", b"second"])

    def test_answer_to_another_request_is_skipped(self):
        # As above, with the second answer in the same packet as the expected one.
        async def other_answer_first(request, wire):
            other = type(request)("POST", "/", {"fuchsiahatch-request-id": "q-0"}, b"")
            await wire.answer(other, body=b"another caller's")
            await wire.answer(request, body=b"own")

        reply, _ = run(ask_one("/hold/", other_answer_first))
        self.assertEqual((reply.status, reply.body), (200, b"own"))

    def test_repeated_rejection_is_not_taken_for_the_answer_to_the_next_sending(self):
        # The caller of an unsafe request would be told that it didn't run, though it
        # runs: all sendings of a request have one id.
        for status in (503, 429):
            scripts = answers_and_repeats(status, [("Fuchsiahatch-Not-Executed", "1")])
            reply, _ = run(ask_one("/twice/", *scripts))
            self.assertEqual((reply.status, reply.body), (200, b"own"), status)

    def test_repeated_failure_is_not_taken_for_the_answer_to_the_next_sending(self):
        reply, _ = run(ask_one("/safe/", *answers_and_repeats(500)))
        self.assertEqual((reply.status, reply.body), (200, b"own"))

    def test_connection_of_a_rejected_request_is_used_for_others(self):
        async def asks():
            server = upstream(refuses(), answers())
            async with Site(server) as site:
                await site.ask("/twice/", request_id="q-1")
                await asyncio.gather(
                    *(site.ask("/safe/", request_id=f"q-{at}") for at in (2, 3))
                )
                return server.connections

        self.assertEqual(run(asks()), 2)

    def test_rejection_without_an_id_on_a_reused_connection_is_skipped(self):
        # It may belong to any request: bytes behind the answer to the one before. The
        # caller would be told that its request didn't run, though it runs.
        async def adds_bytes(request, wire):
            await wire.raw(UNNAMED_REJECTION)
            await wire.answer(request, body=b"own")

        async def asks():
            async with Site(upstream(answers(), adds_bytes)) as site:
                await site.ask("/hold/", request_id="q-1")
                reply = await site.ask("/hold/", request_id="q-2")
                return reply.status, reply.body

        self.assertEqual(run(asks()), (200, b"own"))

    def test_rejection_without_an_id_that_nothing_follows_is_no_promise(self):
        async def rejects(request, wire):
            await wire.raw(UNNAMED_REJECTION)
            await asyncio.sleep(2)

        async def rejects_and_closes(request, wire):
            closes = b"Connection: close\r\nContent-Length"
            await wire.raw(UNNAMED_REJECTION.replace(b"Content-Length", closes))
            wire.close()

        async def asks(second):
            async with Site(upstream(answers(), second)) as site:
                await site.ask("/hold/", request_id="q-1")
                async with asyncio.timeout(1):
                    reply = await site.ask("/hold/", request_id="q-2", deadline_ms=300)
                return reply.status

        self.assertEqual(run(asks(rejects)), 504)
        self.assertEqual(run(asks(rejects_and_closes)), 502)

    def test_connection_of_an_answer_without_an_id_is_not_reused(self):
        # The next request on it would fail if that answer were repeated late.
        async def rejects(request, wire):
            await wire.raw(UNNAMED_REJECTION)

        async def asks():
            server = upstream(rejects, answers())
            async with Site(server) as site:
                first = await site.ask("/hold/", request_id="q-1")
                second = await site.ask("/hold/", request_id="q-2")
                return first.status, second.status, server.connections

        self.assertEqual(run(asks()), (503, 200, 2))

    def test_success_without_a_signature_is_rejected(self):
        async def unsigned(request, wire):
            head = (
                f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"
            )
            await wire.raw(head.encode() + b"Content-Length: 2\r\n\r\nok")

        reply, _ = run(ask_one("/hold/", unsigned))
        self.assertEqual(reply.status, 502)

    def test_truncated_body_is_rejected(self):
        async def cut(request, wire):
            head = (
                f"HTTP/1.1 200 OK\r\nFuchsiahatch-Request-Id: {request.request_id}\r\n"
            )
            head += "Fuchsiahatch-Response-Signature: s\r\nContent-Length: 9\r\n\r\n"
            await wire.raw(head.encode() + b"half")
            wire.close()

        reply, _ = run(ask_one("/hold/", cut))
        self.assertEqual(reply.status, 502)

    def test_body_without_a_length_ends_at_the_close_but_not_at_a_reset(self):
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

    def test_malformed_answer_is_not_relayed(self):
        async def garbage(request, wire):
            await wire.raw(b"\x00\x01 not an answer\r\n\r\n")

        reply, _ = run(ask_one("/hold/", garbage))
        self.assertEqual(reply.status, 502)


class TestStreams(unittest.TestCase):
    def test_events_are_relayed_as_they_arrive(self):
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

    def test_interrupted_stream_is_resumed_at_another_upstream(self):
        # The first upstream resets the connection between two events.
        async def asks():
            upstreams = [
                upstream(streams(1, 3, end=False), streams(4, 6)) for _ in "ab"
            ]
            upstreams[1]._scripts = upstreams[0]._scripts
            async with Site(*upstreams) as site:
                reply = await site.ask("/chat/")
                sent = [request for server in upstreams for request in server.received]
                return reply, sent

        reply, sent = run(asks())
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4, 5, 6])
        self.assertTrue(reply.whole)
        last_ids = {request.headers.get("last-event-id") for request in sent}
        self.assertEqual(last_ids, {None, "3"})

    def test_silent_stream_moves_to_another_upstream(self):
        # Callers leave a stream after two seconds without an event. When a rank of a
        # group dies, the other ranks stall for 1.5 s before they report it.
        async def stalls(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await asyncio.sleep(30)

        with mock.patch.object(jobs, "STREAM_SILENCE_SHARE", 0.1):
            reply, _ = run(ask_one("/chat/", stalls, streams(2, 4)))
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4])
        self.assertTrue(reply.whole)

    def test_stream_moves_away_from_a_rank_that_became_slow(self):
        # All ranks of a group wait for the slowest step in each pass, so one slow
        # engine delayed every stream of the service until its last stream had ended,
        # 24 passes later.
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

        reply, resumed_after = run(asks())
        self.assertEqual(event_ids(reply.body), [1, 2, 3, 4])
        self.assertTrue(reply.whole)
        self.assertEqual(resumed_after, "1")

    def test_silent_upstream_is_abandoned_after_half_of_the_time(self):
        # An upstream that accepts a request and sends nothing must not use up its time.
        reply, server = run(ask_one("/safe/", waits, answers()))
        self.assertEqual((reply.status, len(server.received)), (200, 2))

    def test_stream_is_cut_if_the_second_upstream_fails(self):
        # Otherwise the body of the error would become part of the stream.
        cut, failed = streams(1, 3, end=False), answers(500, b"failed")
        reply, server = run(ask_one("/chat/", cut, failed))
        self.assertEqual(len(server.received), 2)
        self.assertFalse(reply.whole)
        self.assertNotIn(b"failed", reply.body)

    def test_partial_event_is_dropped_on_resume(self):
        # If a partial event is relayed, its start occurs twice in the stream, as the
        # next upstream sends the event again in full.
        async def cut_inside(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.raw(b"b\r\nid: 2\ndata:\r\n")
            await asyncio.sleep(0.02)
            wire.reset()

        reply, _ = run(ask_one("/chat/", cut_inside, streams(2, 3)))
        self.assertEqual(event_ids(reply.body), [1, 2, 3])
        self.assertTrue(reply.whole)

    def test_stream_that_is_not_resumable_is_cut(self):
        # A regular end of an interrupted stream would make it look complete.
        reply, server = run(ask_one("/brief/", streams(1, 3, end=False), streams(4, 6)))
        self.assertFalse(reply.whole)
        self.assertEqual(len(server.received), 1)

    def test_stream_without_a_first_event_is_refused_or_fails(self):
        reply, server = run(ask_one("/brief/", refuses()))
        self.assertEqual((reply.status, len(server.received)), (503, 2))
        reply, server = run(ask_one("/brief/", resets))
        self.assertEqual((reply.status, len(server.received)), (502, 1))


class TestDisconnectedCallers(unittest.TestCase):
    def test_upstream_connection_closes_when_the_caller_disconnects(self):
        # If the connection stays open, the engine goes on generating an answer that
        # nobody reads.
        async def asks():
            server = upstream(waits)
            async with Site(server) as site:
                _, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(encode_request("/chat/"))
                await until(lambda: server.received)
                writer.close()
                await until(lambda: server.left, 0.4)
                (record,) = site.entry.fleet.upstreams.values()
                return record.local_requests

        self.assertEqual(run(asks()), 0)

    def test_waiting_request_is_dropped_when_its_caller_disconnects(self):
        async def asks():
            server = upstream(waits)
            async with Site(server) as site:
                writers = []
                for number in range(7):
                    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
                    writer.write(encode_request("/chat/", request_id=f"q-{number}"))
                    writers.append(writer)
                    await until(
                        lambda n=number: (
                            len(server.received) == min(n + 1, 6)
                            and site.entry.placer.waiting == n // 6
                        )
                    )
                writers[-1].close()
                await until(lambda: not site.entry.placer.waiting)
                for writer in writers:
                    writer.close()
                (record,) = site.entry.fleet.upstreams.values()
                await until(lambda: record.local_requests == 0)
                return len(server.received)

        self.assertEqual(run(asks()), 6)


class TestLeavingUpstreams(unittest.TestCase):
    def test_leaving_upstream_gets_no_new_requests(self):
        # A request sent to an upstream that has announced its end is lost with it.
        async def asks():
            old, new = upstream(answers(body=b"old")), upstream(answers(body=b"new"))
            async with Site(old, new) as site:
                site.put_upstream("i-0", old.port, "draining")
                await until(lambda: site.entry.fleet.upstreams["i-0"].entry.leaving)
                return [(await site.ask("/safe/")).body for _ in range(8)]

        self.assertEqual(set(run(asks())), {b"new"})

    def test_other_upstream_at_the_address_is_detected(self):
        # The address of a removed upstream may be reused by another one, which would
        # run requests that are meant for another service.
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

    def test_unreachable_upstream_fails_no_request(self):
        async def asks():
            unreachable = upstream(answers())
            async with Site(unreachable, upstream(answers())) as site:
                await unreachable.close()
                site.entry.pool.close_idle("127.0.0.1", unreachable.port)
                return [(await site.ask("/hold/")).status for _ in range(6)]

        self.assertEqual(set(run(asks())), {200})


class TestConfiguration(unittest.TestCase):
    def test_older_configuration_version_is_ignored(self):
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

    def test_change_is_applied_after_the_store_lost_its_history(self):
        # A revoked key would go on working if the entry kept watching from a revision
        # that the store has compacted, together with the change.
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.put("op/config", make_configuration(7, keys=("other",)))
                site.store.compact()
                await until(lambda: site.entry.routes.configuration.version == 7)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 401)

    def test_configuration_stays_active_while_the_store_is_down(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.faults.status = 503
                site.store.compact()
                await asyncio.sleep(0.3)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 200)

    def test_invalid_configuration_is_ignored(self):
        async def asks():
            async with Site(upstream(answers())) as site:
                site.store.put("op/config", b"{not json")
                await asyncio.sleep(0.1)
                return (await site.ask("/safe/")).status

        self.assertEqual(run(asks()), 200)


class TestCallersConnections(unittest.TestCase):
    def test_caller_connection_is_reused(self):
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

    def test_malformed_requests_are_refused(self):
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
