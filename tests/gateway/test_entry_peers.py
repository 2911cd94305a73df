import asyncio
import types
import unittest

from fuchsiahatch_core.clock import Clock, ManualClock
from fuchsiahatch_gateway.datagrams import EntryHeartbeat
from fuchsiahatch_gateway.defaults import ENTRIES_PREFIX
from fuchsiahatch_gateway.entry_announcer import (
    ANNOUNCE_INTERVAL_MS,
    NEW_UPSTREAM_MS,
    SLOW_ANNOUNCE_INTERVAL_MS,
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
        # Guards against a watch of the registrations: each agent then called the store
        # after each start and end of an entry, and a rolling restart of 19 entries cost
        # 2,700 calls.
        async def play():
            async with Served() as served:
                register(served.store, "e-1", 1)
                peers = EntryPeers(served.client, Clock())
                task = asyncio.ensure_future(peers.read_forever())
                await until(lambda: peers.peers)
                before = len(served.store.calls)
                for number in range(2, 20):
                    register(served.store, f"e-{number}", number)
                    heartbeat = EntryHeartbeat(f"e-{number}", True)
                    peers.receive(heartbeat, ("10.0.0.1", number))
                await asyncio.sleep(0.1)
                task.cancel()
                return len(peers.peers), len(served.store.calls) - before

        self.assertEqual(run(play()), (19, 0))

    def test_a_leaving_entry_gets_no_load_reports(self):
        peers = EntryPeers(None, ManualClock())
        peers.receive(EntryHeartbeat("e-1", True), ("10.0.0.1", 1))
        peers.receive(EntryHeartbeat("e-1", False), ("10.0.0.1", 1))
        self.assertEqual(peers.peers, set())

    def test_a_removed_entry_is_dropped_by_a_later_read(self):
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
        """Return how many announcements are sent in a time."""
        self.sent.clear()
        for _ in range(time_ms // 100):
            self.announcer.announce()
            self.clock.advance(100)
        return len(self.sent)

    def test_announcements_are_repeated_without_a_report(self):
        self.assertEqual(
            self.announce_for(NEW_UPSTREAM_MS), NEW_UPSTREAM_MS // ANNOUNCE_INTERVAL_MS
        )
        self.assertEqual(
            self.sent[0], (EntryHeartbeat("e-1", True), ("10.0.0.9", 7341))
        )

    def test_a_reporting_agent_gets_none_until_it_is_silent(self):
        self.upstream.note_report(self.clock.now_ms())
        self.assertEqual(self.announce_for(300), 0)
        self.clock.advance(10_000)
        self.assertEqual(self.announce_for(2 * SLOW_ANNOUNCE_INTERVAL_MS), 2)
