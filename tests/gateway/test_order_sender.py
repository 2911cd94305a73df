import types
import unittest

from fuchsiahatch_experts.map_changes import NO_BASE, apply_change, first_map
from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult
from fuchsiahatch_experts.switching import Phase
from fuchsiahatch_gateway.datagrams import OrderRelay, OrderReply, encode
from fuchsiahatch_gateway.order_pacing import OrderPacer
from fuchsiahatch_gateway.order_relays import RELAY_TIMEOUT_MS
from fuchsiahatch_gateway.order_sender import OrderSender
from tests.gateway.led_groups import RecordingPort

RANKS, LAYERS, EXPERTS = 63, 8, 252
LINK_BYTES_PER_S = 500_000.0
MAP = first_map(LAYERS, EXPERTS, RANKS)


class TestOrderSender(unittest.TestCase):
    def setUp(self):
        self.port = RecordingPort()
        self.answered = []
        self.switch = types.SimpleNamespace(
            phase=Phase.CLEARING,
            map_in_force=(7, MAP),
            answered=lambda order, result, now_ms: self.answered.append(
                (order.rank, result)
            ),
        )
        self.own = types.SimpleNamespace(
            experts_per_layer=EXPERTS, known_map=lambda version, ranks: MAP
        )
        self.sender = OrderSender(
            "g",
            40,
            RANKS,
            self.own,
            self.port,
            self.switch,
            OrderPacer(LINK_BYTES_PER_S, 0),
        )

    def clear(self, now_ms, ranks=range(1, RANKS), placement=MAP):
        """Return what goes out as all ranks are told to prepare a newer version."""
        self.port.sent.clear()
        for rank in ranks:
            order = Order(rank, OrderKind.PREPARE, 1, version=9, placement=placement)
            self.sender.send(order, (f"10.0.0.{rank}", 7_341), now_ms)
        self.sender.flush(now_ms)
        return [
            message if isinstance(message, bytes) else encode(message)
            for message, _ in self.port.sent
        ]

    def test_a_map_that_all_know_is_told_in_few_bytes(self):
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 10_000)

    def test_a_map_that_nobody_knows_does_not_fill_the_link(self):
        # Told to each of 62 ranks by the leader itself, 2.2 KB take 0.28 s of its
        # link of 4 Mbit/s, and are sent again before they have arrived.
        self.switch.map_in_force = None
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 0.1 * LINK_BYTES_PER_S)
        relays = [message for message, _ in self.port.sent]
        self.assertEqual({type(message) for message in relays}, {OrderRelay})
        self.assertEqual({message.change.base for message in relays}, {NO_BASE})
        self.assertEqual(apply_change(relays[0].change), MAP)

    def test_agents_that_have_started_anew_are_told_whole_maps_by_others(self):
        # All requests of 63 ranks are late for the rest of the day behind a kill of
        # all processes: agents that have started anew know no map, each is told the
        # whole one by the leader itself, its link is full, and each change is given up
        # behind two seconds in which not all ranks have copied.
        self.switch.phase = Phase.COPYING
        self.clear(0)
        for message, _ in self.port.sent:
            for target in message.targets:
                unknown = OrderReply(
                    "g", 40, target.number, OrderResult.UNKNOWN, lacks_base=True
                )
                self.sender.receive_reply(unknown, 10)
        self.assertIsNone(self.sender.order_budget(20))
        sent = self.clear(20)
        self.assertLess(sum(map(len, sent)), 0.1 * LINK_BYTES_PER_S)
        relays = [message for message, _ in self.port.sent]
        self.assertEqual({message.change.base for message in relays}, {NO_BASE})
        told = {target.rank for message in relays for target in message.targets}
        self.assertEqual(told, set(range(1, RANKS)))

    def test_a_leader_that_has_started_anew_tells_whole_maps_at_once(self):
        # Behind a kill of all processes the first change of 72 ranks took 1.6 s: each
        # agent was asked whether it knew the map, and told the whole one by itself.
        self.switch.phase = Phase.COPYING
        self.own.known_map = lambda version, ranks: None
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 0.1 * LINK_BYTES_PER_S)
        relays = [message for message, _ in self.port.sent]
        self.assertEqual({message.change.base for message in relays}, {NO_BASE})
        told = {target.rank for message in relays for target in message.targets}
        self.assertEqual(told, set(range(1, RANKS)))

    def test_some_that_lack_the_map_do_not_change_what_others_are_told(self):
        self.clear(0)
        lacking = self.port.sent[0][0].targets[0]
        reply = OrderReply(
            "g", 40, lacking.number, OrderResult.UNKNOWN, lacks_base=True
        )
        self.sender.receive_reply(reply, 10)
        for rank in (lacking.rank + 1, lacking.rank + 2):
            order = Order(rank, OrderKind.PREPARE, 1, version=10, placement=MAP)
            self.sender.send(order, ("10.0.0.1", 7_341), 20)
        order = Order(lacking.rank, OrderKind.PREPARE, 1, version=10, placement=MAP)
        self.port.sent.clear()
        self.sender.send(order, lacking.peer, 20)
        self.sender.flush(20)
        bases = {
            target.rank: message.change.base
            for message, _ in self.port.sent
            for target in message.targets
        }
        self.assertEqual(bases.pop(lacking.rank), NO_BASE)
        self.assertEqual(set(bases.values()), {7})

    def test_orders_that_go_out_directly_are_paced(self):
        # Behind a kill of all processes no change is complete for ten seconds: orders
        # that were passed on are answered late, each goes out directly as well, 2.2 KB
        # to each of 62 ranks, and what is late for that goes out once more.
        self.switch.map_in_force = None
        self.clear(0)
        sent = 0
        for now_ms in range(200, 1_200, 20):
            self.sender.expire_replies(now_ms)
            sent += sum(map(len, self.clear(now_ms)))
        self.assertLess(sent, 0.6 * LINK_BYTES_PER_S)
        self.assertGreater(sent, 0.4 * LINK_BYTES_PER_S)

    def test_what_still_waits_is_dropped_with_its_change(self):
        self.switch.map_in_force = None
        self.clear(0)
        self.sender.expire_replies(200)
        self.clear(200)
        self.switch.phase = Phase.IDLE
        self.port.sent.clear()
        self.sender.flush(2_000)
        self.assertEqual(self.port.sent, [])

    def test_what_is_not_answered_in_time_goes_out_directly(self):
        self.switch.map_in_force = None
        self.clear(0)
        numbers = [
            target.number
            for message, _ in self.port.sent
            for target in message.targets
            if target.rank != 5
        ]
        for number in numbers:
            reply = OrderReply("g", 40, number, OrderResult.BEGUN)
            self.assertTrue(self.sender.receive_reply(reply, 10))
        self.sender.expire_replies(RELAY_TIMEOUT_MS + 1)
        self.assertEqual(self.answered[-1], (5, OrderResult.UNKNOWN))
        (_,) = self.clear(RELAY_TIMEOUT_MS + 1, [5])
        self.assertIsInstance(self.port.sent[0][0], bytes)

    def test_an_answer_that_nobody_waits_for_counts_for_nothing(self):
        reply = OrderReply("g", 40, 1, OrderResult.BEGUN)
        self.assertFalse(self.sender.receive_reply(reply, 10))
        self.assertEqual(self.answered, [])


if __name__ == "__main__":
    unittest.main()
