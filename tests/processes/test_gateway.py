import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.platform_demo import make_settings
from tests.gateway.sites import (
    Reply,
    encode_request,
    event_ids,
    make_configuration,
    upstream,
)
from tests.loopback import run

#: An address of its own, so that the fixed ports are free.
IP = "127.0.7.41"
PORTS = {"front": 18_227, "ready": 18_220, "directory": 18_224}


async def slow_stream(request, wire):
    await wire.begin_stream(request)
    for number in range(1, 9):
        await wire.event(number)
        await asyncio.sleep(0.1)
    await wire.end_stream()


class EntryProcess:
    """A real entry with the stand-ins, for the time of a context."""

    def __init__(self, *scripts):
        self.upstream = upstream(*scripts)
        self.store = FleetStore()
        self._folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self._folder.name) / "settings.json"

    async def __aenter__(self):
        store_port = await self.store.listen()
        upstream_port = await self.upstream.listen()
        self.store.put("op/config", make_configuration())
        self.store.put(
            "servers/i-1",
            make_upstream_entry("svc", f"127.0.0.1:{upstream_port}", zone="kl-a"),
        )
        self.settings.write_text(json.dumps(self._document(store_port)), "utf-8")
        self.start()
        await self.until_ready()
        return self

    async def __aexit__(self, *exc_info):
        if self.process.returncode is None:
            self.process.kill()
            self.process.communicate()
        await self.upstream.close()
        await self.store.close()
        self._folder.cleanup()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "fuchsiahatch_gateway.main", "entry"],
            env={**os.environ, "FUCHSIAHATCH_NODE_FILE": str(self.settings)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    async def until_ready(self):
        async def is_ready():
            try:
                return (await self.get("ready", "/-/ready")).status == 200
            except OSError:
                return False

        for _ in range(200):
            if await is_ready():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the entry did not get ready")

    async def get(self, port, target):
        reader, writer = await asyncio.open_connection(IP, PORTS[port])
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
        )
        reply = Reply(await reader.read(-1))
        writer.close()
        return reply

    async def end(self):
        """Wait for the process and return its exit code and its log."""
        loop = asyncio.get_running_loop()
        output, _ = await loop.run_in_executor(None, self.process.communicate)
        lines = [json.loads(line) for line in output.splitlines() if line[:1] == b"{"]
        return self.process.returncode, [line["message_type"] for line in lines]

    def _document(self, store_port):
        return make_settings(
            store_port,
            IP,
            node="front-1",
            role="entry",
            listen={name: f"{IP}:{port}" for name, port in PORTS.items()},
            internalPorts=[17_340, 17_355],
            aFieldThatNobodyKnows=[],
        )


async def ask_front(path, **options):
    reader, writer = await asyncio.open_connection(IP, PORTS["front"])
    writer.write(encode_request(path, **options))
    return reader, writer


class TestEntryProcess(unittest.TestCase):
    def test_it_serves_names_itself_and_shows_metrics(self):
        async def serve():
            async with EntryProcess(slow_stream) as entry:
                reader, writer = await ask_front("/chat/")
                reply = Reply(await reader.read(-1))
                writer.close()
                target = "/-/resolve?name=x&region=klang-valley&zone=kl-a"
                lookup = json.loads((await entry.get("directory", target)).body)
                PORTS["metrics"] = 9_464
                metrics = (await entry.get("metrics", "/metrics")).body.decode()
                return reply, lookup, metrics

        reply, lookup, metrics = run(serve())
        self.assertEqual(event_ids(reply.body), list(range(1, 9)))
        self.assertEqual(lookup["addresses"], [f"{IP}:{PORTS['front']}"])
        self.assertIn("fuchsiahatch_first_event_ms", metrics)

    def test_a_stop_finishes_what_is_open(self):
        # A brief breaks off in the middle when its entry is stopped for an update.
        async def stop():
            async with EntryProcess(slow_stream) as entry:
                reader, writer = await ask_front("/chat/")
                first = await reader.readuntil(b"piece 1\n\n")
                entry.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)
                ready = (await entry.get("ready", "/-/ready")).status
                reply = Reply(first + await reader.read(-1))
                writer.close()
                return ready, reply, await entry.end()

        ready, reply, (code, events) = run(stop())
        self.assertEqual(ready, 503)
        self.assertEqual(event_ids(reply.body), list(range(1, 9)))
        self.assertTrue(reply.whole)
        self.assertEqual(code, 0)
        self.assertEqual(events[-1], "stopped")

    def test_it_takes_late_callers_while_it_stops(self):
        # Callers keep an old lookup answer for seconds: they are refused by an entry
        # that stopped listening at once.
        async def stop():
            async with EntryProcess(slow_stream) as entry:
                entry.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.5)
                reader, writer = await ask_front("/chat/")
                reply = Reply(await reader.read(-1))
                writer.close()
                return reply, await entry.end()

        reply, (code, _) = run(stop())
        self.assertTrue(reply.whole)
        self.assertEqual((reply.headers["connection"], code), ("close", 0))

    def test_settings_that_changed_without_a_signal_are_read(self):
        async def change():
            async with EntryProcess(slow_stream) as entry:
                text = entry.settings.read_text("utf-8")
                entry.settings.write_text(text.replace("front-1", "front-one"), "utf-8")
                entry.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.3)
                entry.settings.write_text("{broken", "utf-8")
                entry.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.3)
                entry.process.send_signal(signal.SIGTERM)
                return await entry.end()

        code, events = run(change())
        self.assertEqual(code, 0)
        self.assertIn("settings_applied", events)
        self.assertIn("settings_refused", events)

    def test_settings_that_cannot_be_read_end_it_with_a_reason(self):
        ended = subprocess.run(
            [sys.executable, "-m", "fuchsiahatch_gateway.main", "entry"],
            env={**os.environ, "FUCHSIAHATCH_NODE_FILE": "/nonexistent"},
            capture_output=True,
            check=False,
        )
        self.assertEqual(ended.returncode, 2)
        self.assertIn(b"400 SETTINGS_INVALID", ended.stderr)
