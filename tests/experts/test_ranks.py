import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_experts.grants import (
    Accepted,
    Ask,
    Commit,
    EngineState,
    LoadWeights,
    Order,
    Propose,
    Refused,
    Reply,
    SendOrder,
    Starved,
    Window,
)
from fuchsiahatch_experts.orders import OrderGate
from fuchsiahatch_experts.ranks import Rank

READ = Order(term=0, epoch=0)
FIRST = Window(0, 4, 1)
BLANK = EngineState(epoch=1, weights=frozenset({1}))
HOLDING = EngineState(epoch=1, step=1, granted=FIRST, weights=frozenset({1}))


class RankCase(unittest.TestCase):
    def setUp(self):
        self.rank = Rank(0, "life-1", OrderGate(True, 0, now_ms=0))

    def join(self, state=BLANK):
        self.rank.receive(Ask(3, 1, 1, False, 1), 0)
        return self.rank.engine_answered(state)

    def propose(self, window, term=3):
        return self.rank.receive(Propose(term, 1, "life-1", window), 0)

    def commit(self, window, term=3):
        return self.rank.receive(Commit(term, 1, "life-1", window), 0)

    def refused(self, code, term=3):
        return Reply(Refused(0, "life-1", 3, term, code))


class TestAccepting(RankCase):
    def test_a_window_that_follows_is_accepted(self):
        self.join(HOLDING)
        follows = Window(4, 8, 1)
        self.assertEqual(
            self.propose(follows), [Reply(Accepted(0, "life-1", 3, follows))]
        )

    def test_a_window_that_leaves_a_gap_is_refused(self):
        self.join(HOLDING)
        self.assertEqual(self.propose(Window(8, 12, 1)), [self.refused(Code.NO_GRANT)])

    def test_weights_come_before_the_map(self):
        """A rank stalls in the middle of a step, and with it the group.

        The map is granted while its weights are still in the weight store.
        """
        self.join()
        missing = self.refused(Code.WEIGHTS_MISSING)
        self.assertEqual(self.propose(Window(0, 4, 2)), [SendOrder(READ)])
        refused = self.rank.engine_answered(BLANK)
        self.assertEqual(refused, [missing, LoadWeights(2)])
        self.assertIsNone(self.rank.accepted)

    def test_weights_that_have_come_are_seen(self):
        """A group stands still for good although its weights are in place.

        They came after the rank last read its engine, and while a window is
        proposed the leader asks for no state.
        """
        window = Window(0, 4, 2)
        self.join()
        self.propose(window)
        state = EngineState(epoch=1, weights=frozenset({1, 2}))
        accepted = Reply(Accepted(0, "life-1", 3, window))
        self.assertEqual(self.rank.engine_answered(state), [accepted])

    def test_another_epoch_is_refused(self):
        self.join(EngineState(epoch=2, weights=frozenset({1})))
        self.assertEqual(self.propose(FIRST), [self.refused(Code.OLD_EPOCH)])


class TestCommitting(RankCase):
    def test_what_was_not_accepted_is_refused(self):
        self.join()
        self.propose(FIRST)
        other = Window(0, 4, 7)
        self.assertEqual(self.commit(other), [self.refused(Code.NO_GRANT)])

    def test_what_the_engine_holds_is_confirmed_without_an_order(self):
        self.join(HOLDING)
        (reply,) = self.commit(FIRST)
        self.assertEqual(reply.answer.window, FIRST)


class TestEngine(RankCase):
    def grant(self):
        self.join()
        self.propose(FIRST)
        return self.commit(FIRST)

    def test_an_order_names_the_term(self):
        self.assertEqual(self.grant(), [SendOrder(Order(3, 1, window=FIRST))])

    def test_after_a_lost_answer_nothing_is_taken_for_known(self):
        """A rank runs a window twice planned, under two maps.

        The engine took a grant, the answer got lost, and the agent goes on as
        if the engine still held what it held before.
        """
        self.grant()
        failed = [self.refused(Code.UPSTREAM_FAILED)]
        self.assertEqual(self.rank.engine_lost(10), failed)
        self.assertEqual(self.propose(FIRST), failed)
        self.join(HOLDING)
        self.assertEqual(self.rank.engine, HOLDING)

    def test_an_engine_that_refuses_ends_the_term(self):
        self.grant()
        self.assertEqual(self.rank.engine_refused(), [self.refused(Code.OLD_TERM)])

    def test_a_second_request_has_to_wait_for_the_first(self):
        self.rank.receive(Ask(3, 1, 1, False, 1), 0)
        again = self.rank.receive(Ask(3, 1, 2, False, 1), 0)
        self.assertEqual(again, [self.refused(Code.IN_PROGRESS)])


class TestStarvation(RankCase):
    def look(self, step):
        self.rank.read_engine(0)
        return self.rank.engine_answered(EngineState(1, step, FIRST, frozenset({1})))

    def test_it_is_said_once(self):
        self.join(HOLDING)
        said = [self.look(step) for step in (3, 4, 4)]
        self.assertEqual(said, [[], [Starved(4, Code.NO_GRANT)], []])
