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
        """A member's hold is confirmed twice.

        The entry dies with the hold in flight; the member's phone asks another
        entry, which knows nothing of the first try and would pick any upstream.
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
        """An entry is stopped while holds are in flight.

        Its open requests end there; the members who come next, with the address
        they kept, are sent to another entry, which must not run a hold anew.
        """
        calls = [self.first.call(f"k{number}", self.ticket) for number in range(4)]
        self.session.run(20)
        retries = [self.second.call(f"k{number}", self.ticket) for number in range(4)]
        self.session.run()
        self.assertEqual([c.text for c in calls], [r.text for r in retries])
        self.end("entry_stopped", runs=4)


class TestHomeGone(SessionCase):
    def test_killed_before_dispatch(self):
        """A hold whose agent dies before it was given to the upstream.

        The agent's memory is gone, so nobody can know that the hold wasn't run:
        the member is told so, and no other upstream is given it.
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
        """A hold is confirmed, its agent dies, and a retry books it again.

        The upstream ran the hold, the answer died with the agent. A retry at the
        next upstream would be the second hold.
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
        """An agent pauses with a hold in its queue, is given up, and wakes.

        Were the hold run elsewhere after the pause, the waking agent would run its
        own copy as well, as it doesn't know that it was given up.
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
        """A hold ran at the second home, then the first home dies.

        The retry finds the first home dead. The second one still has the answer;
        without asking it the member would hear that nothing is known.
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
        """A hold ran, its agent was restarted and remembers nothing.

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
        """An upstream leaves, the host list says so late, and a hold arrives.

        The entry still sends to the leaving home, which refuses, and goes on to the
        next one. Then the drain is called off and the member asks again: without
        the fence the first home would run the hold a second time.
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
        """An upstream is stopped with holds in flight, and their callers retry.

        What it has begun it finishes and replays; what it has not goes on to the
        next home, once.
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
        """A member hears that a hold was not run, and later it is.

        The connection breaks before the order arrives. The home says NOT_RUN, the
        entry says so too, and then the order arrives after all.
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
        """A brief is being written when the entry's connection breaks.

        The run goes on at its home; the entry resolves it as running and hands its
        answer on. To send it elsewhere would give a second, different brief.
        """
        call = self.first.call("k1", self.ticket)
        self.session.run(50)
        self.first.break_hop(call)
        self.session.run()
        self.end("hop_breaks_running")


class TestFrames(SessionCase):
    def test_late_crossed_and_duplicated(self):
        """A member is given another member's answer, or a sentence twice.

        Frames of an earlier attempt come late on a connection that now serves
        another one, and a frame of the own answer comes twice.
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
        """A brief stops in the middle and looks complete.

        The connection is cut after half of the pieces and closed cleanly. The
        caller must see it, and its retry must bring the same brief, whole.
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
        """A member holds 07:00 and 08:00 under one key, and is shown 07:00 twice.

        The replay of the first answer would look like the answer to the second
        request.
        """
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        self.second.call("k1", self.ticket, b"08:00")
        self.session.run()
        self.end("key_reused")


class TestService(SessionCase):
    def test_down_for_the_whole_session(self):
        """The key-value service is down; members still hold and cancel.

        With a ticket nothing asks the service. Without one the key can't be bound,
        and is refused before anything is started.
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
        """A binding is written, its answer is lost, and two entries disagree.

        Two tries of one hold reach two entries, which see different upstreams. The
        second entry's create takes effect; the first one's answer is lost, and with
        its own ticket it would go to another home: two holds.
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
        """A hold is booked again by a retry that was stuck for twenty minutes.

        The hold ran and its answer was kept for the retention time. A frozen entry
        wakes later and sends its copy; to the home, which has forgotten the key by
        then, it looks new.
        """
        self.first.call("k1", self.ticket)
        self.session.run(1_000)
        self.session.run(1_200_000)
        late = self.second.call("k1", self.ticket)
        self.session.run(1_201_000)
        self.assertIs(late.outcome.verdict, Verdict.UNKNOWN)
        self.end("order_held_up")
