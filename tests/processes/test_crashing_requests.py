import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.platform_demo import make_settings
from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import Reply, encode_request, make_configuration, until
from tests.loopback import run

IPS = ("127.0.7.51", "127.0.7.52", "127.0.7.53")
PORTS = {"front": 18_237, "ready": 18_230, "directory": 18_234}
#: Crashes that are borne.
MOST_ENDS = 3


class EntryProcesses:
    """Three real entries before four upstreams, for the time of a context."""

    async def __aenter__(self):
        self._folder = tempfile.TemporaryDirectory()
        self.store = FleetStore()
        self.store_port = await self.store.listen()
        self.store.put("op/config", make_configuration())
        self.upstreams = [MortalUpstream(self, name) for name in "abcd"]
        for one in self.upstreams:
            await one.start()
        self.processes = {}
        self.lines = []
        for ip in IPS:
            self.start(ip)
        for ip in IPS:
            await self.until_ready(ip)
        # Each must know where to tell the others.
        await until(lambda: len(self.store.keys("fuchsiahatch-entries/")) == len(IPS))
        await asyncio.sleep(1.2)
        return self

    async def __aexit__(self, *exc_info):
        for ip in IPS:
            await self.kill(ip)
        for one in self.upstreams:
            await one.close()
        await self.store.close()
        self._folder.cleanup()

    def put_upstream(self, instance, port):
        entry = make_upstream_entry("svc", f"127.0.0.1:{port}", zone="kl-a")
        self.store.put(f"servers/{instance}", entry)

    def start(self, ip):
        path = pathlib.Path(self._folder.name) / f"{ip}.json"
        listen = {name: f"{ip}:{port}" for name, port in PORTS.items()}
        document = make_settings(
            self.store_port,
            ip,
            node=f"front-{ip[-1]}",
            role="entry",
            listen=listen,
            internalPorts=[17_360, 17_375],
        )
        path.write_text(json.dumps(document), "utf-8")
        self.processes[ip] = subprocess.Popen(
            [sys.executable, "-m", "fuchsiahatch_gateway.main", "entry"],
            env={**os.environ, "FUCHSIAHATCH_NODE_FILE": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    async def kill(self, ip):
        process = self.processes[ip]
        process.kill()
        loop = asyncio.get_running_loop()
        output, _ = await loop.run_in_executor(None, process.communicate)
        self.lines += [
            json.loads(line) for line in output.splitlines() if line[:1] == b"{"
        ]

    async def until_ready(self, ip):
        request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        for _ in range(200):
            try:
                if (await self._send(ip, "ready", request)).status == 200:
                    return
            except OSError:
                # It doesn't listen yet.
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("the entry did not get ready")

    async def ask(self, ip, request_id, body):
        request = encode_request("/safe/", request_id=request_id, body=body)
        return await self._send(ip, "front", request)

    async def _send(self, ip, port, request):
        reader, writer = await asyncio.open_connection(ip, PORTS[port])
        writer.write(request)
        reply = Reply(await reader.read(-1))
        writer.close()
        return reply


class TestProcesses(unittest.TestCase):
    def test_a_request_that_comes_at_any_entry_is_held_back_also_behind_a_kill(self):
        async def play():
            async with EntryProcesses() as entries:
                for number in range(5):
                    ip = IPS[number % len(IPS)]
                    await entries.ask(ip, f"d-{number}", DEADLY)
                    await asyncio.sleep(0.5)
                sends = deadly_sends(entries.upstreams)
                held = "fuchsiahatch-held/"
                await until(lambda: entries.store.keys(held))
                for ip in IPS:
                    await entries.kill(ip)
                for ip in IPS:
                    entries.start(ip)
                for ip in IPS:
                    await entries.until_ready(ip)
                replies = [await entries.ask(ip, f"k-{ip}", DEADLY) for ip in IPS]
                other = await entries.ask(IPS[0], "q", b"harmless")
                again = deadly_sends(entries.upstreams)
            return sends, again, replies, other, entries.lines

        sends, again, replies, other, lines = run(play())
        self.assertLessEqual(sends, MOST_ENDS)
        self.assertEqual(again, sends)
        self.assertEqual([reply.status for reply in replies], [503] * len(IPS))
        self.assertIn(b"CRASHES_UPSTREAMS", replies[0].body)
        self.assertGreater(float(replies[0].headers["retry-after"]), 60)
        self.assertEqual(other.status, 200)
        told = {line["message_type"] for line in lines}
        self.assertLessEqual({"crash_counted", "request_held", "hold_written"}, told)


if __name__ == "__main__":
    unittest.main()
