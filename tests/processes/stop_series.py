"""Stops of entries in turn and overlapping, with signals in series."""

import asyncio
import dataclasses
import itertools
import signal
import time

#: Time from a SIGTERM after which the platform kills.
GRACE_S = 8.0
#: Pause between a stop's end and the next start; the platform's is about a second.
BACK_S = (0.9, 1.1)
#: Time for which an entry serves between two stops.
SERVING_S = (0.3, 2.5)
#: Time from a SIGTERM to another, or to a SIGHUP.
AGAIN_S = (0.0, 3.0)
#: Length of an outage of the store, which begins before a SIGTERM.
OUTAGE_S, BEFORE_S = (1.0, 4.0), (0.0, 0.5)


@dataclasses.dataclass
class Stop:
    """A stop of an entry, until it serves again.

    Attributes
    ----------
    ip, manner : str
    began_s : float
        Time of the SIGTERM.
    ended_s, code
        End of the process, and its exit code.
    back_s : float
        When the next process of this entry was ready.
    """

    ip: str
    manner: str
    began_s: float
    ended_s: float = 0.0
    code: int | None = None
    back_s: float = float("inf")


class StopSeries:
    """Stops each of several entries again and again.

    Parameters
    ----------
    entries : EntryProcesses
    rng : random.Random
    rounds : int
        Stops of each entry.
    at_once : int
        Entries that may be down at a time.

    Attributes
    ----------
    stops : list of Stop
    """

    def __init__(self, entries, rng, rounds, at_once):
        self._entries, self._rng, self._rounds = entries, rng, rounds
        self._turns = asyncio.Semaphore(at_once)
        manners = [
            self._send_nothing_more,
            self._stop_again,
            self._reload,
            self._break_store,
            self._start_and_stop,
        ]
        rng.shuffle(manners)
        self._manners = itertools.cycle(manners)
        self.stops = []

    async def play(self):
        """Play all stops."""
        await asyncio.gather(*map(self._play_one, self._entries.ips))

    async def _play_one(self, ip):
        for _ in range(self._rounds):
            await self._wait(SERVING_S)
            async with self._turns:
                await self._restart(ip, next(self._manners))

    async def _restart(self, ip, manner):
        if manner == self._break_store:
            outage = asyncio.ensure_future(self._break_store(ip))
            await self._wait(BEFORE_S)
        stop = await self._stop(ip, manner)
        await self._wait(BACK_S)
        self._entries.start(ip)
        if manner == self._start_and_stop:
            await self._start_and_stop(ip)
        if manner == self._break_store:
            await outage
        await self._entries.until_ready(ip)
        stop.back_s = time.monotonic()

    async def _stop(self, ip, manner):
        process = self._entries.processes[ip]
        stop = Stop(ip, manner.__name__.strip("_"), time.monotonic())
        self.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        besides = (self._stop_again, self._reload)
        more = asyncio.ensure_future(manner(ip)) if manner in besides else None
        try:
            ending = self._entries.until_ended(ip)
            await asyncio.wait_for(ending, GRACE_S + 0.5)
        except TimeoutError:
            await self._entries.kill(ip)
        stop.ended_s, stop.code = time.monotonic(), process.returncode
        if more is not None:
            await more
        return stop

    async def _send_nothing_more(self, ip):
        """Send one SIGTERM alone."""

    async def _stop_again(self, ip):
        """Send a second SIGTERM during the stop."""
        await self._wait(AGAIN_S)
        self._entries.processes[ip].send_signal(signal.SIGTERM)

    async def _reload(self, ip):
        """Send SIGHUPs at once and later."""
        self._entries.processes[ip].send_signal(signal.SIGHUP)
        await self._wait(AGAIN_S)
        self._entries.processes[ip].send_signal(signal.SIGHUP)

    async def _break_store(self, ip):
        """Let the store refuse all calls for a time."""
        self._entries.store.faults.status = 503
        await self._wait(OUTAGE_S)
        self._entries.store.faults.status = 0

    async def _start_and_stop(self, ip):
        """Stop an entry that has started and isn't synced yet, and start it again."""
        self._entries.store.faults.fail_each = 1
        await self._entries.until_ready(ip, status=503)
        await self._wait(BEFORE_S)
        stopping = asyncio.ensure_future(self._stop(ip, self._start_and_stop))
        await self._wait(BEFORE_S)
        self._entries.store.faults.fail_each = 0
        stop = await stopping
        await self._wait(BACK_S)
        stop.back_s = time.monotonic()
        self._entries.start(ip)

    async def _wait(self, span_s):
        await asyncio.sleep(self._rng.uniform(*span_s))
