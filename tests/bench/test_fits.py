import unittest

from fuchsiahatch_bench.fits import fit_line


class TestFitLine(unittest.TestCase):
    def test_points_on_a_line(self):
        line = fit_line([(0, 5), (10, 25), (20, 45)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 5)
        self.assertAlmostEqual(line.at(100), 205)
        self.assertAlmostEqual(line.residual, 0)

    def test_residual_is_the_largest_distance(self):
        line = fit_line([(0, 0), (1, 3), (2, 0)])
        self.assertAlmostEqual(line.slope, 0)
        self.assertAlmostEqual(line.residual, 2)

    def test_one_x_is_no_line(self):
        with self.assertRaises(ValueError):
            fit_line([(1, 1), (1, 2)])
