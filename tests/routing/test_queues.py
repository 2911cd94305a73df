import collections
import itertools
import random
import unittest

from fuchsiahatch_routing.queues import FairQueue, QueuedRequest

TICKETS = itertools.count(1)


def fill(queue, team, count, priority=1):
    return [
        queue.push(QueuedRequest(next(TICKETS), team, priority, 0, 1_000))
        for _ in range(count)
    ]


def served(queue, count):
    return [queue.pop(10.0) for _ in range(count)]


class TestShares(unittest.TestCase):
    def test_service_is_proportional_to_shares(self):
        shares = {"a": 60.0, "b": 30.0, "c": 10.0}
        queue = FairQueue(1_000, shares.__getitem__)
        for team in shares:
            fill(queue, team, 200)
        turns = collections.Counter(one.team for one in served(queue, 100))
        for team, share in shares.items():
            self.assertAlmostEqual(turns[team], share, delta=2)

    def test_team_with_zero_share_is_served(self):
        queue = FairQueue(10, lambda team: 0.0)
        fill(queue, "a", 1)
        self.assertEqual(served(queue, 1)[0].team, "a")

    def test_idle_teams_are_dropped(self):
        queue = FairQueue(10_000)
        for number in range(500):
            fill(queue, f"team-{number}", 1)
        served(queue, 500)
        fill(queue, "last", 2)
        served(queue, 2)
        queue.reset()
        self.assertEqual(len(queue._flows), 0)

    def test_random_operations_lose_no_request_and_keep_the_bound(self):
        rng = random.Random(7)
        queue = FairQueue(30, lambda team: 1.0 + len(team))
        pushed, out = 0, 0
        for _ in range(5_000):
            team = "abcd"[: rng.randint(1, 4)]
            if rng.random() < 0.55:
                out += sum(one is not None for one in fill(queue, team, 1))
                pushed += 1
            else:
                out += queue.pop(rng.uniform(1, 50)) is not None
            queue.adjust_charge(team, rng.uniform(-20, 20))
            self.assertLessEqual(len(queue), 30)
            self.assertEqual(len(list(queue)), len(queue))
        self.assertEqual(pushed, out + len(queue))


class TestPriorities(unittest.TestCase):
    def test_higher_priority_is_served_first(self):
        queue = FairQueue(100)
        fill(queue, "gym", 3, priority=2)
        fill(queue, "gym", 2, priority=0)
        classes = [one.priority for one in served(queue, 5)]
        self.assertEqual(classes, [0, 0, 2, 2, 2])

    def test_low_priority_is_not_starved_by_its_own_team(self):
        """Guards against urgent requests of a team starving its batch work."""
        queue = FairQueue(1_000)
        fill(queue, "gym", 1, priority=2)
        fill(queue, "gym", 100, priority=0)
        self.assertIn(2, [one.priority for one in served(queue, 10)])

    def test_priority_does_not_raise_the_share(self):
        """Guards against a team starving others by marking all its work urgent."""
        queue = FairQueue(1_000)
        fill(queue, "urgent", 200, priority=0)
        fill(queue, "patient", 200, priority=2)
        turns = collections.Counter(one.team for one in served(queue, 100))
        self.assertAlmostEqual(turns["patient"], 50, delta=3)


class TestPeek(unittest.TestCase):
    def test_it_returns_what_pop_would_return_and_changes_nothing(self):
        rng = random.Random(3)
        queue = FairQueue(100)
        for _ in range(200):
            fill(queue, rng.choice("abc"), rng.randint(0, 2), rng.randint(0, 2))
            peeked = queue.peek(10.0)
            self.assertIs(queue.peek(10.0), peeked)
            self.assertIs(queue.pop(10.0), peeked)

    def test_an_empty_queue_has_no_next_request(self):
        self.assertIsNone(FairQueue(1).peek())
