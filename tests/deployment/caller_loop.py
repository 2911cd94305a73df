"""Runs callers as coroutines over epoll, and hands them the flags that it reports."""

import heapq
import itertools
import select
import time
import types


@types.coroutine
def wait_for(descriptor, flags, until_s):
    """Wait until epoll reports one of some flags.

    Parameters
    ----------
    descriptor : int
        Waited for by nobody else.
    flags : int
    until_s : float
        Latest time by `time.monotonic`.

    Returns
    -------
    int
        The flags that are set; 0 if the time is over.
    """
    return (yield descriptor, flags, until_s)


async def pause_until(until_s):
    """Wait until a time by `time.monotonic`."""
    await wait_for(-1, 0, until_s)


class CallerLoop:
    """Resumes each coroutine when its descriptor is ready or its time is over."""

    def __init__(self):
        self._poll = select.epoll()
        self._numbers = itertools.count()
        self._by_descriptor = {}
        self._timers = []
        self._waits = {}

    def start(self, coroutine):
        """Run a coroutine until it waits for the first time."""
        self._resume(coroutine, None)

    def run(self):
        """Run until each coroutine has ended."""
        while self._waits:
            timeout_s = max(0.0, self._timers[0][0] - time.monotonic())
            for descriptor, flags in self._poll.poll(timeout_s):
                if descriptor in self._by_descriptor:
                    self._resume(self._by_descriptor[descriptor], flags)
            self._resume_due()
        self._poll.close()

    def _resume_due(self):
        now_s = time.monotonic()
        while self._timers and self._timers[0][0] <= now_s:
            _, number, coroutine = heapq.heappop(self._timers)
            if self._waits.get(coroutine, (None, None))[0] == number:
                self._resume(coroutine, 0)

    def _resume(self, coroutine, flags):
        _, descriptor = self._waits.pop(coroutine, (None, -1))
        if descriptor >= 0:
            del self._by_descriptor[descriptor]
            self._poll.unregister(descriptor)
        try:
            descriptor, wanted, until_s = coroutine.send(flags)
        except StopIteration:
            return
        number = next(self._numbers)
        self._waits[coroutine] = number, descriptor
        heapq.heappush(self._timers, (until_s, number, coroutine))
        if descriptor >= 0:
            self._by_descriptor[descriptor] = coroutine
            self._poll.register(descriptor, wanted)
