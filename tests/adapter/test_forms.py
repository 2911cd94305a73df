import json
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_adapter.store import Item
from fuchsiahatch_adapter.upstreams import decode_report, decode_upstream_entry
from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_gateway.datagrams import decode
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.leadership import decode_leader
from fuchsiahatch_gateway.lookups import decode_entry
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from tests.adapter.test_decoding import ROUTE

ENTRY = make_upstream_entry("svc", "10.0.0.1:80", born=1_700_000_000_000)
RECORD = {
    "node": "front-1",
    "zone": "a",
    "callers": "10.0.0.1:80",
    "peer": ["10.0.0.1", 7340],
}
LEADER = {"node": "side-1", "peer": ["10.0.0.1", 7341]}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "a", "engine": {"slots": 6, "step_ms": 4}}],
    "tenants": [{"name": "t", "apiKeys": ["k"]}],
    "limits": {"maxHeaderBytes": 9_000},
}
REPORT = {
    "queued": 1,
    "running": 3,
    "pace": 2.5,
    "group": {"name": "g", "epoch": 2, "rank": 5, "state": "open"},
    "size": 8,
    "step": 812,
    "map": 4,
    "prepared": {"version": 5},
    "armed": {"version": 5, "step": 815},
    "held": 815,
    "born": 17,
}
DECODERS = {
    "entry": (lambda value: decode_upstream_entry("i-1", value), ENTRY),
    "registration": (lambda value: decode_entry("front-1", value), RECORD),
    "leader": (lambda value: decode_leader("g", value), LEADER),
    "configuration": (decode_configuration, CONFIGURATION),
}

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)


def encode(document):
    return json.dumps(document).encode()


def decode_or_refuse(decode_one, value):
    """Decode a value; return None when it is rejected by a `FormError`."""
    try:
        return decode_one(value)
    except FormError:
        return None


class TestAnyBytes(unittest.TestCase):
    # An item in the store raised an undocumented error. It ended the task that follows
    # the store, and the entry stopped serving requests for good.

    @given(st.sampled_from(sorted(DECODERS)), st.binary(max_size=64))
    def test_any_bytes(self, name, value):
        decode_or_refuse(DECODERS[name][0], value)

    @given(st.sampled_from(sorted(DECODERS)), documents)
    def test_any_json(self, name, document):
        decode_or_refuse(DECODERS[name][0], encode(document))

    @given(st.sampled_from(sorted(DECODERS)), st.data())
    def test_one_field_changed(self, name, data):
        decode_one, whole = DECODERS[name]
        field = data.draw(st.sampled_from(sorted(whole)))
        changed = {**whole, field: data.draw(documents)}
        decode_or_refuse(decode_one, encode(changed))

    @given(documents)
    def test_any_report(self, document):
        decode_or_refuse(decode_report, document)

    @given(st.sampled_from(sorted(REPORT)), documents)
    def test_a_report_with_one_field_changed(self, field, document):
        decode_or_refuse(decode_report, {**REPORT, field: document})

    @given(st.binary(max_size=64))
    def test_any_datagram(self, data):
        decode_or_refuse(decode, data)

    @given(st.lists(documents, max_size=9), st.integers(0, 4))
    def test_any_fields_in_a_datagram(self, fields, kind):
        try:
            data = msgspec.msgpack.encode([kind, *fields])
        except OverflowError:
            return
        decode_or_refuse(decode, data)


class TestUpstreamEntries(unittest.TestCase):
    def assert_rejected(self, **changes):
        document = {**ENTRY, **changes}
        with self.assertRaises(FormError, msg=str(changes)):
            decode_upstream_entry("i-1", encode(document))

    def test_a_missing_field_is_rejected(self):
        # An entry of another program was accepted because it had the fields that are
        # used, and requests were sent to an address that is no upstream.
        for field in ENTRY.keys() - {"born"}:
            short = {name: ENTRY[name] for name in ENTRY if name != field}
            with self.assertRaises(FormError, msg=field):
                decode_upstream_entry("i-1", encode(short))

    def test_a_field_of_another_type_is_rejected(self):
        for changes in (
            {"address": 5},
            {"address": "10.0.0.1"},
            {"address": "host:80"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:-1"},
            {"service": ["svc"]},
            {"service": 7},
            {"service": ""},
            {"zone": ["a"]},
            {"slots": -3},
            {"slots": 0},
            {"slots": "6"},
            {"slots": 2.5},
            {"slots": True},
            {"state": "asleep"},
            {"state": None},
            {"version": 1},
            {"sequence": "4"},
            {"coldRemainingMs": "0"},
            {"born": "1700000000000"},
            {"born": 1.5},
            {"born": None},
        ):
            self.assert_rejected(**changes)

    def test_an_unknown_field_is_ignored(self):
        entry = decode_upstream_entry("i-1", encode({**ENTRY, "stage": "both"}))
        self.assertEqual(entry.places, 6)

    def test_a_malformed_item_does_not_affect_the_others(self):
        decoder = ItemDecoder(decode_upstream_entry)
        items = {
            "a": Item("servers/a", encode(ENTRY), 1, 1),
            "b": Item("servers/b", encode([ENTRY]), 2, 2),
            "c": Item("servers/c", b"\xff\x00", 3, 3),
        }
        self.assertEqual(list(decoder.decode_all(items)), ["a"])
        self.assertEqual(decoder.unreadable, 2)
        corrected = {**items, "b": Item("servers/b", encode(ENTRY), 9, 2)}
        self.assertEqual(sorted(decoder.decode_all(corrected)), ["a", "b"])
        self.assertEqual(decoder.unreadable, 2)


class TestDatagramFields(unittest.TestCase):
    def test_load_figures_of_invalid_type_or_range_are_rejected(self):
        # With a string as a load report's pace, comparing upstreams raised an error,
        # and every request failed with an internal error.
        whole = [0, "10.0.0.1:80", 1, 2, 1.5, True, "g", 65.5, 7]
        self.assertEqual(decode(msgspec.msgpack.encode(whole)).pace, 1.5)
        for index, wrong in (
            (1, 5),
            (2, -1),
            (3, "2"),
            (4, "1.5"),
            (4, 0.0),
            (4, -2.0),
            (4, float("nan")),
            (4, float("inf")),
            (5, 1),
            (7, float("nan")),
            (7, -0.5),
        ):
            changed = [*whole[:index], wrong, *whole[index + 1 :]]
            with self.assertRaises(FormError, msg=f"{index}: {wrong}"):
                decode(msgspec.msgpack.encode(changed))


if __name__ == "__main__":
    unittest.main()
