"""Prompt parts that crash each upstream that begins to answer on them."""

import asyncio
import collections
import itertools
import random
import unittest
from types import SimpleNamespace

from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.fingerprints import fingerprints_of
from tests.gateway.crash_model import Simulation
from tests.gateway.mortal_upstreams import MortalUpstream
from tests.gateway.sites import HOST, Site, answers, streams, until, waits
from tests.loopback import run

#: The stated limits: crashes under one part, and requests with it that are sent later
#: than `STABLE_S` after the last of these.
MAX_CRASHES, MAX_SENDS_AFTER, STABLE_S = 5, 3, 3.0
#: Share of the sound requests that must be answered at their first attempt.
MIN_ANSWERED = 0.5
DEADLY_PART, FIRST_PART = "dead0a", "f1f1"
UPSTREAMS = 6
PLAY_S, DEADLY_INTERVAL_S, SOUND_INTERVAL_S = 8.0, 0.25, 0.0625


def parts_of(request):
    """Return the ids of a received request's prompt parts but the last."""
    value = request.headers.get("fuchsiahatch-prompt-prefix", "")
    ids = [entry.partition(":")[0].strip().lower() for entry in value.split(",")]
    return ids[:-1]


def has_deadly_part(request):
    return DEADLY_PART in parts_of(request)


async def ask_with_part(site, request_id):
    headers = [("Fuchsiahatch-Prompt-Prefix", f"a1:40,{DEADLY_PART}:9,{request_id}:5")]
    body = request_id.encode()
    return await site.ask("/chat/", request_id=request_id, body=body, headers=headers)


def popular(number):
    """Return the prefix of a sound request, among five that come again."""
    return f"{FIRST_PART}:40,a{number % 5}:20,{number:06x}:500"


class Play:
    """Deadly requests among sound ones of the same caller, at one entry.

    Parameters
    ----------
    deadly_prefix, sound_prefix : callable
        Returns the prompt prefix of the request with a number; None for no header.
    """

    def __init__(self, deadly_prefix, sound_prefix=popular):
        self.deadly_prefix, self.sound_prefix = deadly_prefix, sound_prefix
        self.crashed_s, self.deadly_sent_s = [], []
        self.sound_ends = collections.defaultdict(list)

    async def run(self):
        loop = asyncio.get_running_loop()
        self.now_s = loop.time
        async with Site() as site:
            self.site = site
            site.upstreams = [self._make_upstream(site, at) for at in range(UPSTREAMS)]
            for one in site.upstreams:
                await one.start()
            await until(lambda: len(site.entry.fleet.upstreams) == UPSTREAMS)
            self.began_s = self.now_s()
            await asyncio.gather(
                self._send_all(self.deadly_prefix, DEADLY_INTERVAL_S, "d"),
                self._send_all(self.sound_prefix, SOUND_INTERVAL_S, "s"),
            )
        return self

    def _make_upstream(self, site, number):
        def is_deadly(request):
            if not has_deadly_part(request):
                return False
            self.deadly_sent_s.append(self.now_s())
            return True

        one = MortalUpstream(
            site, f"u{number}", 0.5, delayed_answer, is_deadly, crash_after_s=0.03
        )
        end = one.end

        async def end_once():
            self.crashed_s.append(self.now_s())
            await end()

        one.end = end_once
        return one

    async def _send_all(self, prefix, interval_s, name):
        sending = []
        for number in itertools.count():
            at_s = self.began_s + number * interval_s
            if at_s > self.began_s + PLAY_S:
                break
            await asyncio.sleep(max(0.0, at_s - self.now_s()))
            value = prefix(number)
            headers = [] if value is None else [("Fuchsiahatch-Prompt-Prefix", value)]
            asking = self.site.ask(
                "/safe/",
                request_id=f"{name}-{number}",
                body=b"%d" % number,
                headers=headers,
            )
            sending.append(asyncio.ensure_future(self._note_end(asking, name, at_s)))
        await asyncio.gather(*sending)

    async def _note_end(self, asking, name, sent_s):
        reply = await asking
        if name == "s":
            self.sound_ends[sent_s].append(reply.status)

    @property
    def sends_after(self):
        """Deadly requests that were sent long after the fifth crash."""
        if len(self.crashed_s) < MAX_CRASHES:
            return 0
        stable_s = sorted(self.crashed_s)[MAX_CRASHES - 1] + STABLE_S
        return sum(sent_s > stable_s for sent_s in self.deadly_sent_s)

    @property
    def sound_share(self):
        """Share of the sound requests that are answered in the last two seconds."""
        ends = [
            status
            for sent_s, statuses in self.sound_ends.items()
            if sent_s > self.began_s + PLAY_S - 2.0
            for status in statuses
        ]
        return ends.count(200) / len(ends)


async def delayed_answer(request, wire):
    await asyncio.sleep(0.05)
    await answers()(request, wire)


class TestOneEntry(unittest.TestCase):
    def check(self, **plays):
        async def play_all():
            return await asyncio.gather(*(one.run() for one in plays.values()))

        for name, play in zip(plays, run(play_all()), strict=True):
            with self.subTest(name):
                self.assertGreaterEqual(len(play.crashed_s), 3)
                self.assertLessEqual(play.sends_after, MAX_SENDS_AFTER)
                self.assertLessEqual(len(play.crashed_s), MAX_CRASHES)
                self.assertGreaterEqual(play.sound_share, MIN_ANSWERED)

    def test_a_part_that_crashes_upstreams_is_held_back(self):
        spelling = itertools.cycle((DEADLY_PART, DEADLY_PART.upper(), " dead0a "))
        self.check(
            middle=Play(lambda at: f"{FIRST_PART}:40,{DEADLY_PART}:9,{at:06x}:500"),
            first=Play(lambda at: f"{DEADLY_PART}:9,a{at % 5}:20,{at:06x}:500"),
            spelled=Play(
                lambda at: f"{FIRST_PART}:40 , {next(spelling)}:{at},{at:06x}:500"
            ),
        )

    def test_sound_requests_beside_such_a_part_stay_served(self):
        values = itertools.cycle((None, "", ",,,", ":::", "zz;9", "x" * 9_000))
        self.check(
            new_parts=Play(
                lambda at: f"{FIRST_PART}:40,{DEADLY_PART}:9,{at:06x}:500",
                lambda at: f"{FIRST_PART}:40,{random.getrandbits(40):x}:5,{at:06x}:500",
            ),
            unreadable=Play(
                lambda at: f"{FIRST_PART}:40,{DEADLY_PART}:9,{at:06x}:500",
                lambda at: next(values),
            ),
            # Sound requests have the rare part only once the crashing one is known.
            rare_neighbour=Play(
                lambda at: f"e4e4:40,{DEADLY_PART}:9,{at:06x}:500",
                lambda at: f"{'e4e4' if at > 60 else FIRST_PART}:40,b:1,{at:06x}:500",
            ),
        )


class TestLastPart(unittest.TestCase):
    def test_a_last_part_is_never_held_back(self):
        play = run(
            Play(
                lambda at: f"{FIRST_PART}:40,a1:20,{DEADLY_PART}:500",
                lambda at: f"{FIRST_PART}:40,a1:20,{DEADLY_PART}:500",
            ).run()
        )
        self.assertEqual((play.crashed_s, play.sound_share), ([], 1.0))


class TestTwoRankGroups(unittest.TestCase):
    """Two upstreams, each the only member of its rank group."""

    def play(self, scenario, *scripts, crash_after_s=0.03, is_deadly=has_deadly_part):
        async def main():
            async with Site() as site:
                site.upstreams = [
                    MortalUpstream(site, f"u{at}", 3.0, script, is_deadly)
                    for at, script in enumerate(scripts)
                ]
                for one in site.upstreams:
                    one.crash_after_s = crash_after_s
                    await one.start()
                fleet = site.entry.fleet
                await until(lambda: len(fleet.upstreams) == len(scripts))
                # The first one has the lower load, so that it is chosen first.
                for at, one in enumerate(site.upstreams):
                    address = str(fleet.upstreams[one.instance].entry.address)
                    fleet.observe(
                        LoadReport(address, 0, 3 * at, 1.0, True, f"g{at}", 9.0)
                    )
                return await scenario(site)

        return run(main())

    def test_a_suspected_part_is_not_sent_to_the_other_group(self):
        async def scenario(site):
            first = await ask_with_part(site, "d-1")
            again = [await ask_with_part(site, f"d-{at}") for at in (2, 3)]
            other = await site.ask("/safe/", request_id="q", body=b"q")
            sends = [len(one.received) for one in site.upstreams]
            return first, again, other.status, sends

        first, again, other, sends = self.play(scenario, answers(), answers())
        self.assertEqual((first.status, other, sends), (502, 200, [1, 1]))
        for reply in again:
            self.assertEqual(reply.status, 503)
            self.assertIn(b"CRASHES_UPSTREAMS", reply.body)
            self.assertLess(float(reply.headers["retry-after"]), 5)

    def test_a_suspected_part_that_waits_at_the_other_group_is_withdrawn(self):
        async def scenario(site):
            one, other = site.upstreams
            one.is_deadly = lambda request: request.request_id == "d-1"
            other.is_deadly = lambda request: False
            asking = asyncio.ensure_future(ask_with_part(site, "d-1"))
            await until(lambda: one.received)
            fleet = site.entry.fleet
            fleet.upstreams[one.instance].closed_until_ms = (
                site.entry._clock.now_ms() + 50
            )
            waiting = asyncio.ensure_future(ask_with_part(site, "d-2"))
            await until(lambda: other.received)
            replies = await asyncio.gather(asking, waiting)
            await until(lambda: other.left)
            return [reply.status for reply in replies], len(other.received)

        statuses, sends = self.play(scenario, answers(), waits, crash_after_s=0.2)
        self.assertEqual((statuses, sends), ([502, 502], 1))

    def test_other_requests_leave_a_stalled_group_at_once(self):
        async def scenario(site):
            one, other = site.upstreams
            asking = asyncio.ensure_future(
                site.ask("/chat/", request_id="q", body=b"q")
            )
            await until(lambda: one.received)
            began_s = asyncio.get_running_loop().time()
            crashed = site.entry.fleet.upstreams[one.instance].incarnation
            site.entry.crashing.note_crash(crashed, "svc", "g0", [])
            reply = await asking
            took_s = asyncio.get_running_loop().time() - began_s
            return reply.status, took_s, len(other.received)

        status, took_s, sends = self.play(scenario, waits, streams(1, 3))
        self.assertEqual((status, sends), (200, 1))
        self.assertLess(took_s, 0.5)

    def test_notices_that_come_together_withdraw_a_request_once(self):
        async def scenario(site):
            one, _ = site.upstreams
            asking = asyncio.ensure_future(ask_with_part(site, "q"))
            await until(lambda: one.received)
            exchange = SimpleNamespace(method=b"POST", target=b"/chat/", body=b"q")
            headers = SimpleNamespace(host=HOST, shared_parts=())
            request = fingerprints_of(exchange, headers, "team-a", "svc")
            for at in range(3):
                site.entry.crashing.note_crash(f"x@{at}", "svc", "", [request])
            for _ in range(3):
                await asyncio.sleep(0)
                site.entry.delivery.withdraw_suspects()
            return (await asking).status

        status = self.play(scenario, waits, waits, is_deadly=lambda request: False)
        self.assertEqual(status, 502)


class TestManyEntries(unittest.TestCase):
    """Deadly parts among sound ones at many entries, in virtual time."""

    def play(self, deadly_parts, sound_parts=None, entries=6, **options):
        options = {
            "upstreams": 16,
            "groups": 2,
            "crashers": 0,
            "stalls": True,
        } | options
        return Simulation(
            entries,
            deadly_parts=deadly_parts,
            sound_parts=sound_parts or popular_parts,
            **options,
        ).play()

    def check(self, simulation, deadly="deadly", first_part=None):
        self.assertGreaterEqual(len(simulation.crashed_ms[deadly]), 3)
        self.assertLessEqual(
            simulation.sends_behind(deadly, MAX_CRASHES), MAX_SENDS_AFTER
        )
        self.assertLessEqual(len(simulation.crashed_ms[deadly]), MAX_CRASHES)
        self.assertGreaterEqual(simulation.sound_share(deadly), 0.95)
        if first_part is not None:
            share = simulation.sound_share(deadly, first_part)
            self.assertGreaterEqual(share, 0.95)

    def test_a_part_is_held_wherever_it_stands_and_whatever_its_neighbours(self):
        places = {
            "middle": lambda at: (popular_part(at), "deadly"),
            "first": lambda at: ("deadly", popular_part(at)),
            "alone": lambda at: ("deadly",),
            "beside new parts": lambda at: (f"n{at}", "deadly", f"m{at}"),
        }
        for name, deadly_parts in places.items():
            for entries, seed in itertools.product((1, 6, 41), range(3)):
                with self.subTest(name, entries=entries, seed=seed):
                    self.check(self.play(deadly_parts, entries=entries, seed=seed))

    def test_a_sound_part_that_all_deadly_requests_have_stays_served(self):
        # No other request had the part before they were held.
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = self.play(
                    lambda at: ("rare", "deadly"),
                    lambda at: ("rare",) if at > 1_500 and at % 5 == 0 else ("a", "b"),
                    for_s=40.0,
                    seed=seed,
                )
                self.check(simulation, first_part="rare")

    def test_parts_that_are_never_seen_again_stay_served(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = self.play(
                    lambda at: (popular_part(at), "deadly"),
                    lambda at: (f"new-{at}", f"other-{at}"),
                    seed=seed,
                )
                self.check(simulation)

    def test_a_tenth_of_the_notices_is_lost(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = self.play(
                    lambda at: (popular_part(at), "deadly"),
                    entries=41,
                    lost_share=0.1,
                    seed=seed,
                )
                self.check(simulation)

    def test_deadly_requests_come_rarely_or_often(self):
        for per_s, seed in itertools.product((0.3, 1.0, 8.0), range(3)):
            with self.subTest(per_s=per_s, seed=seed):
                simulation = self.play(
                    lambda at: (popular_part(at), "deadly"),
                    deadly_parts_per_s=per_s,
                    for_s=40.0,
                    seed=seed,
                )
                self.check(simulation)

    def test_two_deadly_parts_are_both_held(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = self.play(
                    lambda at: (popular_part(at), f"deadly-{at % 2}"), seed=seed
                )
                for name in ("deadly-0", "deadly-1"):
                    self.assertLessEqual(
                        simulation.sends_behind(name, MAX_CRASHES), MAX_SENDS_AFTER
                    )
                    self.assertGreaterEqual(simulation.sound_share(name), 0.95)

    def test_other_crashes_hold_no_part_back(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = self.play(
                    None, ordinary_s=0.6, stalls=False, for_s=40.0, seed=seed
                )
                # A hold by chance, before parts have been answered, ends by itself.
                ends = [end for at, _, end in simulation.first_ends if at > 10_000]
                self.assertNotIn("refused", ends)
                self.assertLess(simulation.ends["refused"], 10)

    def test_a_deadly_part_among_other_crashes_is_held(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = self.play(
                    lambda at: (popular_part(at), "deadly"),
                    ordinary_s=3.0,
                    stalls=False,
                    for_s=40.0,
                    seed=seed,
                )
                self.assertLessEqual(
                    simulation.sends_behind("deadly", MAX_CRASHES), MAX_SENDS_AFTER
                )

    def test_parts_are_served_again_after_a_release_that_crashes(self):
        # Each upstream crashes soon after its start, whatever it runs, for 15 seconds.
        def crash_all(simulation):
            for upstream in tuple(simulation.upstreams):
                simulation.crash(upstream)

        events = {
            at_s: crash_all for at_s in itertools.islice(itertools.count(6.0), 15)
        }
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = self.play(
                    None, events=events, stalls=False, for_s=40.0, seed=seed
                )
                late = [end for at, _, end in simulation.first_ends if at > 30_000]
                self.assertGreaterEqual(late.count("whole") / len(late), 0.95)


def popular_part(number):
    """Return one of 60 parts, of which some come much more often than others."""
    return f"p{int(60 * random.Random(number).random() ** 2)}"


def popular_parts(number):
    return popular_part(number), f"q{number % 7}"


if __name__ == "__main__":
    unittest.main()
