import asyncio
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.crashing_requests import (
    HOLD_MS,
    MOST_CRASHES,
    MOST_SUSPECTS,
    SUSPECT_MS,
    WHOLE_MS,
    CrashingRequests,
)
from fuchsiahatch_gateway.datagrams import (
    MOST_CRASHES_TOLD,
    Clearance,
    CrashNotice,
    decode,
    encode,
)
from tests.gateway.crash_model import Play
from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import Site, until
from tests.loopback import run

#: Ends of upstreams behind which a request may be sent on no more, and the sends behind
#: them that are borne.
MOST_ENDS, MOST_SENDS_BEHIND = 3, 3
#: Pause between two arrivals of the request: all upstreams are back meanwhile.
PAUSE_S = 0.4


async def come_again(site, upstreams, times, path="/safe/"):
    """Send the deadly request again and again, each time under another id."""
    replies = []
    for number in range(times):
        replies.append(await site.ask(path, request_id=f"d-{number}", body=DEADLY))
        await asyncio.sleep(PAUSE_S)
    return replies


class TestOneEntry(unittest.TestCase):
    def test_a_request_that_ended_three_upstreams_is_sent_to_no_further_ones(self):
        async def play():
            async with Site() as site:
                upstreams = [MortalUpstream(site, name) for name in "abcd"]
                site.upstreams = upstreams
                for one in upstreams:
                    await one.start()
                await until(lambda: len(site.entry.fleet.upstreams) == len(upstreams))
                await come_again(site, upstreams, 8)
                other = await site.ask("/safe/", request_id="q", body=b"harmless")
                return deadly_sends(upstreams), other.status

        sends, other = run(play())
        self.assertLessEqual(sends, MOST_ENDS + MOST_SENDS_BEHIND)
        self.assertEqual(other, 200)


class TestCount(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.told = []
        self.requests = CrashingRequests(self.clock, self.told.append)

    def crash(self, *lives, fingerprint="f"):
        for life in lives:
            self.requests.note_crash(fingerprint, life)

    def test_the_third_life_holds_a_request_back(self):
        self.crash("a@1", "b@1")
        self.assertEqual(self.requests.held_ms("f"), 0)
        self.crash("c@1")
        self.assertEqual(self.requests.held_ms("f"), HOLD_MS)
        self.assertEqual(self.requests.held_ms("another"), 0)

    def test_one_life_counts_once_whoever_saw_it_end(self):
        self.crash("a@1", "a@1", "b@1")
        self.requests.receive_notice(CrashNotice("f", ("a@1", "b@1")))
        self.assertEqual(self.requests.crashes("f"), 2)

    def test_a_later_life_of_the_same_instance_counts(self):
        self.crash("a@1", "a@2", "a@3")
        self.assertGreater(self.requests.held_ms("f"), 0)

    def test_a_lost_notice_is_made_up_for_by_the_next(self):
        self.crash("a@1", "b@1", "c@1")
        other = CrashingRequests(self.clock, lambda message: None)
        other.receive_notice(decode(encode(self.told[-1])))
        self.assertEqual(other.held_ms("f"), HOLD_MS)

    def test_a_whole_answer_clears_a_suspect_at_all_entries(self):
        self.crash("a@1", "b@1")
        self.requests.note_complete_answer("f")
        self.assertEqual(self.requests.crashes("f"), 0)
        other = CrashingRequests(self.clock, lambda message: None)
        other.receive_notice(CrashNotice("f", ("a@1", "b@1", "c@1")))
        other.receive_clearance(decode(encode(self.told[-1])))
        self.assertEqual((other.crashes("f"), other.held_ms("f")), (0, 0))

    def test_a_popular_request_stays_served_as_a_rack_loses_power(self):
        # It ran on all upstreams of the rack, and had whole answers a moment ago.
        self.requests.note_complete_answer("f")
        self.clock.advance(WHOLE_MS - 1)
        self.crash("a@1", "b@1", "c@1", "d@1")
        self.requests.receive_notice(CrashNotice("f", ("e@1", "g@1", "h@1")))
        self.assertEqual(self.requests.held_ms("f"), 0)

    def test_a_request_that_crashes_a_new_version_is_found_later(self):
        self.requests.note_complete_answer("f")
        self.clock.advance(WHOLE_MS)
        self.crash("a@1", "b@1", "c@1")
        self.assertGreater(self.requests.held_ms("f"), 0)

    def test_whoever_made_it_a_suspect_is_told_better_and_tells_all(self):
        # Popular at 41 entries, and whole at this one no minute ago: others counted it.
        self.crash("a@1")
        other = CrashingRequests(self.clock, lambda message: None)
        other.note_complete_answer("f")
        answer = other.receive_notice(self.told[-1])
        self.requests.receive_clearance(answer)
        self.requests.receive_clearance(answer)
        self.assertEqual(self.requests.crashes("f"), 0)
        self.assertEqual(self.told[1:], [Clearance("f")])

    def test_whole_answers_of_others_are_told_nobody(self):
        self.requests.note_complete_answer("f")
        self.assertEqual(self.told, [])

    def test_one_more_crash_behind_a_hold_holds_anew(self):
        self.crash("a@1", "b@1", "c@1")
        self.clock.advance(HOLD_MS)
        self.assertEqual(self.requests.held_ms("f"), 0)
        self.crash("d@1")
        self.assertEqual(self.requests.held_ms("f"), HOLD_MS)

    def test_old_crashes_are_forgotten(self):
        self.crash("a@1", "b@1")
        self.clock.advance(SUSPECT_MS + 1)
        self.crash("c@1")
        self.assertEqual(self.requests.crashes("f"), 1)

    def test_many_suspects_and_lives_take_no_more_memory(self):
        for number in range(MOST_SUSPECTS + 10):
            self.crash("a@1", fingerprint=f"f{number}")
        self.assertEqual(self.requests.suspects, MOST_SUSPECTS)
        self.crash(*(f"{number}@1" for number in range(3 * MOST_CRASHES_TOLD)))
        self.assertEqual(self.requests.crashes("f"), MOST_CRASHES_TOLD)
        decode(encode(self.told[-1]))

    def test_what_the_store_holds_is_held_as_long_as_it_says_so(self):
        self.requests.take_stored({"f"}, set())
        self.assertEqual(self.requests.held_ms("f"), HOLD_MS)
        self.assertEqual(self.requests.crashes("f"), MOST_CRASHES)
        self.clock.advance(2 * HOLD_MS)
        self.assertGreater(self.requests.held_ms("f"), 0)
        self.requests.take_stored(set(), set())
        self.assertEqual(self.requests.held_ms("f"), 0)

    def test_the_store_clears_what_was_counted(self):
        self.crash("a@1", "b@1", "c@1")
        self.requests.take_stored(set(), {"f"})
        self.assertEqual(self.requests.held_ms("f"), 0)

    def test_a_clearance_of_nothing_is_nothing(self):
        self.requests.receive_clearance(Clearance("f"))
        self.assertEqual(self.requests.suspects, 0)


def lose_a_rack(play):
    """Let half of the upstreams lose power at the same moment."""
    for life in tuple(play.lives)[::2]:
        play.crash(life)


def lose_a_rack_in_steps(play):
    """Let all upstreams but two go, one each 0.3 s."""
    for number, life in enumerate(tuple(play.lives)[2:]):
        play.loop.call_later(0.3 * number, play.crash, life)


class TestPlayed(unittest.TestCase):
    """Crashing requests among innocent ones, at 3 to 99 entries, in virtual time."""

    def check(self, play, most_refused=0):
        for number in range(play.crashers):
            behind = play.sends_behind(number)
            self.assertLessEqual(behind, MOST_SENDS_BEHIND, f"crasher {number}")
        self.assertLessEqual(play.ends["refused"], most_refused)
        self.assertGreater(play.ends["whole"], 1_000)

    def test_crashers_are_held_back_and_nobody_else(self):
        for entries in (3, 6, 41, 99):
            for crashers, at_once in ((1, 1), (1, 3), (4, 2)):
                with self.subTest(entries=entries, crashers=crashers, at_once=at_once):
                    self.check(Play(entries, 16, 2, crashers, at_once).play())

    def test_a_tenth_of_the_notices_is_lost(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                play = Play(41, crashers=2, at_once=2, lost_share=0.1, seed=seed)
                self.check(play.play())

    def test_ordinary_crashes_hold_nobody_back(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check(Play(6, crashers=0, ordinary_s=0.4, seed=seed).play())

    def test_a_rack_that_loses_power_holds_nobody_back(self):
        for lose in (lose_a_rack, lose_a_rack_in_steps):
            events = {at_s: lose for at_s in (5.0, 12.0, 19.0)}
            for seed in range(4):
                with self.subTest(lose=lose.__name__, seed=seed):
                    play = Play(6, crashers=1, events=events, seed=seed)
                    self.check(play.play())

    def test_a_crasher_costs_few_datagrams(self):
        # Three crashes, a few requests beside each, told to 98 others.
        play = Play(99, crashers=1).play()
        self.assertLess(play.bytes / play.entry_count, 3_000)


if __name__ == "__main__":
    unittest.main()
