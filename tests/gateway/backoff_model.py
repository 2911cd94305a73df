"""Real entries before upstreams that reject requests with Retry-After, in virtual time.

Upstreams overload at random, restart, and lose their registrations for a while. Only
the transport is simulated. `Simulation.run` returns the simulation with its counts.
"""

import asyncio
import collections
import dataclasses
import random

import orjson

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_gateway.backoffs import Backoffs
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.retry_budget import RetryBudget
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.delivery_model import (
    ROUTES,
    TIMEOUT_MS,
    SimulatedExchange,
    make_delivery,
)
from tests.gateway.played_upstreams import FIRST_PORT, SimulatedPool, Wire
from tests.gateway.sites import make_configuration

#: Time after a rejection in which requests that were on their way may arrive, and how
#: many may arrive between it and the end that the rejection named.
IN_FLIGHT_MS, MAX_IN_FLIGHT = 500, 2
#: Time for an answer that has been delivered to be handled.
HANDLING_MS = 2
SPANS_S = (0.2, 0.7, 1.5, 3.0, 5.0)
PATHS = ("/safe/", "/safe/", "/twice/")


@dataclasses.dataclass(eq=False)
class Life:
    """One incarnation of an upstream.

    It runs as many requests as it has slots and queues as many more. `arrivals` and
    `rejections` have the times of requests and of answers with Retry-After by entry;
    a rejection's second figure is the span in ms.
    """

    number: int
    instance: str
    born_ms: int
    places: int
    listed: bool = True
    present: int = 0
    wires: set = dataclasses.field(default_factory=set)
    arrivals: collections.defaultdict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    rejections: collections.defaultdict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def __post_init__(self):
        self.slots = asyncio.Semaphore(self.places)

    def item(self, revision):
        fields = make_upstream_entry(
            "svc",
            f"10.0.0.1:{FIRST_PORT + self.number}",
            slots=self.places,
            born=self.born_ms,
        )
        key = f"servers/{self.instance}"
        return Item(key, orjson.dumps(fields), revision, revision)

    def most_arrivals(self, after_ms):
        """Return the most arrivals in one span, from so long after its rejection on."""
        return max(
            (
                sum(
                    at + after_ms < came <= at + span_ms for came in self.arrivals[node]
                )
                for node, rejections in self.rejections.items()
                for at, span_ms in rejections
            ),
            default=0,
        )


class LifeWire(Wire):
    """Connection of an entry to one incarnation of an upstream."""

    def __init__(self, entry, number):
        super().__init__(entry, number)
        self.life = entry.simulation.lives[number]
        self.life.wires.add(self)

    async def _act(self, act, delay_ms, run):
        await self._world.simulation.serve(self, self._world, run)

    def reject(self, run, status, headers=()):
        self._answer(run, status, b"", [("Fuchsiahatch-Not-Executed", "1"), *headers])

    def succeed(self, run):
        self._answer(run, 200, b"whole")

    def lose(self):
        self.abortConnection()


class SlowPool(SimulatedPool):
    """The real pool; some connections take a while to be established."""

    async def _open(self, ip, port):
        await asyncio.sleep(self._world.simulation.rng.choice((0, 0, 0.02, 0.15)))
        return await super()._open(ip, port)


class Entry:
    """One entry: its real choice, queue, delivery and backoff periods."""

    def __init__(self, number, simulation):
        self.node = f"front-{number}"
        self.simulation = simulation
        self.clock = clock = simulation.loop.make_clock()
        rng = random.Random(simulation.seed * 1_000 + number)
        self.routes = RouteTable()
        self.pool = SlowPool(self, clock, LifeWire)
        self.fleet = Fleet("a", clock, rng, time_of_day=clock)
        self.fleet.on_departed = lambda entry: self.pool.close_idle(
            entry.address.ip, entry.address.port
        )
        self.placer = Placer(self.fleet, clock)
        self.backoffs = Backoffs(
            clock, self.placer.refuse_waiting, self.placer.serve_waiting
        )
        self.budget = RetryBudget(
            0.2, 90.0, 10_000, clock, lambda: simulation.entry_count, True
        )
        self.delivery = make_delivery(
            self.routes,
            self.fleet,
            self.placer,
            self.pool,
            self.budget,
            clock,
            rng,
            self.backoffs.note_head,
            self.backoffs.note_head,
        )
        self.expected = {}

    # Interface to the simulated connections.

    def refuses_connection(self):
        return False

    def next_act(self):
        return None, 0

    def next_repeat(self):
        return None

    def note_arrival(self, number, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        self.expected[headers["fuchsiahatch-request-id"]] = headers[
            "fuchsiahatch-expect-instance"
        ]
        return _Run(headers["fuchsiahatch-request-id"])


@dataclasses.dataclass
class _Run:
    request_id: str
    act: object = None
    working: bool = True
    aborted_ms: int | None = None
    signature: str = "sig"


class Simulation:
    """A number of entries and upstreams in virtual time.

    Parameters
    ----------
    seed : int
    entries, upstreams : int
    places : int
        Slots of each upstream.
    per_s : float
        Requests per second to all entries together.
    for_s : float
    overloads : bool, optional
        Whether upstreams overload at random; otherwise only where they are full.
    mishaps : bool, optional
        Whether upstreams restart and registrations lapse.
    together : tuple of float, optional
        Begin and end of a time in seconds in which all upstreams overload.
    """

    def __init__(
        self,
        seed,
        entries=3,
        upstreams=3,
        places=6,
        per_s=120.0,
        for_s=20.0,
        overloads=True,
        mishaps=True,
        together=None,
    ):
        self.seed, self.rng = seed, random.Random(seed)
        self.entry_count, self.upstream_count = entries, upstreams
        self.places, self.per_s, self.for_s = places, per_s, for_s
        self.overloads, self.mishaps, self.together = overloads, mishaps, together
        self.ended_lives = []
        self.overloaded = set()
        self.statuses = collections.Counter()
        self.late_statuses = collections.Counter()
        self.retry_afters_s = []
        self.refused_with_room = 0
        self.times_ms = []

    def run(self):
        return run_virtually(self._play)

    @property
    def all_lives(self):
        return [*self.ended_lives, *self.lives.values()]

    def most_arrivals(self, after_ms=IN_FLIGHT_MS):
        return max(life.most_arrivals(after_ms) for life in self.all_lives)

    @property
    def rejections(self):
        return sum(
            len(found) for life in self.all_lives for found in life.rejections.values()
        )

    async def _play(self, loop):
        self.loop = loop
        self.clock = loop.make_clock()
        self.revision = 1
        self.lives = {
            number: self._make_life(number) for number in range(self.upstream_count)
        }
        self.entries = [Entry(number, self) for number in range(self.entry_count)]
        self._configure(1)
        self._publish()
        background = [asyncio.ensure_future(self._overload_together())]
        if self.overloads:
            background += [
                asyncio.ensure_future(self._overload(number)) for number in self.lives
            ]
        if self.mishaps:
            background.append(asyncio.ensure_future(self._play_mishaps()))
        running = set()
        while loop.time() < self.for_s:
            task = asyncio.ensure_future(self._ask(len(self.times_ms)))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*running)
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        return self

    # Callers.

    async def _ask(self, number):
        entry = self.rng.choice(self.entries)
        exchange = SimulatedExchange(number, self.rng.choice(PATHS))
        began_ms = self.clock.now_ms()
        self.times_ms.append(began_ms)
        await entry.delivery.handle(exchange)
        self.statuses[exchange.status] += 1
        if exchange.status == 503:
            self._note_refusal(entry, exchange)
        assert self.clock.now_ms() - began_ms <= TIMEOUT_MS + HANDLING_MS

    def _note_refusal(self, entry, exchange):
        retry_after = exchange.answer_headers.get(b"retry-after")
        if b"BACKING_OFF" not in exchange.answer:
            return
        self.retry_afters_s.append(float(retry_after))
        usable = entry.fleet.gate.usable("svc")
        room = [one for one in usable if one.local_requests < one.entry.places]
        self.refused_with_room += any(
            not one.backoff_left_ms(self.clock.now_ms()) for one in room
        )

    # Upstreams.

    async def serve(self, wire, entry, run):
        life, now_ms = wire.life, self.clock.now_ms()
        if entry.expected[run.request_id] != life.instance:
            wire.reject(run, 421)
            return
        life.arrivals[entry.node].append(now_ms)
        if life.number in self.overloaded or life.present >= 2 * life.places:
            await asyncio.sleep(self.rng.choice((0.001, 0.001, 0.005, 0.2)))
            self._reject(wire, entry, run)
            return
        life.present += 1
        try:
            async with life.slots:
                await asyncio.sleep(self.rng.uniform(0.03, 0.12))
        finally:
            life.present -= 1
        wire.succeed(run)

    def _reject(self, wire, entry, run):
        if not wire.open:
            return
        if self.rng.random() < 0.2:
            wire.reject(run, 503)
            return
        span_s = self.rng.choice(SPANS_S)
        wire.life.rejections[entry.node].append(
            (self.clock.now_ms(), int(1000 * span_s))
        )
        wire.reject(run, 503, [("Retry-After", f"{span_s:g}")])

    async def _overload(self, number):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            self.overloaded.add(number)
            await asyncio.sleep(self.rng.uniform(0.3, 4))
            self.overloaded.discard(number)

    async def _overload_together(self):
        if self.together is None:
            return
        begin_s, end_s = self.together
        await asyncio.sleep(begin_s)
        self.overloaded.update(self.lives)
        await asyncio.sleep(end_s - begin_s)
        self.overloaded.clear()

    # Mishaps and what entries learn of them.

    async def _play_mishaps(self):
        version = 1
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            number = self.rng.randrange(self.upstream_count)
            mishap = self.rng.choice(("restart", "lapse", "lapse", "configuration"))
            if mishap == "restart":
                await self._restart(number)
            elif mishap == "lapse":
                await self._lapse(self.lives[number])
            else:
                version += 1
                self._configure(version)

    async def _restart(self, number):
        former = self.lives[number]
        self.ended_lives.append(former)
        self.lives[number] = self._make_life(number, self.rng.choice((former, None)))
        for wire in former.wires:
            wire.lose()
        await asyncio.sleep(self.rng.uniform(0, 0.6))
        self._publish()

    async def _lapse(self, life):
        life.listed = False
        self._publish()
        await asyncio.sleep(self.rng.uniform(0.05, 1))
        life.listed = True
        self._publish()

    def _make_life(self, number, former=None):
        """Return a new life, under the instance of the former one if that is given."""
        born_ms = self.clock.now_ms() + 1
        instance = f"i-{number}-{born_ms}" if former is None else former.instance
        return Life(number, instance, born_ms, self.places)

    def _configure(self, version):
        document = orjson.dumps(make_configuration(version, ROUTES))
        for entry in self.entries:
            entry.routes.apply(document)

    def _publish(self):
        self.revision += 1
        listed = [life for life in self.lives.values() if life.listed]
        items = {life.instance: life.item(self.revision) for life in listed}
        for entry in self.entries:
            entry.fleet.apply(items)
            entry.placer.serve_waiting()
