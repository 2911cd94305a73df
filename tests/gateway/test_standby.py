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


class AcceptingEngine:
    """An engine that accepts each PREPARE order."""

    async def prepare(self, version, epoch, placement):
        return OrderResult.BEGUN


class TestCommit(unittest.TestCase):
    def give(self, rank, kind):
        placement = (((0,), (1,)),) if kind is OrderKind.PREPARE else None
        order = Order(1, kind, 1, version=77, placement=placement)
        return asyncio.run(rank.apply_order(order))

    def test_a_version_is_uncommitted_until_its_commit(self):
        rank = RankAgent(AcceptingEngine(), "10.0.0.1:80")
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.REFUSED)
        self.give(rank, OrderKind.PREPARE)
        self.assertEqual(rank.uncommitted_version, 77)
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.BEGUN)
        self.assertEqual(rank.uncommitted_version, 0)
        self.assertIs(self.give(rank, OrderKind.COMMIT), OrderResult.BEGUN)

    def test_a_late_prepare_order_does_not_undo_a_commit(self):
        # A PREPARE order that reaches the standby again after its commit must not make
        # it report the version as uncommitted: the last rank may be armed by then, and
        # a pass would run with two maps.
        rank = RankAgent(AcceptingEngine(), "10.0.0.1:80")
        for kind in (OrderKind.PREPARE, OrderKind.COMMIT, OrderKind.PREPARE):
            self.give(rank, kind)
        self.assertEqual(rank.uncommitted_version, 0)


class TestTakeovers(unittest.TestCase):
    def suspected_after(self, *pauses_ms):
        """Return whether a standby that polls with these pauses asks its engine."""
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

    def test_a_stalled_standby_receives_before_it_suspects(self):
        # A standby whose host was suspended for a second has received nothing in that
        # time. It must not abandon a switch and replace a live leader for that.
        self.assertFalse(self.suspected_after(20, 1_000, 20))
        self.assertTrue(self.suspected_after(*[20] * 6))


class TestStandby(unittest.TestCase):
    def test_a_leader_that_falls_silent_is_suspected(self):
        state = Standby()
        self.assertFalse(state.suspects_leader(9_000))
        state.note(StandbyNotice("g", 4, PEERS), 1_000)
        self.assertFalse(state.suspects_leader(1_000 + standby.SILENCE_MS - 1))
        self.assertTrue(state.suspects_leader(1_000 + standby.SILENCE_MS))
        self.assertFalse(state.suspects_leader(1_001 + standby.MAX_NOTICE_AGE_MS))
        state.forget()
        self.assertFalse(state.suspects_leader(1_000 + standby.SILENCE_MS))

    def test_a_late_notice_of_a_former_leader_is_ignored(self):
        state = Standby()
        state.note(StandbyNotice("g", 4, PEERS), 1_000)
        state.note(StandbyNotice("g", 2, {}), 1_100)
        self.assertEqual((state.notice.term, state.notice.peers), (4, PEERS))
        self.assertTrue(state.suspects_leader(1_000 + standby.SILENCE_MS))

    def test_a_notice_with_an_empty_peer_is_rejected(self):
        # An agent that sent the takeover to the leader's peer, which was empty in the
        # notice, ended by that, and its engine's load was no longer reported.
        data = msgspec.msgpack.encode([4, "g", 4, {**PEERS, 2: ("", 0)}, False])
        self.assertEqual(decode(encode(StandbyNotice("g", 4, PEERS))).peers, PEERS)
        with self.assertRaises(FormError):
            decode(data)
