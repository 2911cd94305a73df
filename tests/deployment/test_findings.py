import unittest

from tests.deployment.disturbances import Mishap
from tests.deployment.findings import Examiner
from tests.deployment.layout import read_layout
from tests.processes.stop_series import Stop

ENTRY = "127.0.20.11"


def make_sending(**changes):
    sending = {
        "request": "q-1",
        "kind": "note",
        "target": "/note/24/60",
        "entry": ENTRY,
        "sent_s": 99.0,
        "ended_s": 101.0,
        "until_s": 107.0,
        "status": 200,
        "events": 9,
        "bytes": 400,
        "whole": False,
        "ending": "reset",
        "ended_by": "entry",
    }
    return {**sending, **changes}


def make_run(ending="left"):
    return {"request": "q-1", "ending": ending, "ended_s": 101.0}


def examine(sending, runs, stopped_s=100.0, mishaps=()):
    stops = [Stop(ENTRY, "stop", stopped_s)]
    layout = read_layout("six_entries")
    return Examiner(layout, runs, stops, list(mishaps)).examine([sending])


class TestCuts(unittest.TestCase):
    def test_a_cut_around_a_stop_counts(self):
        for ending in ("left", "whole"):
            with self.subTest(ending):
                (found,) = examine(make_sending(), [make_run(ending)])
                self.assertTrue(found.planned)

    def test_a_cut_away_from_stops_is_told_and_does_not_count(self):
        for stopped_s in (91.9, 101.1):
            with self.subTest(stopped_s):
                (found,) = examine(make_sending(), [make_run()], stopped_s)
                self.assertEqual((found.planned, found.excuse), (False, ""))

    def test_a_kill_excuses_a_cut(self):
        kill = Mishap("kill", ENTRY, 100.5, 101.5)
        (found,) = examine(make_sending(), [make_run()], mishaps=[kill])
        self.assertFalse(found.planned)
        self.assertIn("kill", found.excuse)

    def test_the_time_limit_excuses_a_cut(self):
        sending = make_sending(until_s=101.05)
        (found,) = examine(sending, [make_run()])
        self.assertFalse(found.planned)
        self.assertIn("time limit", found.excuse)

    def test_a_caller_that_leaves_is_no_cut(self):
        sending = make_sending(ending="left", ended_by="caller")
        self.assertEqual(examine(sending, [make_run()]), [])


class TestPromises(unittest.TestCase):
    def test_a_success_that_lacks_an_event_counts(self):
        sending = make_sending(whole=True, ending="whole", events=23)
        (found,) = examine(sending, [make_run("whole")])
        self.assertIn("looks whole", found.fault)

    def test_a_success_without_a_run_counts(self):
        sending = make_sending(whole=True, ending="whole", events=24)
        (found,) = examine(sending, [])
        self.assertIn("no run", found.fault)

    def test_a_request_that_is_not_repeatable_and_ran_twice_counts(self):
        sending = make_sending(kind="transfer", target="/transfer/400/15")
        (found,) = examine(sending, [make_run(), make_run()])
        self.assertIn("ran 2 times", found.fault)

    def test_a_refusal_of_what_ran_counts(self):
        sending = make_sending(kind="transfer", status=503, whole=True, ending="whole")
        (found,) = examine(sending, [make_run()])
        self.assertIn("is said not to have run", found.fault)
