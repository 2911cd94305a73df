import unittest

from fuchsiahatch_routing.reserved_room import LAST_CLASS_SHARE, admitted_share


class TestAdmittedShare(unittest.TestCase):
    def test_more_urgent_classes_have_more_of_the_room(self):
        shares = [admitted_share(4, priority_class) for priority_class in range(4)]
        for share, expected in zip(shares, (1.0, 0.95, 0.9, 0.85), strict=True):
            self.assertAlmostEqual(share, expected)

    def test_the_most_urgent_class_has_all_of_it_and_the_least_urgent_the_reserve(self):
        for classes in (2, 3, 6, 40):
            shares = [admitted_share(classes, rank) for rank in range(classes)]
            self.assertEqual(shares[0], 1.0)
            self.assertAlmostEqual(shares[-1], LAST_CLASS_SHARE)
            self.assertEqual(shares, sorted(shares, reverse=True))

    def test_nothing_is_reserved_where_all_priorities_are_the_same(self):
        for priority_class in (0, 4):
            self.assertEqual(admitted_share(1, priority_class), 1.0)

    def test_a_class_beyond_the_last_has_the_share_of_the_last(self):
        # A request that waits as the configuration changes keeps its class.
        self.assertAlmostEqual(admitted_share(3, 7), LAST_CLASS_SHARE)


if __name__ == "__main__":
    unittest.main()
