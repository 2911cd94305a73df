import unittest

import msgspec

from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway import standby
from fuchsiahatch_gateway.datagrams import StandbyNotice, decode, encode
from fuchsiahatch_gateway.standby import Standby

PEERS = {0: ("10.0.0.1", 7341), 1: ("10.0.0.2", 7341)}


class TestStandby(unittest.TestCase):
    def test_a_leader_that_falls_silent_is_suspected(self):
        one = Standby()
        self.assertFalse(one.suspects(9_000))
        one.note(StandbyNotice("g", 4, PEERS), 1_000)
        self.assertFalse(one.suspects(1_000 + standby.SILENCE_MS - 1))
        self.assertTrue(one.suspects(1_000 + standby.SILENCE_MS))
        self.assertFalse(one.suspects(1_001 + standby.NOTICE_LIMIT_MS))
        one.forget()
        self.assertFalse(one.suspects(1_000 + standby.SILENCE_MS))

    def test_a_former_leaders_late_word_changes_nothing(self):
        one = Standby()
        one.note(StandbyNotice("g", 4, PEERS), 1_000)
        one.note(StandbyNotice("g", 2, {}), 1_100)
        self.assertEqual((one.notice.term, one.peers), (4, PEERS))
        self.assertTrue(one.suspects(1_000 + standby.SILENCE_MS))

    def test_peers_that_nothing_could_be_sent_to(self):
        # An agent ends, and its engine reports no load: its leader's own peer was
        # empty in the notice, and the takeover was sent there.
        data = msgspec.msgpack.encode([4, "g", 4, {**PEERS, 2: ("", 0)}, False])
        self.assertEqual(decode(encode(StandbyNotice("g", 4, PEERS))).peers, PEERS)
        with self.assertRaises(FormError):
            decode(data)
