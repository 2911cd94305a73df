import pathlib
import re
import unittest

from fuchsiahatch_standins import failed_requests
from fuchsiahatch_standins.failed_requests import CUT, REFUSED, TIMED_OUT
from tests.loopback import run

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"
#: What differs from run to run.
_VARIES = re.compile(
    r"-?\d+ ms|(pid|took_ms|waited_ms|first_event_ms|longest_gap_ms|age_ms"
    r"|answer_bytes|unacknowledged_bytes)=\w+"
)


def without_figures(text):
    return _VARIES.sub("#", " ".join(text.split()))


class TestFailedRequests(unittest.TestCase):
    def test_the_log_leads_from_each_id_to_its_cause(self):
        # A member complains, and the engineer on call has a request's id and the logs.
        found = run(failed_requests.collect_explanations())
        refused, timed_out, cut = (found[one] for one in (REFUSED, TIMED_OUT, CUT))
        self.assertIn("began to leave: upstream=i-hold", "\n".join(refused))
        self.assertIn("tried=[] end=503 no place came free", refused[-1])
        self.assertIn("tried=['i-notice'] end=504 the time is over", timed_out[-1])
        self.assertIn("tried=['i-chat'] end=502 no whole answer", cut[-2])
        self.assertIn("request cut: request=cut-1 reason=reset", cut[-1])
        page = without_figures(PAGE.read_text("utf-8"))
        for shown in (refused[-1], timed_out[-1], *cut[-2:]):
            self.assertIn(without_figures(shown), page)
