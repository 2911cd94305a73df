import json
import unittest

from fuchsiahatch_core.identities import Offer
from fuchsiahatch_placement import records
from fuchsiahatch_placement.documents import EMPTY_DOCUMENT, write_document
from fuchsiahatch_placement.edits import Edit, describe, propose
from tests.golden import check_golden
from tests.placement.samples import change, record_v1, record_v2, value_of

BOOKING = Offer("booking-assistant", "2")


def snapshot_lines(value):
    snapshot = records.decode_document(value)
    yield f"revision {snapshot.revision} by {snapshot.change_id}"
    for team, placement in sorted(snapshot.placements.items()):
        yield f"  {team} {placement.closed_reason}".rstrip()
        for zone, place in sorted(placement.places.items()):
            offers = " ".join(
                f"{one.name}@{one.version}" for one in sorted(place.offers)
            )
            yield f"    {zone} {place.share_percent}% {offers}"


class TestDecodeRecord(unittest.TestCase):
    def test_schema_2_differs_by_zone(self):
        placement = records.decode_record(record_v2())
        self.assertEqual(placement.places["kl-a"].share_percent, 30)
        self.assertEqual(placement.places["kl-b"].share_percent, 20)
        self.assertEqual(placement.places["kl-b"].offers, {BOOKING})

    def test_both_schemas_give_one_model(self):
        alike = record_v2(kl_a_percent=30, kl_b_percent=30)
        alike["places"][1]["offers"] = alike["places"][0]["offers"]
        self.assertEqual(
            records.decode_record(alike), records.decode_record(record_v1())
        )


class TestDecodeDocument(unittest.TestCase):
    def test_unreadable_records_close_only_their_team(self):
        """One team's new record takes every team on the node out of service.

        During a rollout an operator writes schema 3 for one team. A node that
        knows schemas 1 and 2 gives up on the whole document, and all teams there
        are refused though only one record was strange.
        """
        twice = record_v2("gym-cheras")
        twice["places"].append(twice["places"][0])
        value = value_of(
            4,
            record_v1("gym-bangsar"),
            {"schema": 3, "team": "gym-subang", "regions": {"my": 1.50}},
            {"schema": 1, "team": "gym-damansara", "zones": []},
            {"schema": True, "team": "gym-ipoh"},
            twice,
            {"schema": 9},
            record_v1("gym-klang"),
            record_v1("gym-klang", zones=("cj-c",)),
        )
        check_golden(__file__, "unreadable_records", snapshot_lines(value))

    def test_unknown_record_keeps_its_text_through_other_changes(self):
        """A node of an older build rewrites a record that it can't read.

        An operator changes one team through an entry that doesn't know another
        team's schema. Loaded and dumped, that record comes back with numbers
        rounded and repeated names dropped, and the newer nodes read it wrongly.
        """
        strange = '{"schema": 3, "team": "x", "at": 1.50E+2, "at":  2}'
        first = propose(EMPTY_DOCUMENT, 0, change(1), Edit((record_v1(),)))
        mixed = write_document(first).replace(
            b"\n]}\n", b",\n  " + strange.encode() + b"\n]}\n"
        )
        base = records.read_document(mixed)
        after = propose(base, 1, change(2), Edit((record_v2(),)))
        self.assertIn(strange, after.records)
        self.assertIn(strange.encode(), write_document(after))

    def test_rollout_of_schema_2_and_back(self):
        """Both schemas stand side by side, and going back loses nothing."""
        steps = [
            Edit((record_v1("gym-bangsar"), record_v1("gym-subang", ("kl-b",), 40))),
            Edit((record_v2("gym-bangsar"),)),
            Edit((record_v2("gym-subang", 10, 50),)),
            Edit((record_v1("gym-bangsar"),)),
            Edit((record_v1("gym-subang", ("kl-b",), 40),)),
            Edit(removes=("gym-subang",)),
        ]
        document = EMPTY_DOCUMENT
        lines = []
        for number, edit in enumerate(steps):
            after = propose(document, number, change(number + 1), edit)
            lines += describe(document, after)
            value = write_document(after)
            lines += snapshot_lines(value)
            lines += value.decode().splitlines()
            document = records.read_document(value)
        check_golden(__file__, "rollout", lines)

    def test_document_written_by_hand(self):
        content = {"revision": 1, "history": [], "records": [record_v1()]}
        snapshot = records.decode_document(json.dumps(content, indent=2).encode())
        self.assertEqual(snapshot.revision, 1)
        self.assertEqual(set(snapshot.placements), {"gym-bangsar"})
