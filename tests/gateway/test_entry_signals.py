import asyncio
import dataclasses
import os
import unittest
from unittest import mock

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import process as process_module
from fuchsiahatch_gateway import registration, stop_report
from fuchsiahatch_gateway.entry import Entry
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import Process
from fuchsiahatch_http1.sockets import open_listening
from tests.gateway.sites import (
    Site,
    answers,
    encode_request,
    make_settings,
    until,
    upstream,
)
from tests.loopback import run

#: A port on which no store listens.
NO_STORE = 9


def make_entry(early):
    null = os.open(os.devnull, os.O_WRONLY)
    process = Process(make_settings(NO_STORE), LineWriter(null, lambda: 0))
    process.serve_metrics = mock.AsyncMock()
    return Entry(process, early), process


class TestStopBeforeSync(unittest.TestCase):
    def test_an_entry_that_is_stopped_before_it_is_synced_answers_nobody(self):
        # It has no routes, and would refuse its callers for 2.5 s.
        async def play():
            early = open_listening("127.0.0.1", 0)
            port = early.getsockname()[1]
            entry, process = make_entry(early)
            running = asyncio.ensure_future(entry.run())
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_request("/safe/"))
            await asyncio.sleep(0.05)
            process.stopping.set()
            try:
                received = await reader.read()
            except ConnectionResetError:
                received = b""
            writer.close()
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await running
            process._tasks.cancel()
            return received, entry.ready, loop.time() - began_s

        received, ready, took_s = run(play())
        self.assertEqual((received, ready), (b"", False))
        self.assertLess(took_s, 1.0)


class TestStopInAnOutage(unittest.TestCase):
    def test_the_store_does_not_delay_the_end_and_its_failure_is_logged(self):
        lines = []

        async def play():
            async with Site(upstream(answers())) as site:
                entry, process = site.entry, site.entry._process
                process.keep_running(entry.registration.run())
                await until(lambda: entry.registration._lease)
                await site.store.close()
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                process.stopping.set()
                process.stopping.set()
                await entry._leave()
                process._tasks.cancel()
                return loop.time() - began_s

        def write(event, **fields):
            lines.append(event)

        with (
            mock.patch.object(registration, "log_event", write),
            mock.patch.object(stop_report, "log_event", write),
        ):
            took_s = run(play())
        self.assertLess(took_s, 3.0)
        self.assertIn(Event.SERVICE_CALL_FAILED, lines)
        self.assertEqual(lines.count(Event.STOPPED), 1)


class TestHangupWhileStopping(unittest.TestCase):
    def test_a_request_in_progress_is_finished_with_the_grace_of_the_first_signal(self):
        async def answers_late(request, wire):
            await asyncio.sleep(0.5)
            await wire.answer(request)

        async def play():
            async with Site(upstream(answers_late)) as site:
                entry, process = site.entry, site.entry._process
                asked = asyncio.ensure_future(site.ask("/hold/"))
                await until(lambda: site.upstreams[0].received)
                leaving = asyncio.ensure_future(entry._leave())
                await asyncio.sleep(0.05)
                bounds = dataclasses.replace(process.settings.bounds, stop_grace_ms=1)
                changed = dataclasses.replace(process.settings, bounds=bounds)
                with mock.patch.object(process_module, "read_node_settings") as read:
                    read.return_value = changed
                    process.reload()
                reply = await asked
                await leaving
                process._tasks.cancel()
                return reply

        reply = run(play())
        self.assertEqual((reply.status, reply.whole), (200, True))
