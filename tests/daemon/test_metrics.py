import asyncio
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_daemon.metrics import OTHER_TEAMS, TEAM_IDLE_MS, Metrics
from fuchsiahatch_wire.attempts_pb2 import Frame


class MetricsCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics(self.clock, max_teams=2)

    def shown(self):
        content, _ = self.metrics.render([])
        return content.decode().splitlines()

    def teams(self):
        lines = (line for line in self.shown() if "latency_ms_count" in line)
        return {line.split('team="')[1].split('"')[0] for line in lines}


class TestRequestWatch(MetricsCase):
    def test_times_are_measured(self):
        sent = []
        with self.metrics.watch("gym") as watch:
            send = watch.around(sent.append)
            self.clock.advance(30)
            for step_ms in (0, 40, 4):
                self.clock.advance(step_ms)
                send(Frame(chunk=b"token"))
        self.assertEqual(len(sent), 3)
        shown = self.shown()
        self.assertIn('fuchsiahatch_first_token_ms_sum{team="gym"} 30.0', shown)
        self.assertIn('fuchsiahatch_between_tokens_ms_sum{team="gym"} 44.0', shown)
        self.assertIn('fuchsiahatch_request_latency_ms_sum{team="gym"} 74.0', shown)
        self.assertIn('fuchsiahatch_results_total{code="OK"} 1', shown)
        self.assertIn("fuchsiahatch_in_flight 0", shown)

    def test_faults_are_counted_by_code(self):
        faults = [
            RefusedError("full", Code.OVERLOADED),
            asyncio.CancelledError(),
            ValueError(),
        ]
        for fault in faults:
            with self.assertRaises(type(fault)), self.metrics.watch("gym"):
                raise fault
        for code in ("OVERLOADED", "CANCELLED", "INTERNAL"):
            line = f'fuchsiahatch_results_total{{code="{code}"}} 1'
            self.assertIn(line, self.shown())


class TestCardinality(MetricsCase):
    def test_teams_beyond_the_cap_share_one_label(self):
        """The scraper gives up on an entry that has seen all 3,600 teams."""
        for number in range(100):
            with self.metrics.watch(f"team-{number}"):
                pass
        self.assertEqual(self.teams(), {"team-0", "team-1", OTHER_TEAMS})

    def test_idle_team_gives_its_label_up(self):
        for team in ("old", "kept", "late"):
            self.metrics.note_wait(team, 1)
        self.clock.advance(TEAM_IDLE_MS)
        self.metrics.note_wait("kept", 1)
        self.metrics.note_wait("new", 1)
        self.assertEqual(self.teams(), {"kept", "new", OTHER_TEAMS})

    def test_made_up_names_have_no_label(self):
        """One caller with random team names takes every real team's label away."""
        for name in ('x"} 1\nforged 2', "UPPER", ""):
            self.metrics.note_wait(name, 1)
        self.assertEqual(self.teams(), {OTHER_TEAMS})
        self.metrics.knows_team = {"gym"}.__contains__
        self.metrics.note_wait("stranger", 1)
        self.metrics.note_wait("gym", 1)
        self.assertEqual(self.teams(), {OTHER_TEAMS, "gym"})
