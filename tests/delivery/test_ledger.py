import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError, RefusedError
from fuchsiahatch_core.identities import AttemptId
from fuchsiahatch_delivery.keys import LedgerKey
from fuchsiahatch_delivery.ledger import (
    Follow,
    KeptAnswer,
    Ledger,
    Replay,
    RunOrder,
    Start,
)
from fuchsiahatch_delivery.verdicts import Verdict

ANSWER = KeptAnswer(200, (("A", "b"),), (b"brief",))


def order(key="k1", counter=1, team="gym", issued_ms=0):
    attempt = AttemptId("entry", "life", counter)
    return RunOrder(LedgerKey(team, key), attempt, b"digest", issued_ms)


class LedgerCase(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger("life-1", team_bytes=8_192, retention_ms=1_000)

    def run_one(self, one, answer=ANSWER, now_ms=0):
        self.assertEqual(self.ledger.begin(one, now_ms), Start())
        self.assertTrue(self.ledger.dispatch(one.key, one.attempt))
        self.ledger.finish(one.key, answer, now_ms)


class TestLife(LedgerCase):
    def test_second_try_follows_and_then_replays(self):
        self.assertEqual(self.ledger.begin(order(), 0), Start())
        self.assertEqual(self.ledger.begin(order(counter=2), 0), Follow())
        self.assertTrue(self.ledger.dispatch(order().key, order().attempt))
        self.assertFalse(self.ledger.dispatch(order().key, order().attempt))
        self.ledger.finish(order().key, ANSWER, 0)
        self.assertEqual(self.ledger.begin(order(counter=3), 0), Replay(ANSWER))

    def test_teams_do_not_share_keys(self):
        self.run_one(order())
        self.assertEqual(self.ledger.begin(order(team="rival"), 0), Start())

    def test_lost_run_is_unknown_for_good(self):
        self.ledger.begin(order(), 0)
        self.ledger.dispatch(order().key, order().attempt)
        self.ledger.lose(order().key, 0)
        with self.assertRaises(AttemptError):
            self.ledger.begin(order(counter=2), 0)
        self.assertIs(self.ledger.fence(order().key, 0), Verdict.UNKNOWN)

    def test_withdrawn_run_may_run_again(self):
        self.ledger.begin(order(), 0)
        self.ledger.dispatch(order().key, order().attempt)
        self.ledger.withdraw(order().key, order().attempt)
        self.assertEqual(self.ledger.begin(order(counter=2), 0), Start())

    def test_resolve_sees_another_attempt_of_the_key(self):
        self.ledger.begin(order(), 0)
        other = order(counter=2)
        verdict = self.ledger.resolve(other.key, other.attempt, 0)
        self.assertIs(verdict, Verdict.RUNNING)

    def test_resolved_attempt_does_not_run_on_a_later_row(self):
        """Guards against an attempt resolved as NOT_RUN running on a later row."""
        first, second = order(), order(counter=2)
        self.ledger.begin(first, 0)
        self.assertIs(self.ledger.resolve(first.key, first.attempt, 0), Verdict.NOT_RUN)
        self.assertEqual(self.ledger.begin(second, 0), Start())
        self.assertFalse(self.ledger.dispatch(first.key, first.attempt))
        self.assertTrue(self.ledger.dispatch(second.key, second.attempt))


class TestMemory(LedgerCase):
    def test_full_ledger_refuses_and_forgets_no_key(self):
        """Guards against a second run of a key that was evicted.

        The home's memory for the team is full; if the oldest key were evicted, its
        retry would look new.
        """
        runs = [order(f"k{number}") for number in range(3)]
        for one in runs:
            self.run_one(one)
        with self.assertRaises(RefusedError) as seen:
            self.ledger.begin(order("k4"), 0)
        self.assertIs(seen.exception.result, Code.LEDGER_FULL)
        self.assertEqual(self.ledger.begin(runs[0], 0), Replay(ANSWER))
        self.assertEqual(self.ledger.begin(order("k4", team="rival"), 0), Start())

    def test_answer_that_does_not_fit_is_not_kept_but_its_key_is(self):
        long = KeptAnswer(200, (), (b"x" * 8_000,))
        self.run_one(order(), long)
        with self.assertRaises(AttemptError) as seen:
            self.ledger.begin(order(counter=2), 0)
        self.assertIs(seen.exception.result, Code.ANSWER_NOT_KEPT)

    def test_memory_comes_back_after_the_retention_time(self):
        self.run_one(order())
        self.ledger.begin(order("running"), 0)
        self.ledger.fence(LedgerKey("gym", "fenced"), 0)
        with self.assertRaises(AttemptError) as seen:
            self.ledger.begin(order("new"), 1_000)
        self.assertIs(seen.exception.result, Code.TICKET_EXPIRED)
        self.assertEqual(self.ledger.used_bytes("gym"), 2_048)
        self.assertEqual(self.ledger.begin(order("running", 2), 1_000), Follow())
