import collections
import itertools
import random
import unittest

from fuchsiahatch_routing.queues import (
    PASSED_OVER_INTERVAL,
    ClassQueue,
    FairQueue,
    QueuedRequest,
)

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


def classes_of(requests):
    return [request.priority for request in requests]


class TestStrictClasses(unittest.TestCase):
    def test_a_burst_of_one_team_does_not_delay_the_urgent_class_of_another(self):
        """Guards against urgent requests that wait for a burst of less urgent ones."""
        queue = ClassQueue(1_000)
        fill(queue, "busy", 50, priority=2)
        fill(queue, "busy", 5, priority=1)
        fill(queue, "quiet", 3, priority=0)
        fill(queue, "busy", 3, priority=0)
        self.assertEqual(classes_of(served(queue, 7)), [0] * 6 + [1])

    def test_teams_share_a_class_in_fair_order(self):
        """Guards against a team whose flood delays the other teams of its class."""
        shares = {"a": 60.0, "b": 30.0, "c": 10.0}
        queue = ClassQueue(1_000, shares.__getitem__)
        for team in shares:
            fill(queue, team, 200, priority=0)
        turns = collections.Counter(one.team for one in served(queue, 100))
        for team, share in shares.items():
            self.assertAlmostEqual(turns[team], share, delta=2)

    def test_one_in_eight_is_the_oldest_of_those_passed_over(self):
        """Guards against a lasting burst of urgent requests that starves the others."""
        queue = ClassQueue(1_000)
        fill(queue, "batch", 2, priority=2)
        fill(queue, "chat", 1, priority=1)
        fill(queue, "other", 1, priority=2)
        fill(queue, "urgent", 100, priority=0)
        turns = served(queue, 4 * PASSED_OVER_INTERVAL)
        self.assertEqual(classes_of(turns[:7]), [0] * 7)
        passed_over = turns[PASSED_OVER_INTERVAL - 1 :: PASSED_OVER_INTERVAL]
        self.assertEqual(classes_of(passed_over), [2, 2, 1, 2])
        tickets = [one.ticket for one in passed_over]
        self.assertEqual(tickets, sorted(tickets))
        self.assertEqual(classes_of(turns).count(0), 28)

    def test_a_request_out_of_turn_is_charged_to_its_team(self):
        """Guards against a team that gains service from turns for the passed over."""
        queue = ClassQueue(1_000)
        fill(queue, "old", 3, priority=1)
        fill(queue, "new", 3, priority=1)
        fill(queue, "urgent", PASSED_OVER_INTERVAL, priority=0)
        turns = [one.team for one in served(queue, PASSED_OVER_INTERVAL + 2)]
        self.assertEqual(turns[-3:], ["old", "urgent", "new"])

    def test_classes_that_are_not_admitted_wait_and_take_no_turn(self):
        """Guards against a turn for the passed over that leaves a free slot unused."""
        queue = ClassQueue(1_000)
        fill(queue, "batch", 1, priority=2)
        fill(queue, "urgent", 20, priority=0)
        urgent = [queue.pop(1.0, lambda priority: priority < 2) for _ in range(20)]
        self.assertEqual(classes_of(urgent), [0] * 20)
        self.assertIsNone(queue.pop(1.0, lambda priority: priority < 2))
        self.assertEqual(queue.pop(1.0).priority, 2)

    def test_a_class_that_is_not_admitted_costs_no_other_its_turn(self):
        """Guards against a class that starves behind an older one with no room left."""
        queue = ClassQueue(1_000)
        fill(queue, "batch", 1, priority=2)
        fill(queue, "chat", 1, priority=1)
        fill(queue, "urgent", 20, priority=0)
        turns = [queue.pop(1.0, lambda priority: priority < 2) for _ in range(8)]
        self.assertEqual(classes_of(turns), [0] * 7 + [1])

    def test_a_full_queue_evicts_the_least_urgent_but_never_all_of_a_class(self):
        """Guards against a burst that fills the queue and leaves a class no turn."""
        queue = ClassQueue(4)
        fill(queue, "batch", 3, priority=2)
        evicted = fill(queue, "urgent", 6, priority=0)
        self.assertEqual(classes_of(evicted[1:]), [2, 2, 0, 0, 0])
        self.assertEqual(sorted(classes_of(queue)), [0, 0, 0, 2])
        self.assertEqual(classes_of(fill(queue, "batch", 1, priority=2)), [2])

    def test_random_operations_lose_no_request_and_starve_no_class(self):
        rng = random.Random(7)
        queue = ClassQueue(30, lambda team: 1.0 + len(team))
        known, overtakes = set(), 0
        for _ in range(5_000):
            priority = rng.choice((0, 0, 0, 1, 2))
            if rng.random() < 0.5:
                (evicted,) = fill(queue, "abcd"[: rng.randint(1, 4)], 1, priority)
                left = evicted
            elif rng.random() < 0.1 and len(queue):
                left = queue.remove(rng.choice(list(queue)).ticket)
            else:
                before = {one.priority for one in queue}
                left = queue.pop(rng.uniform(1, 50))
                is_urgent = left is not None and left.priority == min(before)
                overtakes = overtakes + 1 if is_urgent and len(before) > 1 else 0
            self.assertLess(overtakes, PASSED_OVER_INTERVAL)
            waiting = {one.ticket for one in queue}
            self.assertEqual(len(queue), len(waiting))
            self.assertLessEqual(len(queue), 30)
            if left is not None:
                self.assertNotIn(left.ticket, waiting)
                known.discard(left.ticket)
            self.assertLessEqual(known, waiting)
            known = waiting


class TestPeek(unittest.TestCase):
    def test_classes_with_a_turn_for_the_passed_over_are_foreseen(self):
        # Guards against a slot chosen for one class and given to a request of another.
        rng = random.Random(5)
        queue = ClassQueue(100)
        for _ in range(400):
            fill(queue, rng.choice("abc"), rng.randint(0, 2), rng.choice((0, 0, 1, 2)))
            admitted = rng.randint(0, 2)
            peeked = queue.peek(10.0, lambda priority, top=admitted: priority <= top)
            popped = queue.pop(10.0, lambda priority, top=admitted: priority <= top)
            self.assertIs(popped, peeked)

    def test_it_returns_what_pop_would_return_and_changes_nothing(self):
        rng = random.Random(3)
        queue = FairQueue(100)
        for _ in range(200):
            fill(queue, rng.choice("abc"), rng.randint(0, 2), rng.randint(0, 2))
            peeked = queue.peek(10.0)
            self.assertIs(queue.peek(10.0), peeked)
            self.assertIs(queue.pop(10.0), peeked)

    def test_an_empty_queue_has_no_next_request(self):
        self.assertIsNone(FairQueue(1).peek(1.0))
