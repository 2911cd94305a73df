import unittest

from fuchsiahatch_gateway import entry_liveness
from fuchsiahatch_gateway.datagrams import EntryHeartbeat
from fuchsiahatch_gateway.entry_liveness import EntryLiveness
from fuchsiahatch_gateway.lookups import EntryRecord

ENTRIES = {
    name: EntryRecord(name, "a", f"10.0.0.{number}:80", (f"10.0.0.{number}", 7340))
    for number, name in enumerate(("own", "e-1", "e-2"), 1)
}


class TestEntryLiveness(unittest.TestCase):
    def setUp(self):
        self.liveness = EntryLiveness("own")

    def present(self, now_ms):
        return [entry.node for entry in self.liveness.present(ENTRIES, now_ms)]

    def test_all_registered_while_the_store_answers(self):
        self.liveness.note_store(True, 0)
        self.assertEqual(self.present(60_000), ["e-1", "e-2"])
        self.assertEqual(len(self.liveness.peers(ENTRIES)), 2)

    def test_silent_entries_are_excluded_during_an_outage(self):
        # Guards against lookups that name stopped entries: both entries of a zone were
        # restarted during an outage of the store, lookups still named them, and the
        # zone's callers failed for two seconds.
        self.liveness.note_store(False, 1_000)
        self.assertEqual(self.present(1_500), ["e-1", "e-2"])
        self.liveness.receive(EntryHeartbeat("e-2", True), 2_000)
        self.assertEqual(self.present(2_100), ["e-2"])
        self.liveness.note_store(True, 2_200)
        self.assertEqual(self.present(2_300), ["e-1", "e-2"])

    def test_all_if_no_heartbeat_arrives(self):
        self.liveness.note_store(False, 0)
        self.assertEqual(self.present(9_000), ["e-1", "e-2"])

    def test_a_leaving_entry_is_excluded_at_once(self):
        # Guards against callers that connect to a stopping entry: without its
        # heartbeat, lookups name it until the watch of the store reports that it has
        # left.
        self.liveness.receive(EntryHeartbeat("e-1", False), 100)
        self.assertEqual(self.present(101), ["e-2"])
        self.liveness.receive(EntryHeartbeat("e-1", True), 200)
        self.assertEqual(self.present(201), ["e-1", "e-2"])
        self.liveness.receive(EntryHeartbeat("e-1", False), 300)
        self.assertEqual(self.present(300 + entry_liveness.DEPARTED_MS), ["e-1", "e-2"])

    def test_heartbeats_are_answered_once_per_interval(self):
        # Guards against an entry that considers all others unreachable: the store
        # refuses only this one, so that the others send no heartbeats by themselves.
        heartbeat = EntryHeartbeat("e-1", True)
        self.assertTrue(self.liveness.receive(heartbeat, 0))
        self.assertFalse(self.liveness.receive(heartbeat, 10))
        self.assertTrue(
            self.liveness.receive(heartbeat, entry_liveness.HEARTBEAT_INTERVAL_MS)
        )
        self.assertFalse(self.liveness.receive(EntryHeartbeat("e-2", False), 20))
