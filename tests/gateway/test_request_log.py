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
