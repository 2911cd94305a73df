import asyncio
import itertools
import os
import random
import signal
import time
import unittest

from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import answers, until
from tests.gateway.test_crashing_parts import (
    DEADLY_PART,
    MAX_CRASHES,
    MAX_SENDS_AFTER,
    MIN_ANSWERED,
    STABLE_S,
    has_deadly_part,
)
from tests.loopback import run
from tests.processes.entries import IPS, EntryProcesses

#: Crashes that are borne.
MOST_ENDS = 3
#: Addresses of their own, as other tests' entries may be ending.
SOAK_IPS = ("127.0.7.81", "127.0.7.82", "127.0.7.83")
#: Length of a soak, the time at its end in which sound requests count, and the mean
#: intervals between two requests of each kind.
SOAK_S, COUNTED_S, DEADLY_INTERVAL_S, SOUND_INTERVAL_S = 9.0, 3.0, 0.25, 0.05
SEEDS = range(1, 1 + int(os.environ.get("CRASH_SEEDS", "1")))


def make_mortal_upstreams(entries):
    return [MortalUpstream(entries, name) for name in "abcd"]


class TestProcesses(unittest.TestCase):
    def test_a_request_that_comes_at_any_entry_is_held_back_also_behind_a_kill(self):
        async def play():
            async with EntryProcesses(make_mortal_upstreams) as entries:
                for number in range(5):
                    ip = IPS[number % len(IPS)]
                    await entries.ask(ip, f"d-{number}", DEADLY)
                    await asyncio.sleep(0.5)
                sends = deadly_sends(entries.upstreams)
                held = "fuchsiahatch-held/"
                await until(lambda: entries.store.keys(held))
                for ip in IPS:
                    await entries.kill(ip)
                for ip in IPS:
                    entries.start(ip)
                for ip in IPS:
                    await entries.until_ready(ip)
                replies = [await entries.ask(ip, f"k-{ip}", DEADLY) for ip in IPS]
                other = await entries.ask(IPS[0], "q", b"harmless")
                again = deadly_sends(entries.upstreams)
            return sends, again, replies, other, entries.lines

        sends, again, replies, other, lines = run(play())
        self.assertLessEqual(sends, MOST_ENDS)
        self.assertEqual(again, sends)
        self.assertEqual([reply.status for reply in replies], [503] * len(IPS))
        self.assertIn(b"CRASHES_UPSTREAMS", replies[0].body)
        self.assertGreater(float(replies[0].headers["retry-after"]), 60)
        self.assertEqual(other.status, 200)
        told = {line["message_type"] for line in lines}
        self.assertLessEqual({"crash_counted", "request_held", "hold_written"}, told)


class TestParts(unittest.TestCase):
    def test_a_part_is_held_back_also_behind_a_kill_of_all_entries(self):
        def make_upstreams(entries):
            return [
                MortalUpstream(entries, name, is_deadly=has_deadly_part)
                for name in "abcd"
            ]

        def ask(entries, ip, number, middle=DEADLY_PART):
            prefix = f"a{number}:40,{middle}:9,{number:x}:500"
            headers = [("Fuchsiahatch-Prompt-Prefix", prefix)]
            return entries.ask(ip, f"q-{number}", b"%d" % number, headers)

        async def play():
            async with EntryProcesses(make_upstreams) as entries:
                for number in range(5):
                    await ask(entries, IPS[number % len(IPS)], number)
                    await asyncio.sleep(0.5)
                sends = deadly_sends(entries.upstreams)
                await until(lambda: entries.store.keys("fuchsiahatch-held/"))
                for ip in IPS:
                    await entries.kill(ip)
                for ip in IPS:
                    entries.start(ip)
                for ip in IPS:
                    await entries.until_ready(ip)
                held = [await ask(entries, ip, 10 + at) for at, ip in enumerate(IPS)]
                sound = [await ask(entries, ip, 1, "b2") for ip in IPS]
                return sends, deadly_sends(entries.upstreams), held, sound

        sends, again, held, sound = run(play())
        self.assertLessEqual(sends, MOST_ENDS)
        self.assertEqual(again, sends)
        self.assertEqual([reply.status for reply in held], [503] * len(IPS))
        self.assertEqual([reply.status for reply in sound], [200] * len(IPS))


class CrashingUpstream(MortalUpstream):
    """An upstream that crashes on a prompt part, and at times by itself."""

    def __init__(self, entries, name, rng):
        super().__init__(entries, name, 0.8, answers(), self._is_deadly, 0.03)
        self.rng = rng
        self.sent_s, self.crashed_s = [], []

    def _is_deadly(self, request):
        deadly = has_deadly_part(request)
        if deadly:
            self.sent_s.append(time.monotonic())
        return deadly or self.rng.random() < 0.002

    async def end(self):
        self.crashed_s.append(time.monotonic())
        await super().end()


class Soak:
    """Requests with a deadly part among sound ones, while entries are disturbed."""

    def __init__(self, entries, rng):
        self.entries, self.rng = entries, rng
        self.numbers = itertools.count()
        self.ends = []

    async def play(self):
        self.ends_s = time.monotonic() + SOAK_S
        await asyncio.gather(
            self._send(DEADLY_INTERVAL_S, DEADLY_PART),
            self._send(SOUND_INTERVAL_S, None),
            self._disturb(),
        )

    async def _send(self, interval_s, part):
        asking = []
        while time.monotonic() < self.ends_s:
            asking.append(asyncio.ensure_future(self._ask(part)))
            await asyncio.sleep(self.rng.expovariate(1 / interval_s))
        await asyncio.gather(*asking)

    async def _ask(self, part):
        number, sent_s = next(self.numbers), time.monotonic()
        middle = part or f"b{number % 9}"
        prefix = f"a{number % 5}:40,{middle}:9,{number:x}:500"
        headers = [("Fuchsiahatch-Prompt-Prefix", prefix)]
        ip, body = self.rng.choice(SOAK_IPS), b"%d" % number
        try:
            reply = await self.entries.ask(ip, f"q-{number}", body, headers)
        except OSError:
            # The entry is being restarted; callers go to another one.
            return
        if part is None and reply.status:
            self.ends.append((sent_s, reply.status))

    async def _disturb(self):
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        killed, frozen = self.rng.sample(SOAK_IPS, 2)
        process = self.entries.processes[frozen]
        process.send_signal(signal.SIGSTOP)
        await self.entries.kill(killed)
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        process.send_signal(signal.SIGCONT)
        self.entries.start(killed)
        await self.entries.until_ready(killed)


class TestSoak(unittest.TestCase):
    def test_a_deadly_part_is_held_back_while_entries_are_killed_and_frozen(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        rng = random.Random(seed)

        async def play():
            def make_upstreams(entries):
                return [CrashingUpstream(entries, name, rng) for name in "abcdef"]

            async with EntryProcesses(make_upstreams, SOAK_IPS) as entries:
                soak = Soak(entries, rng)
                await soak.play()
                return soak, entries.upstreams

        soak, upstreams = run(play())
        crashed_s = sorted(at for one in upstreams for at in one.crashed_s)
        self.assertGreaterEqual(len(crashed_s), MOST_ENDS)
        if len(crashed_s) >= MAX_CRASHES:
            stable_s = crashed_s[MAX_CRASHES - 1] + STABLE_S
            sends = sum(at > stable_s for one in upstreams for at in one.sent_s)
            self.assertLessEqual(sends, MAX_SENDS_AFTER)
        late = [end for at, end in soak.ends if at > soak.ends_s - COUNTED_S]
        self.assertGreaterEqual(late.count(200) / len(late), MIN_ANSWERED)


if __name__ == "__main__":
    unittest.main()
