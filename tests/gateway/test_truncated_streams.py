import asyncio
import unittest
from unittest import mock

import aioprometheus

from fuchsiahatch_gateway import request_log
from fuchsiahatch_gateway.answer_ends import Ending
from fuchsiahatch_gateway.request_metrics import RequestMetrics
from tests.gateway.sites import Site, upstream
from tests.loopback import run

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 5)]


def unframed(data, end="close"):
    """Return a script that answers with neither a length nor chunks, then ends."""

    async def script(request, wire):
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Fuchsiahatch-Request-Id: {request.request_id}\r\n"
            "Fuchsiahatch-Response-Signature: s\r\n\r\n"
        )
        await wire.raw(head.encode() + data)
        await asyncio.sleep(0.02)
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
