import random
import unittest

from tests.deployment.caller_manners import (
    CALLER_SHARES,
    MANNERS,
    REQUEST_SHARES,
    Manners,
    draw_caller,
    draw_request,
)

DRAWS = 300


def draw_all(without=()):
    rng = random.Random(1)
    callers = [draw_caller(rng, without) for _ in range(DRAWS)]
    return [draw_request(rng, caller, without) for caller in callers]


class TestManners(unittest.TestCase):
    def test_each_manner_is_drawn(self):
        drawn = " ".join(map(str, draw_all())).split()
        self.assertLessEqual(set(MANNERS), set(drawn))

    def test_a_manner_that_is_switched_off_changes_no_other(self):
        for manner in (*CALLER_SHARES, *REQUEST_SHARES):
            with self.subTest(manner):
                usual = [one.names - {manner} for one in draw_all()]
                self.assertEqual([one.names for one in draw_all([manner])], usual)

    def test_without_all_a_caller_does_as_most(self):
        self.assertEqual(set(draw_all(MANNERS)), {Manners()})
