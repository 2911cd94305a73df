import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import sorted_order


class First(unittest.TestCase):
    def test_a(self):
        pass

    def test_b(self):
        pass


class Second(unittest.TestCase):
    def test_c(self):
        pass


class TestSortedOrder(unittest.TestCase):
    def test_the_order_does_not_depend_on_how_folders_are_listed(self):
        a, b, c = First("test_a"), First("test_b"), Second("test_c")
        inner = unittest.TestSuite([b, a])
        orders = [
            list(sorted_order.sort_suite(unittest.TestSuite(tests)))
            for tests in ([c, inner], [inner, c], [a, c, b])
        ]
        self.assertEqual(orders, 3 * [[a, b, c]])
