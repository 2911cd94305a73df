import asyncio
import random
import signal
import time
import unittest

from tests.gateway.sites import ROUTES, make_configuration
from tests.loopback import run
from tests.processes.channels import DEADLINE_MS, Channel
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


class TestKeptConnections(unittest.TestCase):
    def test_no_stream_is_cut_that_came_on_a_connection_kept_from_another(self):
        runs = make_runs()
        callers = [StreamCaller(number) for number in range(CALLERS)]

        def make_upstreams(entries):
            entries.store.put("op/config", make_configuration(2, make_routes()))
            return [TimedUpstream(f"i-{name}", runs, entries.store) for name in "abcd"]

        async def play():
            async with EntryProcesses(make_upstreams, (IP,)) as entries:
                calls = asyncio.gather(*(caller.play() for caller in callers))
                await asyncio.sleep(STOP_AFTER_S)
                stopped_s = time.monotonic()
                entries.processes[IP].send_signal(signal.SIGTERM)
                await entries.until_ended(IP)
                took_s = time.monotonic() - stopped_s
                await calls
                return stopped_s, took_s, entries.processes[IP].returncode

        stopped_s, took_s, code = run(play())
        tries = [one for caller in callers for one in caller.tries]
        across = [one for one in tries if one.sent_s < stopped_s < one.ended_s]
        self.assertGreater(len(across), CALLERS // 2)
        faults = [text for _, text in find_faults(tries, runs)]
        self.assertEqual(len(faults), 0, "\n" + "\n".join(faults))
        self.assertEqual(code, 0)
        self.assertLess(took_s, GRACE_S)


if __name__ == "__main__":
    unittest.main()
