import random
import types
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_daemon.selection import Selection
from fuchsiahatch_membership.hosts import HostReport, HostRow, HostTable
from fuchsiahatch_placement.records import Place, Placement, Snapshot
from fuchsiahatch_routing.candidates import Target
from fuchsiahatch_routing.choice import better_of_two
from tests.golden import check_golden

TARGET = Target("brief-writer")
PLACES = {
    "dongara": Place("dongara", frozenset([Offer("brief-writer", "1")]), 50.0)
}  # fmt: skip
SNAPSHOT = Snapshot(1, {"skippers": Placement("skippers", PLACES)})


class SelectionCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.table = HostTable()
        self.table.replace_rows(map(self.row, range(3)))
        for number in range(3):
            self.report(number)
        self.selection = Selection(
            types.SimpleNamespace(snapshot=SNAPSHOT),
            types.SimpleNamespace(table=self.table),
            self.clock,
            better_of_two(random.Random(5)),
        )

    def row(self, number):
        address = f"127.0.0.1:{number}"
        place = (f"engine-{number}", "dongara", "midwest", "agent")
        return HostRow(*place, address, address, ("brief-writer@1",), leaving=False)

    def report(self, number, incarnation="a", in_flight=0, **fields):
        now_ms = self.clock.now_ms()
        load = {"in_flight": in_flight, "queued": 0, "limit": 8}
        report = HostReport(
            f"engine-{number}", incarnation, False, **load, heard_ms=now_ms, **fields
        )
        self.table.note_report(report)

    def select(self, tried=frozenset()):
        return self.selection.select("skippers", TARGET, b"", tried)

    def load_of(self, number):
        return self.selection.upstreams()[number].in_flight


class TestLeavingWhileTheListLags(SelectionCase):
    def test_leaving_upstream_gets_no_new_work(self):
        """Briefs go to an engine that is being taken down while the list lags.

        The host list and the last heartbeat still call it sound. It refuses, the
        entry tries elsewhere, and with the next brief all begins again.
        """
        lines = []

        def ask(label):
            chosen = self.select()
            home = chosen.upstream.home
            word = "answers"
            if home.host == "engine-1" and home.incarnation == "a":
                word = "refuses: leaving"
                self.selection.note_refusal(home, Code.LEAVING)
            lines.append(
                f"{self.clock.now_ms():>5} ms  {label}: {home.host}"
                f" life {home.incarnation} {word}"
            )

        for number in range(12):
            ask(f"brief {number}")
            self.clock.advance(100)
        for number in range(3):
            self.report(number)
        lines.append(f"{self.clock.now_ms():>5} ms  a heartbeat, as if not leaving")
        for number in range(12, 18):
            ask(f"brief {number}")
        self.report(1, incarnation="b")
        lines.append(f"{self.clock.now_ms():>5} ms  engine-1 is back in a new life")
        for number in range(18, 26):
            ask(f"brief {number}")
        check_golden(__file__, "leaving_while_list_lags", lines)
        self.assertEqual(sum("refuses" in line for line in lines), 1)
        self.assertTrue(any("life b answers" in line for line in lines))

    def test_other_refusals_do_not_mark_it(self):
        chosen = self.select()
        self.selection.note_refusal(chosen.upstream.home, Code.OVERLOADED)
        self.assertFalse(any(one.leaving for one in self.selection.upstreams()))


class TestLoad(SelectionCase):
    def test_own_work_is_not_counted_twice(self):
        """An entry shuns an engine that has only the entry's own work.

        The request counts as outstanding, and once more in the engine's report.
        """
        with self.selection.outstanding("engine-0"):
            self.assertEqual(self.load_of(0), 1)
            self.clock.advance(10)
            self.report(0, in_flight=1)
            self.assertEqual(self.load_of(0), 1)
            with self.selection.outstanding("engine-0"):
                self.assertEqual(self.load_of(0), 2)
        self.assertEqual(self.load_of(0), 0)

    def test_others_work_is_counted(self):
        self.report(2, in_flight=5)
        self.assertEqual(self.load_of(2), 5)

    def test_straggler_by_another_ranks_word(self):
        self.report(0, stragglers=("engine-2",))
        straggling = [one.straggling for one in self.selection.upstreams()]
        self.assertEqual(straggling, [False, False, True])

    def test_nothing_is_kept_of_replaced_hosts(self):
        for number in range(3, 40):
            self.table.replace_rows([self.row(number)])
            self.report(number)
            with self.selection.outstanding(f"engine-{number}"):
                self.selection.upstreams()
        self.assertLessEqual(len(self.selection._heard_ms), 3)
        self.assertLessEqual(len(self.selection._loads), 3)
