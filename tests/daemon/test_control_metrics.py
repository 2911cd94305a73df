import types
import unittest

import aioprometheus

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_daemon.control_metrics import ControlMetrics
from fuchsiahatch_placement.records import Snapshot
from fuchsiahatch_platform.budget import CallBudget


class TestControlMetrics(unittest.TestCase):
    def test_each_call_and_each_waiting_watch_is_exported(self):
        registry = aioprometheus.Registry()
        configuration = types.SimpleNamespace(snapshot=Snapshot(7, {}), fresh=True)
        budget = CallBudget(ManualClock())
        metrics = ControlMetrics(registry, configuration, budget)
        budget.spend("confirm")
        budget.spend("confirm")
        with budget.waiting_watch():
            metrics.refresh()
            metrics.refresh()
        text = aioprometheus.render(registry, [])[0].decode()
        found = [line for line in text.splitlines() if not line.startswith("#")]
        self.assertEqual(
            sorted(filter(None, found)),
            [
                "fuchsiahatch_fresh 1",
                "fuchsiahatch_revision 7",
                "fuchsiahatch_service_calls_refused_total 0",
                'fuchsiahatch_service_calls_total{kind="confirm"} 2',
                'fuchsiahatch_service_calls_total{kind="watch"} 1',
                "fuchsiahatch_service_watches_waiting 1",
            ],
        )
