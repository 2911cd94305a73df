import asyncio
import os
import types
import unittest
from unittest import mock

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.entry import Entry
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import Process
from tests.gateway.sites import make_settings
from tests.loopback import run

#: Times after its start at which an entry of a large fleet had the state to serve.
INFORMED_MS = (300, 480)
#: Time after which callers give up on an entry that doesn't answer.
PATIENCE_MS = 1_000


def start_entry(early):
    null = os.open(os.devnull, os.O_WRONLY)
    entry = Entry(Process(make_settings(1), LineWriter(null, lambda: 0)), early)
    entry._clock = ManualClock()
    entry._began_ms = entry._clock.now_ms()
    return entry


class TestEarlyCallers(unittest.TestCase):
    def wait(self, informed_ms):
        """Return whether callers' socket was closed before the entry was informed."""
        early = types.SimpleNamespace(closed=False)
        early.close = lambda: setattr(early, "closed", True)

        async def play():
            entry = start_entry(early)
            due_ms = entry._clock.now_ms() + informed_ms
            informed = property(lambda self: self._clock.now_ms() >= due_ms)
            with mock.patch.object(Entry, "synced", informed):
                waiting = asyncio.ensure_future(entry._wait_until_synced())
                while not waiting.done():
                    await asyncio.sleep(0.001)
                    entry._clock.advance(10)
            return early.closed

        return run(play())

    def test_socket_stays_open_for_an_entry_that_serves_soon(self):
        # After all processes were killed, callers used up both of their attempts on
        # ports that entries had closed 20 ms before they were ready.
        for informed_ms in INFORMED_MS:
            with self.subTest(informed_ms=informed_ms):
                self.assertFalse(self.wait(informed_ms))

    def test_socket_closes_before_callers_give_up(self):
        self.assertTrue(self.wait(PATIENCE_MS))
