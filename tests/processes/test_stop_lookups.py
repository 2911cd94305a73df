import asyncio
import signal
import unittest

from tests.loopback import run
from tests.processes.entries import EntryProcesses
from tests.processes.stop_callers import resolve

IPS = ("127.0.7.91", "127.0.7.92", "127.0.7.93")
FIRST, SECOND, THIRD = IPS
#: Time in which heartbeats arrive on a busy machine.
TOLD_S = 0.2
#: Time in which a stopping entry has ended its registration.
WITHDRAWN_S = 0.8
#: Time from a SIGTERM after which its entry's registration would have expired.
OUTAGE_S = 3.5
#: Time behind the store's return in which deletions are withheld.
WITHHELD_S = 2.5


async def find_names_of(ip, at, span_s):
    """Return whether lookups at some entries name an entry during a time."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + span_s
    named = []
    while loop.time() < ends_s:
        for other in at:
            try:
                if ip in await resolve(other):
                    named.append((other, round(loop.time() - ends_s + span_s, 2)))
            except (OSError, ValueError, KeyError):
                # It has ended, or knows no entry.
                continue
        await asyncio.sleep(0.05)
    return named


class TestLookups(unittest.TestCase):
    def test_no_entry_that_has_left_is_named_behind_an_outage_of_the_store(self):
        async def play():
            async with EntryProcesses(lambda entries: [], IPS) as entries:
                entries.store.faults.status = 503
                entries.processes[FIRST].send_signal(signal.SIGTERM)
                await asyncio.sleep(TOLD_S)
                others = (SECOND, THIRD)
                named = await find_names_of(FIRST, others, OUTAGE_S)
                entries.store.faults.status = 0
                return named, await find_names_of(FIRST, others, WITHHELD_S)

        self.assertEqual(run(play()), ([], []))

    def test_an_entry_that_stops_names_no_other_that_stops_behind_it(self):
        async def play():
            async with EntryProcesses(lambda entries: [], IPS) as entries:
                entries.processes[FIRST].send_signal(signal.SIGTERM)
                await asyncio.sleep(WITHDRAWN_S)
                entries.store.faults.status = 503
                entries.processes[SECOND].send_signal(signal.SIGTERM)
                await asyncio.sleep(TOLD_S)
                return await find_names_of(SECOND, (FIRST, THIRD), 1.0)

        self.assertEqual(run(play()), [])
