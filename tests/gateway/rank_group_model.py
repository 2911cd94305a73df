"""A rank group with jumping imbalance, and entries that send streams to it."""

import asyncio
import collections
import dataclasses
import itertools
import random
import types

import orjson

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.datagrams import decode
from fuchsiahatch_gateway.defaults import REPORT_INTERVAL_MS
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.group_rooms import GroupRooms
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.reporting import Reporter
from fuchsiahatch_gateway.request_traits import RequestTraits
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from tests.gateway.sites import make_configuration, make_route

SLOTS = 5
STRIDE = 5
STEP_MS = 4.55
PER_REQUEST_MS = 2.18
EXPERT_SHARE = 0.85
GAP_MS = 150
FIRST_EVENT_MS = 506
#: Longest read of prompts in one step: 512 tokens at 61.4 per ms.
PROMPT_MS = 512 / 61.4
#: 0.4 of the time for which callers wait for an event.
WAIT_MS = 800
#: Passes of a stream, 5 tokens each.
PASSES = (6, 18)
SHIFT_INTERVAL_MS = 4_000
#: Time after a shift of demand until the experts have been moved, and imbalance before.
SETTLE_MS = 700
SHIFTED = (2.0, 3.0)
SETTLED = 1.2
IDLE_MS = 5
ENGINE = {
    "slots": SLOTS,
    "step_ms": STEP_MS,
    "per_seq_ms": PER_REQUEST_MS,
    "context_per_k": 0.0,
    "stride": STRIDE,
    "read_per_s": 61_400.0,
    "sets": 4,
    "experts": 64,
    "places": 4,
    "spare": 1,
    "expertShare": EXPERT_SHARE,
}


def make_document(urgencies=(0, 1, 2), gap_ms=GAP_MS, engine=ENGINE):
    """Return a configuration whose routes have these priorities."""
    routes = [
        make_route(f"/p{urgency}/", "streaming", priority=urgency, gapAimMs=gap_ms)
        for urgency in urgencies
    ]
    document = make_configuration(routes=routes)
    document["services"][0]["engine"] = engine
    return document


def make_routes(urgencies=(0, 1, 2), gap_ms=GAP_MS, engine=ENGINE):
    """Return the route table of such a configuration."""
    table = RouteTable()
    table.apply(orjson.dumps(make_document(urgencies, gap_ms, engine)))
    return table


@dataclasses.dataclass(eq=False)
class Stream:
    """A stream at an engine, and what its caller notices."""

    urgency: int
    arrived_ms: float
    passes: int
    event_ms: float | None = None
    late: bool = False
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def note_event(self, now_ms):
        before_ms = self.arrived_ms if self.event_ms is None else self.event_ms
        aim_ms = FIRST_EVENT_MS if self.event_ms is None else GAP_MS
        self.late = self.late or now_ms - before_ms > aim_ms
        self.event_ms = now_ms
        self.passes -= 1
        if not self.passes:
            self.done.set()


class RankGroup:
    """Engines that run each pass together."""

    def __init__(self, loop, ranks, rng):
        self.loop, self.rng = loop, rng
        self.running = [[] for _ in range(ranks)]
        self.queues = [collections.deque() for _ in range(ranks)]
        self.pass_times_ms = []

    def now_ms(self):
        return self.loop.time() * 1000

    def imbalance(self):
        """Return the load of the most loaded rank over the mean."""
        shifts, since_ms = divmod(self.now_ms(), SHIFT_INTERVAL_MS)
        peak = random.Random(int(shifts)).uniform(*SHIFTED)
        left = max(0.0, 1.0 - since_ms / SETTLE_MS)
        return SETTLED + (peak - SETTLED) * left

    def load(self):
        """Return the number of streams, running and queued."""
        return sum(map(len, self.running)) + sum(map(len, self.queues))

    async def run(self):
        while True:
            began = self._admit()
            if not any(self.running):
                await asyncio.sleep(IDLE_MS / 1000)
                continue
            took_ms = self._pass_time_ms(began)
            await asyncio.sleep(took_ms / 1000)
            self.pass_times_ms.append(took_ms)
            for rank, streams in enumerate(self.running):
                for stream in streams:
                    stream.note_event(self.now_ms())
                self.running[rank] = [one for one in streams if one.passes]

    def _admit(self):
        began = False
        for streams, queue in zip(self.running, self.queues, strict=True):
            while queue and len(streams) < SLOTS:
                streams.append(queue.popleft())
                began = True
        return began

    def _pass_time_ms(self, began):
        counts = [len(streams) for streams in self.running]
        mean = sum(counts) / len(counts)
        others = (1 - EXPERT_SHARE) * max(counts)
        experts = EXPERT_SHARE * self.imbalance() * mean
        step_ms = STEP_MS + PER_REQUEST_MS * (others + experts)
        return STRIDE * step_ms + (PROMPT_MS if began else 0.0)


class Deployment:
    """Entries with real fleets and placers before one rank group.

    Parameters
    ----------
    loop : VirtualLoop
    entries, ranks : int
    limited : bool
        Whether the rooms of groups are in force.
    routes : RouteTable, optional
    """

    def __init__(self, loop, entries, ranks, limited, seed=1, routes=None):
        self.rng = random.Random(seed)
        self.clock = loop.make_clock()
        self.group = RankGroup(loop, ranks, self.rng)
        #: Most streams at the engines at the same time.
        self.most = 0
        self.refused = collections.Counter()
        self.waited = collections.Counter()
        self.streams = []
        self.tasks = set()
        self.fleets, self.placers, self.rooms = [], [], []
        addresses = [f"10.0.0.{rank}:80" for rank in range(ranks)]
        items = {
            f"i{rank}": Item(
                f"servers/i{rank}",
                orjson.dumps(make_upstream_entry("svc", address, slots=SLOTS)),
                1,
                1,
            )
            for rank, address in enumerate(addresses)
        }
        routes = routes or make_routes()
        for number in range(entries):
            rng = random.Random(seed * 1000 + number)
            fleet = Fleet("a", self.clock, rng)
            fleet.engine_of = routes.engine_of
            rooms = GroupRooms(
                routes, fleet.of_service, lambda: entries, self.clock, rng
            )
            if limited:
                fleet.on_reported = rooms.note_report
                fleet.full_groups = rooms.full_groups
                fleet.takes_turn = rooms.takes_turn
            fleet.apply(items)
            self.fleets.append(fleet)
            self.rooms.append(rooms)
            placer = Placer(fleet, self.clock, has_classes=routes.has_classes)
            self.placers.append(placer)
        port = types.SimpleNamespace(send_encoded=self._deliver)
        self.ranks = [
            types.SimpleNamespace(
                address=address, pass_ms=0.0, last_report=None, _step_sample=None
            )
            for address in addresses
        ]
        self.reporters = [Reporter(rank, port, self.clock, 5e5) for rank in self.ranks]

    async def play(self, per_s, seconds):
        """Have streams arrive at a rate."""
        agents = [self._report_forever(rank) for rank in range(len(self.ranks))]
        forever = [asyncio.ensure_future(one) for one in (self.group.run(), *agents)]
        await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
        ends_ms = self.clock.now_ms() + seconds * 1000
        for urgency in itertools.cycle(self.rng.sample(range(3), 3)):
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.clock.now_ms() >= ends_ms:
                break
            self.begin(urgency)
        await asyncio.gather(*self.tasks)
        for task in forever:
            task.cancel()
        await asyncio.gather(*forever, return_exceptions=True)

    def begin(self, urgency):
        """Have a stream arrive at a random entry."""
        task = asyncio.ensure_future(self._call(urgency))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def late(self, urgency=None):
        """Return the number of late streams, of one priority or of all."""
        return sum(
            stream.late
            for stream in self.streams
            if urgency is None or stream.urgency == urgency
        )

    def served(self, urgency=None):
        """Return the number of streams that were served."""
        return sum(
            urgency is None or stream.urgency == urgency for stream in self.streams
        )

    def in_time(self):
        """Return the number of streams that were served and not late."""
        return self.served() - self.late()

    async def _call(self, urgency):
        placer = self.rng.choice(self.placers)
        arrived_ms = self.group.now_ms()
        stream = Stream(urgency, arrived_ms, self.rng.randint(*PASSES))
        traits = RequestTraits("t", urgency)
        try:
            upstream = await placer.acquire("svc", traits, (), WAIT_MS)
        except RefusedError:
            self.refused[urgency] += 1
            return
        if self.group.now_ms() > arrived_ms:
            self.waited[urgency] += 1
        self.group.queues[int(upstream.entry.instance[1:])].append(stream)
        self.most = max(self.most, self.group.load())
        await stream.done.wait()
        self.streams.append(stream)
        placer.release(upstream)

    async def _report_forever(self, rank):
        await asyncio.sleep(self.rng.uniform(0.0, REPORT_INTERVAL_MS) / 1000)
        while True:
            report = types.SimpleNamespace(
                step=len(self.group.pass_times_ms),
                queued=len(self.group.queues[rank]),
                running=len(self.group.running[rank]),
                pace=1.0,
                open=True,
                group="g",
                born_ms=1,
            )
            # The agent's own running mean of pass times, which lags.
            RankAgent._note_step(self.ranks[rank], report)
            self.ranks[rank].last_report = report
            self.reporters[rank].send_load(self.fleets)
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)

    def _deliver(self, data, fleet):
        fleet.observe(decode(data))
        self.placers[self.fleets.index(fleet)].serve_waiting()
