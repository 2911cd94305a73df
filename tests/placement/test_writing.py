"""Sessions of writes; each line says when and who."""

import random
import unittest

from fuchsiahatch_bench.placement_model import (
    PLACEMENT,
    ROSTER,
    SERVICE,
    Model,
    ServiceCall,
)
from fuchsiahatch_placement import writing
from fuchsiahatch_placement.acceptance import EntryConfiguration
from fuchsiahatch_placement.documents import (
    HISTORY_LENGTH,
    Change,
    next_document,
    read_document,
    write_document,
)
from fuchsiahatch_placement.rosters import Voter
from fuchsiahatch_placement.writing import Outcome
from tests.golden import check_golden
from tests.placement.samples import change, document_of, one_region

FAR = [Voter("midwest", zone, f"far-{zone}") for zone in ("dongara", "kalbarri")]


def in_flight(model, kind, target=SERVICE):
    """Return the first message of a kind towards a target."""
    return next(
        one
        for one in model.messages
        if one.target == target
        and isinstance(
            one.body.call if isinstance(one.body, ServiceCall) else one.body, kind
        )
    )


class WritingCase(unittest.TestCase):
    def setUp(self):
        self.model = Model(one_region(3))
        self.round()

    def round(self, times=1, silent=()):
        for _ in range(times):
            self.model.advance(500)
            for host in sorted(self.model.entries.keys() - set(silent)):
                self.model.tick_entry(host)
            self.deliver(silent)

    def deliver(self, silent=()):
        while reachable := [
            one
            for one in self.model.messages
            if not {one.source, one.target} & set(silent)
        ]:
            self.model.deliver(reachable[0])

    def forward(self, writer, kind):
        """Deliver until a call of a kind is on its way to the service."""
        while not any(
            one.source == writer.name and isinstance(one.body.call, kind)
            for one in self.model.messages
            if isinstance(one.body, ServiceCall)
        ):
            self.model.deliver(
                next(
                    one
                    for one in self.model.messages
                    if writer.name in (one.source, one.target)
                )
            )

    def revisions(self):
        value, _ = self.model.values[PLACEMENT]
        return [(one.revision, one.change_id) for one in read_document(value).history]


class TestRace(WritingCase):
    def test_two_operators_race(self):
        """Two operators change the same record, and one change vanishes.

        Both read revision 1 and write. The second must be told that it lost, and
        to which revision, and nothing of its change may be in force.
        """
        first = self.model.begin_write(expected_revision=1)
        second = self.model.begin_write(expected_revision=1)
        self.forward(first, writing.SwapDocument)
        self.forward(second, writing.SwapDocument)
        self.round(10)
        third = self.model.begin_write(expected_revision=1)
        self.deliver()
        self.assertIs(first.end.outcome, Outcome.ACCEPTED)
        self.assertIs(second.end.outcome, Outcome.CONFLICT)
        self.assertIs(third.end.outcome, Outcome.CONFLICT)
        check_golden(__file__, "operators_race", self.model.log)


class TestLostAnswer(WritingCase):
    def lose_swap(self, writer, landed):
        self.forward(writer, writing.SwapDocument)
        call = in_flight(self.model, writing.SwapDocument)
        if landed:
            self.model.deliver(call)
            call = in_flight(self.model, writing.SwapDone, writer.name)
        self.model.lose(call)

    def test_landed(self):
        """An operator is told `failed`, retries, and the change is made twice.

        The write took effect and only its answer was lost. The history names the
        change, so the write is told as committed.
        """
        writer = self.model.begin_write()
        self.lose_swap(writer, landed=True)
        self.round(10)
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)
        self.assertEqual(self.revisions()[-1], (2, "change-1"))
        check_golden(__file__, "lost_answer_landed", self.model.log)

    def test_not_landed(self):
        """The request was lost, so the same compare-and-swap is sent again."""
        writer = self.model.begin_write()
        self.lose_swap(writer, landed=False)
        self.round(10)
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)
        self.assertEqual(len(self.revisions()), 2)

    def test_landed_and_moved_on(self):
        """A change that landed is told as a conflict, as others came after it."""
        writer = self.model.begin_write()
        self.lose_swap(writer, landed=True)
        value, version = self.model.values[PLACEMENT]
        later = next_document(read_document(value), 2, change(99), ())
        self.model.values[PLACEMENT] = (write_document(later), version + 1)
        self.round(10)
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)
        self.assertEqual(writer.end.revision, 2)

    def test_first_try_lands_after_the_second_was_sent(self):
        """The second try is refused by the first, and is told as a conflict.

        The first request hangs in the network past its timeout. The re-read
        finds nothing, the second try is sent, and then the first one lands.
        """
        writer = self.model.begin_write()
        self.forward(writer, writing.SwapDocument)
        first = in_flight(self.model, writing.SwapDocument)
        self.model.give_up_waiting(first)
        late = next(one for one in self.model.messages if one.source == "gone")
        self.model.messages.remove(late)
        self.forward(writer, writing.SwapDocument)
        self.model.messages.insert(0, late)
        self.round(10)
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)
        self.assertEqual(self.revisions(), [(1, "change-0"), (2, "change-1")])
        check_golden(__file__, "first_try_lands_late", self.model.log)

    def test_history_no_longer_reaches_back(self):
        """A change is told as failed only because it was long ago."""
        writer = self.model.begin_write()
        self.lose_swap(writer, landed=True)
        value, version = self.model.values[PLACEMENT]
        document = read_document(value)
        for number in range(2, HISTORY_LENGTH + 3):
            document = next_document(document, number, change(100 + number), ())
        self.model.values[PLACEMENT] = (write_document(document), version + 1)
        self.round()
        self.assertIs(writer.end.outcome, Outcome.UNDECIDED)

    def test_service_gone_before_it_could_say(self):
        """Without an answer the end is `undecided`, never `failed`."""
        writer = self.model.begin_write()
        self.lose_swap(writer, landed=True)
        self.model.service_up = False
        self.round(34)
        self.assertIs(writer.end.outcome, Outcome.UNDECIDED)
        check_golden(__file__, "undecided", self.model.log)

    def test_same_id_again_finds_the_change(self):
        writer = self.model.begin_write()
        self.round(10)
        calls = []

        def propose(base):
            calls.append(base)
            return base

        again = writing.Write("change-1", propose, self.model.now_ms)
        again.start()
        value, version = self.model.values[PLACEMENT]
        effects = again.handle(writing.DocumentRead(value, version), 0)
        self.assertEqual(effects, [writing.ReadRoster()])
        self.assertEqual(calls, [])
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)


class TestAcknowledgement(WritingCase):
    def setUp(self):
        self.model = Model([*one_region(3), *FAR])
        self.round()

    def test_pending_names_who_is_missing_by_region_and_zone(self):
        """An operator thinks a team is locked out, but one region never heard.

        A region is cut off. The change is committed, has its majority in the
        other region, and must not be told as accepted.
        """
        cut = [voter.host for voter in FAR]
        writer = self.model.begin_write()
        self.round(34, silent=cut)
        self.assertIs(writer.end.outcome, Outcome.PENDING)
        self.assertEqual(writer.end.missing, tuple(FAR))
        check_golden(__file__, "pending", self.model.log)

    def test_one_of_two_is_no_majority(self):
        writer = self.model.begin_write()
        self.round(20, silent=["far-dongara"])
        self.assertIsNone(writer.end)

    def test_accepted_only_when_old_freshness_has_passed(self):
        """An operator reads `accepted`, and a second later a request gets through.

        An entry that asked just before the change was acknowledged is fresh for
        three seconds more, under the old revision.
        """
        writer = self.model.begin_write()
        self.round(8)
        self.assertIsNone(writer.end)
        self.round(2)
        self.assertIs(writer.end.outcome, Outcome.ACCEPTED)


class TestRoster(WritingCase):
    def test_a_second_change_waits_for_the_first(self):
        """Two entries are exchanged at once, and an accepted change is missed.

        Majorities of rosters two hosts apart need not meet. The second change
        must wait until the first was acknowledged by the roster before it, and
        is refused as not written when it never is.
        """
        observers = [Voter("klang-valley", "kl-a", f"new-{name}") for name in "xy"]
        self.model = Model(one_region(3), observers)
        self.round()
        first = self.model.begin_roster_write("new-x")
        self.round(7)
        self.round(1, silent=["entry-a", "entry-b"])
        self.assertEqual(self.model.values[ROSTER][1], 2)
        second = self.model.begin_roster_write("new-y")
        self.round(8, silent=["entry-a", "entry-b"])
        self.assertIsNone(first.end)
        self.assertIsNone(second.end)
        self.round(30)
        self.assertIs(first.end.outcome, Outcome.ACCEPTED)
        self.assertIs(second.end.outcome, Outcome.ACCEPTED)
        check_golden(__file__, "roster_changes", self.model.log)

    def test_roster_before_never_acknowledged(self):
        writer = self.model.begin_roster_write("entry-c")
        self.round(34, silent=["entry-a", "entry-b", "entry-c"])
        self.assertIs(writer.end.outcome, Outcome.REFUSED)
        self.assertIn("nothing was written", writer.end.detail)
        self.assertEqual(self.model.values[ROSTER][1], 1)


class TestRefusals(WritingCase):
    def test_service_down_before_the_read(self):
        self.model.service_up = False
        writer = self.model.begin_write()
        self.round(34)
        self.assertIs(writer.end.outcome, Outcome.REFUSED)
        self.assertIn("nothing was written", writer.end.detail)

    def test_nothing_to_change_waits_for_what_is_there(self):
        write = writing.Write("change-7", lambda base: base, 0)
        value = write_document(document_of(1))
        effects = write.handle(writing.DocumentRead(value, 4), 0)
        self.assertEqual(effects, [writing.ReadRoster()])
        write.handle(writing.RosterRead(b""), 0)
        (end,) = write.handle(writing.Tick(), 4_000)
        self.assertIs(end.outcome, Outcome.ACCEPTED)
        self.assertTrue(write.done)
        self.assertEqual(write.handle(writing.Tick(), 5_000), [])

    def test_too_large_document_is_refused(self):
        def propose(base):
            made = Change(0, "change-7", 0, "aminah", "x" * 1_000_000)
            return next_document(base, 0, made, ())

        write = writing.Write("change-7", propose, 0)
        (end,) = write.handle(writing.DocumentRead(b"", 0), 0)
        self.assertIs(end.outcome, Outcome.REFUSED)


class TestAnyOrder(unittest.TestCase):
    def test_any_event_in_any_state_ends_at_most_once(self):
        """A late answer stops the operator's command with a traceback.

        Answers to calls that timed out arrive in states that no longer wait for
        them; none may raise, and none may tell a second end.
        """
        first = write_document(document_of(1))
        for seed in range(300):
            rng = random.Random(seed)
            write = writing.Write("change-7", self.next_of, 0, seed % 2 == 0)
            write.start()
            effects = []
            for step in range(40):
                event = rng.choice(self.events(first))
                effects += write.handle(event, step * 600)
            ends = [one for one in effects if isinstance(one, writing.Finished)]
            with self.subTest(seed=seed):
                self.assertLessEqual(len(ends), 1)
                self.assertEqual(write.done, bool(ends))

    @staticmethod
    def next_of(base):
        return next_document(base, base.revision, change(7), ())

    def events(self, first):
        landed = write_document(self.next_of(read_document(first)))
        other = write_document(document_of(2))
        report = EntryConfiguration("a", "1", "r", "z").report()
        return (
            writing.DocumentRead(first, 1),
            writing.DocumentRead(landed, 2),
            writing.DocumentRead(other, 2),
            writing.DocumentRead(b"{broken", 3),
            writing.ServiceFailed("timeout"),
            writing.SwapDone(True),
            writing.SwapDone(False),
            writing.SwapAmbiguous(),
            writing.RosterRead(b""),
            writing.RosterRead(b"{broken"),
            writing.Reported(report),
            writing.Tick(),
        )
