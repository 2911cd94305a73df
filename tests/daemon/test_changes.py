import asyncio
import collections
import json
import types
import unittest
import unittest.mock

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_daemon import changes
from fuchsiahatch_placement.acceptance import EntryConfiguration
from fuchsiahatch_placement.documents import Change, next_document
from fuchsiahatch_platform.keyvalue import KeyValue
from tests.loopback import run

VOTERS = ("entry-a", "entry-b")


class FakeKeyValue:
    """Holds an empty segment and a roster of two."""

    async def get(self, key):
        if key != "roster":
            return KeyValue(b"", 0)
        rows = [
            {"host": host, "region": "kl", "zone": "kl-a"}
            | {"listed": True, "was_listed": False}
            for host in VOTERS
        ]
        document = {"revision": 1, "history": [], "records": rows}
        return KeyValue(json.dumps(document).encode(), 1)

    async def swap(self, key, value, expected):
        return True


class SilentPeers:
    """Takes every question and answers none."""

    def __init__(self):
        self.asked = collections.Counter()

    async def tell(self, host):
        self.asked[host] += 1
        await asyncio.Event().wait()


class CountingClock(ManualClock):
    """Counts how often it was read, as each tick does."""

    reads = 0

    def now_ms(self):
        self.reads += 1
        return 0


class TestSlowHost(unittest.TestCase):
    def test_is_asked_once_at_a_time(self):
        """A large change makes entries slow to answer while it is awaited.

        Asked again at every tick, each of them gets slower still, and the change
        ends pending though all would have acknowledged it.
        """
        peers, clock = SilentPeers(), CountingClock()
        part = EntryConfiguration("entry-a", "1", "kl", "kl-a")
        configuration = types.SimpleNamespace(
            key="placement", roster_key="roster", part=part, hear_of_newer=str
        )
        writer = changes.Changes(configuration, FakeKeyValue(), peers, clock)

        def propose(base):
            return next_document(base, 0, Change(0, "one", 0, "", ""), [])

        async def work():
            making = asyncio.ensure_future(writer.run("one", propose, id))
            while clock.reads < 30:
                await asyncio.sleep(0)
            making.cancel()

        with unittest.mock.patch.object(changes, "_TICK_MS", 1):
            run(work())
        self.assertEqual(peers.asked, {"entry-b": 1})
