import types
import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_daemon.hops import Errand, Hops
from fuchsiahatch_delivery.home_calls import HomeCall, Operation
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_routing.candidates import Target
from tests.loopback import run

HOME = Home("engine-1", "life-1")


class Standings:
    """Allows every home."""

    def address(self, home):
        return "127.0.0.1:1"

    def offer(self, home, team, target):
        return Offer("booking-assistant", "2")

    def is_silent(self, home):
        return False

    def read_clock_ms(self, home):
        return 0


def make_errand():
    request = types.SimpleNamespace(
        team="gym-bangsar",
        target=Target("booking-assistant"),
        method="POST",
        path="/",
        headers=(),
        body=b"",
        key="",
        idempotent=True,
        priority=1,
    )
    return Errand(request, b"", lambda frame: None, lambda: 1_000, {})


class TestFreshness(unittest.TestCase):
    def test_order_of_an_entry_that_is_no_longer_fresh(self):
        """A booking is answered in a zone that was forbidden a minute ago.

        The entry was fresh when the request came. The request waited for its
        binding or for a home that broke, the entry was cut off meanwhile, and it
        sends the order all the same.
        """

        class Channels:
            def to(self, address):
                return None

        hops = Hops(
            "entry-1",
            "life-1",
            Channels(),
            Standings(),
            None,
            lambda: 1,
            lambda: False,
        )
        errand = make_errand()
        reply = run(hops.ask(HomeCall(Operation.RUN, HOME), errand))
        self.assertEqual((reply.verdict, reply.code), (Verdict.NOT_RUN, Code.NOT_FRESH))
        self.assertGreater(reply.retry_after_ms, 0)
        self.assertFalse(errand.sent)
