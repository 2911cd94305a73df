import unittest

from fuchsiahatch_bench import overload


class TestOverload(unittest.TestCase):
    def test_nobody_is_refused_while_places_are_free(self):
        figures = overload.measure(8, 0.5, 2.0)
        self.assertEqual(figures["served"], 1.0)

    def test_quiet_teams_fare_no_worse_than_a_flooding_one(self):
        # A small gym's members get no answers while one chain sends half of all
        # requests: places went to whoever asked most.
        figures = overload.measure(8, 2.0, 4.0)
        self.assertGreater(figures["worst_team"], figures["flooding_team"])

    def test_as_many_are_served_as_the_upstreams_can_do(self):
        figures = overload.measure(8, 2.0, 4.0)
        self.assertGreater(figures["served"], 0.45)

    def test_runs_repeat(self):
        first, second = (overload.measure(4, 1.5, 1.0) for _ in range(2))
        for key in ("asked", "served", "credit", "worst_team"):
            self.assertEqual(first[key], second[key])
