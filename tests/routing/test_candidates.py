import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_placement.records import Place, Placement, Snapshot
from fuchsiahatch_routing.candidates import Target, Upstream, find_candidates

OFFER = Offer("booking-assistant", "2")
PLACES = {"kl-a": Place("kl-a", frozenset([OFFER]), 50.0)}
SNAPSHOT = Snapshot(1, {"gym-bangsar": Placement("gym-bangsar", PLACES)})
TARGET = Target("booking-assistant")


def upstream(host, zone="kl-a", offer=OFFER, live=True, leaving=False):
    home = Home(host, "1")
    return Upstream(home, zone, "127.0.0.1:1", frozenset([offer]), live, leaving)


class TestFindCandidates(unittest.TestCase):
    def test_only_allowed_places_and_versions(self):
        upstreams = [
            upstream("good"),
            upstream("forbidden-zone", zone="cj-c"),
            upstream("forbidden-version", offer=Offer("booking-assistant", "3")),
            upstream("gone", live=False),
            upstream("leaving", leaving=True),
        ]
        candidates = find_candidates(SNAPSHOT, upstreams, "gym-bangsar", TARGET)
        self.assertEqual([one.upstream.home.host for one in candidates], ["good"])

    def test_unknown_team(self):
        with self.assertRaises(RequestError) as seen:
            find_candidates(SNAPSHOT, [], "nobody", TARGET)
        self.assertIs(seen.exception.result, Code.UNKNOWN_TEAM)

    def test_unknown_target(self):
        with self.assertRaises(RequestError) as seen:
            find_candidates(SNAPSHOT, [], "gym-bangsar", Target("poet"))
        self.assertIs(seen.exception.result, Code.UNKNOWN_TARGET)

    def test_no_live_upstream_gives_a_retry_delay(self):
        unreachable = [upstream("gone", live=False)]
        with self.assertRaises(RefusedError) as seen:
            find_candidates(SNAPSHOT, unreachable, "gym-bangsar", TARGET)
        self.assertIs(seen.exception.result, Code.NO_LIVE_UPSTREAM)
        self.assertIsNotNone(seen.exception.retry_after_ms)
