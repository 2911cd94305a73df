import unittest

from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_core.identities import AttemptId
from fuchsiahatch_delivery.tickets import Ticket
from fuchsiahatch_delivery.verdicts import Verdict
from tests.delivery.sessions import FakeEntry, FakeService, Session
from tests.golden import check_golden


class SessionCase(unittest.TestCase):
    def setUp(self):
        self.session = Session()
        for host in ("hold-1", "hold-2", "hold-3"):
            self.session.home(host)
        self.first = FakeEntry(self.session, "entry-1")
        self.second = FakeEntry(self.session, "entry-2")
        self.ticket = self.session.ticket()

    def ranked(self, key="k1"):
        return [self.session.homes[one.home.host] for one in self.ticket.rank(key)]

    def end(self, name, runs=1):
        check_golden(__file__, name, self.session.close())
        self.assertEqual(sum(self.session.runs.values()), runs)


class TestEntryGone(SessionCase):
    def test_killed_in_flight_and_caller_retries_elsewhere(self):
        """Guards against a second run when the entry dies with a request in flight.

        The caller retries at another entry, which has no record of the first
        attempt and could choose any upstream.
        """
        self.first.call("k1", self.ticket)
        self.session.run(50)
        self.first.kill()
        retry = self.second.call("k1", self.ticket)
        self.session.run()
        again = self.second.call("k1", self.ticket)
        self.session.run(61_000)
        self.assertEqual(again.text, retry.text)
        self.end("entry_killed")

    def test_graceful_stop_under_load(self):
        """Guards against a second run when an entry is stopped under load.

        Its open requests finish there; later callers with a kept address are sent to
        another entry, which must not run a request again.
        """
        calls = [self.first.call(f"k{number}", self.ticket) for number in range(4)]
        self.session.run(20)
        retries = [self.second.call(f"k{number}", self.ticket) for number in range(4)]
        self.session.run()
        self.assertEqual([c.text for c in calls], [r.text for r in retries])
        self.end("entry_stopped", runs=4)


class TestHomeGone(SessionCase):
    def test_killed_before_dispatch(self):
        """Guards against a second run when the agent dies before dispatch.

        The agent's ledger is lost, so whether the request ran can't be known: the
        caller receives UNKNOWN, and no other upstream is given the request.
        """
        home = self.ranked()[0]
        self.first.call("k1", self.ticket)
        self.session.run(5)
        home.kill()
        self.session.run(10_000)
        self.second.call("k1", self.ticket)
        self.session.run()
        self.end("agent_killed_before_dispatch", runs=0)

    def test_killed_after_dispatch(self):
        """Guards against a second run when the agent dies after dispatch.

        The upstream ran the request, and the answer was lost with the agent. A retry
        at the next upstream would be the second run.
        """
        home = self.ranked()[0]
        self.first.call("k1", self.ticket)
        self.session.run(60)
        home.kill()
        self.session.run(10_000)
        self.second.call("k1", self.ticket)
        self.session.run()
        self.end("agent_killed_after_dispatch")

    def test_frozen_declared_gone_then_waking(self):
        """Guards against a second run by an agent that resumes after a pause.

        It pauses with a request in its queue and is declared unreachable. If the
        request ran elsewhere, the agent would run its copy as well on resuming, as
        it doesn't know that it was declared unreachable.
        """
        home = self.ranked()[0]
        self.first.call("k1", self.ticket)
        self.session.run(5)
        home.freeze()
        self.session.run(10_000)
        self.second.call("k1", self.ticket)
        self.session.run(20_000)
        home.wake()
        home.known_gone = False
        self.session.run(30_000)
        self.second.call("k1", self.ticket)
        self.session.run()
        self.end("agent_frozen")

    def test_dead_home_after_key_went_on(self):
        """Guards against UNKNOWN for a key whose answer another home still has.

        The request ran at the second home, then the first home dies. The retry finds
        the first home dead and has to ask the second one, too.
        """
        homes = self.ranked()
        homes[0].leaving = True
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        homes[0].kill()
        self.session.run(10_000)
        retry = self.second.call("k1", self.ticket)
        self.session.run()
        self.assertIs(retry.outcome.verdict, Verdict.DONE)
        self.end("first_home_dead_later")

    def test_replaced_home_is_not_asked_to_run(self):
        """Guards against a second run at an agent that restarted with an empty ledger.

        The agent answers at the same address in a new incarnation; to it the retry
        looks new.
        """
        home = self.ranked()[0]
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        home.kill()
        self.session.home(home.home.host, life=2)
        self.second.call("k1", self.ticket)
        self.session.run()
        self.end("agent_replaced")


class TestLeaving(SessionCase):
    def test_host_list_lags(self):
        """Guards against a second run when the host list shows a leaving host late.

        The entry still sends to the leaving home, which refuses, and tries the next
        one. Then the drain is cancelled and the caller retries: without the fence
        the first home would run the request a second time.
        """
        homes = self.ranked()
        homes[0].leaving = True
        self.first.lag_ms = 1
        self.first.call("k1", self.ticket)
        self.session.run(30_000)
        homes[0].leaving = False
        self.second.call("k1", self.ticket)
        self.session.run()
        self.end("list_lags")

    def test_agent_stops_under_load(self):
        """Guards against lost or repeated runs when an agent stops under load.

        It finishes and replays the requests that it has dispatched; the rest go to
        the next home, once.
        """
        calls = [self.first.call(f"k{number}", self.ticket) for number in range(6)]
        self.session.run(8)
        self.ranked("k1")[0].leaving = True
        self.session.run(13)
        calls += [self.second.call(f"k{number}", self.ticket) for number in range(12)]
        self.session.run()
        self.assertTrue(all(call.outcome.verdict is Verdict.DONE for call in calls))
        self.end("agent_stops", runs=12)

    def test_every_home_leaves(self):
        for home in self.ranked():
            home.leaving = True
        self.first.call("k1", self.ticket)
        self.session.run()
        self.end("every_home_leaves", runs=0)


class TestBrokenHop(SessionCase):
    def test_late_order_after_resolve(self):
        """Guards against a run after the verdict NOT_RUN.

        The connection breaks before the order arrives. The home resolves the attempt
        as NOT_RUN, the entry reports it, and then the order arrives after all.
        """
        home = self.ranked()[0]
        home.freeze()
        call = self.first.call("k1", self.ticket)
        self.session.run(20)
        late = home.thaw_without_mail()
        self.first.break_hop(call)
        self.session.run(29)
        self.first.break_hop(call)
        self.session.run(1_000)
        for work, arguments in late:
            home.take(work, *arguments)
        self.session.run(2_000)
        self.assertIs(call.outcome.verdict, Verdict.NOT_RUN)
        self.end("late_order", runs=0)

    def test_hop_breaks_while_running(self):
        """Guards against a second run when the connection breaks during a run.

        The run continues at its home; the entry resolves it as running and forwards
        its answer. Another upstream would give a second, different answer.
        """
        call = self.first.call("k1", self.ticket)
        self.session.run(50)
        self.first.break_hop(call)
        self.session.run()
        self.end("hop_breaks_running")


class TestFrames(SessionCase):
    def test_late_crossed_and_duplicated(self):
        """Guards against foreign or duplicated frames in an answer.

        Frames of an earlier attempt arrive late on a connection that now serves
        another one, and a frame of the answer itself arrives twice.
        """
        one = self.first.call("k1", self.ticket)
        two = self.first.call("k2", self.ticket)
        self.session.run(50)
        other = AttemptId("entry-1", "life-0", 1)
        self.first.on_frame(one, two.attempt, 0, b"crossed ")
        self.first.on_frame(one, other, 0, b"late ")
        self.session.run(1_000)
        for frame in list(two.frames):
            self.first.on_frame(two, *frame)
        self.session.run()
        self.assertEqual(one.text, two.text)
        self.end("late_crossed_duplicated", runs=2)

    def test_stream_cut_after_half(self):
        """Guards against a truncated answer that looks complete.

        The connection is cut after half of the pieces and closed cleanly. The
        caller must get an error, and its retry must return the same answer, whole.
        """
        call = self.first.call("k1", self.ticket)
        self.session.run(50)
        self.first.on_frame(call, call.attempt, 0, b"hold 1 ")
        self.first.on_frame(call, call.attempt, 2, (7, b"not the digest"))
        self.session.run(1_000)
        self.assertIs(call.outcome.verdict, Verdict.UNKNOWN)
        retry = self.second.call("k1", self.ticket)
        self.session.run()
        self.assertEqual(retry.text, b"hold 1 is yours")
        self.end("stream_cut")


class TestKeys(SessionCase):
    def test_reused_with_another_body(self):
        """Guards against a replay for another request with the same key.

        A caller sends 07:00 and 08:00 under one key; the replay of the first answer
        would look like the answer to the second request.
        """
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        self.second.call("k1", self.ticket, b"08:00")
        self.session.run()
        self.end("key_reused")


class TestService(SessionCase):
    def test_down_for_the_whole_session(self):
        """Guards against keyed requests failing while the key-value service is down.

        With a ticket no request needs the service. Without one the key can't be
        bound, and the request is refused before anything is started.
        """
        service = FakeService(self.session)
        service.down = True
        self.first.call("k1", self.ticket)
        for entry, ticket in ((self.first, self.ticket), (self.second, self.other())):
            with self.assertRaises(RefusedError):
                entry.call("k2", service.bind(entry, "k2", ticket))
        self.session.run()
        self.end("service_down")

    def other(self):
        """Return the ticket of an entry that sees one home only."""
        homes = self.ticket.homes[:1]
        return Ticket(self.ticket.team, self.ticket.target, homes)

    def test_answer_lost_after_create_took_effect(self):
        """Guards against two homes for one key after the answer to a create is lost.

        Two requests with one key reach two entries, which see different upstreams.
        The second entry's create takes effect; the first one's answer is lost, and
        with its own ticket it would use another home: two runs.
        """
        service = FakeService(self.session)
        service.loses_answers = 1
        bound = service.bind(self.second, "k1", self.other())
        self.second.call("k1", bound)
        service.loses_answers = 1
        self.assertEqual(service.bind(self.first, "k1", self.ticket), bound)
        self.first.call("k1", bound)
        self.session.run()
        self.end("create_answer_lost")


class TestHeldUpOrder(SessionCase):
    def test_order_held_up_for_longer_than_keys_are_kept(self):
        """Guards against a second run by a retry that is delayed for twenty minutes.

        The request ran and its answer was kept for the retention time. A frozen
        entry resumes later and sends its retry, which looks new to the home, as the
        key has expired by then.
        """
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        self.session.run(1_200_000)
        late = self.second.call("k1", self.ticket)
        self.session.run(1_201_000)
        self.assertIs(late.outcome.verdict, Verdict.UNKNOWN)
        self.end("order_held_up")
