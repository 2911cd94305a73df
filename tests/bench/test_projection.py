import unittest

from fuchsiahatch_bench.projection import Line, Row, grid, shown, table, total


def row(value, budget=None, unit="B/s"):
    return Row("reports", value, unit, budget, "slope")


class TestLine(unittest.TestCase):
    def test_projection_is_intercept_plus_slope(self):
        self.assertEqual(Line(slope=3.0, intercept=10.0).at(5_600), 16_810.0)


class TestVerdict(unittest.TestCase):
    def test_budget_is_met_up_to_its_edge(self):
        self.assertEqual(row(3_000.0, 3_000.0).verdict, "met")

    def test_over_budget_is_said_plainly(self):
        self.assertEqual(row(3_000.1, 3_000.0).verdict, "**not met**")

    def test_no_budget_no_verdict(self):
        self.assertEqual(row(1.0).verdict, "")


class TestTotal(unittest.TestCase):
    def test_sum_against_the_budget(self):
        found = total("all", [row(2_000.0), row(1_500.0)], 3_000.0)
        self.assertEqual((found.value, found.verdict), (3_500.0, "**not met**"))

    def test_units_are_not_mixed(self):
        with self.assertRaises(ValueError):
            total("all", [row(1.0), row(1.0, unit="ms/s")], None)


class TestShown(unittest.TestCase):
    def test_bytes_get_a_prefix(self):
        found = [shown(one, "B/s") for one in (28.3, 3_000, 1.65e6)]
        self.assertEqual(found, ["28.3 B/s", "3 kB/s", "1.65 MB/s"])

    def test_other_units_stay(self):
        self.assertEqual(shown(0.14231, "ms"), "0.142 ms")
        self.assertEqual(shown(85_100, ""), "85,100")


class TestTables(unittest.TestCase):
    def test_row_of_a_table(self):
        line = table([row(4_000.0, 3_000.0)]).splitlines()[-1]
        self.assertEqual(line, "| reports | 4 kB/s | 3 kB/s | **not met** | slope |")

    def test_grid_has_its_rule(self):
        self.assertEqual(
            grid(("a", "b"), [("1", "2")]).splitlines()[1], "| --- | --- |"
        )
