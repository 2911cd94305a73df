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

READ_ORDER = Order(term=0, epoch=0)
FIRST_WINDOW = Window(0, 4, 1)
NOTHING_GRANTED = EngineState(epoch=1, weights=frozenset({1}))
GRANTED_FIRST = EngineState(
    epoch=1, step=1, granted=FIRST_WINDOW, weights=frozenset({1})
)


class RankCase(unittest.TestCase):
    def setUp(self):
        self.rank = Rank(0, "life-1", OrderGate(True, 0, now_ms=0))

    def promise_term(self, state=NOTHING_GRANTED):
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
        self.promise_term(GRANTED_FIRST)
        follows = Window(4, 8, 1)
        self.assertEqual(
            self.propose(follows), [Reply(Accepted(0, "life-1", 3, follows))]
        )

    def test_a_window_that_leaves_a_gap_is_refused(self):
        self.promise_term(GRANTED_FIRST)
        self.assertEqual(self.propose(Window(8, 12, 1)), [self.refused(Code.NO_GRANT)])

    def test_a_map_without_its_weights_is_refused(self):
        """A rank stalls in the middle of a step, and its group with it.

        A map is granted whose weights are still in the weight store.
        """
        self.promise_term()
        missing = self.refused(Code.WEIGHTS_MISSING)
        self.assertEqual(self.propose(Window(0, 4, 2)), [SendOrder(READ_ORDER)])
        refused = self.rank.engine_answered(NOTHING_GRANTED)
        self.assertEqual(refused, [missing, LoadWeights(2)])
        self.assertIsNone(self.rank.accepted)

    def test_weights_that_arrive_during_a_proposal_are_detected(self):
        """A group stalls forever although its weights are in place.

        The weights arrived after the rank last read its engine, and the leader requests
        no state while a window is proposed.
        """
        window = Window(0, 4, 2)
        self.promise_term()
        self.propose(window)
        state = EngineState(epoch=1, weights=frozenset({1, 2}))
        accepted = Reply(Accepted(0, "life-1", 3, window))
        self.assertEqual(self.rank.engine_answered(state), [accepted])

    def test_another_epoch_is_refused(self):
        self.promise_term(EngineState(epoch=2, weights=frozenset({1})))
        self.assertEqual(self.propose(FIRST_WINDOW), [self.refused(Code.OLD_EPOCH)])


class TestCommitting(RankCase):
    def test_a_window_that_was_not_accepted_is_refused(self):
        self.promise_term()
        self.propose(FIRST_WINDOW)
        other = Window(0, 4, 7)
        self.assertEqual(self.commit(other), [self.refused(Code.NO_GRANT)])

    def test_a_window_granted_before_is_confirmed_without_an_order(self):
        self.promise_term(GRANTED_FIRST)
        (reply,) = self.commit(FIRST_WINDOW)
        self.assertEqual(reply.answer.window, FIRST_WINDOW)


class TestEngine(RankCase):
    def grant(self):
        self.promise_term()
        self.propose(FIRST_WINDOW)
        return self.commit(FIRST_WINDOW)

    def test_an_order_names_the_term(self):
        self.assertEqual(self.grant(), [SendOrder(Order(3, 1, window=FIRST_WINDOW))])

    def test_after_a_lost_answer_the_engines_state_is_unknown(self):
        """A rank runs a window that was planned twice, under two maps.

        The engine accepted a grant, its answer was lost, and the agent continues as if
        the engine's state were unchanged.
        """
        self.grant()
        failed = [self.refused(Code.UPSTREAM_FAILED)]
        self.assertEqual(self.rank.engine_lost(10), failed)
        self.assertEqual(self.propose(FIRST_WINDOW), failed)
        self.promise_term(GRANTED_FIRST)
        self.assertEqual(self.rank.engine, GRANTED_FIRST)

    def test_an_engine_that_refuses_ends_the_term(self):
        self.grant()
        self.assertEqual(self.rank.engine_refused(), [self.refused(Code.OLD_TERM)])

    def test_a_second_request_has_to_wait_for_the_first(self):
        self.rank.receive(Ask(3, 1, 1, False, 1), 0)
        again = self.rank.receive(Ask(3, 1, 2, False, 1), 0)
        self.assertEqual(again, [self.refused(Code.IN_PROGRESS)])


class TestStarvation(RankCase):
    def read_engine(self, step):
        self.rank.read_engine(0)
        return self.rank.engine_answered(
            EngineState(1, step, FIRST_WINDOW, frozenset({1}))
        )

    def test_it_is_reported_once(self):
        self.promise_term(GRANTED_FIRST)
        effects = [self.read_engine(step) for step in (3, 4, 4)]
        self.assertEqual(effects, [[], [Starved(4, Code.NO_GRANT)], []])
