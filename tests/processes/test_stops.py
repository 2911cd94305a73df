import asyncio
import random
import signal
import time
import unittest

from tests.gateway.sites import ROUTES, make_configuration
from tests.loopback import run
from tests.processes.channels import DEADLINE_MS, Channel, Try
from tests.processes.entries import PORTS, EntryProcesses
from tests.processes.stop_checks import find_faults
from tests.processes.stop_upstreams import TimedUpstream, make_runs

#: An address of its own, as other tests' entries may be ending.
IP = "127.0.7.81"
#: Time from a SIGTERM after which the platform kills.
GRACE_S = 8.0
#: Lengths of streams and pauses of callers between them.
SHORTEST_S, LONGEST_S, LONGEST_PAUSE_S = 0.2, 6.0, 0.3
CALLERS, SEED = 24, 66
#: Time from the first requests to the SIGTERM.
STOP_AFTER_S = 0.6
#: Streams that begin before the SIGTERM and end behind it, each with a following one
#: that lasts beyond the grace.
FIRST_S, SECOND_S = 4.0, 5.5

#: Time from a SIGTERM to a request on a new connection, while a caller that keeps an
#: answer of the directory may still come.
LATE_S = 2.0


def make_routes():
    return [{**route, "timeoutMs": DEADLINE_MS} for route in ROUTES]


class StreamCaller:
    """Sends a stream after the other on one connection until that is closed."""

    def __init__(self, number):
        self._number = number
        self._rng = random.Random(SEED + number)
        self._ahead_s = [FIRST_S, SECOND_S] if number % 4 == 0 else []
        self.tries = []

    async def play(self):
        channel = Channel(IP)
        await channel.open(PORTS["front"])
        while not channel.ended:
            request_id = f"{self._number}-{len(self.tries)}"
            path = self._rng.choice(("chat", "brief"))
            target = f"/{path}/{1000 * self._choose_length_s():.0f}"
            self.tries.append(await channel.ask(request_id, target))
            if not self.tries[-1].keeps:
                break
            await asyncio.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S))
        channel.close()

    def _choose_length_s(self):
        if self._ahead_s:
            return self._ahead_s.pop(0)
        return self._rng.uniform(SHORTEST_S, LONGEST_S)


class StopCase(unittest.TestCase):
    """Stops one entry while callers use it."""

    def setUp(self):
        self.runs = make_runs()
        self.stopped_s = self.took_s = 0.0
        self.code = None

    def make_upstreams(self, entries):
        entries.store.put("op/config", make_configuration(2, make_routes()))
        return [TimedUpstream(f"i-{name}", self.runs, entries.store) for name in "abcd"]

    async def stop(self, entries):
        self.stopped_s = time.monotonic()
        entries.processes[IP].send_signal(signal.SIGTERM)
        await entries.until_ended(IP)
        self.took_s = time.monotonic() - self.stopped_s
        self.code = entries.processes[IP].returncode

    def check(self, tries):
        faults = [text for _, text in find_faults(tries, self.runs)]
        self.assertEqual(len(faults), 0, "\n" + "\n".join(faults))
        self.assertEqual(self.code, 0)
        self.assertLess(self.took_s, GRACE_S)


class TestKeptConnections(StopCase):
    def test_no_stream_is_cut_that_came_on_a_connection_kept_from_another(self):
        callers = [StreamCaller(number) for number in range(CALLERS)]

        async def play():
            async with EntryProcesses(self.make_upstreams, (IP,)) as entries:
                calls = asyncio.gather(*(caller.play() for caller in callers))
                await asyncio.sleep(STOP_AFTER_S)
                await self.stop(entries)
                await calls

        run(play())
        tries = [one for caller in callers for one in caller.tries]
        across = [one for one in tries if one.sent_s < self.stopped_s < one.ended_s]
        self.assertGreater(len(across), CALLERS // 2)
        self.check(tries)


class TestNewConnections(StopCase):
    def test_no_long_stream_is_cut_at_an_entry_that_has_seen_only_short_ones(self):
        # One that has just started knows no long answer of the route yet.
        async def ask(request_id, length_s):
            channel, target = Channel(IP), f"/brief/{1000 * length_s:.0f}"
            try:
                await channel.open(PORTS["front"])
            except OSError:
                return Try(request_id, target, b"", IP, time.monotonic())
            return await channel.ask(request_id, target)

        async def play():
            async with EntryProcesses(self.make_upstreams, (IP,)) as entries:
                first = await ask("short", SHORTEST_S)
                stop = asyncio.ensure_future(self.stop(entries))
                await asyncio.sleep(LATE_S)
                second = await ask("long", LONGEST_S)
                await stop
                return first, second

        tries = run(play())
        self.assertEqual(tries[0].status, 200)
        self.check(tries)


if __name__ == "__main__":
    unittest.main()
