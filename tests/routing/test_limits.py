import itertools
import random
import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_routing.limits import Limiter, Refuse
from fuchsiahatch_routing.queues import FairQueue, FifoQueue
from tests.golden import check_golden
from tests.routing.sessions import Arrival, Session

QUIET = [Arrival(100 + 10 * number, f"quiet-{number}") for number in range(9)]
FLOOD = [Arrival(0, "flood")] * 40


def refusals(session):
    return [effect for effect in session.effects if isinstance(effect, Refuse)]


class TestFlood(unittest.TestCase):
    def test_quiet_teams_are_not_starved(self):
        """Guards against one team's flood delaying the other nine teams.

        The flood's 40 requests arrive first, then one request of each other team.
        In a first-come queue all nine wait for the whole flood.
        """
        fair = Session(Limiter(2, FairQueue(100))).play(FLOOD + QUIET)
        fifo = Session(Limiter(2, FifoQueue(100))).play(FLOOD + QUIET)
        check_golden(__file__, "flood_and_quiet", fair.lines)
        self.assertLessEqual(max(fair.waits("quiet")), 4 * 50)
        self.assertGreaterEqual(min(fifo.waits("quiet")), 800)

    def test_full_queue_evicts_the_flood(self):
        """Guards against refusing teams because another team filled the queue.

        The queue is bounded and the flood arrives first; without eviction later
        teams are refused although they have had no service yet.
        """
        session = Session(Limiter(2, FairQueue(20))).play(FLOOD + QUIET)
        self.assertEqual({effect.team for effect in refusals(session)}, {"flood"})
        self.assertEqual(len(session.waits("quiet")), len(QUIET))

    def test_unused_share_is_lent(self):
        """Guards against limiting a team to its share while the others are idle."""
        shares = {"flood": 10.0, "quiet": 90.0}
        session = Session(Limiter(2, FairQueue(100, shares.__getitem__))).play(FLOOD)
        self.assertEqual(max(session.waits("flood")), 40 // 2 * 50 - 50)

    def test_long_answers_are_charged_for_their_time(self):
        """Guards against long answers taking more than their team's share.

        If requests were counted instead of time, both teams would alternate and
        the long answers would take nine tenths of the time.
        """
        arrivals = [Arrival(0, "long", 450)] * 40 + [Arrival(0, "short", 50)] * 360
        session = Session(Limiter(2, FairQueue(1_000))).play(arrivals)
        in_time = [line for line in session.lines if int(line.split()[0]) <= 4_000]
        long = 450 * sum("long" in line for line in in_time)
        short = 50 * sum("short" in line for line in in_time)
        self.assertAlmostEqual(short / (long + short), 0.5, delta=0.15)


class TestDeadlines(unittest.TestCase):
    def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival(self):
        """Guards against callers waiting for their whole deadline in vain.

        The queue is longer than the deadline from the start: refused on arrival, a
        caller can do something else in that time.
        """
        arrivals = [
            Arrival(0, "warm"),
            *[Arrival(60, "boats")] * 8,
            *[Arrival(70, "late", deadline_ms=120, service_ms=50)] * 6,
            *[Arrival(75, "boats", deadline_ms=120)] * 2,
            Arrival(90, "boats", 400),
            Arrival(300, "boats", deadline_ms=5_000),
            *[Arrival(310, "late", deadline_ms=260)] * 2,
        ]
        session = Session(Limiter(2, FairQueue(100))).play(arrivals)
        check_golden(__file__, "deadline_shed", session.lines)
        codes = [effect.code for effect in refusals(session)]
        self.assertIn(Code.DEADLINE_TOO_NEAR, codes)

    def test_deadline_that_passes_in_the_queue_is_answered_at_once(self):
        """Guards against running a request after its deadline.

        It is queued because the estimate meets its deadline; then the requests
        before it run slowly.
        """
        slow = [Arrival(0, "slow"), Arrival(60, "slow", 2_000)]
        waiting = Arrival(70, "member", deadline_ms=300)
        session = Session(Limiter(1, FairQueue(10))).play([*slow, waiting])
        (refused,) = refusals(session)
        self.assertIs(refused.code, Code.DEADLINE_PASSED)
        self.assertIn("   370 ms", session.lines[-1])

    def test_slow_period_does_not_refuse_indefinitely(self):
        """Guards against one slow request causing refusals indefinitely.

        Refused requests aren't run, so nothing corrects the estimate.
        """
        limiter = Limiter(1, FairQueue(10))
        limiter.arrive("slow", 1, 30_000, 0)
        limiter.finish("slow", 20_000)
        _, effects = limiter.arrive("member", 1, 500, 20_000)
        self.assertNotIsInstance(effects[0], Refuse)

    def test_retry_after_grows_with_the_queue(self):
        limiter = Limiter(1, FairQueue(2))
        limiter.arrive("warm", 1, 30_000, 0)
        limiter.finish("warm", 1_000)
        retry_delays_ms = []
        for _ in range(6):
            _, effects = limiter.arrive("flood", 1, 30_000, 1_000)
            retry_delays_ms += [
                one.retry_after_ms for one in effects if isinstance(one, Refuse)
            ]
        self.assertEqual(retry_delays_ms, [3_000] * 3)


class TestWithdrawal(unittest.TestCase):
    def test_withdrawn_request_is_never_admitted(self):
        limiter = Limiter(1, FairQueue(10))
        limiter.arrive("first", 1, 30_000, 0)
        ticket, _ = limiter.arrive("gone", 1, 30_000, 0)
        self.assertTrue(limiter.withdraw(ticket))
        self.assertFalse(limiter.withdraw(ticket))
        self.assertEqual(limiter.finish("first", 10), [])
        self.assertEqual((limiter.in_flight, limiter.queued), (0, 0))


class TestAnyOrder(unittest.TestCase):
    def test_each_request_is_answered_once_and_no_slot_idles(self):
        """Guards against requests that are lost or answered twice.

        Ends, deadlines and withdrawals come in random order between the arrivals
        of several teams; the queue is short, so that it also evicts.
        """
        for seed, queue in itertools.product(range(30), (FairQueue, FifoQueue)):
            with self.subTest(seed=seed, queue=queue.__name__):
                self.play(random.Random(seed), Limiter(3, queue(6)))

    def play(self, rng, limiter):
        now_ms, running, open_teams, withdrawn = 0, [], {}, set()

        def take(effects):
            for effect in effects:
                self.assertNotIn(effect.ticket, withdrawn)
                team = open_teams.pop(effect.ticket)
                if not isinstance(effect, Refuse):
                    running.append(team)

        for _ in range(400):
            now_ms += rng.randint(0, 20)
            step = rng.random()
            if step < 0.5:
                team = rng.choice("abcd")
                ticket, effects = limiter.arrive(
                    team, rng.randint(0, 3), rng.choice((10, 100, 5_000)), now_ms
                )
                open_teams[ticket] = team
                take(effects)
            elif step < 0.8 and running:
                team = running.pop(rng.randrange(len(running)))
                take(limiter.finish(team, now_ms))
            elif step < 0.9:
                take(limiter.expire(now_ms))
            elif open_teams:
                withdrawn_ticket = rng.choice(sorted(open_teams))
                self.assertTrue(limiter.withdraw(withdrawn_ticket))
                withdrawn.add(withdrawn_ticket)
                del open_teams[withdrawn_ticket]
            self.assertEqual(limiter.in_flight, len(running))
            self.assertEqual(limiter.queued, len(open_teams))
            self.assertTrue(len(running) == 3 or not open_teams)
