import unittest

from fuchsiahatch_routing.reserved_room import admitted_share


class TestAdmittedShare(unittest.TestCase):
    def test_more_urgent_classes_have_more_of_the_room(self):
        shares = [admitted_share((0, 1, 2, 3), urgency) for urgency in (0, 1, 2, 3)]
        self.assertEqual(shares, [1.0, 0.92, 0.85, 0.85])

    def test_the_most_urgent_class_of_a_service_has_all_of_it(self):
        # Priorities are compared within a service: the most urgent class of one without
        # a route of priority 0 would otherwise lose room that nobody uses.
        self.assertEqual(admitted_share((2, 5), 2), 1.0)
        self.assertEqual(admitted_share((2, 5), 5), 0.92)

    def test_nothing_is_reserved_where_all_priorities_are_the_same(self):
        for urgencies in ((), (0,), (4,)):
            self.assertEqual(admitted_share(urgencies, 4), 1.0)

    def test_a_priority_that_only_a_team_states_lies_between_those_of_the_routes(self):
        self.assertEqual(admitted_share((1, 3), 0), 1.0)
        self.assertEqual(admitted_share((1, 3), 2), 0.92)
        self.assertEqual(admitted_share((1, 3), 9), 0.85)


if __name__ == "__main__":
    unittest.main()
