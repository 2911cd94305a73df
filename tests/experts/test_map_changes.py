import random
import unittest
import zlib

import msgspec

from fuchsiahatch_experts.map_changes import (
    MAX_EDITS_PER_ROW,
    NO_BASE,
    MapChange,
    apply_change,
    first_map,
    make_change,
)

LAYERS, EXPERTS, RANKS = 8, 252, 63


def pack(edits):
    return zlib.compress(msgspec.msgpack.encode(edits))


class TestMapChanges(unittest.TestCase):
    def setUp(self):
        self.base = first_map(LAYERS, EXPERTS, RANKS)
        first = ((5, *self.base[0][0][1:]), *self.base[0][1:])
        self.target = (first, *self.base[1:])

    def test_a_map_is_restored_from_its_base(self):
        change = make_change(self.target, 7, self.base)
        self.assertEqual(change.base, 7)
        self.assertEqual(apply_change(change, self.base), self.target)

    def test_a_whole_map_needs_no_base(self):
        change = make_change(self.target)
        self.assertEqual(change.base, NO_BASE)
        self.assertEqual(apply_change(change), self.target)

    def test_a_change_of_one_copy_per_rank_fits_into_few_packets(self):
        # A group of 63 ranks is never switched if each order contains the whole map:
        # the leader's link is saturated for a second, and its lease expires meanwhile.
        layers = [list(layer) for layer in self.base]
        for rank in range(RANKS):
            layer_index = rank % LAYERS
            layers[layer_index][rank] = (
                (rank + 1) % RANKS,
                *layers[layer_index][rank][1:],
            )
        target = tuple(map(tuple, layers))
        whole = len(msgspec.msgpack.encode(make_change(target)))
        change = make_change(target, 7, self.base)
        self.assertEqual(apply_change(change, self.base), target)
        self.assertLess(len(msgspec.msgpack.encode(change)), 0.2 * whole)

    def test_a_change_that_does_not_fit_its_base_raises(self):
        change = make_change(self.target, 7, self.base)
        for base_map in (None, self.base[1:], first_map(LAYERS, EXPERTS, RANKS - 1)):
            with self.assertRaises(ValueError):
                apply_change(change, base_map)

    def test_invalid_edits_raise(self):
        outside = pack([LAYERS * RANKS, 0, 1, 1])
        no_index = pack([0, 1, 0, 9])
        truncated = pack([0, 1, 1, 0])
        too_many = pack([0, 0, MAX_EDITS_PER_ROW + 1])
        negative = pack([-1, 0, 1, 1])
        for edits in (outside, no_index, truncated, too_many, negative, b"", b"\x00"):
            with self.subTest(edits), self.assertRaises(ValueError):
                apply_change(MapChange(7, LAYERS, RANKS, edits), self.base)

    def test_a_rank_without_experts_is_restored(self):
        # All streams of a service stall for 24 s if its leader's host stops while
        # passes are held and the agents refuse a map with empty rows. The standby
        # clears the switch with a map in which the silent rank holds only the experts
        # that no other rank holds, in some layers none.
        empty = ((), *self.base[0][1:])
        for target in ((empty, *self.base[1:]), (empty,) * LAYERS):
            for base_map in (self.base, self.target, None):
                change = make_change(target, 7, base_map)
                self.assertEqual(apply_change(change, base_map), target)

    def test_a_whole_map_that_lacks_rows_is_refused(self):
        rows = [[0, 0, 1, 5], *[[1, 0, 1, 5]] * (LAYERS * RANKS - 2)]
        edits = pack([value for row in rows for value in row])
        with self.assertRaises(ValueError):
            apply_change(MapChange(NO_BASE, LAYERS, RANKS, edits))

    def test_random_maps_are_restored_from_random_bases(self):
        rng = random.Random(5)
        for _ in range(20):
            maps = [self.draw(rng), self.draw(rng)]
            change = make_change(maps[1], 7, maps[0])
            self.assertEqual(apply_change(change, maps[0]), maps[1])

    def test_a_change_of_96_ranks_takes_few_bytes_per_copy(self):
        # Demand shifts every three seconds, and a group of 96 ranks needs two such
        # periods for each change of its map if the leader's link of 3 Mbit/s is busy
        # for 0.3 s with one order of 1 KB to each rank. A change takes 345 bytes as
        # edits, and 960 as whole rows.
        rng = random.Random(5)
        base = first_map(16, 192, 96)
        layers = [list(layer) for layer in base]
        for rank in range(96):
            layer_index = rng.randrange(16)
            layers[layer_index][rank] = tuple(
                sorted({*layers[layer_index][rank], rng.randrange(192)})
            )
        change = make_change(tuple(map(tuple, layers)), 7, base)
        self.assertLess(len(msgspec.msgpack.encode(change)), 450)

    def draw(self, rng):
        return tuple(
            tuple(
                tuple(sorted(rng.sample(range(EXPERTS), rng.randint(0, 5))))
                for _ in range(RANKS)
            )
            for _ in range(LAYERS)
        )
