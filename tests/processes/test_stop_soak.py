"""Entries that are stopped in series while callers go on.

A short series runs with all tests. By hand, 50 seeds, or ten stops of each entry::

    STOP_SEEDS=1-50 python -m tests.processes.test_stop_soak
    STOP_SEEDS=1-3 STOP_ROUNDS=10 python -m tests.processes.test_stop_soak
"""

import asyncio
import json
import os
import random
import unittest

from tests.gateway.sites import ROUTES, make_configuration
from tests.loopback import run
from tests.processes.channels import DEADLINE_MS
from tests.processes.entries import EntryProcesses
from tests.processes.stop_callers import Caller, Directory
from tests.processes.stop_checks import (
    find_caller_faults,
    find_faults,
    find_stop_faults,
)
from tests.processes.stop_series import GRACE_S, StopSeries
from tests.processes.stop_upstreams import TimedUpstream, make_runs

CALLERS = 36
#: Times for which callers keep an answer of the directory: as stated, or three times
#: as long.
KEPT_S, LONG_KEPT_S = 2.0, 6.0
FIRST_SEED, *LAST_SEED = map(int, os.environ.get("STOP_SEEDS", "1").split("-"))
SEEDS = range(FIRST_SEED, max([FIRST_SEED, *LAST_SEED]) + 1)
#: Stops of each entry.
ROUNDS = int(os.environ.get("STOP_ROUNDS", "2"))
#: Most time that a stop may take with its start and what follows, for a hanging test.
ROUND_LIMIT_S = 25.0


class Soak:
    """Callers and stops of one seed."""

    def __init__(self, seed):
        self._seed = seed
        # Addresses of their own, as the entries of the seed before may be ending.
        first = 101 + 3 * (seed % 40)
        self._ips = tuple(f"127.0.7.{first + number}" for number in range(3))
        self.runs = make_runs()
        self.callers = [self._make_caller(number) for number in range(CALLERS)]
        self.stops, self.lines = [], []

    def _make_caller(self, number):
        rng = random.Random(f"{self._seed} {number}")
        kept_s = LONG_KEPT_S if number % 2 else KEPT_S
        nearest = rng.sample(self._ips, len(self._ips))
        return Caller(f"q{number}", Directory(nearest, kept_s), rng)

    async def play(self):
        """Play it to the end of each request."""
        async with EntryProcesses(self._make_upstreams, self._ips) as entries:
            # Every fourth seed stops the entries in turn, the others by twos.
            at_once = 2 if self._seed % 4 else 1
            series = StopSeries(entries, random.Random(self._seed), ROUNDS, at_once)
            playing = asyncio.ensure_future(series.play())
            await asyncio.gather(*(one.play(playing.done) for one in self.callers))
            await playing
        self.stops, self.lines = series.stops, entries.lines

    def _make_upstreams(self, entries):
        routes = [{**route, "timeoutMs": DEADLINE_MS} for route in ROUTES]
        entries.store.put("op/config", make_configuration(2, routes))
        return [TimedUpstream(f"i-{name}", self.runs, entries.store) for name in "abcd"]

    @property
    def requests(self):
        """The sendings of each request."""
        return [tries for caller in self.callers for tries in caller.requests]

    def find_faults(self):
        """Return what went wrong, a text each with the lines that name the request."""
        tries = [one for request in self.requests for one in request]
        faults = [
            *find_faults(tries, self.runs),
            *find_stop_faults(self.stops, GRACE_S),
            *find_caller_faults(self.requests, self.stops),
        ]
        stops = [
            f"{one.ip} {one.manner} from {one.began_s:.3f} to {one.ended_s:.3f}, back "
            f"at {one.back_s:.3f}"
            for one in self.stops
        ]
        return [f"{text}{self._lines_of(one)}" for one, text in faults], stops

    def _lines_of(self, one):
        """Return what the entry wrote of a request, and of its own stops."""
        request_id = getattr(one, "request_id", None)
        kinds = ("stopping", "stopped")
        return "".join(
            f"\n  {line}"
            for line in self.lines
            if (request_id and f'"{request_id}"' in json.dumps(line))
            or (line["message_type"] in kinds and line["node"] == f"front-{one.ip[-1]}")
        )


class TestSoak(unittest.TestCase):
    def test_stops_in_series_cut_and_repeat_nothing_and_cost_one_further_try(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        soak = Soak(seed)
        run(soak.play(), limit_s=3 * ROUNDS * ROUND_LIMIT_S)
        faults, stops = soak.find_faults()
        across = [
            one
            for request in soak.requests
            for one in request
            if any(one.sent_s < stop.began_s < one.ended_s for stop in soak.stops)
        ]
        self.assertGreater(len(across), len(soak.stops))
        self.assertGreaterEqual(len(soak.stops), 3 * ROUNDS)
        self.assertEqual(len(faults), 0, "\n" + "\n".join([*faults, *stops]))


if __name__ == "__main__":
    unittest.main()
