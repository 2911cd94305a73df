import asyncio
import unittest
from types import SimpleNamespace

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.complete_answers import COMPLETE_ANSWER_TTL_MS
from fuchsiahatch_gateway.crash_evidence import (
    DOUBTFUL_HOLD_MS,
    HOLD_MS,
    MAX_CRASHES,
    Pattern,
)
from fuchsiahatch_gateway.crash_messages import (
    MAX_CRASHES_REPORTED,
    Clearance,
    CompleteAnswer,
)
from fuchsiahatch_gateway.crash_records import MAX_SUSPECTS, SUSPECT_TTL_MS
from fuchsiahatch_gateway.crashing_requests import CONFINEMENT_MS, CrashingRequests
from fuchsiahatch_gateway.datagrams import decode, encode
from fuchsiahatch_gateway.fingerprints import fingerprints_of
from tests.gateway.crash_model import Simulation, make_notice, whole
from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import HOST, Site, answers, until
from tests.gateway.sites import upstream as scripted
from tests.loopback import run

#: Crashes after which a request may no longer be sent, and the sends after them that
#: are allowed.
MAX_CRASHED, MAX_SENDS_AFTER = 3, 3
#: Interval between two arrivals of the request, in which all upstreams restart.
PAUSE_S = 0.4


async def send_repeatedly(site, upstreams, times, path="/safe/"):
    """Send the deadly request repeatedly, each time with another id."""
    replies = []
    for number in range(times):
        replies.append(await site.ask(path, request_id=f"d-{number}", body=DEADLY))
        await asyncio.sleep(PAUSE_S)
    return replies


class TestOneEntry(unittest.TestCase):
    def test_a_request_that_crashed_three_upstreams_is_sent_to_no_further_ones(self):
        async def play():
            async with Site() as site:
                upstreams = [MortalUpstream(site, name) for name in "abcd"]
                site.upstreams = upstreams
                for one in upstreams:
                    await one.start()
                await until(lambda: len(site.entry.fleet.upstreams) == len(upstreams))
                await send_repeatedly(site, upstreams, 8)
                other = await site.ask("/safe/", request_id="q", body=b"harmless")
                return deadly_sends(upstreams), other.status

        sends, other = run(play())
        self.assertLessEqual(sends, MAX_CRASHED + MAX_SENDS_AFTER)
        self.assertEqual(other, 200)

    def test_an_error_answer_of_an_upstream_clears_no_suspect(self):
        async def play():
            async with Site(scripted(answers(500), answers())) as site:
                crashing, suspects = site.entry.crashing, []
                exchange = SimpleNamespace(method=b"POST", target=b"/hold/", body=b"b")
                headers = SimpleNamespace(host=HOST, shared_parts=())
                request = fingerprints_of(exchange, headers, "team-a", "svc")
                crashing.note_crash("x@1", "svc", "", [request])
                for number in range(2):
                    await site.ask("/hold/", request_id=f"q-{number}", body=b"b")
                    suspects.append(crashing.suspects)
                return suspects

        self.assertEqual(run(play()), [1, 0])


F = Pattern(frozenset(("f",)))


class TestCount(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.sent = []
        self.requests = CrashingRequests(self.clock, self.sent.append)

    def crash(self, *incarnations, fingerprint="f"):
        for incarnation in incarnations:
            request = whole(fingerprint)
            self.requests.note_crash(incarnation, "svc", "", [request])

    def test_the_third_crash_holds_a_request_back(self):
        self.crash("a@1", "b@1")
        self.assertEqual(self.requests.held_ms(whole("f")), 0)
        self.crash("c@1")
        self.assertEqual(self.requests.held_ms(whole("f")), HOLD_MS)
        self.assertEqual(self.requests.held_ms(whole("another")), 0)

    def test_one_incarnation_counts_once_whichever_entries_detect_its_end(self):
        self.crash("a@1", "a@1", "b@1")
        self.requests.receive_notice(make_notice("f", ("a@1", "b@1")))
        self.assertEqual(self.requests.crashes(whole("f")), 2)

    def test_a_later_incarnation_of_the_same_instance_counts(self):
        self.crash("a@1", "a@2", "a@3")
        self.assertGreater(self.requests.held_ms(whole("f")), 0)

    def test_a_lost_notice_is_covered_by_the_next(self):
        self.crash("a@1", "b@1", "c@1")
        other = CrashingRequests(self.clock, lambda message: None)
        other.receive_notice(decode(encode(self.sent[-1])))
        self.assertEqual(other.held_ms(whole("f")), HOLD_MS)

    def test_a_complete_answer_clears_a_suspect_at_all_entries(self):
        self.crash("a@1", "b@1")
        self.requests.note_complete_answer(whole("f"))
        self.assertEqual(self.requests.crashes(whole("f")), 0)
        other = CrashingRequests(self.clock, lambda message: None)
        other.receive_notice(make_notice("f", ("a@1", "b@1", "c@1")))
        other.receive_clearance(decode(encode(self.sent[-1])))
        self.assertEqual((other.crashes(whole("f")), other.held_ms(whole("f"))), (0, 0))

    def test_a_popular_request_stays_served_when_a_rack_loses_power(self):
        # It ran on all upstreams of the rack, and had complete answers a moment ago.
        self.requests.note_complete_answer(whole("f"))
        self.clock.advance(COMPLETE_ANSWER_TTL_MS - 1)
        self.crash("a@1", "b@1", "c@1", "d@1")
        self.requests.receive_notice(make_notice("f", ("e@1", "g@1", "h@1")))
        self.assertEqual(self.requests.held_ms(whole("f")), 0)

    def test_a_request_that_crashes_a_new_version_is_detected_later(self):
        self.requests.note_complete_answer(whole("f"))
        self.clock.advance(COMPLETE_ANSWER_TTL_MS)
        self.crash("a@1", "b@1", "c@1")
        self.assertGreater(self.requests.held_ms(whole("f")), 0)

    def test_the_entry_that_made_it_a_suspect_forwards_a_clearance(self):
        # The request is popular at 41 entries and was completed at one of them less
        # than a minute ago, while others counted a crash against it.
        self.crash("a@1")
        other = CrashingRequests(self.clock, lambda message: None)
        other.note_complete_answer(whole("f"))
        answer = other.receive_notice(self.sent[-1])
        self.requests.receive_clearance(answer)
        self.requests.receive_clearance(answer)
        self.assertEqual(self.requests.crashes(whole("f")), 0)
        self.assertEqual(self.sent[1:], [Clearance((CompleteAnswer("f", 0),))])

    def test_complete_answers_of_requests_that_are_no_suspects_are_not_sent(self):
        self.requests.note_complete_answer(whole("f"))
        self.assertEqual(self.sent, [])

    def test_one_more_crash_after_a_hold_holds_it_again(self):
        self.crash("a@1", "b@1", "c@1")
        self.clock.advance(HOLD_MS)
        self.assertEqual(self.requests.held_ms(whole("f")), 0)
        self.crash("d@1")
        self.assertEqual(self.requests.held_ms(whole("f")), HOLD_MS)

    def test_the_team_whose_requests_crashed_is_held_alone(self):
        # It may name a prompt part of others beside a body that crashes.
        for number in range(3):
            bad = whole(f"b{number}", ("part",), team="bad")
            self.requests.note_crash(f"a@{number}", "svc", "", [bad])
        self.assertGreater(self.requests.held_ms(whole("n", ("part",), "bad")), 0)
        self.assertEqual(self.requests.held_ms(whole("n", ("part",), "good")), 0)
        good = whole("g", ("part",), team="good")
        self.requests.note_crash("a@3", "svc", "", [good])
        self.assertGreater(self.requests.held_ms(whole("n", ("part",), "third")), 0)

    def test_a_part_that_turns_bad_is_held_after_some_more_crashes(self):
        # It had complete answers until a moment ago: a new version may crash on it.
        self.requests.note_complete_answer(whole("n", ("part",)))
        for number in range(5):
            self.assertEqual(self.requests.held_ms(whole("m", ("part",))), 0)
            self.clock.advance(1_000)
            request = whole(f"r{number}", ("part",))
            self.requests.note_crash(f"a@{number}", "svc", "", [request])
        self.assertGreater(self.requests.held_ms(whole("m", ("part",))), 0)

    def test_what_a_known_cause_explains_counts_against_nothing_else(self):
        for number in range(3):
            requests = [whole(f"d{number}", ("deadly",)), whole("s", ("sound",))]
            self.requests.note_crash(f"a@{number}", "svc", "", requests[: 2 - number])
        last = [whole("d9", ("deadly",))]
        self.requests.note_crash("a@9", "svc", "", last)
        self.assertGreater(self.requests.held_ms(whole("n", ("deadly",))), 0)
        self.assertEqual(self.requests.held_ms(whole("n", ("sound",))), 0)

    def test_a_cause_stays_held_when_a_second_one_shares_a_crash_with_it(self):
        for number in range(8):
            requests = [whole("first")] if number < 3 else []
            requests += [whole("second")] if number >= 2 else []
            self.requests.note_crash(f"a@{number}", "svc", "", requests)
            if number >= 2:
                self.assertGreater(self.requests.held_ms(whole("first")), 0)
        self.assertGreater(self.requests.held_ms(whole("second")), 0)

    def test_parts_that_came_together_once_are_told_apart(self):
        crashes = [
            [whole("r0", ("deadly", "sound"))],
            [whole("r1", ("deadly",)), whole("s1", ("sound",))],
            [whole("r2", ("deadly",)), whole("s2", ("sound",))],
            [whole("r3", ("deadly",))],
        ]
        for number, requests in enumerate(crashes):
            self.requests.note_crash(f"a@{number}", "svc", "", requests)
        self.assertGreater(self.requests.held_ms(whole("n", ("deadly",))), 0)
        self.assertEqual(self.requests.held_ms(whole("n", ("sound",))), 0)

    def test_parts_that_came_together_once_amid_other_crashes_raise_no_error(self):
        for number in range(6):
            self.requests.note_crash(f"x@{number}", "svc", "", [whole(f"x{number}")])
        self.requests.note_crash("a@0", "svc", "", [whole("r0", ("p", "q"))])
        for number in range(1, 4):
            requests = [whole(f"r{number}", ("p",)), whole(f"s{number}", ("q",))]
            self.requests.note_crash(f"a@{number}", "svc", "", requests)
        for part in ("p", "q"):
            self.assertGreater(self.requests.held_ms(whole("n", (part,))), 0)

    def test_suspects_of_different_requests_wait_for_one_more_crash(self):
        for number in range(3):
            requests = [whole(f"d{number}", ("deadly",)), whole(f"s{number}", ("p",))]
            self.requests.note_crash(f"a@{number}", "svc", "", requests)
        self.assertEqual(self.requests.held_ms(whole("n", ("deadly",))), 0)
        self.requests.note_complete_answer(whole("m", ("p",)))
        self.assertGreater(self.requests.held_ms(whole("n", ("deadly",))), 0)
        self.assertEqual(self.requests.held_ms(whole("n", ("p",))), 0)

    def test_a_hold_amid_crashes_without_a_cause_ends_within_seconds(self):
        for number in range(6):
            self.requests.note_crash(f"x@{number}", "svc", "", [whole(f"x{number}")])
        self.crash("a@1", "b@1", "c@1")
        self.assertEqual(self.requests.held_ms(whole("f")), DOUBTFUL_HOLD_MS)
        self.crash("d@1")
        self.assertEqual(self.requests.held_ms(whole("f")), 2 * DOUBTFUL_HOLD_MS)

    def test_main_suspects_of_a_crash_are_sent_to_its_rank_group_only(self):
        requests = [whole("d", ("deadly",)), whole("s", ("sound",))]
        self.requests.note_complete_answer(whole("t", ("sound",)))
        self.clock.advance(1_000)
        self.requests.note_crash("a@1", "svc", "g1", requests)
        self.assertEqual(self.requests.confined_to(whole("n", ("deadly",))), "g1")
        self.assertEqual(self.requests.confined_to(whole("n", ("sound",))), "")
        self.assertEqual(self.requests.confined_to(whole("d")), "")
        self.requests.note_crash("b@1", "svc", "g2", [whole("d")])
        self.assertEqual(self.requests.confined_to(whole("d")), "g2")
        self.clock.advance(CONFINEMENT_MS)
        self.assertEqual(self.requests.confined_to(whole("n", ("deadly",))), "")

    def test_old_crashes_expire(self):
        self.crash("a@1", "b@1")
        self.clock.advance(SUSPECT_TTL_MS + 1)
        self.crash("c@1")
        self.assertEqual(self.requests.crashes(whole("f")), 1)

    def test_suspects_and_their_crashes_are_limited_in_number(self):
        for number in range(MAX_SUSPECTS + 10):
            self.crash("a@1", fingerprint=f"f{number}")
        self.assertEqual(self.requests.suspects, MAX_SUSPECTS)
        self.crash(*(f"{number}@1" for number in range(3 * MAX_CRASHES_REPORTED)))
        self.assertEqual(self.requests.crashes(whole("f")), MAX_CRASHES_REPORTED)
        decode(encode(self.sent[-1]))

    def test_a_stored_hold_lasts_as_long_as_it_is_in_the_store(self):
        self.requests.apply_stored({"f": F}, {})
        self.assertEqual(self.requests.held_ms(whole("f")), HOLD_MS)
        self.assertEqual(self.requests.crashes(whole("f")), MAX_CRASHES)
        self.clock.advance(2 * HOLD_MS)
        self.assertGreater(self.requests.held_ms(whole("f")), 0)
        self.requests.apply_stored({}, {})
        self.assertEqual(self.requests.held_ms(whole("f")), 0)

    def test_the_store_clears_what_was_counted(self):
        self.crash("a@1", "b@1", "c@1")
        self.requests.apply_stored({}, {"f": F})
        self.assertEqual(self.requests.held_ms(whole("f")), 0)

    def test_a_clearance_of_an_unknown_request_is_ignored(self):
        self.requests.receive_clearance(Clearance((CompleteAnswer("f", 0),)))
        self.assertEqual(self.requests.suspects, 0)


def lose_a_rack(simulation):
    """Crash half of the upstreams at the same moment."""
    for upstream in tuple(simulation.upstreams)[::2]:
        simulation.crash(upstream)


def lose_a_rack_in_steps(simulation):
    """Crash all upstreams but 2, one every 0.3 s."""
    for number, upstream in enumerate(tuple(simulation.upstreams)[2:]):
        simulation.loop.call_later(0.3 * number, simulation.crash, upstream)


class TestSimulation(unittest.TestCase):
    """Crashing requests among harmless ones, at 3 to 99 entries, in virtual time."""

    def check(self, simulation, max_refused=0):
        for number in range(simulation.crashers):
            sends = simulation.sends_after(number)
            self.assertLessEqual(sends, MAX_SENDS_AFTER, f"crasher {number}")
        self.assertLessEqual(simulation.ends["refused"], max_refused)
        self.assertGreater(simulation.ends["whole"], 1_000)

    def test_only_crashers_are_held_back(self):
        for entries in (3, 6, 41, 99):
            for crashers, at_once in ((1, 1), (1, 3), (4, 2)):
                with self.subTest(entries=entries, crashers=crashers, at_once=at_once):
                    self.check(Simulation(entries, 16, 2, crashers, at_once).play())

    def test_crashers_whose_callers_leave_before_the_crash_are_held_back(self):
        for entries in (3, 6, 41):
            for crashers, at_once in ((1, 1), (2, 2)):
                with self.subTest(entries=entries, crashers=crashers, at_once=at_once):
                    self.check(
                        Simulation(
                            entries,
                            crashers=crashers,
                            at_once=at_once,
                            crashers_leave=True,
                        ).play()
                    )

    def test_sound_requests_whose_callers_leave_are_not_held_back(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = Simulation(
                    6, crashers=1, ordinary_s=0.4, leave_share=0.3, seed=seed
                )
                self.check(simulation.play())

    def test_a_tenth_of_the_notices_is_lost(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = Simulation(
                    41, crashers=2, at_once=2, lost_share=0.1, seed=seed
                )
                self.check(simulation.play())

    def test_ordinary_crashes_hold_no_request_back(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check(Simulation(6, crashers=0, ordinary_s=0.4, seed=seed).play())

    def test_a_rack_that_loses_power_holds_no_request_back(self):
        for lose in (lose_a_rack, lose_a_rack_in_steps):
            events = {at_s: lose for at_s in (5.0, 12.0, 19.0)}
            for seed in range(4):
                with self.subTest(lose=lose.__name__, seed=seed):
                    simulation = Simulation(6, crashers=1, events=events, seed=seed)
                    self.check(simulation.play())

    def test_a_share_of_the_callers_sends_a_crasher_at_any_time(self):
        for seed, (share, deadly_s) in enumerate(
            ((0.03, (5.0, 25.0)), (0.01, (2.0, 26.0)), (0.1, (9.0, 21.0)))
        ):
            with self.subTest(share=share, deadly_s=deadly_s):
                simulation = Simulation(
                    6, crashers=0, deadly_share=share, deadly_s=deadly_s, seed=seed
                ).play()
                self.check(simulation)
                self.assertGreaterEqual(len(simulation.crashed_ms["deadly-0"]), 3)
                self.assertLessEqual(simulation.sends_after(0), MAX_SENDS_AFTER)

    def test_a_crasher_costs_few_datagrams(self):
        # Notices of 3 crashes and of a few requests beside each, to 98 entries.
        simulation = Simulation(99, crashers=1).play()
        self.assertLess(simulation.bytes / simulation.entry_count, 3_000)


if __name__ == "__main__":
    unittest.main()
