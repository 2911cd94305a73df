import asyncio
import types
import unittest

from fuchsiahatch_core.clock import Clock, ManualClock
from fuchsiahatch_gateway.datagrams import EntryHeartbeat
from fuchsiahatch_gateway.defaults import ENTRIES_PREFIX
from fuchsiahatch_gateway.entry_announcer import (
    ANNOUNCE_MS,
    ANNOUNCE_SELDOM_MS,
    NEW_MS,
    EntryAnnouncer,
)
from fuchsiahatch_gateway.entry_peers import EntryPeers
from fuchsiahatch_gateway.known_upstream import Upstream
from fuchsiahatch_gateway.lookups import EntryRecord
from tests.adapter.test_json_calls import Served
from tests.gateway.sites import until
from tests.loopback import run

AGENT_PORT = 7341


def register(store, node, port):
    record = EntryRecord(node, "a", "10.0.0.1:80", ("10.0.0.1", port))
    store.put(ENTRIES_PREFIX + node, record.encode())


class TestEntryPeers(unittest.TestCase):
    def test_an_entry_that_starts_costs_agents_no_call_to_the_store(self):
        # Nineteen entries that were restarted in turn cost 2,700 calls: each agent
        # asked the store again behind each start and each end.
        async def play():
            async with Served() as served:
                register(served.store, "e-1", 1)
                peers = EntryPeers(served.client, Clock())
                task = asyncio.ensure_future(peers.read_for_ever())
                await until(lambda: peers.peers)
                before = len(served.store.calls)
                for number in range(2, 20):
                    register(served.store, f"e-{number}", number)
                    beat = EntryHeartbeat(f"e-{number}", True)
                    peers.receive(beat, ("10.0.0.1", number))
                await asyncio.sleep(0.1)
                task.cancel()
                return len(peers.peers), len(served.store.calls) - before

        self.assertEqual(run(play()), (19, 0))

    def test_an_entry_that_leaves_is_told_no_load(self):
        peers = EntryPeers(None, ManualClock())
        peers.receive(EntryHeartbeat("e-1", True), ("10.0.0.1", 1))
        peers.receive(EntryHeartbeat("e-1", False), ("10.0.0.1", 1))
        self.assertEqual(peers.peers, set())

    def test_an_entry_that_is_gone_is_dropped_with_a_later_read(self):
        async def play():
            async with Served() as served:
                clock = ManualClock()
                peers = EntryPeers(served.client, clock)
                register(served.store, "e-1", 1)
                peers.receive(EntryHeartbeat("e-2", True), ("10.0.0.1", 2))
                await peers._read()
                both = peers.peers
                served.store.remove(ENTRIES_PREFIX + "e-1")
                clock.advance(60_000)
                await peers._read()
                return both, peers.peers

        both, later = run(play())
        self.assertEqual(both, {("10.0.0.1", 1), ("10.0.0.1", 2)})
        self.assertEqual(later, set())


class TestEntryAnnouncer(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.sent = []
        address = types.SimpleNamespace(ip="10.0.0.9")
        entry = types.SimpleNamespace(service="svc", instance="i-1", address=address)
        self.upstream = Upstream(entry, seen_ms=self.clock.now_ms())
        fleet = types.SimpleNamespace(
            upstreams={"i-1": self.upstream}, engine_of=lambda service: object()
        )
        port = types.SimpleNamespace(send=lambda *sent: self.sent.append(sent))
        self.announcer = EntryAnnouncer("e-1", fleet, port, AGENT_PORT, self.clock)

    def announce_for(self, time_ms):
        """Return how many words went out in a time."""
        self.sent.clear()
        for _ in range(time_ms // 100):
            self.announcer.announce()
            self.clock.advance(100)
        return len(self.sent)

    def test_a_lost_word_is_said_again(self):
        self.assertEqual(self.announce_for(NEW_MS), NEW_MS // ANNOUNCE_MS)
        self.assertEqual(
            self.sent[0], (EntryHeartbeat("e-1", True), ("10.0.0.9", 7341))
        )

    def test_an_agent_that_reports_is_left_alone_until_it_is_silent(self):
        self.upstream.note_report(self.clock.now_ms())
        self.assertEqual(self.announce_for(300), 0)
        self.clock.advance(10_000)
        self.assertEqual(self.announce_for(2 * ANNOUNCE_SELDOM_MS), 2)
