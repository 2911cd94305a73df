import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.bindings import (
    CreateReply,
    ReadReply,
    SharedLease,
    bind,
    binding_key,
)
from fuchsiahatch_delivery.limits import TokenBucket
from fuchsiahatch_delivery.tickets import Ticket, TicketHome, encode_ticket

OWN = Ticket("gym", "holds", (TicketHome(Home("hold-1", "life"), 5),))
OTHER = Ticket("gym", "holds", (TicketHome(Home("hold-2", "life"), 5),))
OTHER_VALUE = encode_ticket(OTHER).encode()


def drive(replies, ticket=OWN):
    steps = bind("gym", "k1", ticket)
    next(steps)
    try:
        for reply in replies:
            steps.send(reply)
    except StopIteration as end:
        return end.value
    raise AssertionError("the binding goes on")


class TestBind(unittest.TestCase):
    def test_created_is_own_and_lost_race_is_the_others(self):
        self.assertEqual(drive([CreateReply(True)]), OWN)
        self.assertEqual(drive([CreateReply(False), ReadReply(OTHER_VALUE)]), OTHER)

    def test_lost_answer_that_did_not_land_is_created_again(self):
        self.assertEqual(
            drive([CreateReply(None), ReadReply(b""), CreateReply(True)]), OWN
        )

    def test_late_landing_of_a_lost_create_decides(self):
        replies = [
            CreateReply(None),
            ReadReply(b""),
            CreateReply(False),
            ReadReply(OTHER_VALUE),
        ]
        self.assertEqual(drive(replies), OTHER)

    def test_silent_service_starts_nothing(self):
        for replies in (
            [CreateReply(None), ReadReply(None)],
            [CreateReply(None), ReadReply(b"")] * 2,
        ):
            with self.assertRaises(RefusedError) as seen:
                drive(replies)
            self.assertIs(seen.exception.result, Code.SERVICE_UNAVAILABLE)
            self.assertGreater(seen.exception.retry_after_ms, 0)

    def test_key_bound_for_another_target_is_refused(self):
        elsewhere = Ticket("gym", "chat", OWN.homes)
        with self.assertRaises(RequestError) as seen:
            drive([CreateReply(False), ReadReply(OTHER_VALUE)], elsewhere)
        self.assertIs(seen.exception.result, Code.KEY_REUSED)

    def test_teams_and_keys_do_not_run_together(self):
        self.assertNotEqual(binding_key("a", "b/c"), binding_key("a/b", "c"))


class TestLimits(unittest.TestCase):
    def test_bucket_lets_its_rate_through(self):
        bucket = TokenBucket(10, 10, 0)
        taken = [bucket.take(0) for _ in range(12)]
        self.assertEqual(taken, [True] * 10 + [False] * 2)
        self.assertFalse(bucket.take(99))
        self.assertTrue(bucket.take(200))

    def test_lease_is_shared_while_every_binding_lives_long_enough(self):
        lease = SharedLease(ttl_ms=1_200, life_ms=900)
        self.assertIsNone(lease.current(0))
        lease.granted(7, 100)
        self.assertEqual((lease.current(399), lease.current(400)), (7, None))
