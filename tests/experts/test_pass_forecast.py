import unittest

from fuchsiahatch_experts.pass_forecast import PASS_LAG_MS, PassForecast


class TestPassForecast(unittest.TestCase):
    def test_a_shift_of_demand_is_predicted_before_it_is_measured(self):
        # The map isn't changed until the mean pass time has risen, and streams are
        # slow for half a second after each shift of demand.
        forecast = PassForecast(0.85)
        self.assertEqual(forecast.predict_ms(40.0, 1.2, 0), 40.0)
        self.assertEqual(forecast.predict_ms(40.0, 1.2, 100), 40.0)
        self.assertAlmostEqual(forecast.predict_ms(40.0, 2.4, 150), 74.0)

    def test_a_measurement_under_the_same_skew_is_kept(self):
        forecast = PassForecast(0.85)
        forecast.predict_ms(40.0, 1.2, 0)
        forecast.predict_ms(40.0, 2.4, 100)
        later_ms = 100 + PASS_LAG_MS
        self.assertAlmostEqual(forecast.predict_ms(70.0, 2.4, later_ms), 70.0)

    def test_a_fall_of_the_skew_predicts_no_shorter_passes(self):
        forecast = PassForecast(0.85)
        forecast.predict_ms(60.0, 2.4, 0)
        self.assertEqual(forecast.predict_ms(60.0, 1.2, 50), 60.0)
