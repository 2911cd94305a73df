import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_placement.checks import Step, check_request
from fuchsiahatch_placement.records import decode_document
from tests.placement.samples import record_v2, value_of

BOOKING = Offer("booking-assistant", "2")
HOLD = Offer("hold-and-cancel", "1")
SNAPSHOT = decode_document(value_of(5, record_v2(), {"schema": 3, "team": "gym-x"}))


def check(revision=5, team="gym-bangsar", zone="kl-b", offer=BOOKING):
    ruling = check_request(SNAPSHOT, revision, team, zone, offer)
    return ruling.step, ruling.code


class TestCheckRequest(unittest.TestCase):
    def test_allowed_place_runs(self):
        self.assertEqual(check(), (Step.RUN, Code.OK))

    def test_stale_entry_is_refused_though_the_place_is_allowed(self):
        """A paused entry wakes and sends work that it had decided on before.

        Its revision may allow what the newest forbids; the agent has the newest
        from another entry and refuses, whatever its own record says.
        """
        self.assertEqual(check(revision=4), (Step.REFUSE, Code.STALE_REVISION))

    def test_agent_behind_learns_first(self):
        self.assertEqual(check(revision=6), (Step.LEARN, Code.STALE_REVISION))

    def test_place_is_checked_again(self):
        """A faulty entry sends a team's work to a zone that isn't the team's."""
        refused = (Step.REFUSE, Code.NO_ALLOWED_PLACE)
        self.assertEqual(check(zone="cj-c"), refused)
        self.assertEqual(check(offer=HOLD), refused)
        self.assertEqual(check(zone="kl-a", offer=HOLD), (Step.RUN, Code.OK))

    def test_unknown_and_closed_teams(self):
        self.assertEqual(check(team="gym-y"), (Step.REFUSE, Code.UNKNOWN_TEAM))
        self.assertEqual(check(team="gym-x"), (Step.REFUSE, Code.TEAM_CLOSED))
