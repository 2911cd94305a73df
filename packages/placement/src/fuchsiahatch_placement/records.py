"""Placement records: which teams may be served where, by what, with which share."""

import dataclasses
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_core.settings import check_document, load_schema


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """What a team may use in one availability zone.

    Attributes
    ----------
    zone : str
    offers : frozenset of Offer
        Model and service versions that may serve the team there.
    share_percent : float
        Part of the zone's capacity that is the team's own.
    """

    zone: str
    offers: frozenset[Offer]
    share_percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """All that one team's record allows, whatever its schema was.

    Attributes
    ----------
    team : str
    places : dict of str to Place
        By availability zone.
    closed_reason : str
        Why this node refuses the team's work; empty when it is open.
    """

    team: str
    places: t.Mapping[str, Place]
    closed_reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One revision of a segment, decoded.

    Attributes
    ----------
    revision : int
        Monotone; 0 before anything was read.
    placements : dict of str to Placement
        By team.
    document : bytes
        The bytes as they are in the key-value service.
    """

    revision: int
    placements: t.Mapping[str, Placement]
    document: bytes = b""


EMPTY_SNAPSHOT = Snapshot(0, {})


def decode_record(record: t.Any) -> Placement:
    """Decode one record of any known schema.

    Raises
    ------
    SettingsError
        When the record doesn't match its schema, or its schema isn't known.
    """
    schema = record.get("schema") if isinstance(record, dict) else None
    decode = _DECODERS.get(schema)
    if decode is None:
        raise SettingsError("schema", schema, "1", Code.SCHEMA_UNKNOWN)
    return decode(record)


def decode_document(document: bytes) -> Snapshot:
    """Decode a segment's document into a snapshot.

    Raises
    ------
    SettingsError
        When the document as a whole can't be read.
    """
    content = json.loads(document)
    placements = map(decode_record, content["records"])
    by_team = {placement.team: placement for placement in placements}
    return Snapshot(content["revision"], by_team, document)


def parse_offer(text: str) -> Offer:
    """Read an offer written as ``name@version``."""
    name, _, version = text.partition("@")
    return Offer(name, version)


def _decode_v1(record: dict[str, t.Any]) -> Placement:
    check_document(record, _SCHEMA_V1, Code.RECORD_INVALID)
    offers = frozenset(map(parse_offer, record["offers"]))
    share = record["share_percent"]
    places = {zone: Place(zone, offers, share) for zone in record["zones"]}
    return Placement(record["team"], places)


_SCHEMA_V1 = load_schema("fuchsiahatch_placement", "record_v1.json")
_DECODERS = {1: _decode_v1}
