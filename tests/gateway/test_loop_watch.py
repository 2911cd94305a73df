import unittest
from unittest import mock

import aioprometheus

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import loop_watch
from fuchsiahatch_gateway.loop_watch import (
    LOGGED_DELAY_MS,
    MIN_LOG_INTERVAL_MS,
    LoopWatch,
)


class TestLoopWatch(unittest.TestCase):
    def note(self, *delays_ms, step_ms=100):
        """Return the log lines about a sequence of delays."""
        watch = LoopWatch(aioprometheus.Registry(), ManualClock())
        with mock.patch.object(loop_watch, "log_event") as log_event:
            for number, delay_ms in enumerate(delays_ms, 1):
                watch.note(delay_ms, number * step_ms)
        return [(call.args[0], call.kwargs) for call in log_event.call_args_list]

    def test_a_punctual_loop_logs_nothing(self):
        self.assertEqual(self.note(*[LOGGED_DELAY_MS - 1] * 50), [])

    def test_a_late_loop_logs_one_line_a_second(self):
        # Guards against silent delays: a leader lost its lease because its own work
        # blocked the event loop, and no log line showed that the loop was late.
        lines = self.note(*[LOGGED_DELAY_MS, 400, 0] * 20)
        self.assertEqual(len(lines), 60 * 100 // MIN_LOG_INTERVAL_MS)
        self.assertEqual({event for event, _ in lines}, {Event.LOOP_LATE})
        self.assertEqual(max(fields["most_ms"] for _, fields in lines), 400)
        self.assertLessEqual(sum(fields["times"] for _, fields in lines), 40)


if __name__ == "__main__":
    unittest.main()
