import asyncio
import collections
import os
import random
import signal
import time
import unittest

from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.gateway.sites import Reply, encode_request, make_configuration
from tests.loopback import run
from tests.processes.entries import PORTS, EntryProcesses

#: Addresses of their own, as other tests' entries may be ending.
IPS = ("127.0.7.61", "127.0.7.62", "127.0.7.63")
#: Time after an answer in which requests that were on their way may arrive, and how
#: many may arrive between it and the end that the answer named.
IN_FLIGHT_S, MAX_IN_FLIGHT = 0.5, 2
#: Time after an answer that says that its upstream leaves, from which nothing arrives.
DRAIN_S = 0.5
#: When the zone of one upstream is drained, the time after which nothing arrives there
#: through an outage or a restart of an entry, and the end of the drain. The platform
#: allows 5 s.
ZONE_BEGIN_S, ZONE_KNOWN_S, ZONE_END_S = 0.6, 2.0, 5.0
SPANS_S = (0.7, 1.5, 3.0)
#: Kept connections to each entry, and the time for which it is disturbed.
CALLERS, SOAK_S = 5, 6.0
#: Time for which a refused caller waits: its entry writes only some lines a second.
REFUSED_WAIT_S = 0.1
SEEDS = range(1, 1 + int(os.environ.get("STATEMENT_SEEDS", "1")))


class StatingUpstream(ScriptedUpstream):
    """An upstream that overloads at random, and may say that it leaves.

    Attributes
    ----------
    zone : str
        A zone of its own.
    all_arrivals_s : list of float
        Times of all requests, also of entries that have ended.
    arrivals : dict of str to list of float
        Times of requests by the entry that sent them.
    rejections : dict of str to list of (float, float)
        Times of rejections with Retry-After by entry, and the seconds that they named.
    rejected, left : int
        All rejections, and all answers that say that the upstream leaves.
    left_s : dict of str to float
        When an entry first got an answer that says that the upstream leaves.
    """

    def __init__(self, entries, name, rng):
        super().__init__(self._work)
        self.entries, self.name, self.rng = entries, name, rng
        self.zone = f"kl-{name}"
        self.all_arrivals_s = []
        self.overloaded = self.leaving = False
        self.rejected = self.left = 0
        self.arrivals = collections.defaultdict(list)
        self.rejections = collections.defaultdict(list)
        self.left_s = {}
        self.ended = collections.Counter()

    async def start(self):
        self.port = await self.listen()
        self.register()

    def register(self):
        self.entries.put_upstream(self.name, self.port, self.zone)

    async def overload_at_random(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            self.overloaded = True
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            self.overloaded = False

    async def _work(self, request, wire):
        ip = request.request_id.split("-")[0]
        ended = self.ended[ip]
        self.arrivals[ip].append(time.monotonic())
        self.all_arrivals_s.append(time.monotonic())
        if not self.overloaded:
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))
        headers = {"Server-Leaving": "1"} if self.leaving else {}
        status = 200
        if ended != self.ended[ip]:
            # The entry has ended meanwhile; nobody gets the answer.
            return
        if self.overloaded:
            status = 503
            headers["Fuchsiahatch-Not-Executed"] = "1"
            span_s = self.rng.choice(SPANS_S)
            headers["Retry-After"] = str(span_s)
            self.rejections[ip].append((time.monotonic(), span_s))
            self.rejected += 1
        if self.leaving:
            self.left_s.setdefault(ip, time.monotonic())
            self.left += 1
        await wire.answer(request, status, b"", headers)

    def forget_entry(self, ip):
        """Forget what an entry was told that has ended."""
        self.ended[ip] += 1
        self.arrivals.pop(ip, None)
        self.rejections.pop(ip, None)
        self.left_s.pop(ip, None)

    def most_in_a_span(self):
        return max(
            (
                sum(at + IN_FLIGHT_S < came < at + span_s for came in self.arrivals[ip])
                for ip, rejections in self.rejections.items()
                for at, span_s in rejections
            ),
            default=0,
        )

    def after_leaving(self):
        return sum(
            came > left_s + DRAIN_S
            for ip, left_s in self.left_s.items()
            for came in self.arrivals[ip]
        )


class Soak:
    """Callers on kept connections, and what happens meanwhile."""

    def __init__(self, entries, rng):
        self.entries, self.rng = entries, rng
        self.statuses = collections.Counter()
        self.most, self.version = 0, 1
        self.in_drained_zone = self.before_drain = 0
        self.numbers = collections.Counter()

    async def play(self):
        tasks = [self._call(ip) for ip in IPS for _ in range(CALLERS)]
        tasks += [one.overload_at_random() for one in self.entries.upstreams]
        running = [asyncio.ensure_future(task) for task in tasks]
        await asyncio.gather(self._disturb(), self._leave(), self._drain_zone())
        for task in running:
            task.cancel()
        ended = await asyncio.gather(*running, return_exceptions=True)
        faults = [one for one in ended if isinstance(one, Exception)]
        self.note_most()
        return faults

    def note_most(self):
        now = max(one.most_in_a_span() for one in self.entries.upstreams)
        self.most = max(self.most, now)

    async def _call(self, ip):
        """Send requests on one connection until its entry has gone, then on another."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, PORTS["front"])
                while await self._ask(ip, reader, writer):
                    await asyncio.sleep(self.rng.uniform(0.0, 0.04))
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                # The entry is down, or has just ended.
                await asyncio.sleep(0.05)

    async def _ask(self, ip, reader, writer):
        self.numbers[ip] += 1
        path = self.rng.choice(("/safe/x", "/twice/x", "/hold/x"))
        request_id = f"{ip}-{self.numbers[ip]}"
        writer.write(encode_request(path, request_id=request_id, keep=True))
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(Reply(head).headers.get("content-length", "0"))
        reply = Reply(head + await reader.readexactly(length))
        self.statuses[reply.status] += 1
        if reply.status == 503:
            await asyncio.sleep(REFUSED_WAIT_S)
        return reply.headers.get("connection") != "close"

    async def _disturb(self):
        steps = (
            self._reload,
            self._configure,
            self._lapse,
            self._outage,
            self._restart,
        )
        ends_s = time.monotonic() + SOAK_S
        while time.monotonic() < ends_s:
            overlapping = self.rng.sample(steps, 2)
            await asyncio.gather(*(step() for step in overlapping))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _reload(self):
        for _ in range(2):
            for ip in IPS:
                self.entries.processes[ip].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)

    async def _configure(self):
        self.version += 1
        self.entries.store.put("op/config", make_configuration(self.version))

    async def _lapse(self):
        one = self.rng.choice(self.entries.upstreams)
        self.entries.store.remove(f"servers/{one.name}")
        await asyncio.sleep(self.rng.uniform(0.05, 0.4))
        one.register()

    async def _outage(self):
        self.entries.store.faults.status = 503
        await asyncio.sleep(self.rng.uniform(0.2, 0.8))
        self.entries.store.faults.status = 0

    async def _restart(self):
        ip = self.rng.choice(IPS)
        self.entries.processes[ip].send_signal(
            self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        )
        await self.entries.until_ended(ip)
        self.note_most()
        for one in self.entries.upstreams:
            one.forget_entry(ip)
        self.entries.start(ip)

    async def _drain_zone(self):
        """Drain one upstream's zone, and count what arrives there later."""
        drained, store = self.entries.upstreams[0], self.entries.store
        await asyncio.sleep(ZONE_BEGIN_S)
        self.before_drain = len(drained.all_arrivals_s)
        store.put(f"op/evacuate/{drained.zone}", b"not read")
        known_s = time.monotonic() + ZONE_KNOWN_S
        await asyncio.sleep(ZONE_END_S - ZONE_BEGIN_S)
        self.in_drained_zone = sum(at > known_s for at in drained.all_arrivals_s)
        store.remove(f"op/evacuate/{drained.zone}")

    async def _leave(self):
        """Have one upstream leave by its answers, while its entry goes on as ready."""
        await asyncio.sleep(0.4 * SOAK_S)
        self.entries.upstreams[-1].leaving = True


class TestSoak(unittest.TestCase):
    def test_statements_of_upstreams_hold_through_signals_restarts_and_changes(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        rng = random.Random(seed)

        def make_upstreams(entries):
            return [StatingUpstream(entries, f"i-{name}", rng) for name in "abc"]

        async def play():
            async with EntryProcesses(make_upstreams, IPS) as entries:
                soak = Soak(entries, rng)
                faults = await soak.play()
                after = sum(one.after_leaving() for one in entries.upstreams)
                rejected = sum(one.rejected for one in entries.upstreams)
                left = sum(one.left for one in entries.upstreams)
            kinds = {line["message_type"] for line in entries.lines}
            return soak, faults, after, rejected, left, kinds

        soak, faults, after, rejected, left, kinds = run(play())
        self.assertEqual(faults, [])
        self.assertLessEqual(soak.most, MAX_IN_FLIGHT)
        self.assertEqual(after, 0)
        self.assertGreater(soak.before_drain, 0)
        self.assertEqual(soak.in_drained_zone, 0)
        self.assertGreater(rejected, 0)
        self.assertGreater(soak.statuses[200], 50)
        self.assertIn("upstream_backoff", kinds)
        self.assertIn("zone_drain_begun", kinds)
        self.assertEqual(left > 0, "upstream_leaving" in kinds)
        self.assertNotIn("internal_error", kinds)


if __name__ == "__main__":
    unittest.main()
