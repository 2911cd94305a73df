import collections
import unittest

from fuchsiahatch_core.identities import Offer
from fuchsiahatch_routing.subsets import choose_subset

OFFERS = [frozenset([Offer(f"model-{number}", "1")]) for number in range(2)]
HOSTS = [
    (f"engine-{number}", f"zone-{number % 3}", OFFERS[number % 2])
    for number in range(240)
]


class TestChooseSubset(unittest.TestCase):
    def test_fixed_size_for_each_zone_and_offer(self):
        chosen = choose_subset("entry-1", HOSTS, 5)
        self.assertEqual(len(chosen), 5 * 3 * 2)

    def test_all_when_there_are_few(self):
        chosen = choose_subset("entry-1", HOSTS[:12], 5)
        self.assertEqual(len(chosen), 12)

    def test_replaced_host_moves_one_member(self):
        before = choose_subset("entry-1", HOSTS, 5)
        replaced = min(before)
        after = choose_subset(
            "entry-1", [row for row in HOSTS if row[0] != replaced], 5
        )
        self.assertEqual(len(before - after), 1)
        self.assertEqual(len(after - before), 1)

    def test_every_upstream_is_in_a_subset(self):
        """Guards against upstreams that idle because no entry's subset has them."""
        watched = collections.Counter(
            host
            for entry in range(60)
            for host in choose_subset(f"entry-{entry}", HOSTS, 5)
        )
        self.assertEqual(len(watched), len(HOSTS))
