import asyncio
import time
import unittest
from unittest import mock

import aioprometheus

from fuchsiahatch_gateway import request_log
from fuchsiahatch_gateway.answer_ends import Ending
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.event_stream import MAX_EVENT_BYTES
from fuchsiahatch_gateway.request_metrics import RequestMetrics
from fuchsiahatch_gateway.upstream_crashes import PROBE_TIMEOUT_MS
from tests.gateway.mortal_upstreams import MortalUpstream
from tests.gateway.sites import (
    Site,
    answers,
    encode_request,
    event_ids,
    streams,
    until,
    upstream,
)
from tests.loopback import run

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 5)]


async def unframed_head(request, wire):
    """Send the head of an answer with neither a length nor chunks."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"Fuchsiahatch-Request-Id: {request.request_id}\r\n"
        "Fuchsiahatch-Response-Signature: s\r\n\r\n"
    )
    await wire.raw(head.encode())


def unframed(data, end="close"):
    """Return a script that answers with neither a length nor chunks, then ends."""

    async def script(request, wire):
        await unframed_head(request, wire)
        await wire.raw(data)
        await asyncio.sleep(0.05)
        getattr(wire, end)()

    return script


async def ask(path, *scripts):
    """Ask an entry before one upstream for each script; return reply and sends."""
    upstreams = [upstream(script) for script in scripts]
    async with Site(*upstreams) as site:
        reply = await site.ask(path)
        return reply, sum(len(server.received) for server in upstreams)


class TestStreamsWithoutFraming(unittest.TestCase):
    def test_a_stream_closed_inside_an_event_does_not_look_complete(self):
        for cut in (1, 6, len(EVENTS[1]) - 1):
            with self.subTest(cut=cut):
                half = unframed(EVENTS[0] + EVENTS[1][:cut])
                reply, sends = run(ask("/brief/", half, half))
                self.assertEqual(
                    (reply.body, reply.whole, sends), (EVENTS[0], False, 1)
                )

    def test_it_is_resumed_at_another_upstream(self):
        async def play():
            server = upstream(unframed(EVENTS[0] + EVENTS[1][:6]), streams(2, 4))
            async with Site(server) as site:
                return await site.ask("/chat/"), server.received

        reply, received = run(play())
        self.assertEqual((event_ids(reply.body), reply.whole), ([1, 2, 3, 4], True))
        self.assertEqual(received[1].headers["last-event-id"], "1")

    def test_nothing_is_sent_of_a_stream_without_a_whole_event(self):
        half = unframed(EVENTS[0][:-1])
        reply, sends = run(ask("/brief/", half))
        self.assertEqual((reply.status, sends), (502, 1))

    def test_a_whole_stream_is_complete(self):
        for path in ("/brief/", "/chat/"):
            with self.subTest(path=path):
                reply, sends = run(ask(path, unframed(b"".join(EVENTS))))
                self.assertEqual(
                    (event_ids(reply.body), reply.whole), ([1, 2, 3, 4], True)
                )
                self.assertEqual(sends, 1)

    def test_whole_streams_are_complete_though_the_entry_is_held_up_at_their_end(self):
        held_up_s = 2 * PROBE_TIMEOUT_MS / 1000

        async def play():
            async with Site(upstream(unframed(b"".join(EVENTS)))) as site:
                probe = site.entry.pool.probe

                async def probe_late(ip, port):
                    asyncio.get_running_loop().call_soon(time.sleep, held_up_s)
                    return await probe(ip, port)

                site.entry.crashes._probe_address = probe_late
                asked = (site.ask("/brief/", request_id=f"q-{at}") for at in range(2))
                return await asyncio.gather(*asked)

        for reply in run(play()):
            self.assertEqual((event_ids(reply.body), reply.whole), ([1, 2, 3, 4], True))

    def test_a_reset_between_two_events_does_not_complete_a_stream(self):
        reply, _ = run(ask("/brief/", unframed(b"".join(EVENTS[:2]), "reset")))
        self.assertFalse(reply.whole)

    def test_a_caller_of_http_1_0_sees_a_reset_where_a_stream_broke_off(self):
        async def play():
            half = unframed(EVENTS[0] + EVENTS[1][:6])
            async with Site(upstream(half)) as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                request = encode_request("/brief/").replace(b"HTTP/1.1", b"HTTP/1.0")
                writer.write(request)
                with self.assertRaises(ConnectionResetError):
                    while await reader.read(65_536):
                        pass
                writer.close()

        run(play())


class TestCrashesBetweenTwoEvents(unittest.TestCase):
    def ask_crashing(self, path, data):
        """Ask an entry before an upstream that sends bytes and crashes."""

        async def crash(request, wire):
            await unframed_head(request, wire)
            await wire.raw(data)
            await asyncio.sleep(0.05)
            self.mortal.ending = asyncio.ensure_future(self.mortal.end())
            await asyncio.sleep(30)

        async def play():
            async with Site() as site:
                self.mortal = MortalUpstream(site, "mortal", 2.0, crash)
                await self.mortal.start()
                await until(lambda: len(site.entry.fleet.upstreams) == 1)
                reply = await site.ask(path)
                self.mortal.ending.cancel()
                self.suspects = site.entry.crashing.suspects
                return reply

        return run(play())

    def test_a_stream_does_not_look_complete(self):
        reply = self.ask_crashing("/brief/", b"".join(EVENTS[:2]))
        self.assertEqual((event_ids(reply.body), reply.whole), ([1, 2], False))

    def test_a_plain_body_is_not_relayed(self):
        reply = self.ask_crashing("/hold/", b"half")
        self.assertEqual(reply.status, 502)

    def test_the_crash_counts_against_the_request(self):
        for data in (b"".join(EVENTS[:2]), EVENTS[0][:6]):
            with self.subTest(data=data):
                self.ask_crashing("/brief/", data)
                self.assertEqual(self.suspects, 1)


class TestRankGroups(unittest.TestCase):
    def test_a_stream_that_ends_while_its_group_is_broken_does_not_look_complete(self):
        async def play():
            async def close_after_report(request, wire):
                await unframed_head(request, wire)
                await wire.raw(EVENTS[0])
                (record,) = site.entry.fleet.upstreams.values()
                address = str(record.entry.address)
                report = LoadReport(address, 0, 1, 1.0, False, "g", 50.0)
                site.entry.fleet.observe(report)
                await asyncio.sleep(0.05)
                wire.close()

            async with Site(upstream(close_after_report)) as site:
                return await site.ask("/brief/")

        reply = run(play())
        self.assertEqual((event_ids(reply.body), reply.whole), ([1], False))


class TestFramedStreams(unittest.TestCase):
    def test_a_last_chunk_inside_an_event_does_not_complete_a_stream(self):
        async def half(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.raw(b"5\r\nid: 2\r\n")
            await asyncio.sleep(0.05)
            await wire.end_stream()

        reply, _ = run(ask("/brief/", half))
        self.assertEqual((reply.body, reply.whole), (EVENTS[0], False))

    def test_a_length_inside_an_event_does_not_complete_a_stream(self):
        half = answers(body=EVENTS[0] + EVENTS[1][:6])
        reply, _ = run(ask("/brief/", half))
        self.assertIn(reply.body, (b"", EVENTS[0]))
        self.assertFalse(reply.whole)

    def test_an_event_without_an_end_is_given_up_before_it_fills_the_memory(self):
        sent = []

        async def endless(request, wire):
            await wire.begin_stream(request)
            line = b"data: " + b"x" * 65_530
            for _ in range(10 * MAX_EVENT_BYTES // len(line)):
                await wire.raw(b"%x\r\n%b\r\n" % (len(line), line))
                sent.append(len(line))
            await wire.end_stream()

        reply, _ = run(ask("/brief/", endless))
        self.assertEqual(reply.status, 502)
        self.assertLess(sum(sent), 6 * MAX_EVENT_BYTES)


class TestOtherAnswersOnStreamingRoutes(unittest.TestCase):
    def test_an_answer_of_another_type_is_relayed_unchanged(self):
        plain = answers(body=b'{"done": 1}', **{"Content-Type": "application/json"})
        reply, _ = run(ask("/brief/", plain))
        self.assertEqual((reply.status, reply.body), (200, b'{"done": 1}'))
        self.assertTrue(reply.whole)

    def test_an_answer_of_another_type_is_no_rest_of_a_stream(self):
        async def play():
            plain = answers(body=b"{}", **{"Content-Type": "application/json"})
            server = upstream(streams(1, 2, end=False), plain)
            async with Site(server) as site:
                return await site.ask("/chat/"), len(server.received)

        reply, sends = run(play())
        self.assertEqual(sends, 2)
        self.assertIn(event_ids(reply.body), ([], [1, 2]))
        self.assertFalse(reply.whole)


class TestSight(unittest.TestCase):
    def test_an_answer_without_framing_has_a_line_with_its_end(self):
        with mock.patch.object(request_log, "log_event") as write:
            run(ask("/brief/", unframed(EVENTS[0])))
        fields = write.call_args.kwargs
        names = ("framing", "answer_end", "partial_bytes", "last_event_id")
        self.assertEqual(
            [fields[name] for name in names], ["until close", "closed", 0, "1"]
        )

    def test_broken_answers_are_counted_by_framing_and_end(self):
        registry = aioprometheus.Registry()
        metrics = RequestMetrics(registry)
        metrics.note_broken_answer(Ending("chunked", "reset"))
        metrics.note_broken_answer(Ending("", ""))
        counter = registry.get("fuchsiahatch_broken_answers_total")
        self.assertEqual(counter.get({"framing": "chunked", "end": "reset"}), 1)
        self.assertEqual(counter.get({"framing": "no head", "end": "given up"}), 1)
