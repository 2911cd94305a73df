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

    def receive(self, node, serving, now_ms, revision=0):
        heartbeat = EntryHeartbeat(node, serving, revision)
        return self.liveness.receive(heartbeat, ENTRIES[node].peer, now_ms)

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
        self.receive("e-2", True, 2_000)
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
        self.receive("e-1", False, 100)
        self.assertEqual(self.present(101), ["e-2"])
        self.receive("e-1", True, 200)
        self.assertEqual(self.present(201), ["e-1", "e-2"])

    def test_a_departed_entry_is_excluded_until_it_has_registered_again(self):
        # Its registration lasts through an outage of the store; lookups named it again
        # 3 s after its departure, with its port closed.
        self.liveness.note_registrations({"e-1": 7, "e-2": 8}, 0)
        self.receive("e-1", False, 300)
        later_ms = 300 + entry_liveness.DEPARTED_MS
        self.assertEqual(self.present(later_ms), ["e-2"])
        self.assertEqual(self.present(60_000), ["e-2"])
        self.liveness.note_registrations({"e-1": 9, "e-2": 8}, 60_000)
        self.assertEqual(self.present(60_000), ["e-1", "e-2"])

    def test_a_registration_that_arrives_behind_the_departure_does_not_count_at_once(
        self,
    ):
        self.receive("e-1", False, 300)
        self.liveness.note_registrations({"e-1": 9}, 400)
        self.assertEqual(self.present(400), ["e-2"])
        later_ms = 300 + entry_liveness.DEPARTED_MS
        self.assertEqual(self.present(later_ms), ["e-1", "e-2"])

    def test_a_departure_that_is_read_behind_the_next_registration_excludes_nobody(
        self,
    ):
        # A receiver that stood still named the entry no more until it sent a heartbeat.
        self.liveness.note_registrations({"e-1": 9, "e-2": 8}, 0)
        self.receive("e-1", False, 300, revision=7)
        self.assertEqual(self.present(300), ["e-1", "e-2"])
        self.receive("e-1", False, 400, revision=9)
        self.assertEqual(self.present(60_000), ["e-2"])

    def test_a_departure_counts_for_the_registration_that_it_names(self):
        # The receiver hadn't seen that registration yet when the departure came.
        self.liveness.note_registrations({"e-1": 5, "e-2": 8}, 0)
        self.receive("e-1", False, 300, revision=7)
        self.liveness.note_registrations({"e-1": 7, "e-2": 8}, 400)
        self.assertEqual(self.present(60_000), ["e-2"])
        self.liveness.note_registrations({"e-1": 9, "e-2": 8}, 60_000)
        self.assertEqual(self.present(60_000), ["e-1", "e-2"])

    def test_an_entry_without_a_registration_learns_of_departures_while_it_stops(self):
        # It still answers lookups, and named an entry that stopped behind it.
        self.receive("e-1", False, 300)
        registered = {"e-2": ENTRIES["e-2"]}
        self.liveness.note_registrations({"e-2": 8}, 500)
        peers = self.liveness.heartbeat_peers(registered, 500)
        self.assertEqual(peers, {ENTRIES["e-1"].peer, ENTRIES["e-2"].peer})
        forgotten_ms = 300 + entry_liveness.UNREGISTERED_MS
        self.liveness.note_registrations({"e-2": 8}, forgotten_ms)
        peers = self.liveness.heartbeat_peers(registered, forgotten_ms)
        self.assertEqual(peers, {ENTRIES["e-2"].peer})

    def test_heartbeats_are_answered_once_per_interval(self):
        # Guards against an entry that considers all others unreachable: the store
        # refuses only this one, so that the others send no heartbeats by themselves.
        self.assertTrue(self.receive("e-1", True, 0))
        self.assertFalse(self.receive("e-1", True, 10))
        self.assertTrue(self.receive("e-1", True, entry_liveness.HEARTBEAT_INTERVAL_MS))
        self.assertFalse(self.receive("e-2", False, 20))
