import random
import unittest

from fuchsiahatch_membership.heartbeats import (
    BEATS_PER_MESSAGE,
    ENTRY_SUSPECT_AFTER_MS,
    NEWS_FAN_OUT,
    Beat,
    BeatsHeard,
    Described,
    Heartbeats,
    HostReported,
    RevisionHeard,
    SendBeats,
    Tick,
)
from fuchsiahatch_membership.hosts import HostTable
from tests.golden import check_golden

PERIOD_MS = 1_000
LEAVING = Described(True, 0, 0, 0)


class Region:
    """Entries of one region whose messages arrive at once, if not lost."""

    def __init__(self, count, seed=1, loss_percent=0):
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.loss_percent = loss_percent
        self.hosts = [f"entry-{number:02}" for number in range(count)]
        self.dead = set()
        self.most_beats = self.most_peers = 0
        self.reports = {host: {} for host in self.hosts}
        self.parts = {
            host: Heartbeats(host, "1", random.Random(f"{seed}-{host}"))
            for host in self.hosts
        }

    def rounds(self, count):
        for _ in range(count):
            self.now_ms += PERIOD_MS
            for host in self.hosts:
                peers = tuple(other for other in self.hosts if other != host)
                self.tell(host, Tick(peers))

    def tell(self, host, event):
        if host in self.dead:
            return
        for effect in self.parts[host].handle(event, self.now_ms):
            self.do(host, effect)

    def do(self, host, effect):
        if isinstance(effect, HostReported):
            self.reports[host][effect.report.host] = effect.report
        if isinstance(effect, SendBeats):
            self.most_beats = max(self.most_beats, len(effect.beats))
            self.most_peers = max(self.most_peers, len(effect.hosts))
            for peer in effect.hosts:
                self.exchange(host, peer, effect.beats)

    def exchange(self, host, peer, beats):
        if peer in self.dead or self.rng.uniform(0, 100) < self.loss_percent:
            return
        answer = self.parts[peer].reply(self.now_ms)
        self.tell(peer, BeatsHeard(beats))
        self.tell(host, BeatsHeard(answer))

    def knowing_leaving(self, host):
        return [
            other
            for other in self.hosts
            if other != host and getattr(self.reports[other].get(host), "leaving", 0)
        ]

    def ages_ms(self):
        return [
            self.now_ms - getattr(self.reports[host].get(other), "heard_ms", 0)
            for host in self.hosts
            for other in self.hosts
            if other != host
        ]


class TestLeaving(unittest.TestCase):
    def test_leaving_is_forwarded_at_once(self):
        """Guards against lookups that name an entry that is leaving.

        The host list shows it seconds later; until then lookup on another entry
        would send callers to the one that is closing, and their first try is lost.
        """
        for count in (3, 7):
            with self.subTest(count=count):
                region = Region(count)
                region.rounds(3)
                region.tell("entry-01", LEAVING)
                self.assertEqual(len(region.knowing_leaving("entry-01")), count - 1)

    def test_reaches_a_large_region_without_a_full_mesh(self):
        region = Region(82)
        region.rounds(10)
        region.tell("entry-01", LEAVING)
        at_once = len(region.knowing_leaving("entry-01"))
        region.rounds(2)
        self.assertGreater(at_once, 60)
        self.assertEqual(len(region.knowing_leaving("entry-01")), 81)
        self.assertEqual(region.most_peers, NEWS_FAN_OUT)
        self.assertEqual(region.most_beats, BEATS_PER_MESSAGE)


class TestLiveness(unittest.TestCase):
    def test_seven_entries_are_known_alive_despite_loss(self):
        for loss_percent in (0, 20):
            with self.subTest(loss_percent=loss_percent):
                region = Region(7, loss_percent=loss_percent)
                region.rounds(60)
                self.assertLess(max(region.ages_ms()), ENTRY_SUSPECT_AFTER_MS)

    def test_most_of_a_large_region_are_known_alive(self):
        region = Region(82)
        region.rounds(15)
        ages_ms = sorted(region.ages_ms())
        most = ages_ms[len(ages_ms) * 9 // 10]
        self.assertLess(most, ENTRY_SUSPECT_AFTER_MS)

    def test_dead_entry_is_not_kept_alive_by_relayed_heartbeats(self):
        """Guards against relayed heartbeats keeping a dead entry in the lookup.

        Its last heartbeats still circulate among the other entries; if receiving
        them again counted as a sign of life, lookup would name it meanwhile.
        """
        region = Region(40)
        region.rounds(10)
        region.dead.add("entry-01")
        died_ms = region.now_ms
        region.rounds(30)
        heard = [
            region.reports[host]["entry-01"].heard_ms
            for host in region.hosts
            if host not in region.dead
        ]
        self.assertLessEqual(max(heard), died_ms)

    def test_late_heartbeat_of_an_earlier_incarnation_is_not_reported(self):
        part = Heartbeats("entry-00", "1", random.Random(1))
        table = HostTable()
        part.handle(BeatsHeard((Beat("entry-01", "new", 3),)), 5_000)
        late = Beat("entry-01", "old", 90, age_ms=4_000, leaving=True)
        for effect in part.handle(BeatsHeard((late,)), 5_100):
            if isinstance(effect, HostReported):
                table.note_report(effect.report)
                self.assertEqual(effect.report.incarnation, "new")
                self.assertFalse(effect.report.leaving)


class TestNews(unittest.TestCase):
    def test_session(self):
        part = Heartbeats("entry-a", "1", random.Random(1))
        lines = []

        def tell(now_ms, event):
            lines.append(f"{now_ms} {event}")
            lines.extend(f"  -> {show(one)}" for one in part.handle(event, now_ms))

        tell(1_000, Tick(("entry-b", "entry-c")))
        tell(1_200, Described(False, 7, 1, 0))
        tell(1_300, Described(False, 7, 1, 5))
        tell(1_400, BeatsHeard((Beat("entry-b", "1", 4, 0, False, 8, 1),)))
        tell(1_500, BeatsHeard((Beat("entry-c", "1", 9, 300, True, 7, 1),)))
        tell(1_600, BeatsHeard((Beat("entry-c", "1", 9, 400, True, 7, 1),)))
        tell(2_000, Described(True, 8, 1, 5))
        check_golden(__file__, "heartbeats_news", lines)

    def test_a_revision_is_news_once(self):
        part = Heartbeats("entry-a", "1", random.Random(1))
        first = part.handle(BeatsHeard((Beat("entry-b", "1", 1, revision=4),)), 0)
        again = part.handle(BeatsHeard((Beat("entry-b", "1", 2, revision=4),)), 0)
        self.assertIn(RevisionHeard(4, 0), first)
        self.assertNotIn(RevisionHeard(4, 0), again)


def show(effect):
    if not isinstance(effect, HostReported):
        return effect
    report = effect.report
    state = "leaving" if report.leaving else "staying"
    who = f"{report.host}/{report.incarnation}"
    return f"{who} {state}, {report.in_flight} open, heard at {report.heard_ms} ms"
