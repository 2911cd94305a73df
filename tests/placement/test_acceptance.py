"""Sessions of entries on a manual clock; each line says when and who."""

import unittest

from fuchsiahatch_bench.placement_model import PLACEMENT, SERVICE, Model
from fuchsiahatch_placement import acceptance
from fuchsiahatch_placement.acceptance import EntryConfiguration, PeerAnswer
from fuchsiahatch_placement.rosters import Voter
from tests.golden import check_golden
from tests.placement.samples import document_of, one_region, value_of

A, B, C = (voter.host for voter in one_region(3))


class Session:
    """A model whose cuts are set by hand."""

    def __init__(self, voters=3, observers=()):
        self.model = Model(one_region(voters), observers)
        self.cut = frozenset()
        self.paused = frozenset()
        self.round(500)

    def round(self, step_ms=500, times=1):
        for _ in range(times):
            self.model.advance(step_ms)
            for host in sorted(self.model.entries.keys() - self.paused):
                self.model.tick_entry(host)
            self.settle()

    def settle(self):
        while moving := [one for one in self.model.messages if self.moves(one)]:
            self.model.deliver(moving[0])

    def moves(self, message):
        ends = {message.source, message.target}
        return not (ends & self.paused or any(ends >= link for link in self.cut))

    def cut_links(self, *links):
        self.cut = frozenset(map(frozenset, links))
        self.model.note(f"cut: {', '.join('-'.join(link) for link in links) or 'none'}")

    def lose_cut(self):
        for message in list(self.model.messages):
            if not self.moves(message):
                self.model.messages.remove(message)

    def service(self, up):
        self.model.service_up = up
        self.model.note(f"service {'up' if up else 'down'}")

    def state(self):
        for host, entry in self.model.entries.items():
            fresh = "fresh" if entry.is_fresh(self.model.now_ms) else "not fresh"
            votes = "votes" if entry.votes() else "no vote"
            self.model.note(f"{host}: at {entry.snapshot.revision}, {fresh}, {votes}")

    def check(self, name):
        self.state()
        check_golden(__file__, name, self.model.log)


class TestOutage(unittest.TestCase):
    def test_outage_before_during_and_after_a_change(self):
        """An operator's change seems lost, or half in force, around an outage.

        The service goes away before a change is read, comes back, goes away
        again right after the commit, while only some entries have heard of it,
        and stays away after it was accepted. Work must go on all the time.
        """
        session = Session()
        session.service(False)
        session.model.begin_write()
        session.round(times=6)
        session.service(True)
        session.round()
        session.cut_links((C, SERVICE))
        session.model.begin_write()
        session.settle()
        session.round()
        session.service(False)
        session.round(times=10)
        session.state()
        session.service(True)
        session.cut_links()
        session.model.begin_write()
        session.round(times=9)
        session.service(False)
        session.round(times=12)
        session.check("outage")

    def test_entry_cut_off_from_everything_refuses(self):
        """Requests still go to a zone that was forbidden ten seconds ago.

        An entry's host loses its network towards the service and the others but
        not towards callers. A change is accepted without it. It must have ended
        its freshness before that, and must take the change when it is back.
        """
        session = Session()
        session.cut_links((C, SERVICE), (C, A), (C, B))
        session.model.begin_write()
        session.round(times=10)
        session.state()
        session.lose_cut()
        session.cut_links()
        session.round(times=3)
        session.check("cut_off")

    def test_entry_restarted_in_an_outage_serves_but_has_no_vote(self):
        """A replaced entry lets a change pass that another entry never hears of.

        A acknowledges revision 2 and is replaced during an outage; it learns
        revision 1 from C, which has not heard of 2. Then B acknowledges 2. Were
        A's first life counted for the change and its second life with C for
        freshness, C would admit under 1 though 2 is accepted.
        """
        session = Session()
        session.cut_links((B, SERVICE), (C, SERVICE), (A, B), (A, C))
        writer = session.model.begin_write()
        session.round(times=3)
        session.cut_links((A, SERVICE), (C, SERVICE), (A, B), (B, C))
        session.model.start_entry(A)
        session.lose_cut()
        session.round(times=10)
        self.assertIsNotNone(writer.end)
        session.state()
        session.cut_links()
        session.round(times=3)
        session.check("restarted_in_outage")

    def test_region_of_seven_stands_three_replacements(self):
        """The fourth replacement in one outage stops a whole region.

        Replaced entries have forgotten what they acknowledged, so they add no
        vote until the service is back; four of seven are needed.
        """
        session = Session(7)
        session.service(False)
        for number in range(4):
            session.model.start_entry(f"entry-{'abcd'[number]}")
            session.round(times=9)
            session.state()
        session.service(True)
        session.round()
        session.check("seven_replaced")


class TestPause(unittest.TestCase):
    def test_paused_entry_wakes_and_is_not_fresh(self):
        """A host stands still for ten seconds and then serves the old placement.

        The entry is paused with a question and its answer on their way; while it
        stands still a change is accepted. When it wakes, the old answer is the
        first that it reads. Counted from then, it would be fresh.
        """
        session = Session()
        session.paused = frozenset([C])
        session.model.tick_entry(C)
        question = session.model.messages[-1]
        session.model.deliver(question)
        session.model.note(f"{C} is paused")
        session.model.begin_write()
        session.round(times=10)
        session.model.note(f"{C} wakes")
        self.assertFalse(session.model.entries[C].is_fresh(session.model.now_ms))
        session.paused = frozenset()
        session.settle()
        session.state()
        session.round()
        session.check("paused")


class TestOldWord(unittest.TestCase):
    def test_late_old_watch_event_changes_nothing(self):
        """A team is served in a zone again for a second, and nobody knows why.

        A watch connection stalls and delivers revision 1 after revision 2 has
        been applied.
        """
        session = Session()
        old = session.model.values[PLACEMENT][0]
        session.model.begin_write()
        session.round(times=9)
        session.model.send_watch(A, old)
        session.round(times=2)
        session.check("late_watch")

    def test_restored_backup_is_an_alarm_and_no_apply(self):
        """The platform's people restore last night's backup of the service.

        It holds revision 1; 3 is in force. The entries must keep 3, raise one
        alarm each, and confirm each other. An operator who writes on top of 1
        is refused; putting back what an entry holds mends it.
        """
        session = Session()
        backup = session.model.values[PLACEMENT]
        for _ in range(2):
            session.model.begin_write()
            session.round(times=9)
        session.model.values[PLACEMENT] = (backup[0], 9)
        session.model.note("a backup with revision 1 is restored")
        session.round(times=8)
        session.state()
        session.model.note("an operator writes on top of it, held revision unchecked")
        session.model.begin_write()
        session.round(times=36)
        session.model.begin_republish(A)
        session.round(times=9)
        session.check("restored_backup")

    def test_answer_of_an_earlier_life_confirms_nothing(self):
        """A restarted entry is fresh at once, under what its first life asked."""
        entry = EntryConfiguration(A, "life-2", "r", "z")
        other = EntryConfiguration(A, "life-1", "r", "z")
        (asked,) = other.handle(acceptance.Tick(), 0)
        entry.handle(acceptance.Tick(), 1_000)
        value = value_of(1)
        answer = acceptance.ServiceAnswer(asked.question, b"", value)
        self.assertEqual(entry.handle(answer, 1_100), [])
        self.assertEqual(entry.snapshot.revision, 0)


def fresh_entry(roster=b"", document=value_of(1)):
    entry = EntryConfiguration(A, "life-1", "klang-valley", "kl-a")
    asked = entry.handle(acceptance.Tick(), 0)[0]
    entry.handle(acceptance.ServiceAnswer(asked.question, roster, document), 10)
    return entry


def ask(entry, now_ms):
    return entry.handle(acceptance.Tick(), now_ms)


class TestServiceAnswer(unittest.TestCase):
    def test_unchanged_documents_confirm(self):
        entry = fresh_entry()
        asked = ask(entry, 2_000)[0]
        entry.handle(acceptance.ServiceAnswer(asked.question, None, None), 2_900)
        self.assertEqual(entry.fresh_until_ms(), 5_000)

    def test_unreadable_document_confirms_nothing_and_changes_nothing(self):
        entry = fresh_entry()
        asked = ask(entry, 2_000)[0]
        answer = acceptance.ServiceAnswer(asked.question, b"", b"{broken")
        effects = entry.handle(answer, 2_100)
        self.assertIsInstance(effects[0], acceptance.Unreadable)
        self.assertEqual(entry.handle(answer, 2_200), [])
        self.assertEqual(entry.fresh_until_ms(), 3_000)
        self.assertEqual(entry.snapshot.revision, 1)

    def test_same_revision_by_another_change_is_an_alarm(self):
        entry = fresh_entry()
        asked = ask(entry, 2_000)[0]
        other = value_of(1).replace(b"change-1", b"change-x")
        effects = entry.handle(
            acceptance.ServiceAnswer(asked.question, b"", other), 2_100
        )
        self.assertIsInstance(effects[0], acceptance.RevertSeen)
        self.assertTrue(entry.report().reverted)
        self.assertEqual(entry.fresh_until_ms(), 3_000)

    def test_old_watch_event_asks_the_service(self):
        """A restored backup first shows as a watch event, like a late one."""
        entry = fresh_entry(document=value_of(2))
        effects = entry.handle(acceptance.WatchEvent(value_of(1)), 100)
        self.assertIsInstance(effects[0], acceptance.AskService)

    def test_no_document_at_all_is_never_fresh(self):
        entry = fresh_entry(document=b"")
        self.assertFalse(entry.is_fresh(20))


class TestPeerAnswer(unittest.TestCase):
    def test_observer_becomes_fresh_without_a_vote(self):
        """An entry outside the roster serves, but no majority leans on it."""
        observer = Voter("klang-valley", "kl-a", "entry-x")
        session = Session(3, [observer])
        session.service(False)
        session.model.start_entry(observer.host)
        session.round(times=6)
        entry = session.model.entries[observer.host]
        self.assertTrue(entry.is_fresh(session.model.now_ms))
        session.cut_links((B, A), (C, A), (B, C))
        session.round(times=8)
        self.assertFalse(entry.votes())
        for host in (A, B, C):
            fresh = session.model.entries[host].is_fresh(session.model.now_ms)
            self.assertFalse(fresh, host)

    def test_single_voter_does_not_confirm_itself(self):
        """A region of one entry goes on alone while its only vote is in doubt.

        An observer answers it during an outage. One of one is a majority, but
        the entry may just be leaving the roster: a change accepted by the others
        need not have asked it.
        """
        session = Session(1, [Voter("klang-valley", "kl-a", "entry-x")])
        session.service(False)
        session.round(times=8)
        entry = session.model.entries[A]
        self.assertFalse(entry.is_fresh(session.model.now_ms))

    def test_roster_is_not_taken_without_its_placement(self):
        peer_session = Session()
        peer = peer_session.model.entries[B]
        entry = EntryConfiguration(A, "life-9", "klang-valley", "kl-a")
        asked = ask(entry, 0)[0]
        sound = peer.answer_question(asked.question)
        broken = PeerAnswer(
            asked.question, sound.report, sound.roster_document, b"{broken"
        )
        entry.handle(broken, 10)
        self.assertEqual(entry.roster.revision, 0)
        entry.handle(sound, 20)
        self.assertEqual(entry.roster.revision, 3)
        self.assertEqual(document_of(1).revision, entry.snapshot.revision)
