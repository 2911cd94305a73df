import asyncio
import signal
import unittest

from fuchsiahatch_core.events import Event
from tests.gateway.sites import until
from tests.loopback import run
from tests.processes.entries import IPS, PORTS, EntryProcesses


class TestEarlySignals(unittest.TestCase):
    def test_a_sighup_while_the_entry_loads_does_not_end_it(self):
        ip = IPS[0]

        async def play():
            async with EntryProcesses(lambda site: [], (ip,)) as site:
                await site.kill(ip)
                site.lines.clear()
                site.start(ip)
                await until_connected(ip)
                site.processes[ip].send_signal(signal.SIGHUP)
                await site.until_ready(ip)
                site.processes[ip].send_signal(signal.SIGTERM)
                await until(lambda: site.processes[ip].poll() is not None)
                code = site.processes[ip].returncode
            return code, site.lines

        code, lines = run(play())
        self.assertEqual(code, 0)
        events = [line["event"] for line in lines]
        self.assertIn(Event.SETTINGS_APPLIED, events)


async def until_connected(ip):
    """Wait until the callers' socket is open, which is before modules are loaded."""
    for _ in range(1_000):
        try:
            _, writer = await asyncio.open_connection(ip, PORTS["front"])
        except OSError:
            await asyncio.sleep(0.002)
        else:
            writer.close()
            return
    raise AssertionError("the callers' socket did not open")
