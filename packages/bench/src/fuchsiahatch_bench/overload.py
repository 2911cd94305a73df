"""Decisions of entries under too many requests, without sockets, in virtual time.

The shipped queue, fleet and placing of several entries in one process, before modelled
upstreams: seeded arrivals at a multiple of what the upstreams can do. Shows what is
answered and how soon, which team fares worst, and what a choice costs as the upstreams
grow in number.
"""

import asyncio
import dataclasses
import itertools
import random
import time
import typing as t

from hdrh.histogram import HdrHistogram

from fuchsiahatch_bench.tables import load_average, make_table, write_result
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.datagrams import LoadReport
from fuchsiahatch_gateway.defaults import REPORT_INTERVAL_MS
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.jobs import STREAM_PATIENCE_MS, WAIT_SHARE
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_standins.fleet_store import make_upstream_item
from fuchsiahatch_standins.virtual_time import VirtualLoop, run_virtually

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item

SEED = 23
SERVICE = "models"
ENTRIES = 6
PLACES = 6
#: Time that a request takes at an upstream, in the mean; an upstream with more requests
#: than places lets the newest wait.
WORK_MS = 400.0
#: What a request earns: all when it begins within its objective, else a part.
OBJECTIVE_MS, LATE_CREDIT = 500.0, 0.5
#: Share of all requests that the first team sends; nine others share the rest.
FLOOD_SHARE, TEAMS = 0.4, 10
LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)
#: Upstreams and the seconds of traffic for each size; larger ones have more arrivals.
SIZES = {16: 10.0, 64: 2.5, 1_024: 0.06}
_LARGEST_US = 1_000_000


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests of one team."""

    asked: int = 0
    served: int = 0
    credit: float = 0.0


class Upstreams:
    """Modelled upstreams: `PLACES` requests each at a time, the others in turn."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self.count = count
        self._rng = rng
        self._places = [asyncio.Semaphore(PLACES) for _ in range(count)]
        self.present = [0] * count

    async def work(self, number: int) -> None:
        """Wait for a place and hold it; return when the request has begun."""
        self.present[number] += 1
        await self._places[number].acquire()
        took_s = self._rng.expovariate(1000.0 / WORK_MS)
        loop = asyncio.get_running_loop()
        loop.call_later(took_s, self._end, number)

    def _end(self, number: int) -> None:
        self.present[number] -= 1
        self._places[number].release()

    def entries(self) -> "dict[str, Item]":
        """Return their entries as the store has them."""
        return {
            f"i-{number}": make_upstream_item(
                f"i-{number}", SERVICE, _address(number), PLACES
            )
            for number in range(self.count)
        }


class TimedFleet(Fleet):
    """A fleet that times its choices."""

    __slots__ = ("times_us",)

    def __init__(self, zone: str, clock: Clock, rng: random.Random) -> None:
        super().__init__(zone, clock, rng)
        self.times_us = HdrHistogram(1, _LARGEST_US, 3)

    def choose(
        self,
        service: str,
        tried: t.Collection[str],
        traits: RequestTraits = ANY_REQUEST,
        only_unlimited: bool = False,
    ) -> t.Any:
        """Choose, and note how long that took."""
        began_ns = time.perf_counter_ns()
        chosen = super().choose(service, tried, traits, only_unlimited)
        took_us = (time.perf_counter_ns() - began_ns) // 1_000
        self.times_us.record_value(max(min(took_us, _LARGEST_US), 1))
        return chosen


class Overload:
    """One run at one size and load."""

    def __init__(self, loop: VirtualLoop, count: int, load: float) -> None:
        self._rng = random.Random(SEED)
        self._clock = loop.make_clock()
        self._load = load
        self.upstreams = Upstreams(count, self._rng)
        self.fleets = [
            TimedFleet("a", self._clock, random.Random(SEED + number))
            for number in range(ENTRIES)
        ]
        self._placers = [Placer(fleet, self._clock) for fleet in self.fleets]
        for fleet in self.fleets:
            fleet.apply(self.upstreams.entries())
        self.teams = [Tally() for _ in range(TEAMS)]
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, seconds: float) -> "Overload":
        """Send seeded arrivals for some seconds, and wait until all have an end."""
        reporting = asyncio.ensure_future(self._report())
        rate = self._load * self.upstreams.count * PLACES * 1000.0 / WORK_MS
        until_ms = self._clock.now_ms() + 1000.0 * seconds
        for number in itertools.count():
            if self._clock.now_ms() >= until_ms:
                break
            await asyncio.sleep(self._rng.expovariate(rate))
            placer = self._placers[number % ENTRIES]
            self._begin(self._ask(placer, self._draw_team()))
        await asyncio.gather(*self._tasks)
        reporting.cancel()
        return self

    def _draw_team(self) -> int:
        if self._rng.random() < FLOOD_SHARE:
            return 0
        return self._rng.randrange(1, TEAMS)

    def _begin(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, placer: Placer, team: int) -> None:
        tally = self.teams[team]
        tally.asked += 1
        began_ms = self._clock.now_ms()
        wait_ms = WAIT_SHARE * STREAM_PATIENCE_MS
        try:
            traits = RequestTraits(f"team-{team}", 1)
            upstream = await placer.acquire(SERVICE, traits, (), wait_ms)
        except RefusedError:
            # It came back with 503: nothing is earned.
            return
        await self.upstreams.work(int(upstream.entry.instance[2:]))
        took_ms = self._clock.now_ms() - began_ms
        tally.served += 1
        tally.credit += 1.0 if took_ms <= OBJECTIVE_MS else LATE_CREDIT
        await asyncio.sleep(WORK_MS / 1000)
        placer.release(upstream)

    async def _report(self) -> None:
        while True:
            for number, present in enumerate(self.upstreams.present):
                running = min(present, PLACES)
                report = LoadReport(
                    _address(number), present - running, running, 1.0, True, "", 0.0
                )
                for fleet in self.fleets:
                    fleet.observe(report)
            for placer in self._placers:
                placer.serve_waiting()
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)


def _address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}:8000"


def measure(count: int, load: float, seconds: float) -> dict[str, t.Any]:
    """Run one size and load and return its figures."""
    run = run_virtually(lambda loop: Overload(loop, count, load).play(seconds))
    times_us = run.fleets[0].times_us
    for fleet in run.fleets[1:]:
        times_us.add(fleet.times_us)
    asked = sum(tally.asked for tally in run.teams)
    return {
        "upstreams": count,
        "load": load,
        "asked": asked,
        "served": sum(tally.served for tally in run.teams) / asked,
        "credit": sum(tally.credit for tally in run.teams) / asked,
        "worst_team": min(tally.credit / tally.asked for tally in run.teams[1:]),
        "flooding_team": run.teams[0].credit / run.teams[0].asked,
        "choice_p50_us": times_us.get_value_at_percentile(50),
        "choice_p99_us": times_us.get_value_at_percentile(99),
    }


_PAGE = """# Decisions under overload

Made by `make bench-overload`; the numbers are in `docs/results/overload.json`. The
shipped queue, fleet and placing of {entries} entries in one process and in virtual
time, before modelled upstreams of {places} places; a request holds a place for
{work_ms:.0f} ms in the mean. Load is the request rate over what all upstreams can do.
The first of {teams} teams sends {flood:.0%} of the requests. A request that begins
within {objective_ms:.0f} ms earns 1, a later one {late}, a refused one nothing; callers
don't come back. "Worst team" is the worst of the nine others. A choice is one call of
`Fleet.choose`, on one core of this machine (load average {load}).

{table}

It doesn't show engines that slow down as they fill, nor the time of anything but the
choice. The runs with 1,024 upstreams last 60 ms, too short for a queue: only their
choices say something.
"""


def main() -> None:
    """Measure all sizes and loads; write the result and its page."""
    rows = [
        measure(count, load, seconds)
        for count, seconds in SIZES.items()
        for load in LOADS
    ]
    heads = [name.replace("_", " ") for name in rows[0]]
    page = _PAGE.format(
        entries=ENTRIES,
        places=PLACES,
        work_ms=WORK_MS,
        teams=TEAMS,
        flood=FLOOD_SHARE,
        objective_ms=OBJECTIVE_MS,
        late=LATE_CREDIT,
        load=load_average()[0],
        table=make_table(heads, [list(row.values()) for row in rows]),
    )
    write_result("overload", {"seed": SEED, "rows": rows}, page)
    print(page)


if __name__ == "__main__":
    main()
