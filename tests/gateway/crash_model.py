"""The real count of crashes, at many entries before played upstreams."""

import asyncio
import collections
import dataclasses
import random
import types

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import CrashNotice, decode, encode
from fuchsiahatch_gateway.next_steps import Progress, Result, Step, decide
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_standins.virtual_time import run_virtually

#: Time on each side of a datagram.
WAY_MS = 2
MAX_SENDS = 2
#: Time after the third crash behind which sends are counted, and how many are borne.
STABLE_MS = 3_000
MOST_SENDS_BEHIND = 3
BACK_MS = 3_000
#: From a run's begin to its crash, its first event and its end.
DEADLY_MS, FIRST_MS, WHOLE_MS = 40, 150, 600


@dataclasses.dataclass(eq=False)
class Life:
    """One life of a played upstream, as `UpstreamCrashes` sees an upstream."""

    name: str
    born: int
    group: str
    alive: bool = True

    def __post_init__(self):
        self.life = f"{self.name}@{self.born}"
        address = types.SimpleNamespace(ip=self.life, port=1)
        self.entry = types.SimpleNamespace(
            instance=self.name, leaving=False, address=address
        )
        self.runs = {}


class Entry:
    """One entry: the real count, evidence and next step."""

    def __init__(self, number, play):
        self.number, self.play = number, play
        clock = play.loop.make_clock()
        self.requests = CrashingRequests(clock, self.tell_others)
        self.crashes = UpstreamCrashes(
            self.requests, play.is_refused, lambda instance: True, clock
        )

    def tell_others(self, message):
        for other in self.play.entries:
            if other is not self:
                self.play.send(message, self, other)

    def take(self, message, sender):
        if not isinstance(message, CrashNotice):
            self.requests.receive_clearance(message)
            return
        answer = self.requests.receive_notice(message)
        if answer is not None:
            self.play.send(answer, self, sender)

    async def answer(self, fingerprint):
        """Return how a request ended: whole, failed or refused."""
        tried = set()
        for sends in range(1, MAX_SENDS + 1):
            if self.requests.held_ms(fingerprint):
                return "refused" if not tried else "failed"
            life = self.play.choose(tried)
            if life is None:
                return "unsent"
            tried.add(life.group)
            whole, events = await self.play.run(fingerprint, life)
            if whole:
                self.requests.note_complete_answer(fingerprint)
                return "whole"
            crashed = await self.crashes.examine(fingerprint, life)
            progress = Progress(
                repeatable=True,
                sends=sends,
                max_sends=MAX_SENDS,
                unsent=0,
                may_have_run=True,
                upstream_failed=False,
                time_left=True,
                crashes=self.requests.crashes(fingerprint),
                group_crashed=crashed and not events,
            )
            if decide(Result.BROKEN, progress) is not Step.RETRY:
                return "failed"
        return "failed"


class Play:
    """Some entries before some upstreams, for a time.

    Parameters
    ----------
    entries, upstreams, groups : int
    crashers : int
        Different requests that crash whoever runs them; each comes each four seconds.
    at_once : int, optional
        Entries at which one comes at the same moment.
    lost_share : float, optional
    ordinary_s : float, optional
        Mean time between two crashes without a cause; 0 for none.
    events : dict of float to callable, optional
        Each is called with the play at its time.
    """

    def __init__(
        self,
        entries,
        upstreams=16,
        groups=2,
        crashers=1,
        at_once=1,
        lost_share=0.0,
        ordinary_s=0.0,
        events=(),
        per_s=60.0,
        for_s=30.0,
        seed=1,
    ):
        self.entry_count, self.upstream_count = entries, upstreams
        self.group_count, self.crashers, self.at_once = groups, crashers, at_once
        self.lost_share, self.ordinary_s = lost_share, ordinary_s
        self.events, self.per_s, self.for_s = dict(events), per_s, for_s
        self.rng = random.Random(seed)
        self.ends, self.datagrams, self.bytes = collections.Counter(), 0, 0
        self.sent_ms = collections.defaultdict(list)
        self.crashed_ms = collections.defaultdict(list)

    def play(self):
        return run_virtually(self._play)

    async def _play(self, loop):
        self.loop = loop
        self.clock = loop.make_clock()
        self._ended = []
        self.lives = [
            Life(f"u{at}", 1, f"g{at % self.group_count}")
            for at in range(self.upstream_count)
        ]
        self.entries = [Entry(at, self) for at in range(self.entry_count)]
        works = [self._demand(), *(self._crasher(at) for at in range(self.crashers))]
        works += [self._at(at_s, call) for at_s, call in self.events.items()]
        if self.ordinary_s:
            works.append(self._ordinary())
        await asyncio.gather(*works)
        return self

    # What the entries see.

    def send(self, message, sender, other):
        data = encode(message)
        self.datagrams += 1
        self.bytes += len(data)
        if self.rng.random() >= self.lost_share:
            self.loop.call_later(WAY_MS / 1000, other.take, decode(data), sender)

    async def is_refused(self, life, port):
        await asyncio.sleep(2 * WAY_MS / 1000)
        return not next(one for one in self.known if one.life == life).alive

    @property
    def known(self):
        return [*self._ended, *self.lives]

    def choose(self, tried):
        alive = [one for one in self.lives if one.alive]
        fresh = [one for one in alive if one.group not in tried]
        return self.rng.choice(fresh or alive) if alive else None

    async def run(self, fingerprint, life):
        """Run a request; return whether it was whole, and whether an event came."""
        self.sent_ms[fingerprint].append(self.clock.now_ms())
        began_ms = self.clock.now_ms()
        ended = asyncio.get_running_loop().create_future()
        life.runs[ended] = fingerprint
        deadly = fingerprint.startswith("deadly")
        if deadly:
            self.loop.call_later(DEADLY_MS / 1000, self.crash, life, fingerprint)
        await asyncio.wait({ended}, timeout=WHOLE_MS / 1000)
        life.runs.pop(ended, None)
        events = self.clock.now_ms() - began_ms >= FIRST_MS
        return not ended.done(), events

    # What happens.

    def crash(self, life, fingerprint=None):
        if not life.alive:
            return
        life.alive = False
        if fingerprint is not None:
            self.crashed_ms[fingerprint].append(self.clock.now_ms())
        for ended in life.runs:
            if not ended.done():
                ended.set_result(None)
        self.loop.call_later(BACK_MS / 1000, self._revive, life)

    def _revive(self, life):
        at = self.lives.index(life)
        self._ended.append(life)
        self.lives[at] = Life(life.name, life.born + 1, life.group)

    async def _demand(self):
        running = set()
        number = 0
        while self.loop.time() < self.for_s:
            number += 1
            # A fifth asks for one of three things that many ask for.
            popular = self.rng.random() < 0.2
            name = f"popular-{self.rng.randrange(3)}" if popular else f"own-{number}"
            running.add(asyncio.ensure_future(self._one(name)))
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*running)

    async def _one(self, name):
        for _ in range(2):
            end = await self.rng.choice(self.entries).answer(name)
            if end in ("whole", "refused"):
                break
            await asyncio.sleep(0.1)
        self.ends[end] += 1

    async def _crasher(self, number):
        await asyncio.sleep(self.rng.uniform(1, 4))
        while self.loop.time() < self.for_s:
            entries = self.rng.sample(self.entries, min(self.at_once, self.entry_count))
            await asyncio.gather(*(one.answer(f"deadly-{number}") for one in entries))
            await asyncio.sleep(4)

    async def _ordinary(self):
        while self.loop.time() < self.for_s:
            await asyncio.sleep(self.rng.expovariate(1 / self.ordinary_s))
            self.crash(self.rng.choice(self.lives))

    async def _at(self, at_s, call):
        await asyncio.sleep(at_s)
        call(self)

    # What came of it.

    def sends_behind(self, number):
        """Return the sends of a crasher that came long after its third crash."""
        name = f"deadly-{number}"
        crashed = sorted(self.crashed_ms[name])
        if len(crashed) < 3:
            return 0
        return sum(at > crashed[2] + STABLE_MS for at in self.sent_ms[name])
