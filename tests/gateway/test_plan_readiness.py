import unittest
from unittest import mock

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import plan_readiness
from fuchsiahatch_gateway.plan_readiness import Lack, PlanReadiness


class TestPlanReadiness(unittest.TestCase):
    """A leader that can plan nothing logs so, and what it lacks.

    Otherwise a group that stays on its first map looks to operators like one whose map
    needs no change: its leader logs nothing for the rest of the day.
    """

    def note(self, lacks):
        readiness = PlanReadiness("g")
        with mock.patch.object(plan_readiness, "log_event") as log:
            for now_ms, lack in lacks:
                readiness.note(lack, now_ms)
        return [
            (call.args[0], call.kwargs["lack"], call.kwargs["lacking_ms"])
            for call in log.call_args_list
        ]

    def test_a_lasting_lack_is_logged_at_a_bounded_rate(self):
        lacks = [(now_ms, Lack.ENGINE) for now_ms in range(0, 5_001, 20)]
        logged = [
            (Event.PLANS_LACK, "figures of the engines", lacking_ms)
            for lacking_ms in (1_000, 3_000, 5_000)
        ]
        self.assertEqual(self.note(lacks), logged)

    def test_a_change_in_progress_is_not_logged(self):
        lacks = [
            (now_ms, Lack.SETTLED_MAP if now_ms % 1_000 else None)
            for now_ms in range(0, 5_000, 100)
        ]
        self.assertEqual(self.note(lacks), [])
