import json
import pathlib
import unittest

from fuchsiahatch_bench.experts import SCENARIOS, TUNED
from fuchsiahatch_experts.policies import GERAK_BERSAMA_TUNING, GERALDTON_TUNING, Tuning

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEFAULTS = {"Gerak Bersama": GERAK_BERSAMA_TUNING, "Geraldton": GERALDTON_TUNING}


class TestDefaults(unittest.TestCase):
    def test_are_those_that_tuning_chose(self):
        tuned = json.loads((ROOT / TUNED).read_text("utf-8"))["tuned"]
        for scenario in SCENARIOS:
            chosen = Tuning(**tuned[scenario.name]["payback, forecast"])
            default = DEFAULTS[scenario.deployment][scenario.size.ranks]
            self.assertEqual(chosen, default)
