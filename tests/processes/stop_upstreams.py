"""Upstreams for tests of stops: the target of a request says how long it runs."""

import asyncio
import collections
import contextlib
import dataclasses
import time

from fuchsiahatch_standins.fleet_store import make_upstream_entry
from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.gateway.played_upstreams import make_event

#: Time between two events of a stream; within the pause that the platform states.
EVENT_INTERVAL_S = 0.1
#: Prefix of streams, the rest are plain answers.
STREAMS = ("/chat/", "/brief/")
#: Target of a plain answer that fills the buffers before a slow caller, and its size.
LARGE_TARGET, LARGE_BYTES = "/safe/large", 3_000_000
#: Requests that an upstream runs at a time: more than there are callers.
SLOTS = 50


@dataclasses.dataclass
class Run:
    """The run of one request at an upstream.

    Attributes
    ----------
    began_s : float
    whole : bool
        Whether the whole answer was sent; a run whose connection ends is cut.
    """

    began_s: float
    whole: bool = False


class TimedUpstream(ScriptedUpstream):
    """An upstream whose streams and plain answers last as long as the target says.

    Parameters
    ----------
    name : str
    runs : collections.defaultdict of str to list of Run
        Runs by request id, which several upstreams share.
    store : FleetStore
        The store in which it registers.
    """

    def __init__(self, name, runs, store):
        super().__init__(self._work)
        self.name, self._runs, self._store = name, runs, store

    async def start(self):
        """Listen and register."""
        address = f"127.0.0.1:{await self.listen()}"
        entry = make_upstream_entry("svc", address, zone="kl-a", slots=SLOTS)
        self._store.put(f"servers/{self.name}", entry)

    async def _serve(self, reader, writer):
        # A run that is cut is cancelled.
        with contextlib.suppress(asyncio.CancelledError):
            await super()._serve(reader, writer)

    async def _work(self, request, wire):
        run = Run(time.monotonic())
        self._runs[request.request_id].append(run)
        if not request.target.startswith(STREAMS):
            await asyncio.sleep(length_s(request.target))
            await wire.answer(request, body=expected_body(request.target, request.body))
        else:
            await wire.begin_stream(request)
            for number in range(1, count_events(request.target) + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await wire.event(number)
            await wire.end_stream()
        run.whole = True


def make_runs():
    """Return an empty record of runs."""
    return collections.defaultdict(list)


def length_s(target):
    """Return how long a request runs by its target."""
    return 0.0 if target == LARGE_TARGET else int(target.rpartition("/")[2]) / 1000


def count_events(target):
    """Return the number of events of a stream."""
    return max(1, round(length_s(target) / EVENT_INTERVAL_S))


def expected_body(target, request_body):
    """Return the whole body of the answer to a request."""
    if target.startswith(STREAMS):
        return b"".join(map(make_event, range(1, count_events(target) + 1)))
    if target == LARGE_TARGET:
        return b"large body" * (LARGE_BYTES // 10)
    return b"got %d bytes" % len(request_body)
