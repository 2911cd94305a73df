import asyncio
import types
import unittest

import msgspec

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult
from fuchsiahatch_gateway import standby
from fuchsiahatch_gateway.datagrams import StandbyNotice, decode, encode
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.standby import Standby
from fuchsiahatch_gateway.takeovers import Takeovers

PEERS = {0: ("10.0.0.1", 7341), 1: ("10.0.0.2", 7341)}


class TakesAll:
    """An engine that takes each order."""

    async def prepare(self, version, epoch, placement):
        return OrderResult.BEGUN


class TestCommit(unittest.TestCase):
    def give(self, rank, kind):
        placement = (((0,), (1,)),) if kind is OrderKind.PREPARE else None
        order = Order(1, kind, 1, version=77, placement=placement)
        return asyncio.run(rank.apply_order(order))

    def test_a_version_is_vouched_for_until_its_commit(self):
        rank = RankAgent(TakesAll(), "10.0.0.1:80")
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.REFUSED)
        self.give(rank, OrderKind.PREPARE)
        self.assertEqual(rank.uncommitted_version, 77)
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.BEGUN)
        self.assertEqual(rank.uncommitted_version, 0)
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.BEGUN)

    def test_a_copy_that_is_asked_late_takes_no_commit_back(self):
        # A pass runs with two maps: the order to copy came to the standby once more
        # behind its commit, so that it vouched for a rank that had been armed.
        rank = RankAgent(TakesAll(), "10.0.0.1:80")
        for kind in (OrderKind.PREPARE, OrderKind.COMMIT, OrderKind.PREPARE):
            self.give(rank, kind)
        self.assertEqual(rank.uncommitted_version, 0)


class TestTakeovers(unittest.TestCase):
    def suspected_behind(self, *pauses_ms):
        """Return whether a standby asks its engine for a hold behind its looks."""
        clock = ManualClock(1_000)
        asked = []

        async def read_report():
            asked.append(clock.now_ms())
            return types.SimpleNamespace(held=None)

        rank = types.SimpleNamespace(read_report=read_report, term=4)
        takeovers = Takeovers(rank, PEERS[0], clock, None, None)
        takeovers.note(StandbyNotice("g", 4, PEERS))
        for pause_ms in pauses_ms:
            clock.advance(pause_ms)
            asyncio.run(takeovers.work())
        return bool(asked)

    def test_a_standby_that_was_late_hears_before_it_judges(self):
        # A switch is given up and a leader replaced for nothing: its standby's host
        # stood still for a second, and found that it had heard nothing meanwhile.
        self.assertFalse(self.suspected_behind(20, 1_000, 20))
        self.assertTrue(self.suspected_behind(*[20] * 6))


class TestStandby(unittest.TestCase):
    def test_a_leader_that_falls_silent_is_suspected(self):
        one = Standby()
        self.assertFalse(one.suspects_leader(9_000))
        one.note(StandbyNotice("g", 4, PEERS), 1_000)
        self.assertFalse(one.suspects_leader(1_000 + standby.SILENCE_MS - 1))
        self.assertTrue(one.suspects_leader(1_000 + standby.SILENCE_MS))
        self.assertFalse(one.suspects_leader(1_001 + standby.MAX_NOTICE_AGE_MS))
        one.forget()
        self.assertFalse(one.suspects_leader(1_000 + standby.SILENCE_MS))

    def test_a_former_leaders_late_word_changes_nothing(self):
        one = Standby()
        one.note(StandbyNotice("g", 4, PEERS), 1_000)
        one.note(StandbyNotice("g", 2, {}), 1_100)
        self.assertEqual((one.notice.term, one.notice.peers), (4, PEERS))
        self.assertTrue(one.suspects_leader(1_000 + standby.SILENCE_MS))

    def test_peers_that_nothing_could_be_sent_to(self):
        # An agent ends, and its engine reports no load: its leader's own peer was
        # empty in the notice, and the takeover was sent there.
        data = msgspec.msgpack.encode([4, "g", 4, {**PEERS, 2: ("", 0)}, False])
        self.assertEqual(decode(encode(StandbyNotice("g", 4, PEERS))).peers, PEERS)
        with self.assertRaises(FormError):
            decode(data)
