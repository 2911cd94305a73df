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
    LEAST_RATE_PER_S,
    MOST_WAIT_MS,
    WARM_UP_MS,
    PermitIssuer,
)
from fuchsiahatch_gateway.permits import Permits
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.stated_rates import StatedRate, StatedRates
from fuchsiahatch_standins.fleet_store import make_upstream_item
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import Site, answers, upstream
from tests.gateway.test_agents import Group  # noqa: F401  (installs the reactor)
from tests.loopback import run

#: Time on each side of a datagram.
WAY_MS = 2
#: Any window of this length counts, and what it may hold by the stated aim.
WINDOW_MS = 4_000
MOST_SHARE, MOST_MORE = 1.5, 5
#: Part of the rate that is to be used where callers would use all of it.
LEAST_USED = 0.8


class Network:
    """Carries datagrams between played entries, and loses some."""

    def __init__(self, loop, rng, lost_share):
        self.loop, self.rng, self.lost_share = loop, rng, lost_share
        self.takers = {}
        self.cut = set()
        self.sent = 0

    def send(self, sender, data, peer):
        self.sent += 1
        if sender in self.cut or peer in self.cut:
            return
        if self.rng.random() >= self.lost_share:
            taker = self.takers[peer]
            self.loop.call_later(WAY_MS / 1000, taker, decode(data), sender)


class PlayedEntry:
    """The real chooser and permits of one entry."""

    def __init__(self, number, play):
        self.node = f"front-{number}"
        self.peer = (f"10.0.{number // 200}.{number % 200 + 1}", 7_000)
        self.play = play
        clock = play.loop.make_clock()
        self.fleet = Fleet("a", clock, random.Random(number))
        self.fleet.apply(
            {
                f"i{at}": make_upstream_item(f"i{at}", "svc", f"10.1.0.{at + 1}:80", 50)
                for at in range(play.upstreams)
            }
        )
        port = types.SimpleNamespace(
            send=lambda message, peer: play.network.send(
                self.peer, encode(message), peer
            )
        )
        self.permits = Permits(
            self.node, lambda: play.registered, port, clock, self.fleet.upstreams.get
        )
        self.rates = StatedRates(clock, self.tell_others)
        self.placer = Placer(self.fleet, clock, self.permits.ask)
        self.clock = clock
        play.network.takers[self.peer] = self.take

    def tell_others(self, notice):
        for record in self.play.registered.values():
            if record.node != self.node:
                self.play.network.send(self.peer, encode(notice), record.peer)

    def take(self, message, peer):
        if isinstance(message, PermitRequest):
            self.permits.receive_request(message, peer)
        elif isinstance(message, RateNotice):
            self.rates.receive_notice(self.fleet.upstreams[message.upstream], message)
        else:
            self.permits.receive_reply(message)

    async def request(self):
        """Send one request where it may go; return its refusal, if it has one."""
        play = self.play
        try:
            chosen = await self.placer.take("svc", "t", 1, (), 500)
        except RefusedError as fault:
            return fault
        instance = chosen.entry.instance
        play.arrivals.append((self.clock.now_ms(), instance, self.node))
        await asyncio.sleep(0.02)
        rate = play.rates[instance]
        value = None if rate is None else b"%f" % rate
        self.rates.note_answer(chosen, value)
        if value is not None:
            play.heard.setdefault((self.node, instance), self.clock.now_ms())
        self.placer.give_back(chosen)
        return None


class Play:
    """Some entries before some upstreams, for a time.

    Parameters
    ----------
    entries : int
    rates : list of float or None
        What each upstream says it takes.
    demand_per_s : float
    for_s : float
    lost_share : float, optional
    change : callable, optional
        Is called each second.
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
        self.arrivals, self.heard, self.refusals = [], {}, []

    def run(self):
        return run_virtually(self._play)

    async def _play(self, loop):
        self.loop = loop
        self.network = Network(loop, self.rng, self.lost_share)
        self.registered = {}
        self.entries = [PlayedEntry(at, self) for at in range(self.entry_count)]
        for one in self.entries:
            self.register(one)
        running = set()
        second = 0
        while loop.time() < self.for_s:
            if self.change is not None and loop.time() >= second:
                self.change(self, second)
                second += 1
            task = asyncio.ensure_future(self._one())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.expovariate(self.demand_per_s))
        await asyncio.gather(*running)
        return self

    def register(self, entry):
        self.registered[entry.node] = EntryRecord(entry.node, "a", "", entry.peer)

    async def _one(self):
        entry = self.rng.choice(self.entries)
        refusal = await entry.request()
        if refusal is not None:
            self.refusals.append(refusal)

    def counted(self, instance):
        """Return the arrivals from entries that had heard half a second before."""
        return [
            at_ms
            for at_ms, where, node in self.arrivals
            if where == instance and at_ms >= self.heard.get((node, where), 10**9) + 500
        ]

    def worst(self, instance):
        """Return the most arrivals in any window, of those that count."""
        times = self.counted(instance)
        return max(
            (
                sum(begin <= other < begin + WINDOW_MS for other in times)
                for begin in times
            ),
            default=0,
        )

    def used(self, instance, from_ms):
        """Return the share of the permitted requests that came, from a time on."""
        came = sum(
            at_ms >= from_ms for at_ms, where, _ in self.arrivals if where == instance
        )
        allowed = self.rates[instance] * (self.for_s * 1000 - from_ms) / 1000
        return came / allowed


class TestPlayed(unittest.TestCase):
    """Upstreams in need get what they say they take, of all entries together.

    An upstream says that it takes two requests a second. Each of 41 or 99 entries is
    told so by its own answers and keeps to it by itself: eighty come.
    """

    def check_limits(self, play):
        for instance, rate in play.rates.items():
            if rate is not None:
                most = MOST_SHARE * rate * WINDOW_MS / 1000 + MOST_MORE
                self.assertLessEqual(play.worst(instance), most, (instance, rate))

    def test_rates_hold_and_are_used(self):
        for entries in (3, 41, 99):
            for lost_share in (0.0, 0.1):
                with self.subTest(entries=entries, lost_share=lost_share):
                    rates = [0.5, 2.0, 20.0, 200.0, None]
                    play = Play(entries, rates, 300.0, 16.0, lost_share).run()
                    self.check_limits(play)
                    for instance, rate in play.rates.items():
                        if rate is not None and rate < 200:
                            used = play.used(instance, 6_000)
                            self.assertGreaterEqual(used, LEAST_USED, (instance, used))
                            self.assertLessEqual(used, 1.05 + 2 / (10 * rate))
                    self.assertEqual(play.refusals, [])

    def test_all_in_need_at_once_refuse_the_rest_with_when_to_come(self):
        play = Play(41, [4.0, 4.0, 4.0], 60.0, 14.0).run()
        self.check_limits(play)
        used = [play.used(instance, 6_000) for instance in play.rates]
        self.assertGreaterEqual(min(used), LEAST_USED)
        self.assertEqual({one.result for one in play.refusals}, {Code.RATE_REACHED})
        told = [one.retry_after_ms for one in play.refusals if one.retry_after_ms]
        self.assertGreater(len(told), 0.9 * len(play.refusals))
        self.assertLessEqual(max(told), MOST_WAIT_MS)
        self.assertGreater(len({wait_ms // 50 for wait_ms in told}), 5)

    def test_who_gives_out_permits_dies_and_is_back(self):
        def change(play, second):
            homes = [one for one in play.entries if one.permits.issuer.issued]
            if second == 5 and homes:
                play.network.cut.update(one.peer for one in homes)
                play.gone = [one.node for one in homes]
            if second == 8:
                for node in play.gone:
                    play.registered.pop(node)
            if second == 12:
                play.network.cut.clear()
                for one in play.entries:
                    play.register(one)

        play = Play(41, [2.0, 20.0, None], 100.0, 18.0, change=change).run()
        self.check_limits(play)

    def test_a_rate_that_changes_each_second(self):
        def change(play, second):
            play.rates["i0"] = 10.0 if second % 2 else 14.0

        play = Play(41, [14.0, None], 100.0, 14.0, change=change).run()
        most = MOST_SHARE * 14.0 * WINDOW_MS / 1000 + MOST_MORE
        self.assertLessEqual(play.worst("i0"), most)

    def test_a_need_that_ends_is_over_for_all(self):
        def change(play, second):
            if second == 6:
                play.rates["i0"] = None

        play = Play(41, [0.0, 0.0], 60.0, 20.0, change=change).run()
        late = [at for at, where, _ in play.arrivals if where == "i0" and at > 15_000]
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

    def test_whoever_begins_gives_out_a_quarter_first(self):
        # Two entries give out an upstream's permits, as others learn one after the
        # other who does so.
        self.assertLessEqual(self.count(20.0, WARM_UP_MS), 0.25 * 80 + 2)
        self.assertAlmostEqual(self.count(20.0, 4_000), 80, delta=2)

    def test_a_rate_of_nothing_leaves_one_request_to_find_its_end(self):
        self.assertLessEqual(self.count(0.0, 20_000), 20 * LEAST_RATE_PER_S + 1)
        self.assertGreaterEqual(self.count(0.0, 20_000), 4)

    def test_permits_do_not_pile_up(self):
        self.count(20.0, WARM_UP_MS)
        self.clock.advance(7_000)
        self.assertLessEqual(self.count(20.0, 100), 12)

    def test_each_is_told_another_time(self):
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
        self.told = []
        self.rates = StatedRates(self.clock, self.told.append)

    def test_it_ends_with_the_first_answer_without_it(self):
        self.rates.note_answer(self.upstream, b"2.5")
        self.assertEqual(self.upstream.stated, StatedRate(2.5, 1_000))
        self.rates.note_answer(self.upstream, None)
        self.assertIsNone(self.upstream.stated)

    def test_others_are_told_once(self):
        self.rates.note_answer(self.upstream, b"2.5")
        self.rates.note_answer(self.upstream, b"3")
        self.assertEqual([one.rate_per_s for one in self.told], [2.5])

    def test_anothers_word_that_is_older_counts_for_nothing(self):
        self.rates.note_answer(self.upstream, None)
        self.clock.advance(10)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, 2.0, 50))
        self.assertIsNone(self.upstream.stated)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, 2.0, 5))
        self.assertEqual(self.upstream.stated.rate_per_s, 2.0)
        self.rates.receive_notice(self.upstream, RateNotice("a", 9, 1.0, 0))
        self.assertEqual(self.upstream.stated.rate_per_s, 2.0)

    def test_anothers_word_of_the_end_counts_unless_the_own_is_fresh(self):
        self.rates.note_answer(self.upstream, b"2")
        self.clock.advance(50)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, None, 0))
        self.assertIsNotNone(self.upstream.stated)
        self.clock.advance(100)
        self.rates.receive_notice(self.upstream, RateNotice("a", 0, None, 0))
        self.assertIsNone(self.upstream.stated)

    def test_what_is_no_rate_counts_as_not_said(self):
        for value in (b"nan", b"inf", b"-1", b"many", b""):
            with self.subTest(value=value):
                with self.assertRaises(FormError):
                    decode_stated_rate(value)
                self.rates.note_answer(self.upstream, value)
                self.assertIsNone(self.upstream.stated)


class TestEntry(unittest.TestCase):
    def test_a_refusal_says_when_to_come_back(self):
        # A caller of the one upstream, which is in need, is answered at once.
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
