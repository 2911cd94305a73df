import unittest

from fuchsiahatch_experts.grants import Order
from fuchsiahatch_experts.orders import OrderGate

SETTLE_MS = 500


class TestEngineThatChecks(unittest.TestCase):
    def test_orders_are_sent_without_delay_and_one_at_a_time(self):
        gate = OrderGate(True, SETTLE_MS, now_ms=0)
        order = Order(term=2, epoch=1)
        self.assertTrue(gate.may_send(order, 0))
        gate.note_sent(order)
        self.assertFalse(gate.may_send(order, 1))
        gate.note_answer()
        self.assertTrue(gate.may_send(order, 1))
        gate.note_sent(order)
        gate.note_lost(2)
        self.assertTrue(gate.may_send(order, 2))


class TestEngineThatIgnoresFencing(unittest.TestCase):
    def setUp(self):
        self.gate = OrderGate(False, SETTLE_MS, now_ms=1_000)

    def test_a_new_incarnation_waits_for_orders_of_the_previous_one(self):
        """A rank runs an old window that was reported as free.

        The agent is killed with an order in transit. Its next incarnation reads the
        engine before the order arrives and reports that state to the leader.
        """
        order = Order(term=1, epoch=1)
        self.assertFalse(self.gate.may_send(order, 1_499))
        self.assertTrue(self.gate.may_send(order, 1_500))

    def test_a_lost_order_is_waited_for(self):
        order = Order(term=1, epoch=1)
        self.gate.note_sent(order)
        self.gate.note_lost(2_000)
        self.assertFalse(self.gate.may_send(order, 2_499))
        self.assertTrue(self.gate.may_send(order, 2_500))

    def test_an_order_of_an_old_term_is_not_sent(self):
        self.gate.note_sent(Order(term=2, epoch=1))
        self.gate.note_answer()
        self.assertFalse(self.gate.may_send(Order(term=1, epoch=1), 3_000))
