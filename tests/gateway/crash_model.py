"""The crash counts of many entries, in a simulation with crashing upstreams."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
import types

from fuchsiahatch_gateway.crash_messages import CrashNotice, CrashReport, SuspectReport
from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.datagrams import decode, encode
from fuchsiahatch_gateway.fingerprints import Fingerprints
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
#: Time for which a rank group that lost a member answers nothing; then it refuses.
STALL_MS = 1_500
#: Time from the start of a run to its crash, its first event and its end.
DEADLY_MS, FIRST_EVENT_MS, COMPLETE_MS = 40, 150, 600
#: Time after which a caller leaves that doesn't wait for the crash.
LEAVE_MS = 20


def whole(name, parts=(), team=""):
    """Return a request that is recognized by a name, and by its prompt parts."""
    return Fingerprints("svc", team, name, tuple(parts))


def make_notice(name, incarnations):
    """Return a notice of crashes during a request without prompt parts."""
    suspects = (SuspectReport("", (name,)),)
    reports = (CrashReport(one, "", 0, suspects) for one in incarnations)
    return CrashNotice("svc", tuple(reports))


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
        self.requests.on_crash = self.note_crash
        self.crashes = UpstreamCrashes(
            self.requests, simulation.probe, lambda instance: True, clock
        )
        self.closed_groups = {}

    def note_crash(self, incarnation, group):
        if self.simulation.stalls:
            self.closed_groups[group] = self.simulation.stalled_until_ms[group]

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

    def choose(self, request, tried):
        now_ms = self.simulation.clock.now_ms()
        confined_to = self.requests.confined_to(request)
        closed = {one for one, until in self.closed_groups.items() if now_ms < until}
        return self.simulation.choose(tried, confined_to, closed)

    async def run(self, request, upstream):
        """Run a request; note it as abandoned if its caller leaves meanwhile."""
        ends_ms = self.simulation.clock.now_ms() + COMPLETE_MS
        try:
            return await self.simulation.run(request, upstream)
        except asyncio.CancelledError:
            self.crashes.note_abandoned(request, upstream, ends_ms)
            raise

    async def answer(self, request):
        """Return how a request ended: whole, failed, refused or unsent."""
        tried = set()
        for sends in range(1, MAX_SENDS + 1):
            if self.requests.held_ms(request):
                return "refused" if not tried else "failed"
            upstream = self.choose(request, tried)
            if upstream is None:
                return "unsent"
            tried.add(upstream.group)
            complete, events = await self.run(request, upstream)
            if complete:
                self.requests.note_complete_answer(request)
                return "whole"
            crashed = await self.crashes.examine(request, upstream)
            progress = Progress(
                repeatable=True,
                sends=sends,
                max_sends=MAX_SENDS,
                unsent=0,
                may_have_run=True,
                upstream_failed=False,
                time_left=True,
                crashes=self.requests.crashes(request),
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
    stalls : bool, optional
        Whether a rank group stands still from a crash until its upstream is back.
    sound_parts : callable, optional
        Returns the prompt parts of a sound request, given its number.
    deadly_parts : callable, optional
        The same for requests that crash any upstream by one of their parts, whose names
        begin with "deadly"; no two of them are alike.
    deadly_parts_per_s : float, optional
    crashers_leave : bool, optional
        Whether the callers of `crashers` leave before the upstream crashes, which goes
        on with their requests.
    leave_share : float, optional
        Share of the callers of sound requests who leave early, and come again.
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
        stalls=False,
        sound_parts=lambda number: (),
        deadly_parts=None,
        deadly_parts_per_s=2.0,
        crashers_leave=False,
        leave_share=0.0,
    ):
        self.crashers_leave, self.leave_share = crashers_leave, leave_share
        self.stalls, self.stalled_until_ms = stalls, collections.defaultdict(int)
        self.sound_parts, self.deadly_parts = sound_parts, deadly_parts
        self.deadly_parts_per_s = deadly_parts_per_s
        #: For each sound request: when it was sent, its parts, how that attempt ended.
        self.first_ends = []
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
        if self.deadly_parts is not None:
            tasks.append(self._send_deadly_parts())
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

    def choose(self, tried, confined_to="", closed=()):
        alive = [
            one
            for one in self.upstreams
            if one.alive and one.group not in closed and confined_to in ("", one.group)
        ]
        untried = [one for one in alive if one.group not in tried]
        return self.rng.choice(untried or alive) if alive else None

    async def run(self, request, upstream):
        """Run a request; return whether it was completed, and whether it had events."""
        deadly = [key for key in request.keys if key.startswith("deadly")]
        began_ms = self.clock.now_ms()
        for key in deadly:
            self.sent_ms[key].append(began_ms)
        left_ms = self.stalled_until_ms[upstream.group] - began_ms
        if self.stalls and left_ms > 0:
            await asyncio.sleep(min(left_ms, STALL_MS) / 1000)
            return False, False
        ended = asyncio.get_running_loop().create_future()
        upstream.runs[ended] = request
        if deadly:
            self.loop.call_later(DEADLY_MS / 1000, self.crash, upstream, deadly, ended)
        await asyncio.wait({ended}, timeout=COMPLETE_MS / 1000)
        upstream.runs.pop(ended, None)
        events = self.clock.now_ms() - began_ms >= FIRST_EVENT_MS
        return not ended.done(), events

    # Crashes and load.

    def crash(self, upstream, deadly=(), run=None):
        if not upstream.alive or (run is not None and run.done()):
            return
        upstream.alive = False
        for key in deadly:
            self.crashed_ms[key].append(self.clock.now_ms())
        ends = list(upstream.runs)
        if self.stalls:
            self.stalled_until_ms[upstream.group] = self.clock.now_ms() + RESTART_MS
            ranks = [one for one in self.upstreams if one.group == upstream.group]
            for rank in ranks:
                self.loop.call_later(STALL_MS / 1000, _end_runs, list(rank.runs))
        _end_runs(ends)
        address = upstream.entry.address
        for entry in self.entries:
            entry.crashes.note_idle_end(address.ip, address.port)
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
            request = whole(name, self.sound_parts(number))
            running.add(asyncio.ensure_future(self._send_request(request)))
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*running)

    async def _send_request(self, request):
        sent_ms = self.clock.now_ms()
        if self.leave_share and self.rng.random() < self.leave_share:
            leaving = self.rng.choice(self.entries).answer(request)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(leaving, LEAVE_MS / 1000)
        for attempt in range(2):
            end = await self.rng.choice(self.entries).answer(request)
            if not attempt:
                self.first_ends.append((sent_ms, request.parts, end))
            if end in ("whole", "refused"):
                break
            await asyncio.sleep(0.1)
        if not request.request.startswith("deadly"):
            self.ends[end] += 1

    async def _send_crasher(self, number):
        await asyncio.sleep(self.rng.uniform(1, 4))
        request = whole(f"deadly-{number}")
        while self.loop.time() < self.for_s:
            entries = self.rng.sample(self.entries, min(self.at_once, self.entry_count))
            sends = [asyncio.ensure_future(one.answer(request)) for one in entries]
            if self.crashers_leave:
                await asyncio.sleep(LEAVE_MS / 1000)
                for send in sends:
                    send.cancel()
            await asyncio.gather(*sends, return_exceptions=self.crashers_leave)
            await asyncio.sleep(4)

    async def _send_deadly_parts(self):
        await asyncio.sleep(self.rng.uniform(4, 6))
        sending = set()
        for number in itertools.count():
            if self.loop.time() >= self.for_s:
                break
            request = whole(f"no-{number}", self.deadly_parts(number))
            sending.add(asyncio.ensure_future(self._send_twice(request)))
            await asyncio.sleep(self.rng.expovariate(self.deadly_parts_per_s))
        await asyncio.gather(*sending)

    async def _send_twice(self, request):
        for _ in range(2):
            await self.rng.choice(self.entries).answer(request)
            await asyncio.sleep(0.05)

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
        return self.sends_behind(f"deadly-{number}", 3)

    def sends_behind(self, name, crashes):
        """Return the sends of a request or part well after that many crashes."""
        crashed = sorted(self.crashed_ms[name])
        if len(crashed) < crashes:
            return 0
        return sum(at > crashed[crashes - 1] + STABLE_MS for at in self.sent_ms[name])

    def sound_share(self, name, first_part=None):
        """Return the share of sound first attempts answered behind the last crash.

        Parameters
        ----------
        name : str
            The part that crashes upstreams.
        first_part : str, optional
            Count only sound requests with this first part.
        """
        from_ms = max(sorted(self.crashed_ms[name])[:5]) + 2 * STABLE_MS
        ends = [
            end
            for sent_ms, parts, end in self.first_ends
            if sent_ms >= from_ms and first_part in (None, *parts[:1])
        ]
        return ends.count("whole") / len(ends)


def _end_runs(runs):
    for ended in runs:
        if not ended.done():
            ended.set_result(None)
