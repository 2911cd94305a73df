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
        self.local_agent = types.SimpleNamespace(
            experts_per_layer=EXPERTS, known_map=lambda version, ranks: MAP
        )
        self.sender = OrderSender(
            "g",
            40,
            RANKS,
            self.local_agent,
            self.port,
            self.switch,
            OrderPacer(LINK_BYTES_PER_S, 0),
        )

    def clear(self, now_ms, ranks=range(1, RANKS), placement=MAP):
        """Return what is sent when the ranks are ordered to prepare a newer version."""
        self.port.sent.clear()
        for rank in ranks:
            order = Order(rank, OrderKind.PREPARE, 1, version=9, placement=placement)
            self.sender.send(order, (f"10.0.0.{rank}", 7_341), now_ms)
        self.sender.flush(now_ms)
        return [
            message if isinstance(message, bytes) else encode(message)
            for message, _ in self.port.sent
        ]

    def test_a_map_that_all_agents_know_takes_few_bytes(self):
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 10_000)

    def test_a_map_that_no_agent_knows_does_not_fill_the_link(self):
        # Sent by the leader to each of 62 ranks, 2.2 KB take 0.28 s of its link of
        # 4 Mbit/s and are sent again before they have arrived.
        self.switch.map_in_force = None
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 0.1 * LINK_BYTES_PER_S)
        relays = [message for message, _ in self.port.sent]
        self.assertEqual({type(message) for message in relays}, {OrderRelay})
        self.assertEqual({message.change.base for message in relays}, {NO_BASE})
        self.assertEqual(apply_change(relays[0].change), MAP)

    def test_restarted_agents_get_full_maps_through_relays(self):
        # After a kill of all processes, all requests of 63 ranks are late for the rest
        # of the day: restarted agents know no map, the leader sends each of them the
        # full one, its link is full, and each change is abandoned after two seconds in
        # which not all ranks have copied.
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
        recipients = {target.rank for message in relays for target in message.targets}
        self.assertEqual(recipients, set(range(1, RANKS)))

    def test_a_restarted_leader_sends_full_maps_at_once(self):
        # After a kill of all processes the first change of 72 ranks takes 1.6 s: each
        # agent first replies that it lacks the base, and then gets a full map directly.
        self.switch.phase = Phase.COPYING
        self.local_agent.known_map = lambda version, ranks: None
        sent = self.clear(0)
        self.assertLess(sum(map(len, sent)), 0.1 * LINK_BYTES_PER_S)
        relays = [message for message, _ in self.port.sent]
        self.assertEqual({message.change.base for message in relays}, {NO_BASE})
        recipients = {target.rank for message in relays for target in message.targets}
        self.assertEqual(recipients, set(range(1, RANKS)))

    def test_agents_without_the_base_do_not_change_the_orders_of_others(self):
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

    def test_direct_orders_are_paced(self):
        # After a kill of all processes no change completes for ten seconds: replies to
        # relayed orders are late, so each order is sent directly too, 2.2 KB to each of
        # 62 ranks, and those whose replies are late again are sent once more.
        self.switch.map_in_force = None
        self.clear(0)
        sent = 0
        for now_ms in range(200, 1_200, 20):
            self.sender.expire_replies(now_ms)
            sent += sum(map(len, self.clear(now_ms)))
        self.assertLess(sent, 0.6 * LINK_BYTES_PER_S)
        self.assertGreater(sent, 0.4 * LINK_BYTES_PER_S)

    def test_queued_orders_are_dropped_with_their_change(self):
        self.switch.map_in_force = None
        self.clear(0)
        self.sender.expire_replies(200)
        self.clear(200)
        self.switch.phase = Phase.IDLE
        self.port.sent.clear()
        self.sender.flush(2_000)
        self.assertEqual(self.port.sent, [])

    def test_a_relayed_order_without_a_reply_is_sent_directly(self):
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

    def test_an_unexpected_reply_is_ignored(self):
        reply = OrderReply("g", 40, 1, OrderResult.BEGUN)
        self.assertFalse(self.sender.receive_reply(reply, 10))
        self.assertEqual(self.answered, [])


if __name__ == "__main__":
    unittest.main()
