import asyncio
import random
import types
import unittest

from fuchsiahatch_adapter.upstreams import decode_stated_rate
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import FormError, RefusedError
from fuchsiahatch_gateway.datagrams import PermitRequest, RateNotice, decode, encode
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.lookups import EntryRecord
from fuchsiahatch_gateway.permit_issuer import (
    MAX_WAIT_MS,
    MIN_RATE_PER_S,
    WARM_UP_MS,
    PermitIssuer,
)
from fuchsiahatch_gateway.permits import Permits
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import RequestTraits
from fuchsiahatch_gateway.stated_rates import StatedRate, StatedRates
from fuchsiahatch_standins.fleet_store import make_upstream_item
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import Site, answers, upstream
from tests.gateway.test_agents import Group  # noqa: F401  (installs the reactor)
from tests.loopback import run

#: One-way delay of a datagram.
ONE_WAY_MS = 2
#: Window in which requests are counted, and the limit on them: a factor of the stated
#: rate and a fixed excess.
WINDOW_MS = 4_000
MAX_RATE_FACTOR, MAX_EXCESS = 1.5, 5
#: Share of the stated rate that must be used where callers would use all of it.
MIN_USED_SHARE = 0.8


class Network:
    """Carries datagrams between simulated entries, and loses some."""

    def __init__(self, loop, rng, lost_share):
        self.loop, self.rng, self.lost_share = loop, rng, lost_share
        self.receivers = {}
        self.cut = set()
        self.sent = 0

    def send(self, sender, data, peer):
        self.sent += 1
        if sender in self.cut or peer in self.cut:
            return
        if self.rng.random() >= self.lost_share:
            receiver = self.receivers[peer]
            self.loop.call_later(ONE_WAY_MS / 1000, receiver, decode(data), sender)


class SimulatedEntry:
    """The upstream choice, stated rates and permits of one entry."""

    def __init__(self, number, simulation):
        self.node = f"front-{number}"
        self.peer = (f"10.0.{number // 200}.{number % 200 + 1}", 7_000)
        self.simulation = simulation
        clock = simulation.loop.make_clock()
        self.fleet = Fleet("a", clock, random.Random(number))
        self.fleet.apply(
            {
                f"i{at}": make_upstream_item(f"i{at}", "svc", f"10.1.0.{at + 1}:80", 50)
                for at in range(simulation.upstreams)
            }
        )
        port = types.SimpleNamespace(
            send=lambda message, peer: simulation.network.send(
                self.peer, encode(message), peer
            )
        )
        self.permits = Permits(
            self.node,
            lambda: simulation.registered,
            port,
            clock,
            self.fleet.upstreams.get,
        )
        self.rates = StatedRates(clock, self.broadcast)
        self.placer = Placer(self.fleet, clock, self.permits.ask)
        self.clock = clock
        simulation.network.receivers[self.peer] = self.receive

    def broadcast(self, notice):
        for record in self.simulation.registered.values():
            if record.node != self.node:
                self.simulation.network.send(self.peer, encode(notice), record.peer)

    def receive(self, message, peer):
        if isinstance(message, PermitRequest):
            self.permits.receive_request(message, peer)
        elif isinstance(message, RateNotice):
            self.rates.receive_notice(self.fleet.upstreams[message.upstream], message)
        else:
            self.permits.receive_reply(message)

    async def request(self):
        """Send one request where that is allowed; return its refusal, if any."""
        simulation = self.simulation
        try:
            chosen = await self.placer.acquire("svc", RequestTraits("t", 1), (), 500)
        except RefusedError as fault:
            return fault
        instance = chosen.entry.instance
        simulation.arrivals.append((self.clock.now_ms(), instance, self.node))
        await asyncio.sleep(0.02)
        rate = simulation.rates[instance]
        value = None if rate is None else b"%f" % rate
        self.rates.note_answer(chosen, value)
        if value is not None:
            simulation.informed_ms.setdefault(
                (self.node, instance), self.clock.now_ms()
            )
        self.placer.release(chosen)
        return None


class Simulation:
    """A number of entries and upstreams in virtual time.

    Parameters
    ----------
    entries : int
    rates : list of float or None
        The rate that each upstream states.
    demand_per_s : float
    for_s : float
    lost_share : float, optional
        Share of the datagrams that are lost.
    change : callable, optional
        Called each second with the simulation and the time in seconds.
    seed : int, optional
    """

    def __init__(
        self, entries, rates, demand_per_s, for_s, lost_share=0.0, change=None, seed=1
    ):
        self.entry_count, self.demand_per_s, self.for_s = entries, demand_per_s, for_s
        self.rates = {f"i{at}": rate for at, rate in enumerate(rates)}
        self.upstreams = len(rates)
        self.lost_share, self.change = lost_share, change
        self.rng = random.Random(seed)
        self.arrivals, self.informed_ms, self.refusals = [], {}, []

    def run(self):
        return run_virtually(self._play)

    async def _play(self, loop):
        self.loop = loop
        self.network = Network(loop, self.rng, self.lost_share)
        self.registered = {}
        self.entries = [SimulatedEntry(at, self) for at in range(self.entry_count)]
        for one in self.entries:
            self.register(one)
        running = set()
        second = 0
        while loop.time() < self.for_s:
            if self.change is not None and loop.time() >= second:
                self.change(self, second)
                second += 1
            task = asyncio.ensure_future(self._send_request())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.expovariate(self.demand_per_s))
        await asyncio.gather(*running)
        return self

    def register(self, entry):
        self.registered[entry.node] = EntryRecord(entry.node, "a", "", entry.peer)

    async def _send_request(self):
        entry = self.rng.choice(self.entries)
        refusal = await entry.request()
        if refusal is not None:
            self.refusals.append(refusal)

    def counted_arrivals(self, instance):
        """Return the arrivals 0.5 s or more after their entry received the rate."""
        return [
            at_ms
            for at_ms, where, node in self.arrivals
            if where == instance
            and at_ms >= self.informed_ms.get((node, where), 10**9) + 500
        ]

    def most_in_a_window(self, instance):
        """Return the highest number of counted arrivals in any window."""
        times = self.counted_arrivals(instance)
        return max(
            (
                sum(begin <= other < begin + WINDOW_MS for other in times)
                for begin in times
            ),
            default=0,
        )

    def used(self, instance, from_ms):
        """Return the arrivals from a time on as a share of the stated rate."""
        came = sum(
            at_ms >= from_ms for at_ms, where, _ in self.arrivals if where == instance
        )
        allowed = self.rates[instance] * (self.for_s * 1000 - from_ms) / 1000
        return came / allowed


class TestSimulation(unittest.TestCase):
    """Upstreams get their stated rates from all entries together.

    Without shared permits, an upstream that states 2 requests per second gets 80: each
    of 41 or 99 entries learns the rate from its own answers and applies it on its own.
    """

    def check_limits(self, simulation):
        for instance, rate in simulation.rates.items():
            if rate is not None:
                limit = MAX_RATE_FACTOR * rate * WINDOW_MS / 1000 + MAX_EXCESS
                self.assertLessEqual(
                    simulation.most_in_a_window(instance), limit, (instance, rate)
                )

    def test_rates_are_kept_and_used(self):
        for entries in (3, 41, 99):
            for lost_share in (0.0, 0.1):
                with self.subTest(entries=entries, lost_share=lost_share):
                    rates = [0.5, 2.0, 20.0, 200.0, None]
                    simulation = Simulation(
                        entries, rates, 300.0, 16.0, lost_share
                    ).run()
                    self.check_limits(simulation)
                    for instance, rate in simulation.rates.items():
                        if rate is not None and rate < 200:
                            used = simulation.used(instance, 6_000)
                            self.assertGreaterEqual(
                                used, MIN_USED_SHARE, (instance, used)
                            )
                            self.assertLessEqual(used, 1.05 + 2 / (10 * rate))
                    self.assertEqual(simulation.refusals, [])

    def test_where_all_upstreams_limit_their_rates_refusals_say_when_to_retry(self):
        simulation = Simulation(41, [4.0, 4.0, 4.0], 60.0, 14.0).run()
        self.check_limits(simulation)
        used = [simulation.used(instance, 6_000) for instance in simulation.rates]
        self.assertGreaterEqual(min(used), MIN_USED_SHARE)
        self.assertEqual(
            {one.result for one in simulation.refusals}, {Code.RATE_REACHED}
        )
        waits_ms = [
            one.retry_after_ms for one in simulation.refusals if one.retry_after_ms
        ]
        self.assertGreater(len(waits_ms), 0.9 * len(simulation.refusals))
        self.assertLessEqual(max(waits_ms), MAX_WAIT_MS)
        self.assertGreater(len({wait_ms // 50 for wait_ms in waits_ms}), 5)

    def test_issuers_of_permits_are_lost_and_return(self):
        def change(simulation, second):
            issuers = [one for one in simulation.entries if one.permits.issuer.issued]
            if second == 5 and issuers:
                simulation.network.cut.update(one.peer for one in issuers)
                simulation.cut_off = [one.node for one in issuers]
            if second == 8:
                for node in simulation.cut_off:
                    simulation.registered.pop(node)
            if second == 12:
                simulation.network.cut.clear()
                for one in simulation.entries:
                    simulation.register(one)

        simulation = Simulation(41, [2.0, 20.0, None], 100.0, 18.0, change=change).run()
        self.check_limits(simulation)

    def test_a_rate_that_changes_each_second(self):
        def change(simulation, second):
            simulation.rates["i0"] = 10.0 if second % 2 else 14.0

        simulation = Simulation(41, [14.0, None], 100.0, 14.0, change=change).run()
        limit = MAX_RATE_FACTOR * 14.0 * WINDOW_MS / 1000 + MAX_EXCESS
        self.assertLessEqual(simulation.most_in_a_window("i0"), limit)

    def test_the_end_of_a_stated_rate_reaches_all_entries(self):
        def change(simulation, second):
            if second == 6:
                simulation.rates["i0"] = None

        simulation = Simulation(41, [0.0, 0.0], 60.0, 20.0, change=change).run()
        late = [
            at for at, where, _ in simulation.arrivals if where == "i0" and at > 15_000
        ]
        self.assertGreater(len(late), 0.7 * 60 * 5)


class TestIssuer(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.issuer = PermitIssuer(self.clock)

    def count(self, rate_per_s, for_ms):
        granted = 0
        for _ in range(for_ms):
            self.clock.advance(1)
            granted += self.issuer.issue("a", rate_per_s, 0) == 0
        return granted

    def test_a_new_issuer_issues_a_quarter_at_first(self):
        # Two entries issue an upstream's permits for a while, as the others learn of
        # the change of the issuer one after another.
        self.assertLessEqual(self.count(20.0, WARM_UP_MS), 0.25 * 80 + 2)
        self.assertAlmostEqual(self.count(20.0, 4_000), 80, delta=2)

    def test_a_rate_of_zero_allows_some_requests_to_detect_its_end(self):
        self.assertLessEqual(self.count(0.0, 20_000), 20 * MIN_RATE_PER_S + 1)
        self.assertGreaterEqual(self.count(0.0, 20_000), 4)

    def test_unused_permits_are_limited(self):
        self.count(20.0, WARM_UP_MS)
        self.clock.advance(7_000)
        self.assertLessEqual(self.count(20.0, 100), 12)

    def test_each_entry_gets_a_different_wait(self):
        self.issuer.issue("a", 100.0, 0)
        waits = [self.issuer.issue("a", 100.0, 0) for _ in range(8)]
        self.assertEqual(len(set(waits)), 8)
        self.assertEqual(waits, sorted(waits))


class TestStatements(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.fleet = Fleet("a", self.clock, random.Random(1))
        self.fleet.apply({"a": make_upstream_item("a", "svc", "10.0.0.1:80", 5)})
        self.upstream = self.fleet.upstreams["a"]
        self.notices = []
        self.rates = StatedRates(self.clock, self.notices.append)

    def test_it_ends_with_the_first_answer_without_it(self):
        self.rates.note_answer(self.upstream, b"2.5")
        self.assertEqual(self.upstream.stated, StatedRate(2.5, 1_000))
        self.rates.note_answer(self.upstream, None)
        self.assertIsNone(self.upstream.stated)

    def test_other_entries_are_notified_once(self):
        self.rates.note_answer(self.upstream, b"2.5")
        self.rates.note_answer(self.upstream, b"3")
        self.assertEqual([one.rate_per_s for one in self.notices], [2.5])

    def test_an_older_notice_or_one_of_another_incarnation_is_ignored(self):
        self.rates.note_answer(self.upstream, None)
        self.clock.advance(10)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, 2.0, 50))
        self.assertIsNone(self.upstream.stated)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, 2.0, 5))
        self.assertEqual(self.upstream.stated.rate_per_s, 2.0)
        self.rates.receive_notice(self.upstream, RateNotice("a", 9, 1.0, 0))
        self.assertEqual(self.upstream.stated.rate_per_s, 2.0)

    def test_a_notice_of_the_end_counts_unless_a_local_answer_is_recent(self):
        self.rates.note_answer(self.upstream, b"2")
        self.clock.advance(50)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, None, 0))
        self.assertIsNotNone(self.upstream.stated)
        self.clock.advance(100)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, None, 0))
        self.assertIsNone(self.upstream.stated)

    def test_an_invalid_rate_counts_as_none(self):
        for value in (b"nan", b"inf", b"-1", b"many", b""):
            with self.subTest(value=value):
                with self.assertRaises(FormError):
                    decode_stated_rate(value)
                self.rates.note_answer(self.upstream, value)
                self.assertIsNone(self.upstream.stated)


class TestEntry(unittest.TestCase):
    def test_a_refusal_says_when_to_retry(self):
        # The only upstream limits its rate, and its caller is refused at once.
        async def play():
            says = answers(200, b"ok", **{"Server-Limit": "0.5"})
            async with Site(upstream(*[says] * 40)) as site:
                replies = [
                    await site.ask("/safe/", request_id=f"q-{at}") for at in range(6)
                ]
                calls = site.entry.permits.issuer.issued
                return [reply.status for reply in replies], replies[-1], calls

        statuses, last, _ = run(play())
        self.assertEqual(statuses[0], 200)
        self.assertEqual(statuses[-1], 503)
        self.assertGreater(float(last.headers["retry-after"]), 0.5)
        self.assertIn(b"RATE_REACHED", last.body)


if __name__ == "__main__":
    unittest.main()
