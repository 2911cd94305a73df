import collections
import random
import unittest

from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_routing import choice
from fuchsiahatch_routing.candidates import Candidate, Upstream

OFFER = Offer("booking-assistant", "2")


def candidate(host, in_flight=0, straggling=False, limit=10):
    upstream = Upstream(
        Home(host, "1"), "kl-a", "", frozenset([OFFER]), True, False
    )  # fmt: skip
    fields = {"in_flight": in_flight, "straggling": straggling, "limit": limit}
    for name, value in fields.items():
        object.__setattr__(upstream, name, value)
    return Candidate(upstream, OFFER)


def host_of(chosen):
    return chosen.upstream.home.host


CANDIDATES = [candidate(f"engine-{number}") for number in range(8)]


class TestPrefixAffinity(unittest.TestCase):
    def setUp(self):
        self.choose = choice.prefix_affinity(random.Random(1))

    def homes(self, candidates):
        prefixes = (f"prefix-{number}".encode() for number in range(200))
        return [host_of(self.choose(candidates, prefix)) for prefix in prefixes]

    def test_a_prefix_keeps_its_upstream(self):
        self.assertEqual(self.homes(CANDIDATES), self.homes(CANDIDATES[::-1]))

    def test_removed_upstream_moves_only_its_own_prefixes(self):
        pairs = list(
            zip(self.homes(CANDIDATES), self.homes(CANDIDATES[1:]), strict=True)
        )
        moved = {before for before, after in pairs if before != after}
        self.assertEqual(moved, {"engine-0"})

    def test_heavy_load_on_one_prefix_is_spread(self):
        """Guards against one prefix overloading its upstream while seven idle.

        Affinity alone sends all requests with the same prefix to the same
        upstream, whatever its load.
        """
        loads = collections.Counter()
        for _ in range(80):
            candidates = [
                candidate(f"engine-{n}", loads[f"engine-{n}"]) for n in range(8)
            ]
            loads[host_of(self.choose(candidates, b"popular"))] += 1
        self.assertLessEqual(max(loads.values()), 1.25 * 80 / 2)
        self.assertGreaterEqual(len(loads), 3)

    def test_request_without_prefix_is_placed_by_load(self):
        pair = [candidate("full", 9), candidate("idle")]
        self.assertEqual(host_of(self.choose(pair, b"")), "idle")


class TestStragglers(unittest.TestCase):
    def test_a_straggler_counts_as_fuller(self):
        pair = [candidate("slow", 3, straggling=True), candidate("sound", 6)]
        choose = choice.better_of_two(random.Random(1))
        self.assertEqual(host_of(choose(pair, b"")), "sound")
        affinity = choice.prefix_affinity(random.Random(1))
        for number in range(20):
            self.assertEqual(host_of(affinity(pair, b"%d" % number)), "sound")

    def test_candidates_remain_when_all_are_reported_as_stragglers(self):
        """Guards against a faulty report of stragglers making a model unavailable."""
        all_slow = [candidate(f"engine-{n}", straggling=True) for n in range(3)]
        affinity = choice.prefix_affinity(random.Random(1))
        self.assertIsNotNone(affinity(all_slow, b"prefix"))
        self.assertIsNotNone(affinity(all_slow[:1], b"prefix"))


class TestLoadStrategies(unittest.TestCase):
    def test_by_load(self):
        uneven = [candidate(f"engine-{n}", n) for n in range(8)]
        rng = random.Random(3)
        self.assertEqual(
            host_of(choice.least_loaded(rng)(uneven, b"")), "engine-0"
        )  # fmt: skip
        chosen = {host_of(choice.better_of_two(rng)(uneven, b"")) for _ in range(200)}
        self.assertNotIn("engine-7", chosen)
        chosen = {host_of(choice.at_random(rng)(uneven, b"")) for _ in range(200)}
        self.assertEqual(len(chosen), 8)

    def test_prefix_of_a_body(self):
        body = b'{"model": "m", "messages": [{"role": "user"}], "stream": true}'
        self.assertTrue(choice.prefix_of(body).startswith(b'"messages"'))
        self.assertEqual(choice.prefix_of(b'{"slot": "07:00"}'), b"")
