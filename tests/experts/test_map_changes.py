import unittest

import msgspec

from fuchsiahatch_experts.map_changes import (
    NO_BASE,
    apply_change,
    first_map,
    make_change,
)

LAYERS, EXPERTS, RANKS = 8, 252, 63


class TestMapChanges(unittest.TestCase):
    def setUp(self):
        self.base = first_map(LAYERS, EXPERTS, RANKS)
        first = (self.base[0][0][1:] + (5,), *self.base[0][1:])
        self.target = (first, *self.base[1:])

    def test_a_map_comes_back_from_its_base(self):
        change = make_change(self.target, 7, self.base)
        self.assertEqual((change.base, len(change.rows)), (7, 1))
        self.assertEqual(apply_change(change, self.base), self.target)

    def test_a_whole_map_needs_no_base(self):
        change = make_change(self.target)
        self.assertEqual(change.base, NO_BASE)
        self.assertEqual(apply_change(change), self.target)

    def test_a_change_of_one_copy_a_rank_fits_into_few_packets(self):
        # A group of 63 ranks is never switched: each order held the whole map, the
        # leader's link was full for a second, and its lease ran out meanwhile.
        layers = [list(layer) for layer in self.base]
        for rank in range(RANKS):
            at = rank % LAYERS
            layers[at][rank] = (*layers[at][rank][1:], rank)
        target = tuple(map(tuple, layers))
        whole = len(msgspec.msgpack.encode(make_change(target)))
        change = make_change(target, 7, self.base)
        self.assertEqual(apply_change(change, self.base), target)
        self.assertLess(len(msgspec.msgpack.encode(change)), 0.2 * whole)

    def test_what_does_not_fit_is_said_so(self):
        change = make_change(self.target, 7, self.base)
        for known in (None, self.base[1:], first_map(LAYERS, EXPERTS, RANKS - 1)):
            with self.assertRaises(ValueError):
                apply_change(change, known)
        outside = msgspec.structs.replace(change, rows=((LAYERS, 0, (1,)),))
        with self.assertRaises(ValueError):
            apply_change(outside, self.base)
