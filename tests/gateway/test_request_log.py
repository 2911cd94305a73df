import random
import types
import unittest
from unittest import mock

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway import request_log
from fuchsiahatch_gateway.attempt_types import Outcome
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_gateway.request_log import RequestLog
from fuchsiahatch_http1.answers import Head

HEAD = Head(200, ())


class TestRetryLine(unittest.TestCase):
    def test_it_has_the_retry_after_values_of_the_rejection(self):
        head = Head(503, ((b"retry-after", b"3"), (b"retry-after", b"0.5")))
        upstream = mock.MagicMock()
        job = mock.MagicMock(ends_ms=0)
        log = RequestLog(
            types.SimpleNamespace(), ManualClock(), random.Random(1), lambda name: {}
        )
        with mock.patch.object(request_log, "log_event") as write:
            log.note_retry(job, upstream, Outcome(Result.NOT_RUN, "status 503", head))
            log.note_retry(job, upstream, Outcome(Result.BROKEN, "reset"))
        lines = [call.kwargs["retry_after"] for call in write.call_args_list]
        self.assertEqual(lines, [["3", "0.5"], []])


class TestPlainSuccesses(unittest.TestCase):
    def lines_of(self, ends, stopping):
        log = RequestLog(
            mock.MagicMock(), ManualClock(), random.Random(1), lambda name: {}
        )
        if stopping:
            log.begin_stop()
        job = mock.MagicMock(tried=["i-0"], ending=None, bounds=[])
        job.is_on_time.return_value = True
        with mock.patch.object(request_log, "log_event") as write:
            for _ in range(ends):
                log.note_end(job, "answered", Outcome(Result.ANSWERED, head=HEAD))
        return write.call_count

    def test_a_sample_of_them_is_logged(self):
        self.assertLess(self.lines_of(200, stopping=False), 40)

    def test_each_one_of_a_stop_is_logged_up_to_a_bound(self):
        self.assertEqual(self.lines_of(200, stopping=True), 200)
        self.assertLess(self.lines_of(2_000, stopping=True), 500)
