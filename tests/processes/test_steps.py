import signal
import unittest

from tests.processes.fleet import wait_until
from tests.processes.groups import Group


class GroupCase(unittest.TestCase):
    fences = True

    def setUp(self):
        self.group = Group(fences=self.fences)
        self.addCleanup(self.group.stop)
        self.group.start()

    def change_leader(self, act):
        """Act on the leader and return it once another rank leads."""
        leader = self.group.leader()
        act(f"rank-{leader}")
        wait_until(lambda: self.group.leader() != leader, "another leader")
        return leader

    def check_counts(self):
        self.assertEqual(self.group.counts()["violations"], 0)


class TestLeader(GroupCase):
    def test_it_is_killed_and_its_agent_comes_back(self):
        """Steps stop for good after a leader's process dies.

        The leader gets SIGKILL in the middle of its work. Steps go on to the
        granted end; another agent takes the term, and once the dead agent is
        started again windows are granted to all.
        """
        leader = self.change_leader(self.group.kill)
        self.group.want_map(2)
        self.group.start_agent(leader)
        self.group.wait_for_steps(200)
        wait_until(lambda: 2 in self.group.counts()["maps_used"], "map 2")
        self.check_counts()

    def test_it_is_paused_and_wakes_after_its_successor(self):
        """Two ranks give wrong answers after a leader's host was overloaded.

        The leader gets SIGSTOP, its successor takes the term and wants another
        map, then the first one gets SIGCONT and goes on with what it held.
        """
        leader = self.change_leader(
            lambda name: self.group.signal(name, signal.SIGSTOP)
        )
        self.group.want_map(2)
        self.group.signal(f"rank-{leader}", signal.SIGCONT)
        self.group.wait_for_steps(200)
        wait_until(lambda: self.group.events(leader, "term_lost"), "stepping down")
        wait_until(lambda: 2 in self.group.counts()["maps_used"], "map 2")
        self.check_counts()


class TestRankAgent(GroupCase):
    def test_it_restarts_while_maps_change(self):
        """One rank runs another map than the rest after its agent restarted.

        The agent of a rank that does not lead is killed and started again
        three times, with a new map wanted each time.
        """
        rank = next(one for one in self.group.group if one != self.group.leader())
        for version in (2, 3, 4):
            self.group.want_map(version)
            self.group.kill(f"rank-{rank}")
            self.group.start_agent(rank)
            self.group.wait_for_steps(150)
        self.check_counts()

    def test_its_host_is_replaced(self):
        """A group stands still for good after one host is replaced.

        A new engine and a new agent come up; all engines start a new epoch.
        """
        self.group.kill("rank-2")
        self.group.replace_engine(2)
        self.group.start_agent(2)
        self.group.wait_for_steps(150)
        self.assertGreaterEqual(self.group.read("term")["epoch"], 2)
        self.check_counts()


class TestEnginesThatIgnoreFencing(GroupCase):
    fences = False

    def test_killed_and_paused_leaders(self):
        """As above, with engines that carry out any order."""
        self.group.want_map(2)
        leader = self.change_leader(self.group.kill)
        self.group.start_agent(leader)
        self.group.wait_for_steps(150)
        self.group.want_map(3)
        leader = self.change_leader(
            lambda name: self.group.signal(name, signal.SIGSTOP)
        )
        self.group.signal(f"rank-{leader}", signal.SIGCONT)
        self.group.wait_for_steps(150)
        self.check_counts()


class TestService(GroupCase):
    def test_it_is_down_and_the_leader_is_lost(self):
        """Answers stop a little after a leader is lost in an outage.

        Steps go on to the granted end and each rank that has reached its own end says
        so; a leader lost between two ranks leaves one of them with a window more.
        They go on when the service is back, with nothing kept of the group's record.
        """
        leader = self.group.leader()
        self.group.kill("key-value")
        self.group.wait_for_steps(100)
        self.group.kill(f"rank-{leader}")
        others = [one for one in self.group.group if one != leader]
        wait_until(lambda: self.stands_starved(others), "NO_GRANT")
        self.group.start_service()
        self.group.start_agent(leader)
        self.group.wait_for_steps(100)
        self.check_counts()

    def stands_starved(self, ranks):
        """Return whether a rank said that the step they stand at isn't granted."""
        step = self.group.counts()["steps"]
        rows = [row for one in ranks for row in self.group.events(one, "steps_starved")]
        return any(row["step"] == step for row in rows)


class TestStraggler(GroupCase):
    def test_it_is_named_by_the_leader(self):
        """A whole group is slow and routing takes load from healthy ranks."""
        self.group.slow_down(1, compute_ms=20.0)

        def named():
            events = self.group.events(self.group.leader(), "stragglers_changed")
            return events and events[-1]["hosts"] == ["rank-1"]

        wait_until(named, "the straggler's name")
