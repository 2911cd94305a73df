import asyncio
import unittest
from unittest import mock

import orjson

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import request_log, stop_report
from fuchsiahatch_gateway.stop_report import MAX_CLOSE_LINES, StopReport
from fuchsiahatch_http1.server import HttpServer
from tests.gateway.sites import Site, encode_request, until, upstream, waits
from tests.loopback import run


async def connect(server_port, request=b""):
    reader, writer = await asyncio.open_connection("127.0.0.1", server_port)
    writer.write(request)
    return reader, writer


async def answers(exchange):
    exchange.respond(200, (), b"short")


def fields_of(lines, event):
    return next(fields for one, fields in lines if one is event)


class TestStopReport(unittest.TestCase):
    def report(self, play):
        lines = []

        def write(event, **fields):
            # As the log's encoder writes them.
            lines.append((event, orjson.loads(orjson.dumps(fields))))

        with (
            mock.patch.object(stop_report, "log_event", write),
            mock.patch.object(request_log, "log_event", write),
        ):
            run(play())
        return lines

    def test_lines_tell_connections_by_state_and_requests_still_open(self):
        async def waits_long(exchange):
            exchange.start(200, ())
            exchange.write(b"begun")
            await asyncio.sleep(30)

        async def play():
            server = HttpServer(waits_long)
            port = await server.listen("127.0.0.1", 0)
            head = b"POST / HTTP/1.1\r\nHost: x\r\nFuchsiahatch-Request-Id: q-%d\r\n"
            kept = [
                await connect(port),
                await connect(port, head % 1 + b"Content-Length: 5\r\n\r\n12"),
                await connect(port, head % 2 + b"\r\n"),
            ]
            await until(lambda: server.busy == 2 and len(server.connections) == 3)
            report = StopReport(server)
            report.begin()
            server.leave()
            kept.append(await connect(port, head % 3 + b"\r\n"))
            await until(lambda: server.busy == 3)
            report.end()
            await server.close()
            for _, writer in kept:
                writer.close()

        lines = self.report(play)
        begun, ended = fields_of(lines, Event.STOPPING), fields_of(lines, Event.STOPPED)
        states = {"idle": 1, "reading": 1, "answering": 1, "closing": 0}
        self.assertEqual(begun["connections"], states)
        described = {one["request"]: one for one in ended["open"]}
        self.assertEqual(set(described), {"q-1", "q-2", "q-3"})
        self.assertFalse(described["q-2"]["connected_while_stopping"])
        self.assertGreater(described["q-2"]["answer_bytes"], 5)
        self.assertEqual(described["q-1"]["answer_bytes"], 0)
        self.assertTrue(described["q-3"]["arrived_while_stopping"])
        self.assertTrue(described["q-3"]["connected_while_stopping"])
        self.assertEqual(ended["closed"], {"idle": 1})

    def test_closes_beyond_a_few_are_counted_without_a_line(self):
        async def play():
            server = HttpServer(waits)
            port = await server.listen("127.0.0.1", 0)
            kept = [await connect(port) for _ in range(MAX_CLOSE_LINES + 5)]
            await until(lambda: len(server.connections) == len(kept))
            report = StopReport(server)
            report.begin()
            server.leave()
            await until(lambda: not server.connections)
            report.end()
            for _, writer in kept:
                writer.close()
            await server.stop_accepting()

        lines = self.report(play)
        closes = [one for one, _ in lines if one is Event.CONNECTION_CLOSED]
        self.assertEqual(len(closes), MAX_CLOSE_LINES)
        ended = fields_of(lines, Event.STOPPED)
        self.assertEqual(ended["closed"], {"idle": MAX_CLOSE_LINES + 5})

    def test_a_close_has_a_line_with_the_last_answer_once_its_socket_is_closed(self):
        async def play():
            server = HttpServer(answers)
            port = await server.listen("127.0.0.1", 0)
            reader, writer = await connect(
                port, b"GET / HTTP/1.1\r\nHost: x\r\nFuchsiahatch-Request-Id: q\r\n\r\n"
            )
            await reader.readuntil(b"short")
            report = StopReport(server)
            report.begin()
            server.leave()
            await until(lambda: not server.connections)
            report.end()
            writer.close()
            await server.stop_accepting()

        lines = self.report(play)
        closed = fields_of(lines, Event.CONNECTION_CLOSED)
        self.assertEqual(closed["reason"], "idle")
        self.assertEqual(closed["request"], "q")
        self.assertEqual(closed["caller"], "open")
        self.assertGreater(closed["answer_bytes"], len(b"short"))
        self.assertLess(closed["answered_ago_ms"], 5_000)

    def test_connections_still_open_at_the_end_of_the_process_have_lines(self):
        async def play():
            server = HttpServer(waits)
            port = await server.listen("127.0.0.1", 0)
            _, writer = await connect(port)
            await until(lambda: server.connections)
            report = StopReport(server)
            report.begin()
            report.note_remaining()
            writer.close()
            await server.close()

        closed = fields_of(self.report(play), Event.CONNECTION_CLOSED)
        self.assertEqual(closed["reason"], "open")

    def test_a_request_that_is_cut_by_the_end_has_a_line(self):
        async def play():
            async with Site(upstream(waits)) as site:
                _, writer = await connect(site.port, encode_request("/hold/"))
                await until(lambda: site.upstreams[0].received)
                await site.entry.callers.end(100)
                writer.close()

        lines = self.report(play)
        ends = [fields["end"] for event, fields in lines if "end" in fields]
        self.assertEqual(ends, ["502 cut by the entry's end"])
