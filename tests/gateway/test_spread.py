"""Many entries that choose among many engines by stale load reports."""

import collections
import heapq
import itertools
import random
import types
import unittest

import orjson

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.datagrams import LoadReport, decode
from fuchsiahatch_gateway.defaults import REPORT_INTERVAL_MS
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.reporting import Reporter
from fuchsiahatch_standins.fleet_store import make_upstream_entry

ZONES = ("a", "b", "c", "d")
SERVICE_MS = (600, 2_600)
#: Wait for a slot that, with 230 ms for the prompt, makes a first event late.
LATE_WAIT_MS = 250


class SimulatedEngines:
    """Engines with slots and queues, and entries that send streams to them.

    Parameters
    ----------
    entries, engines, places : int
    per_s : float
        Streams per second of all callers.
    report_ms : int
        Interval between two load reports of an engine.
    """

    def __init__(self, entries, engines, places, per_s, report_ms, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.per_s, self.places, self.report_ms = per_s, places, report_ms
        self.addresses = [f"10.0.{at // 200}.{at % 200}:80" for at in range(engines)]
        items = {}
        for at, address in enumerate(self.addresses):
            fields = make_upstream_entry(
                "svc", address, slots=places, zone=ZONES[at % len(ZONES)]
            )
            items[f"i{at}"] = Item(f"servers/i{at}", orjson.dumps(fields), 1, 1)
        self.fleets = []
        for at in range(entries):
            zone = ZONES[at % len(ZONES)]
            self.fleets.append(Fleet(zone, self.clock, random.Random(seed + at)))
            self.fleets[-1].apply(items)
        self.running = [0] * engines
        self.queues = [collections.deque() for _ in range(engines)]
        self.waits_ms = []
        self.turns = []
        self.numbers = itertools.count()

    def late_share(self, seconds):
        """Simulate, and return the share of streams that waited too long for a slot."""
        for at in range(len(self.addresses)):
            self.plan(self.rng.randrange(self.report_ms), self.report, at)
        self.plan(self.report_ms, self.arrive)
        while self.turns[0][0] < seconds * 1000:
            at_ms, _, act, arguments = heapq.heappop(self.turns)
            self.clock.advance(at_ms - self.clock.now_ms())
            act(*arguments)
        now_ms = self.clock.now_ms()
        queued = [now_ms - since for queue in self.queues for since, *_ in queue]
        waits = self.waits_ms + queued
        return sum(wait >= LATE_WAIT_MS for wait in waits) / len(waits)

    def plan(self, after_ms, act, *arguments):
        at_ms = self.clock.now_ms() + after_ms
        heapq.heappush(self.turns, (at_ms, next(self.numbers), act, arguments))

    def report(self, at):
        load = LoadReport(
            self.addresses[at],
            len(self.queues[at]),
            self.running[at],
            1.0,
            True,
            "",
            0.0,
            0,
        )
        for fleet in self.fleets:
            fleet.observe(load)
        self.plan(self.report_ms, self.report, at)

    def arrive(self):
        self.plan(round(self.rng.expovariate(self.per_s) * 1000), self.arrive)
        upstream = self.rng.choice(self.fleets).choose("svc", ())
        if upstream is None:
            self.waits_ms.append(LATE_WAIT_MS)
            return
        upstream.local_requests += 1
        at = int(upstream.entry.instance[1:])
        self.queues[at].append((self.clock.now_ms(), upstream))
        self.fill(at)

    def fill(self, at):
        if not self.queues[at] or self.running[at] >= self.places:
            return
        since_ms, upstream = self.queues[at].popleft()
        self.waits_ms.append(self.clock.now_ms() - since_ms)
        self.running[at] += 1
        self.plan(self.rng.randint(*SERVICE_MS), self.end, at, upstream)

    def end(self, at, upstream):
        self.running[at] -= 1
        upstream.local_requests -= 1
        self.fill(at)


class SimulatedAgents(SimulatedEngines):
    """Engines whose agents decide when they report their load to the entries."""

    def __init__(self, entries, engines, places, per_s, seed=1):
        super().__init__(entries, engines, places, per_s, REPORT_INTERVAL_MS, seed)
        self.entries = list(self.fleets)
        self.sent = 0
        port = types.SimpleNamespace(send_encoded=self.deliver)
        self.ranks = [
            types.SimpleNamespace(address=address, pass_ms=0.0, last_report=None)
            for address in self.addresses
        ]
        self.reporters = [Reporter(rank, port, self.clock, 5e5) for rank in self.ranks]

    def report(self, at):
        self.ranks[at].last_report = types.SimpleNamespace(
            queued=len(self.queues[at]),
            running=self.running[at],
            pace=1.0,
            open=True,
            group="",
            born_ms=0,
        )
        self.reporters[at].send_load(self.entries)
        self.plan(self.report_ms, self.report, at)

    def deliver(self, data, fleet):
        self.sent += 1
        fleet.observe(decode(data))


class TestSpread(unittest.TestCase):
    def test_many_entries_with_stale_reports_leave_no_queues_beside_free_slots(self):
        # One caller in five waits a second for the first event of a stream, with a
        # third of all slots free. Each entry sends to the engine that looks least
        # loaded; the next report is 300 ms away, and until then 32 other entries choose
        # alike by the same stale loads. Each of 181 engines that streams left because
        # of its silence was estimated to have 1 to 3 streams when they were sent, by a
        # report some 200 ms old, and had 5 to 15 on 5 slots a second later.
        simulation = SimulatedEngines(33, 64, 5, per_s=131, report_ms=300)
        self.assertLess(simulation.late_share(20), 0.05)

    def test_entries_learn_at_once_of_an_engine_that_fills_up(self):
        # At the day's peak one stream in 11 starts late with a fifth of all slots free:
        # engines fill up between two reports, and entries go on sending to them. More
        # frequent reports of all engines would be three times the control traffic.
        simulation = SimulatedAgents(33, 64, 5, per_s=160)
        self.assertLess(simulation.late_share(20), 0.05)
        reports_per_s = simulation.sent / (33 * 64 * 20)
        self.assertLess(reports_per_s, 5.5)

    def test_few_entries_with_up_to_date_reports_find_the_free_slots(self):
        simulation = SimulatedEngines(7, 16, 6, per_s=38, report_ms=100)
        self.assertLess(simulation.late_share(60), 0.02)


if __name__ == "__main__":
    unittest.main()
