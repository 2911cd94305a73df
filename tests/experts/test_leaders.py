import unittest

from fuchsiahatch_experts.grants import Accepted, Commit, Committed, Propose
from tests.experts.sessions import Session
from tests.golden import check_golden


def is_commit_to(rank):
    return lambda message: (
        isinstance(message, Commit) and message.incarnation.startswith(f"{rank}.")
    )


class SessionCase(unittest.TestCase):
    fences = True

    def setUp(self):
        self.group = Session(fences=self.fences)
        self.group.after(1_000)
        self.group.after(200)
        self.group.run_steps(2)

    def check(self, name):
        self.assertEqual(self.group.violations, 0)
        check_golden(__file__, name, self.group.lines)


class TestPausedLeader(SessionCase):
    def test_it_resumes_after_its_successor(self):
        """Two ranks give wrong answers after a leader's host was overloaded.

        The leader is paused with a window accepted and not committed. Its successor
        grants that window and continues with a new map. Then the first leader resumes
        and sends its outstanding commits.
        """
        group = self.group
        group.is_held_back = lambda message: (
            isinstance(message, Accepted) and message.term == 1
        )
        group.after(200)
        group.paused.add(0)
        group.set_wanted_map(2)
        group.after(1_300)
        group.is_held_back = lambda message: False
        group.after(200)
        group.run_steps(6)
        group.after(200)
        group.paused.clear()
        group.release()
        group.after(200)
        group.run_steps(8)
        self.check("leader_wakes_after_successor")


class TestMessages(SessionCase):
    def test_one_is_lost(self):
        """A group stalls because one message was lost.

        The proposal to rank 1 never arrives. The leader resends it at its next tick,
        and the window is granted once.
        """
        group = self.group
        group.is_held_back = lambda message: (
            isinstance(message, Propose) and message.incarnation == "1.1"
        )
        group.after(200)
        group.held_messages.clear()
        group.is_held_back = lambda message: False
        group.after(200)
        group.run_steps(6)
        self.check("message_lost")

    def test_one_is_late(self):
        """One rank returns to an old map for a few steps.

        The commit of a window to rank 1 is delayed. The leader is lost, and its
        successor grants that window and the next one under a new map. Then the first
        commit arrives.
        """
        group = self.group
        group.is_held_back = is_commit_to(1)
        group.after(200)
        group.paused.add(0)
        group.set_wanted_map(2)
        group.is_held_back = lambda message: False
        group.after(1_300)
        group.run_steps(6)
        group.after(200)
        group.release()
        group.run_steps(8)
        self.check("message_late")

    def test_one_is_duplicated(self):
        """One rank runs a window twice, and the other ranks wait forever.

        Every message of a round arrives twice, the second copies after the
        round is over.
        """
        group = self.group
        group.is_held_back = lambda message: group.held_messages.append(
            copy_of(group, message)
        )
        group.after(200)
        group.release()
        group.run_steps(6)
        group.after(200)
        self.check("message_twice")


class TestRestartedRank(SessionCase):
    def test_its_agent_restarts_in_the_middle_of_a_window(self):
        """One rank runs the new map while the others still run the old one.

        The agent of rank 1 restarts between its acceptance and the commit, while the
        previous window is half run. The agent has lost its state, the engine has not.
        The commit to the agent's earlier incarnation arrives late.
        """
        group = self.group
        group.is_held_back = is_commit_to(1)
        group.after(200)
        group.restart(1)
        group.set_wanted_map(2)
        group.release()
        group.after(200)
        group.run_steps(6)
        group.after(200)
        self.check("rank_restarts_mid_window")


class TestKilledLeader(SessionCase):
    def test_it_is_killed_between_accept_and_commit(self):
        """After a crash two ranks run the same steps under different maps.

        The leader is killed when it has sent half of its commits: rank 0's engine is
        granted the window and runs it, rank 1 has only accepted it. A new map is wanted
        by then, so that a newly planned window would differ.
        """
        group = self.group
        group.is_held_back = is_commit_to(1)
        group.after(200)
        group.held_messages.clear()
        group.is_held_back = lambda message: False
        group.restart(0)
        group.set_wanted_map(2)
        group.after(1_000)
        group.run_steps(10)
        group.after(200)
        self.check("leader_killed_between_accept_and_commit")


class TestLostHost(SessionCase):
    def test_its_replacement_starts_a_new_epoch(self):
        """A group stalls forever after one host is replaced.

        The new engine knows none of the steps, and the other engines are in the middle
        of a window. As no window fits all of them, every engine starts a new epoch, and
        the weights of the map are fetched before it is granted.
        """
        group = self.group
        group.after(200)
        group.replace_host(1)
        group.after(200)
        group.after(200)
        group.after(200)
        group.run_steps(4)
        self.check("host_replaced")

    def test_the_leaders_host_is_lost(self):
        """A group stalls forever after its leader's host is replaced.

        The next leader finds one engine that knows nothing of the epoch.
        """
        group = self.group
        group.after(200)
        group.replace_host(0)
        group.after(1_000)
        group.after(200)
        group.run_steps(4)
        self.check("host_of_leader_replaced")


class TestWeights(SessionCase):
    def test_a_new_map_waits_for_them(self):
        """Every step of a group takes a minute while weights are fetched.

        A new map is wanted whose weights are in place on one rank only. Steps continue
        under the old map until the slow rank has the weights.
        """
        group = self.group
        group.weights_delayed = True
        group.wanted_map = 2
        group.engines[0].weights.add(2)
        group.after(200)
        group.run_steps(4)
        group.weights_delayed = False
        group.after(200)
        group.after(200)
        group.run_steps(4)
        group.after(200)
        group.run_steps(4)
        self.check("new_map_waits_for_weights")

    def test_a_leader_that_waits_for_them_does_not_count_as_silent(self):
        """A group changes its leader every second and never runs a step.

        The weights of the first map take long to load. All proposals of the leader are
        refused meanwhile, and the other agents receive nothing else from it.
        """
        group = Session()
        for engine in group.engines:
            engine.weights.clear()
        group.weights_delayed = True
        for step_ms in (1_000, 400, 400, 400, 400):
            group.after(step_ms)
        group.weights_delayed = False
        for _ in range(3):
            group.after(200)
        group.run_steps(2)
        self.group = group
        self.check("first_map_waits_for_weights")


class TestService(SessionCase):
    def test_it_is_down_through_a_change_of_leader(self):
        """Answers stop soon after a leader is lost during an outage of the service.

        No agent can win a term while the service is down. Steps continue to the end of
        the granted window, then every rank reports NO_GRANT. When the service is back,
        the group continues at the same step.
        """
        group = self.group
        group.after(200)
        group.service_up = False
        group.paused.add(0)
        group.after(1_000)
        group.run_steps(20)
        group.after(1_000)
        group.run_steps(20)
        group.service_up = True
        group.after(1_500)
        group.run_steps(4)
        self.check("service_down_through_leader_change")


class TestEngineThatIgnoresFencing(SessionCase):
    fences = False

    def test_an_old_order_stops_at_the_agent(self):
        """A rank runs an old map although a newer one was granted.

        The engine accepts any order. An old leader's commit reaches the agent after a
        new term was promised, and again after the agent restarted. The agent passes
        neither on to the engine.
        """
        group = self.group
        group.is_held_back = is_commit_to(1)
        group.after(200)
        late_messages = list(group.held_messages)
        group.paused.add(0)
        group.set_wanted_map(2)
        group.is_held_back = lambda message: False
        group.after(1_300)
        group.release()
        group.restart(1)
        group.after(100)
        group.queue.extend(late_messages)
        group.deliver()
        group.after(600)
        group.run_steps(8)
        self.check("engine_ignores_fencing")


def copy_of(group, message):
    """Return a copy of a message in the form in which it is queued."""
    if isinstance(message, Accepted | Committed):
        return ("answer", 0, message, message.rank)
    rank = int(message.incarnation[0]) if hasattr(message, "incarnation") else 1
    kind = (
        "answer"
        if hasattr(message, "number") and hasattr(message, "rank")
        else "request"
    )
    return (kind, 0 if kind == "answer" else rank, message, 0)
