import unittest

from fuchsiahatch_gateway import entry_liveness
from fuchsiahatch_gateway.datagrams import EntryHeartbeat
from fuchsiahatch_gateway.entry_liveness import EntryLiveness
from fuchsiahatch_gateway.lookups import EntryRecord

ENTRIES = {
    name: EntryRecord(name, "a", f"10.0.0.{number}:80", (f"10.0.0.{number}", 7340))
    for number, name in enumerate(("own", "e-1", "e-2"), 1)
}


class TestEntryBeats(unittest.TestCase):
    def setUp(self):
        self.beats = EntryLiveness("own")

    def present(self, now_ms):
        return [one.node for one in self.beats.present(ENTRIES, now_ms)]

    def test_all_that_are_registered_while_the_store_answers(self):
        self.beats.note_store(True, 0)
        self.assertEqual(self.present(60_000), ["e-1", "e-2"])
        self.assertEqual(len(self.beats.peers(ENTRIES)), 2)

    def test_one_that_is_silent_while_the_store_is_away(self):
        # Callers of one zone fail for two seconds: both of its entries were restarted
        # in an outage of the store, and lookups went on to name them.
        self.beats.note_store(False, 1_000)
        self.assertEqual(self.present(1_500), ["e-1", "e-2"])
        self.beats.receive(EntryHeartbeat("e-2", True), 2_000)
        self.assertEqual(self.present(2_100), ["e-2"])
        self.beats.note_store(True, 2_200)
        self.assertEqual(self.present(2_300), ["e-1", "e-2"])

    def test_all_where_nobody_is_heard(self):
        self.beats.note_store(False, 0)
        self.assertEqual(self.present(9_000), ["e-1", "e-2"])

    def test_one_that_leaves_is_left_out_at_once(self):
        # A caller comes to an entry that stops: the store learnt of it first, and
        # lookups named it until the watch had told the others.
        self.beats.receive(EntryHeartbeat("e-1", False), 100)
        self.assertEqual(self.present(101), ["e-2"])
        self.beats.receive(EntryHeartbeat("e-1", True), 200)
        self.assertEqual(self.present(201), ["e-1", "e-2"])
        self.beats.receive(EntryHeartbeat("e-1", False), 300)
        self.assertEqual(self.present(300 + entry_liveness.LEFT_MS), ["e-1", "e-2"])

    def test_a_heartbeat_is_answered_once_in_its_pause(self):
        # An entry that the store turns away hears nobody, and takes all others for
        # gone: the store serves them, and they have no reason to speak.
        beat = EntryHeartbeat("e-1", True)
        self.assertTrue(self.beats.receive(beat, 0))
        self.assertFalse(self.beats.receive(beat, 10))
        self.assertTrue(self.beats.receive(beat, entry_liveness.BEAT_MS))
        self.assertFalse(self.beats.receive(EntryHeartbeat("e-2", False), 20))
