import unittest
from unittest import mock

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import plan_readiness
from fuchsiahatch_gateway.plan_readiness import Lack, PlanReadiness


class TestPlanReadiness(unittest.TestCase):
    """A leader that plans nothing for good says so, and for want of what.

    On call, a group that stays on its first map looked like one whose map pays: its
    leader wrote no line for the rest of the day.
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

    def test_what_lasts_is_told_at_a_bounded_rate(self):
        lacks = [(now_ms, Lack.ENGINE) for now_ms in range(0, 5_001, 20)]
        told = [
            (Event.PLANS_LACK, "figures of the engines", lacking_ms)
            for lacking_ms in (1_000, 3_000, 5_000)
        ]
        self.assertEqual(self.note(lacks), told)

    def test_a_change_under_way_is_no_lack(self):
        lacks = [
            (now_ms, Lack.SETTLED_MAP if now_ms % 1_000 else None)
            for now_ms in range(0, 5_000, 100)
        ]
        self.assertEqual(self.note(lacks), [])
