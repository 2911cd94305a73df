"""Prompt parts that crash each upstream that begins to answer on them."""

import asyncio
import collections
import itertools
import unittest

from tests.gateway.mortal_upstreams import MortalUpstream
from tests.gateway.sites import Site, answers, until
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


class TestLastPart(unittest.TestCase):
    def test_a_last_part_is_never_held_back(self):
        play = run(
            Play(
                lambda at: f"{FIRST_PART}:40,a1:20,{DEADLY_PART}:500",
                lambda at: f"{FIRST_PART}:40,a1:20,{DEADLY_PART}:500",
            ).run()
        )
        self.assertEqual((play.crashed_s, play.sound_share), ([], 1.0))


if __name__ == "__main__":
    unittest.main()
