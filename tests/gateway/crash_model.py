"""The crash counts of many entries, in a simulation with crashing upstreams."""

import asyncio
import collections
import dataclasses
import random
import types

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import CrashNotice, decode, encode
from fuchsiahatch_gateway.next_steps import Progress, Result, Step, decide
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_http1.pool import Reachability
from fuchsiahatch_standins.virtual_time import run_virtually

#: One-way delay of a datagram.
ONE_WAY_MS = 2
MAX_SENDS = 2
#: Time after the third crash from which sends are counted, and how many are allowed.
STABLE_MS = 3_000
MAX_SENDS_AFTER = 3
RESTART_MS = 3_000
#: Time from the start of a run to its crash, its first event and its end.
DEADLY_MS, FIRST_EVENT_MS, COMPLETE_MS = 40, 150, 600


@dataclasses.dataclass(eq=False)
class SimulatedUpstream:
    """One incarnation of a simulated upstream, as `UpstreamCrashes` uses it."""

    name: str
    number: int
    group: str
    alive: bool = True
    leaving: bool = False

    def __post_init__(self):
        self.incarnation = f"{self.name}@{self.number}"
        address = types.SimpleNamespace(ip=self.incarnation, port=1)
        self.entry = types.SimpleNamespace(instance=self.name, address=address)
        self.runs = {}


class Entry:
    """One entry with the product's crash count, crash detection and retry decision."""

    def __init__(self, number, simulation):
        self.number, self.simulation = number, simulation
        clock = simulation.loop.make_clock()
        self.requests = CrashingRequests(clock, self.broadcast)
        self.crashes = UpstreamCrashes(
            self.requests, simulation.probe, lambda instance: True, clock
        )

    def broadcast(self, message):
        for other in self.simulation.entries:
            if other is not self:
                self.simulation.send(message, self, other)

    def receive(self, message, sender):
        if not isinstance(message, CrashNotice):
            self.requests.receive_clearance(message)
            return
        answer = self.requests.receive_notice(message)
        if answer is not None:
            self.simulation.send(answer, self, sender)

    async def answer(self, fingerprint):
        """Return how a request ended: whole, failed, refused or unsent."""
        tried = set()
        for sends in range(1, MAX_SENDS + 1):
            if self.requests.held_ms(fingerprint):
                return "refused" if not tried else "failed"
            upstream = self.simulation.choose(tried)
            if upstream is None:
                return "unsent"
            tried.add(upstream.group)
            complete, events = await self.simulation.run(fingerprint, upstream)
            if complete:
                self.requests.note_complete_answer(fingerprint)
                return "whole"
            crashed = await self.crashes.examine(fingerprint, upstream)
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


class Simulation:
    """A number of entries and upstreams in virtual time.

    Parameters
    ----------
    entries, upstreams, groups : int
    crashers : int
        Different requests that crash any upstream; each is sent every 4 s.
    at_once : int, optional
        Entries that receive such a request at the same time.
    lost_share : float, optional
        Share of the datagrams that are lost.
    ordinary_s : float, optional
        Mean time between two crashes that no request causes; 0 for none.
    deadly_share : float, optional
        Share of the callers who send one more such request, "deadly-0".
    deadly_s : (float, float), optional
        Begin and end of the time in which they do.
    events : dict of float to callable, optional
        Each is called with the simulation at its time in seconds.
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
        deadly_share=0.0,
        deadly_s=(0.0, 0.0),
    ):
        self.deadly_share, self.deadly_s = deadly_share, deadly_s
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
        self.upstreams = [
            SimulatedUpstream(f"u{at}", 1, f"g{at % self.group_count}")
            for at in range(self.upstream_count)
        ]
        self.entries = [Entry(at, self) for at in range(self.entry_count)]
        tasks = [
            self._send_demand(),
            *(self._send_crasher(at) for at in range(self.crashers)),
        ]
        tasks += [self._call_at(at_s, call) for at_s, call in self.events.items()]
        if self.ordinary_s:
            tasks.append(self._crash_at_random())
        await asyncio.gather(*tasks)
        return self

    # Interface to the entries.

    def send(self, message, sender, other):
        data = encode(message)
        self.datagrams += 1
        self.bytes += len(data)
        if self.rng.random() >= self.lost_share:
            self.loop.call_later(ONE_WAY_MS / 1000, other.receive, decode(data), sender)

    async def probe(self, incarnation, port):
        await asyncio.sleep(2 * ONE_WAY_MS / 1000)
        alive = next(
            one for one in self.all_incarnations if one.incarnation == incarnation
        ).alive
        return Reachability.LISTENING if alive else Reachability.REFUSED

    @property
    def all_incarnations(self):
        return [*self._ended, *self.upstreams]

    def choose(self, tried):
        alive = [one for one in self.upstreams if one.alive]
        untried = [one for one in alive if one.group not in tried]
        return self.rng.choice(untried or alive) if alive else None

    async def run(self, fingerprint, upstream):
        """Run a request; return whether it was completed, and whether it had events."""
        self.sent_ms[fingerprint].append(self.clock.now_ms())
        began_ms = self.clock.now_ms()
        ended = asyncio.get_running_loop().create_future()
        upstream.runs[ended] = fingerprint
        deadly = fingerprint.startswith("deadly")
        if deadly:
            self.loop.call_later(DEADLY_MS / 1000, self.crash, upstream, fingerprint)
        await asyncio.wait({ended}, timeout=COMPLETE_MS / 1000)
        upstream.runs.pop(ended, None)
        events = self.clock.now_ms() - began_ms >= FIRST_EVENT_MS
        return not ended.done(), events

    # Crashes and load.

    def crash(self, upstream, fingerprint=None):
        if not upstream.alive:
            return
        upstream.alive = False
        if fingerprint is not None:
            self.crashed_ms[fingerprint].append(self.clock.now_ms())
        for ended in upstream.runs:
            if not ended.done():
                ended.set_result(None)
        self.loop.call_later(RESTART_MS / 1000, self._restart, upstream)

    def _restart(self, upstream):
        at = self.upstreams.index(upstream)
        self._ended.append(upstream)
        self.upstreams[at] = SimulatedUpstream(
            upstream.name, upstream.number + 1, upstream.group
        )

    async def _send_demand(self):
        running = set()
        number = 0
        while self.loop.time() < self.for_s:
            number += 1
            # A fifth of the requests are for one of 3 popular prompts.
            popular = self.rng.random() < 0.2
            name = f"popular-{self.rng.randrange(3)}" if popular else f"own-{number}"
            begin_s, end_s = self.deadly_s
            if begin_s <= self.loop.time() < end_s:
                name = "deadly-0" if self.rng.random() < self.deadly_share else name
            running.add(asyncio.ensure_future(self._send_request(name)))
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*running)

    async def _send_request(self, name):
        for _ in range(2):
            end = await self.rng.choice(self.entries).answer(name)
            if end in ("whole", "refused"):
                break
            await asyncio.sleep(0.1)
        if not name.startswith("deadly"):
            self.ends[end] += 1

    async def _send_crasher(self, number):
        await asyncio.sleep(self.rng.uniform(1, 4))
        while self.loop.time() < self.for_s:
            entries = self.rng.sample(self.entries, min(self.at_once, self.entry_count))
            await asyncio.gather(*(one.answer(f"deadly-{number}") for one in entries))
            await asyncio.sleep(4)

    async def _crash_at_random(self):
        while self.loop.time() < self.for_s:
            await asyncio.sleep(self.rng.expovariate(1 / self.ordinary_s))
            self.crash(self.rng.choice(self.upstreams))

    async def _call_at(self, at_s, call):
        await asyncio.sleep(at_s)
        call(self)

    # Results.

    def sends_after(self, number):
        """Return the sends of a crasher well after its third crash."""
        name = f"deadly-{number}"
        crashed = sorted(self.crashed_ms[name])
        if len(crashed) < 3:
            return 0
        return sum(at > crashed[2] + STABLE_MS for at in self.sent_ms[name])
