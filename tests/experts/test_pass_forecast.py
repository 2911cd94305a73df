import unittest

from fuchsiahatch_experts.pass_forecast import PASS_LAG_MS, PassForecast


class TestPassForecast(unittest.TestCase):
    def test_a_shift_of_demand_shows_before_passes_are_measured(self):
        # Answers stumble for half a second after each shift of demand: the map was
        # left alone until the mean of the passes' times had risen.
        forecast = PassForecast(0.85)
        self.assertEqual(forecast.expect_ms(40.0, 1.2, 0), 40.0)
        self.assertEqual(forecast.expect_ms(40.0, 1.2, 100), 40.0)
        self.assertAlmostEqual(forecast.expect_ms(40.0, 2.4, 150), 74.0)

    def test_what_was_measured_under_the_same_skew_stands(self):
        forecast = PassForecast(0.85)
        forecast.expect_ms(40.0, 1.2, 0)
        forecast.expect_ms(40.0, 2.4, 100)
        later_ms = 100 + PASS_LAG_MS
        self.assertAlmostEqual(forecast.expect_ms(70.0, 2.4, later_ms), 70.0)

    def test_a_fall_of_the_skew_promises_nothing(self):
        forecast = PassForecast(0.85)
        forecast.expect_ms(60.0, 2.4, 0)
        self.assertEqual(forecast.expect_ms(60.0, 1.2, 50), 60.0)
