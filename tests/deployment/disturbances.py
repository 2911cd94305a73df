"""What happens to a deployment while it serves, each drawn from the seed."""

import asyncio
import dataclasses
import random
import signal
import time

from tests.processes.stop_series import Stop

#: Pause between the end of an entry's process and the start of the next one.
BACK_S = (0.7, 1.1)
#: Times between two SIGTERMs of a round, and the share of the entries that it stops.
ROUNDS = (((1.0, 1.4), 0.5), ((1.5, 4.0), 0.5), ((5.0, 9.0), 1.0))
BETWEEN_ROUNDS_S = (0.5, 3.0)
#: Share of the stops with a second SIGTERM or with SIGHUPs, and when these come.
AGAIN_SHARE, RELOAD_SHARE = 0.25, 0.25
AGAIN_S, RELOAD_S = (0.0, 3.0), (-1.0, 2.0)
#: Time between two configurations; a storm of them, its share, and the time within it.
CONFIGURATION_S, STORM_S = (1.0, 6.0), (0.08, 0.33)
STORM_SHARE, STORM_LENGTH = 0.2, 6
#: Time until the next one of each other kind, and how long it lasts.
OUTAGE_EACH_S, OUTAGE_S = (12.0, 25.0), (1.0, 4.5)
KILL_EACH_S = (20.0, 40.0)
FREEZE_EACH_S, FREEZE_S = (15.0, 30.0), (0.3, 3.0)
LEAVE_EACH_S, LEAVING_S, GONE_S = (6.0, 14.0), (2.5, 6.0), (2.0, 4.0)
SILENCE_EACH_S, SILENCE_S = (3.0, 8.0), (0.6, 2.5)
PAUSE_EACH_S, PAUSE_S = (3.0, 8.0), (0.3, 1.5)
SHIFT_EACH_S = (3.0, 4.5)


@dataclasses.dataclass
class Mishap:
    """Something that happened to a process, an upstream or the store.

    Attributes
    ----------
    kind, name : str
        Name of the disturbance, and of what it happened to.
    began_s, ended_s : float
    """

    kind: str
    name: str
    began_s: float
    ended_s: float = float("inf")


class Disturbances:
    """Disturbs a deployment.

    Parameters
    ----------
    deployment : Deployment
    seed : int
        Each kind draws from it for itself, so that one can be left out.
    chosen : collection of str
        Names of the kinds that are to happen, of `KINDS`.

    Attributes
    ----------
    stops : list of Stop
    mishaps : list of Mishap
    """

    def __init__(self, deployment, seed, chosen):
        self._deployment, self._programs = deployment, deployment.programs
        self._seed, self._chosen = seed, chosen
        self._until_s = 0.0
        self._taken = set()
        self._incarnations = {}
        self._tasks = []
        self.stops, self.mishaps = [], []

    async def play(self, until_s):
        """Play all kinds that are chosen until a time by `time.monotonic`."""
        self._until_s = until_s
        loops = [
            self._begin(play(self, random.Random(f"{self._seed} {name}")))
            for name, play in KINDS.items()
            if name in self._chosen and play is not None
        ]
        try:
            await asyncio.gather(*loops)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _begin(self, work):
        """Begin a part that ends with `play` at the latest."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    @property
    def _is_over(self):
        return time.monotonic() >= self._until_s

    async def _wait(self, rng, span_s):
        await asyncio.sleep(max(0.0, rng.uniform(*span_s)))

    async def _wait_for_next(self, rng, span_s):
        """Wait for the next one; return whether it still is to happen."""
        left_s = self._until_s - time.monotonic()
        await asyncio.sleep(max(0.0, min(rng.uniform(*span_s), left_s)))
        return not self._is_over

    def _draw_entry(self, rng):
        """Return a serving entry to which nothing happens, or None."""
        free = [
            one for one in self._deployment.places.entries if one not in self._taken
        ]
        # An entry that is left is always there to serve.
        return rng.choice(free) if len(free) > 1 else None

    async def _stop_entries(self, rng):
        while not self._is_over:
            gap_s, share = rng.choice(ROUNDS)
            entries = list(self._deployment.places.entries)
            rng.shuffle(entries)
            stopping = []
            for place in entries[: round(share * len(entries))]:
                if not await self._wait_for_next(rng, gap_s):
                    break
                if place not in self._taken:
                    stopping.append(self._begin(self._stop(place, rng)))
            await asyncio.gather(*stopping)
            await self._wait(rng, BETWEEN_ROUNDS_S)

    async def _stop(self, place, rng):
        again = rng.random() < AGAIN_SHARE and "again" in self._chosen
        reload = rng.random() < RELOAD_SHARE and "reload" in self._chosen
        again_s, reload_s = rng.uniform(*AGAIN_S), rng.uniform(*RELOAD_S)
        self._taken.add(place)
        besides = []
        if reload:
            delay_s = reload_s - RELOAD_S[0]
            besides.append(self._signal_later(place, signal.SIGHUP, delay_s))
        if again:
            delay_s = again_s - RELOAD_S[0]
            besides.append(self._signal_later(place, signal.SIGTERM, delay_s))
        tasks = [self._begin(one) for one in besides]
        await asyncio.sleep(-RELOAD_S[0])
        manner = " ".join(["stop", *["again"] * again, *["reload"] * reload])
        stop = Stop(place.ip, manner, time.monotonic())
        self.stops.append(stop)
        self._programs.signal(place.name, signal.SIGTERM)
        await self._end(place, stop)
        for task in tasks:
            task.cancel()
        await self._start_again(place, rng)
        stop.back_s = time.monotonic()

    async def _signal_later(self, place, number, delay_s):
        await asyncio.sleep(delay_s)
        self._programs.signal(place.name, number)

    async def _end(self, place, stop):
        grace_s = self._deployment.layout.stop_grace_s
        if not await self._programs.until_ended(place.name, grace_s):
            self._programs.signal(place.name, signal.SIGKILL)
            await self._programs.until_ended(place.name, grace_s)
        stop.ended_s = time.monotonic()
        stop.code = self._programs.processes[place.name].poll()

    async def _start_again(self, place, rng):
        await self._wait(rng, BACK_S)
        self._deployment.start_entry(place)
        await self._deployment.until_ready(place)
        self._taken.discard(place)

    async def _configure(self, rng):
        while await self._wait_for_next(rng, CONFIGURATION_S):
            storm = rng.random() < STORM_SHARE
            for _ in range(STORM_LENGTH if storm else 1):
                with self._happening("configurations", "store", lasts_s=2.0):
                    self._deployment.configure()
                if storm:
                    await self._wait(rng, STORM_S)

    async def _break_store(self, rng):
        faults = self._deployment.store.faults
        while await self._wait_for_next(rng, OUTAGE_EACH_S):
            with self._happening("outage", "store"):
                faults.silent = rng.random() < 0.5
                faults.status = 0 if faults.silent else 503
                await self._wait(rng, OUTAGE_S)
                faults.silent, faults.status = False, 0
                self._deployment.store.cut()

    async def _kill(self, rng):
        while await self._wait_for_next(rng, KILL_EACH_S):
            place = self._draw_entry(rng)
            if place is None:
                continue
            self._taken.add(place)
            with self._happening("kill", place.ip):
                self._programs.signal(place.name, signal.SIGKILL)
                await self._programs.until_ended(place.name, 5.0)
                await self._start_again(place, rng)

    async def _freeze(self, rng):
        while await self._wait_for_next(rng, FREEZE_EACH_S):
            place = self._draw_entry(rng)
            if place is None:
                continue
            self._taken.add(place)
            with self._happening("freeze", place.ip):
                self._programs.signal(place.name, signal.SIGSTOP)
                await self._wait(rng, FREEZE_S)
                self._programs.signal(place.name, signal.SIGCONT)
            self._taken.discard(place)

    async def _leave(self, rng):
        places = self._deployment.places
        store = self._deployment.store
        while await self._wait_for_next(rng, LEAVE_EACH_S):
            place = rng.choice([*places.engines, *places.plain_upstreams])
            number = self._incarnations.get(place.name, 0)
            old = f"{place.name}.{number}" if number else place.name
            self._incarnations[place.name] = number + 1
            instance = f"{place.name}.{number + 1}"
            with self._happening("leave", place.name):
                if rng.random() < 0.7:
                    self._deployment.register(place, old, state="draining")
                    await self._wait(rng, LEAVING_S)
                store.remove(f"servers/{old}")
                await self._wait(rng, GONE_S)
                self._deployment.command(
                    do="rename", upstream=place.name, instance=instance
                )
                self._deployment.register(place, instance)

    async def _silence(self, rng):
        places = self._deployment.places
        every = [*places.engines, *places.plain_upstreams]
        while await self._wait_for_next(rng, SILENCE_EACH_S):
            place, length_s = rng.choice(every), rng.uniform(*SILENCE_S)
            with self._happening("silence", place.name, length_s):
                self._deployment.command(
                    do="silence", upstream=place.name, for_s=length_s
                )

    async def _pause_group(self, rng):
        while await self._wait_for_next(rng, PAUSE_EACH_S):
            group, length_s = rng.randrange(8), rng.uniform(*PAUSE_S)
            with self._happening("pause", f"group {group}", length_s):
                self._deployment.command(do="pause", group=group, for_s=length_s)

    async def _shift(self, rng):
        while await self._wait_for_next(rng, SHIFT_EACH_S):
            expert = rng.randrange(self._deployment.layout.engines.experts)
            self._deployment.command(do="shift", expert=expert)

    def _happening(self, kind, name, lasts_s=None):
        return _Happening(self.mishaps, Mishap(kind, name, time.monotonic()), lasts_s)


class _Happening:
    """Notes a mishap, and its end: with the block, or a known time behind its start."""

    def __init__(self, mishaps, mishap, lasts_s):
        self._mishap, self._lasts_s = mishap, lasts_s
        mishaps.append(mishap)

    def __enter__(self):
        if self._lasts_s is not None:
            self._mishap.ended_s = self._mishap.began_s + self._lasts_s

    def __exit__(self, *exc_info):
        if self._lasts_s is None:
            self._mishap.ended_s = time.monotonic()


#: All kinds by name. Those without a function of their own are a part of the stops.
KINDS = {
    "stops": Disturbances._stop_entries,
    "again": None,
    "reload": None,
    "configurations": Disturbances._configure,
    "outage": Disturbances._break_store,
    "kill": Disturbances._kill,
    "freeze": Disturbances._freeze,
    "leave": Disturbances._leave,
    "silence": Disturbances._silence,
    "pause": Disturbances._pause_group,
    "shift": Disturbances._shift,
}
