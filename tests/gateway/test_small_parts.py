import itertools
import os
import unittest

import orjson

from fuchsiahatch_core.exceptions import FormError
from fuchsiahatch_experts.map_changes import make_change
from fuchsiahatch_experts.rank_orders import (
    Armed,
    Order,
    OrderKind,
    OrderResult,
    RankReport,
)
from fuchsiahatch_gateway.datagrams import (
    LoadReport,
    OrderReply,
    OrderRequest,
    RankState,
    decode,
    encode,
)
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.log import (
    MAX_FIELD_CHARACTERS,
    MAX_LINES_PER_S,
    LineWriter,
)
from fuchsiahatch_gateway.lookups import EntryRecord, choose_addresses


def record(node, zone):
    return EntryRecord(node, zone, f"10.0.0.{node}:80", ("10.0.0.1", 7340))


class TestLookups(unittest.TestCase):
    def test_only_entries_of_the_zone_if_they_suffice(self):
        entries = [record("1", "a"), record("2", "a"), record("3", "b")]
        found = choose_addresses(entries, None, "a")
        self.assertEqual(found, ["10.0.0.1:80", "10.0.0.2:80"])

    def test_entries_of_other_zones_follow_a_single_local_one(self):
        entries = [record("1", "a"), record("2", "b")]
        found = choose_addresses(entries, None, "b")
        self.assertEqual(found, ["10.0.0.2:80", "10.0.0.1:80"])

    def test_entries_of_the_region_suffice_if_those_of_the_zone_do_not(self):
        regions = {"a": "x", "b": "x", "c": "y"}
        entries = [record("1", "a"), record("2", "c"), record("3", "b")]
        found = choose_addresses(entries, None, "a", regions)
        self.assertEqual(found, ["10.0.0.1:80", "10.0.0.3:80"])
        self.assertEqual(choose_addresses(entries, None, "b", regions), found[::-1])

    def test_other_regions_follow_if_the_region_has_fewer_than_two_entries(self):
        # Callers in a region whose only entry fails need the address of another one.
        regions = {"a": "x", "b": "x", "c": "y"}
        entries = [record("1", "a"), record("2", "c"), record("3", "b")]
        found = choose_addresses(entries, None, "c", regions)
        self.assertEqual(found[0], "10.0.0.2:80")
        self.assertEqual(len(found), 3)

    def test_zones_without_a_region_are_not_in_one_region(self):
        entries = [record("1", "a"), record("2", "b"), record("3", "c")]
        found = choose_addresses(entries, None, "a", {"c": "x"})
        self.assertEqual(len(found), 3)
        self.assertEqual(found[0], "10.0.0.1:80")

    def test_the_answering_entry_if_no_other_is_listed(self):
        # The store had lost every registration, and lookup answers were empty although
        # an entry was serving.
        self.assertEqual(choose_addresses([], record("1", "a"), "b"), ["10.0.0.1:80"])

    def test_no_addresses_if_the_only_entry_is_leaving(self):
        self.assertEqual(choose_addresses([], None, "a"), [])


class TestDatagrams(unittest.TestCase):
    def test_messages_survive_encoding_and_decoding(self):
        report = RankReport(
            2, 3, 40, True, 812, 7, 8, Armed(8, 814), 814, ((1, 5), (2, 63))
        )
        bare = RankReport(0, 0, 0, False, 0, 0, 0, None, None)
        placement = (((0, 1), (2,)), ((1,), (0, 2)))
        copy = Order(1, OrderKind.PREPARE, 3, version=9, placement=placement)
        arm = Order(1, OrderKind.ARM, 3, version=9, step=815)
        for message in (
            LoadReport("10.0.0.1:80", 1, 6, 1.5, True, "g", 65.5),
            RankState("g", "10.0.0.1:80", 7, report, 6, 1.5, b"\x00\xff"),
            RankState("g", "10.0.0.1:80", 8, bare, 0, 1.0, b""),
            OrderRequest("g", 40, 5, copy),
            OrderRequest("g", 40, 7, arm, make_change(placement)),
            OrderReply("g", 40, 7, OrderResult.UNKNOWN, lacks_base=True),
            OrderRequest("g", 40, 6, arm),
            OrderReply("g", 40, 6, OrderResult.UNKNOWN),
        ):
            self.assertEqual(decode(encode(message)), message)

    def test_malformed_messages_are_rejected(self):
        for data in (b"", b"\xc1", b"\x91\x63", b"\x90", b"junk", b"\x92\x00\x01"):
            with self.assertRaises(FormError):
                decode(data)


class TestEventSplitter(unittest.TestCase):
    def test_only_complete_events_are_returned(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), b"")
        self.assertEqual(splitter.feed(b"ta: x\n\nid: 2\n"), b"id: 1\ndata: x\n\n")
        self.assertEqual(splitter.last_id, b"1")
        self.assertEqual(splitter.feed(b"\n"), b"id: 2\n\n")
        self.assertEqual(splitter.take_remainder(), b"")

    def test_partial_event_is_discarded(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nhalf")
        splitter.discard_partial()
        self.assertEqual(splitter.feed(b"id: 2\n\n"), b"id: 2\n\n")

    def test_crlf_line_endings(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 4\r\n\r\nx"), b"id: 4\r\n\r\n")
        self.assertEqual(splitter.last_id, b"4")

    def test_an_empty_id_leaves_nothing_to_resume_after(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 4\n\nid:\ndata: x\n\n")
        self.assertIsNone(splitter.last_id)

    def test_an_id_behind_a_byte_order_mark_is_read(self):
        splitter = EventSplitter()
        splitter.feed(b"\xef\xbb\xbfid: 4\n\n")
        self.assertEqual(splitter.last_id, b"4")

    def test_lines_of_any_ends_in_pieces_of_any_size_are_events(self):
        for ends in itertools.product((b"\r\n", b"\n", b"\r"), repeat=4):
            if ends[2:] == (b"\r", b"\n"):
                # One line end, and no blank line.
                continue
            first, second = b"id: 1%bdata: x%b" % ends[:2], b"id: 2%b%b" % ends[2:]
            stream = first + ends[1] + second
            for size in range(1, len(stream) + 1):
                splitter = EventSplitter()
                pieces = [
                    splitter.feed(stream[at : at + size])
                    for at in range(0, len(stream), size)
                ]
                with self.subTest(ends=ends, size=size):
                    self.assertEqual(splitter.partial_bytes, 0)
                    self.assertEqual(splitter.last_id, b"2")
                    rest = splitter.take_remainder()
                    self.assertEqual(b"".join(pieces) + rest, stream)
                    self.assertIn(rest, (b"", b"\n"))


class TestLog(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.now_ms = 0
        self.log = LineWriter(writer, lambda: self.now_ms)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_lines_above_the_rate_limit_are_counted(self):
        for _ in range(MAX_LINES_PER_S + 5):
            self.log({"event": 1})
        self.assertEqual((self.log.written, self.log.dropped), (MAX_LINES_PER_S, 5))
        self.now_ms = 1_000
        self.log({"event": 2})
        last = os.read(self.reader, 1_000_000).splitlines()[-1]
        self.assertEqual(orjson.loads(last)["dropped_lines"], 5)

    def test_a_long_field_is_cut(self):
        # An id may be as long as a whole head.
        self.log({"request": "x" * 16_000, "event": 1})
        line = orjson.loads(os.read(self.reader, 1_000_000))
        self.assertEqual(len(line["request"]), MAX_FIELD_CHARACTERS)

    def test_blocked_reader_does_not_block_the_writer(self):
        # A write to a full pipe blocks the process until its reader continues, and
        # requests wait for seconds meanwhile.
        for second in range(200):
            self.now_ms = second * 1_000
            self.log({"text": "x" * 2_000})
        self.assertGreater(self.log.dropped, 0)
        lines = os.read(self.reader, 10_000_000).splitlines()
        for line in lines[:-1]:
            orjson.loads(line)
