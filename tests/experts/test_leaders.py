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
    def test_it_wakes_after_its_successor(self):
        """Two ranks give wrong answers after a leader's host was overloaded.

        The leader is paused with a window accepted and not committed. Its
        successor grants that window and goes on with a new map. The first one
        wakes and sends its commits, as if nothing had happened.
        """
        group = self.group
        group.hold = lambda message: isinstance(message, Accepted) and message.term == 1
        group.after(200)
        group.paused.add(0)
        group.want(2)
        group.after(1_300)
        group.hold = lambda message: False
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
        """A group stands still because one datagram's worth of work got lost.

        The proposal to rank 1 never arrives. The leader sends it again at its
        next tick; the window is granted once.
        """
        group = self.group
        group.hold = lambda message: (
            isinstance(message, Propose) and message.incarnation == "1.1"
        )
        group.after(200)
        group.held.clear()
        group.hold = lambda message: False
        group.after(200)
        group.run_steps(6)
        self.check("message_lost")

    def test_one_is_late(self):
        """An old map comes back for a few steps on one rank.

        The commit of a window to rank 1 is held up; the leader is lost and its
        successor grants that window and the next, under a new map. Then the
        first commit arrives.
        """
        group = self.group
        group.hold = is_commit_to(1)
        group.after(200)
        group.paused.add(0)
        group.want(2)
        group.hold = lambda message: False
        group.after(1_300)
        group.run_steps(6)
        group.after(200)
        group.release()
        group.run_steps(8)
        self.check("message_late")

    def test_one_comes_twice(self):
        """A window is run twice by one rank and the others wait for ever.

        Every message of a round arrives twice, the second copies after the
        round is over.
        """
        group = self.group
        group.hold = lambda message: group.held.append(copy_of(group, message))
        group.after(200)
        group.release()
        group.run_steps(6)
        group.after(200)
        self.check("message_twice")


class TestRestartedRank(SessionCase):
    def test_its_agent_restarts_in_the_middle_of_a_window(self):
        """One rank runs the new map while the others still run the old one.

        The agent of rank 1 restarts between its acceptance and the commit, and
        the steps of the window before are half run. It has forgotten all; its
        engine has not. The commit for its earlier life comes late.
        """
        group = self.group
        group.hold = is_commit_to(1)
        group.after(200)
        group.restart(1)
        group.want(2)
        group.release()
        group.after(200)
        group.run_steps(6)
        group.after(200)
        self.check("rank_restarts_mid_window")


class TestKilledLeader(SessionCase):
    def test_it_is_killed_between_accept_and_commit(self):
        """After a crash two ranks run the same steps under different maps.

        The leader dies with its commits half sent: rank 0's engine holds the
        window and runs it, rank 1 has only accepted it. A new map is wanted by
        then, so a plan made anew would differ.
        """
        group = self.group
        group.hold = is_commit_to(1)
        group.after(200)
        group.held.clear()
        group.hold = lambda message: False
        group.restart(0)
        group.want(2)
        group.after(1_000)
        group.run_steps(10)
        group.after(200)
        self.check("leader_killed_between_accept_and_commit")


class TestLostHost(SessionCase):
    def test_its_replacement_starts_a_new_epoch(self):
        """A group stands still for good after one host is replaced.

        The new engine knows none of the steps, the others are in the middle of
        a window. No window fits all of them, so every engine starts anew, and
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

    def test_the_leaders_own_host_is_lost(self):
        """A group stands still for good after its leader's host is replaced.

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

        A new map is wanted, whose weights are in place on one rank only. Steps
        go on under the old map until the slow rank has them.
        """
        group = self.group
        group.slow_store = True
        group.wanted_map = 2
        group.engines[0].weights.add(2)
        group.after(200)
        group.run_steps(4)
        group.slow_store = False
        group.after(200)
        group.after(200)
        group.run_steps(4)
        group.after(200)
        group.run_steps(4)
        self.check("new_map_waits_for_weights")

    def test_a_leader_that_waits_for_them_is_not_taken_for_silent(self):
        """A group changes its leader every second and never runs a step.

        The weights of the first map take long. The leader's proposals are all
        refused meanwhile, and the other agents hear nothing else from it.
        """
        group = Session()
        for engine in group.engines:
            engine.weights.clear()
        group.slow_store = True
        for step_ms in (1_000, 400, 400, 400, 400):
            group.after(step_ms)
        group.slow_store = False
        for _ in range(3):
            group.after(200)
        group.run_steps(2)
        self.group = group
        self.check("first_map_waits_for_weights")


class TestService(SessionCase):
    def test_it_is_down_through_a_change_of_leader(self):
        """Answers stop a little after a leader is lost in an outage.

        No agent can win a term while the service is down. Steps go on to the
        end of what is granted, then every rank says NO_GRANT. When the service
        is back, the group goes on where it stood.
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

        The engine takes any order. An old leader's commit reaches the agent
        after a new term was promised, and again after its agent restarted; the
        agent gives the engine neither.
        """
        group = self.group
        group.hold = is_commit_to(1)
        group.after(200)
        late = list(group.held)
        group.paused.add(0)
        group.want(2)
        group.hold = lambda message: False
        group.after(1_300)
        group.release()
        group.restart(1)
        group.after(100)
        group.queue.extend(late)
        group.deliver()
        group.after(600)
        group.run_steps(8)
        self.check("engine_ignores_fencing")


def copy_of(group, message):
    """Return the second copy of a message, as it is queued."""
    if isinstance(message, Accepted | Committed):
        return ("answer", 0, message, message.rank)
    rank = int(message.incarnation[0]) if hasattr(message, "incarnation") else 1
    kind = (
        "answer"
        if hasattr(message, "number") and hasattr(message, "rank")
        else "request"
    )
    return (kind, 0 if kind == "answer" else rank, message, 0)
