"""An upstream's slots and queue, and the record of what it runs."""

import asyncio
import dataclasses
import time

from fuchsiahatch_standins.scripted_upstream import SIGNATURE

NOT_EXECUTED = (b"fuchsiahatch-not-executed", b"1")


@dataclasses.dataclass(eq=False)
class Run:
    """The run of one request at an upstream.

    Attributes
    ----------
    request, target, upstream : str
    after : int
        Event behind which a stream goes on.
    began_s, ended_s : float
    status, events : int
        Status that was sent, and the last event.
    last_event_s : float
    ending : {"", "whole", "left", "open"}
        "left" if the connection ended first, "open" at the end of the process.
    """

    request: str
    target: str
    upstream: str
    after: int
    began_s: float
    ended_s: float = 0.0
    status: int = 200
    events: int = 0
    last_event_s: float = 0.0
    ending: str = ""


class Silence:
    """A time in which an upstream or a group sends nothing."""

    def __init__(self):
        self._ends_s = 0.0

    def begin(self, length_s):
        """Begin, or go on, for so long."""
        self._ends_s = max(self._ends_s, time.monotonic() + length_s)

    @property
    def lasts(self):
        """Whether it isn't over yet."""
        return time.monotonic() < self._ends_s

    async def wait(self):
        """Wait until it is over."""
        while self.lasts:
            await asyncio.sleep(self._ends_s - time.monotonic())


class SlottedUpstream:
    """Runs so many requests at a time, lets a few wait, and refuses the others.

    Parameters
    ----------
    name : str
    slots, queue : int
    write_run : callable
        Called with each run as a dict when it ends.
    work : coroutine function
        Answers a request; it is given its run, the exchange and this object.

    Attributes
    ----------
    instance : str
        The id under which it is registered.
    silence : Silence
    """

    def __init__(self, name, slots, queue, write_run, work):
        self.name = self.instance = name
        self.silence = Silence()
        self._slots, self._queue = asyncio.Semaphore(slots), queue
        self._write_run, self._work = write_run, work
        self._runs = set()
        self.queued = 0

    @property
    def running(self):
        """Number of requests that run."""
        return len(self._runs)

    async def handle(self, exchange):
        """Answer an exchange of an entry."""
        expected = exchange.header(b"fuchsiahatch-expect-instance")
        request = (exchange.header(b"fuchsiahatch-request-id") or b"").decode()
        if exchange.target == b"/health":
            exchange.respond(200)
        elif expected not in (None, self.instance.encode()):
            exchange.respond(421, [NOT_EXECUTED])
        elif not request:
            exchange.respond(400, [NOT_EXECUTED])
        elif self._slots.locked() and self.queued >= self._queue:
            exchange.respond(503, [NOT_EXECUTED, *_echo(request)])
        else:
            await self._run_in_slot(request, exchange)

    async def _run_in_slot(self, request, exchange):
        self.queued += 1
        try:
            await self._slots.acquire()
        finally:
            self.queued -= 1
        try:
            await self._run(request, exchange)
        finally:
            self._slots.release()

    async def _run(self, request, exchange):
        after = int(exchange.header(b"last-event-id") or 0)
        target = exchange.target.decode()
        run = Run(request, target, self.name, after, time.monotonic())
        self._runs.add(run)
        try:
            await self._work(run, exchange, self)
            run.ending = "whole"
        except asyncio.CancelledError:
            run.ending = "left"
            raise
        finally:
            self._runs.discard(run)
            self._end(run)

    def answer_head(self, run):
        """Return the headers of an answer."""
        return [
            *_echo(run.request),
            (b"fuchsiahatch-response-signature", SIGNATURE.encode()),
        ]

    def write_open_runs(self):
        """Write the runs that haven't ended yet."""
        for run in tuple(self._runs):
            run.ending = "open"
            self._end(run)

    def _end(self, run):
        run.ended_s = time.monotonic()
        self._write_run({"run": dataclasses.asdict(run)})


def _echo(request):
    return [(b"fuchsiahatch-request-id", request.encode())]
