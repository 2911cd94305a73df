import collections
import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RequestError
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.tickets import (
    Ticket,
    TicketHome,
    check_ticket,
    decode_ticket,
    encode_ticket,
)

HOMES = tuple(TicketHome(Home(f"hold-{n}", "life"), n) for n in range(3))
TICKET = Ticket("gym", "hold-and-cancel", HOMES)


class TestTicket(unittest.TestCase):
    def test_comes_back_as_it_was(self):
        self.assertEqual(decode_ticket(encode_ticket(TICKET)), TICKET)

    def test_order_does_not_depend_on_the_listing(self):
        turned = Ticket("gym", "hold-and-cancel", HOMES[::-1])
        self.assertEqual(TICKET.rank("k1"), turned.rank("k1"))

    def test_keys_spread_over_the_homes(self):
        first = collections.Counter(TICKET.rank(f"k{n}")[0].home for n in range(3_000))
        self.assertTrue(all(900 < count < 1_100 for count in first.values()), first)

    def test_damaged_ticket_is_refused(self):
        text = encode_ticket(TICKET)
        bad = (
            "",
            "x",
            text[:-4],
            text[:20] + text[21:],
            "\xe9" * 40,
            "a" * 9_000,
        )
        for one in bad:
            with self.subTest(one[:30]), self.assertRaises(RequestError) as seen:
                decode_ticket(one)
            self.assertIs(seen.exception.result, Code.BAD_TICKET)

    def test_ticket_of_another_team_is_refused(self):
        with self.assertRaises(RequestError):
            check_ticket(TICKET, "rival", "hold-and-cancel")
