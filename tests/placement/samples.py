"""Records and documents that the placement tests share."""

import json

from fuchsiahatch_placement.documents import Change, Document, write_document
from fuchsiahatch_placement.rosters import Voter, change_roster

REGION = "klang-valley"


def record_v1(team="gym-bangsar", zones=("kl-a", "kl-b"), share_percent=30):
    return {
        "schema": 1,
        "team": team,
        "zones": list(zones),
        "offers": ["booking-assistant@2", "hold-and-cancel@1"],
        "share_percent": share_percent,
    }


def record_v2(team="gym-bangsar", kl_a_percent=30, kl_b_percent=20):
    both = ["booking-assistant@2", "hold-and-cancel@1"]
    return {
        "schema": 2,
        "team": team,
        "places": [
            {"zone": "kl-a", "offers": both, "share_percent": kl_a_percent},
            {"zone": "kl-b", "offers": both[:1], "share_percent": kl_b_percent},
        ],
    }


def change(number, operator="aminah", summary="a change"):
    return Change(0, f"change-{number}", 1_700_000_000_000, operator, summary)


def document_of(revision, *records):
    history = (Change(revision, f"change-{revision}", 0, "aminah", ""),)
    return Document(revision, history, tuple(map(json.dumps, records)))


def value_of(revision, *records):
    return write_document(document_of(revision, *records))


def roster_of(*voters):
    document = Document(0)
    for number, voter in enumerate(voters):
        document = change_roster(document, number, change(number), voter.host, voter)
    return document


def one_region(count):
    return [Voter(REGION, f"kl-{name}", f"entry-{name}") for name in "abcdefg"[:count]]
