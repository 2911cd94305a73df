import asyncio
import unittest
from unittest import mock

import aioprometheus

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import connection_metrics
from fuchsiahatch_gateway.connection_metrics import ConnectionMetrics
from fuchsiahatch_http1.server import HttpServer
from tests.gateway.sites import until
from tests.loopback import run

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nFuchsiahatch-Request-Id: q\r\n\r\n"
LARGE_BYTES = 16_000_000


def counted(registry, name):
    """Return a counter's values by its labels, as pairs."""
    counter = registry.get(name)
    return {tuple(sorted(labels.items())): value for labels, value in counter.get_all()}


class TestConnectionMetrics(unittest.TestCase):
    def play(self, handle):
        """Have a caller leave once its answer has begun; return lines and counts."""
        lines = []
        registry = aioprometheus.Registry()

        async def play():
            server = HttpServer(handle)
            ConnectionMetrics(registry).observe(server)
            port = await server.listen("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await reader.readexactly(1)
            writer.transport.abort()
            await until(lambda: not server.connections)
            await server.stop_accepting()

        def write(event, **fields):
            lines.append((event, fields))

        with mock.patch.object(connection_metrics, "log_event", write):
            run(play())
        return lines, registry

    def test_a_cut_request_is_named_and_counted_by_its_cause(self):
        async def streams(exchange):
            exchange.start(200, ())
            exchange.write(b"first")
            await asyncio.Event().wait()

        lines, registry = self.play(streams)
        ((event, fields),) = lines
        self.assertIs(event, Event.REQUEST_CUT)
        self.assertEqual(fields["request"], "q")
        self.assertFalse(fields["stopping"])
        labels = {"reason": "by the caller", "caller": "closed", "state": "answering"}
        counts = counted(registry, "fuchsiahatch_cut_requests_total")
        self.assertEqual(counts, {tuple(sorted(labels.items())): 1})

    def test_a_finished_answer_that_the_caller_lacks_is_counted_without_a_line(self):
        async def large(exchange):
            exchange.respond(200, (), b"x" * LARGE_BYTES)

        lines, registry = self.play(large)
        self.assertEqual(lines, [])
        labels = {
            "reason": "by the caller",
            "caller": "reset",
            "bytes": "unacknowledged",
        }
        counts = counted(registry, "fuchsiahatch_lossy_closes_total")
        self.assertEqual(counts, {tuple(sorted(labels.items())): 1})
