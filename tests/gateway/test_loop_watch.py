import unittest
from unittest import mock

import aioprometheus

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import loop_watch
from fuchsiahatch_gateway.loop_watch import LATE_MS, LINE_PAUSE_MS, LoopWatch


class TestLoopWatch(unittest.TestCase):
    def note(self, *lates_ms, step_ms=100):
        """Return the lines about latenesses that come one after another."""
        watch = LoopWatch(aioprometheus.Registry(), ManualClock())
        with mock.patch.object(loop_watch, "log_event") as log_event:
            for at, late_ms in enumerate(lates_ms, 1):
                watch.note(late_ms, at * step_ms)
        return [(call.args[0], call.kwargs) for call in log_event.call_args_list]

    def test_a_loop_in_time_has_no_line(self):
        self.assertEqual(self.note(*[LATE_MS - 1] * 50), [])

    def test_a_late_loop_has_one_line_a_second(self):
        # A leader loses its lease to its own work, and no line says that it was late.
        lines = self.note(*[LATE_MS, 400, 0] * 20)
        self.assertEqual(len(lines), 60 * 100 // LINE_PAUSE_MS)
        self.assertEqual({event for event, _ in lines}, {Event.LOOP_LATE})
        self.assertEqual(max(fields["most_ms"] for _, fields in lines), 400)
        self.assertLessEqual(sum(fields["times"] for _, fields in lines), 40)


if __name__ == "__main__":
    unittest.main()
