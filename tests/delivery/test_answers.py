import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError
from fuchsiahatch_delivery.answers import AnswerMeter


def meter_of(*pieces):
    meter = AnswerMeter()
    for piece in pieces:
        meter.add(piece)
    return meter


class TestAnswerMeter(unittest.TestCase):
    def test_whole_answer_passes_however_it_was_cut(self):
        sent = meter_of(b"the front ", b"sits north")
        meter_of(b"the ", b"front sits north").check(sent.length_bytes, sent.digest())

    def test_lost_piece_is_seen(self):
        """Guards against a truncated answer that looks complete.

        The stream is cut after half of its pieces, then closed cleanly. Only length
        and digest show the caller that the rest is missing.
        """
        sent = meter_of(b"the front ", b"sits north")
        with self.assertRaises(AttemptError) as seen:
            meter_of(b"the front ").check(sent.length_bytes, sent.digest())
        self.assertIs(seen.exception.result, Code.TRUNCATED)

    def test_pieces_out_of_order_are_seen(self):
        sent = meter_of(b"ab", b"cd")
        with self.assertRaises(AttemptError):
            meter_of(b"cd", b"ab").check(sent.length_bytes, sent.digest())
