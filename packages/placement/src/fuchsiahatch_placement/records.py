"""Placement records: which teams may be served where, by what, with which share."""

import collections
import dataclasses
import functools
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_core.settings import check_document, load_schema
from fuchsiahatch_placement.documents import read_document

_KEPT_RECORDS = 8_192


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
    change_id : str
        The change that made this revision; empty when it isn't known.
    """

    revision: int
    placements: t.Mapping[str, Placement]
    document: bytes = b""
    change_id: str = ""


EMPTY_SNAPSHOT = Snapshot(0, {})


def decode_record(record: t.Any) -> Placement:
    """Decode one record of any known schema.

    Raises
    ------
    SettingsError
        When the record doesn't match its schema, or its schema isn't known.
    """
    schema = record.get("schema") if isinstance(record, dict) else None
    decode = _DECODERS.get(schema) if isinstance(schema, int) else None
    if decode is None:
        known = f"known schemas are {', '.join(map(str, sorted(KNOWN_SCHEMAS)))}"
        raise SettingsError("schema", schema, known, Code.SCHEMA_UNKNOWN)
    return decode(record)


def decode_document(document: bytes) -> Snapshot:
    """Decode a segment's document into a snapshot.

    A record that this node can't read closes its own team here and no other:
    during a rollout the newer schema reaches nodes that don't know it yet, and
    serving its team by guess could break the place it names.

    Parameters
    ----------
    document : bytes
        The value under the segment's key; empty when the key is absent.

    Raises
    ------
    SettingsError
        When the document as a whole can't be read.
    """
    content = read_document(document)
    placements: dict[str, Placement] = {}
    for placement in filter(None, map(decode_or_close, content.records)):
        if placement.team in placements:
            placement = Placement(placement.team, {}, "the team has two records")
        placements[placement.team] = placement
    return Snapshot(content.revision, placements, document, content.change_id)


@functools.lru_cache(_KEPT_RECORDS)
def decode_or_close(text: str) -> Placement | None:
    """Decode a record's text; a closed team when it can't be read.

    A change replaces few of a document's records, so decoded ones are kept by
    their text: thousands of teams decoded anew would hold up the one loop.

    Returns
    -------
    Placement or None
        None when not even a team can be made out: then no request can name it.
    """
    record = json.loads(text)
    try:
        return decode_record(record)
    except SettingsError as fault:
        team = team_of(record)
        return None if team is None else Placement(team, {}, str(fault))


def team_of(record: t.Any) -> str | None:
    """Return the team that a record of any schema names, or None."""
    team = record.get("team") if isinstance(record, dict) else None
    return team if isinstance(team, str) else None


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


def _decode_v2(record: dict[str, t.Any]) -> Placement:
    check_document(record, _SCHEMA_V2, Code.RECORD_INVALID)
    zones = collections.Counter(row["zone"] for row in record["places"])
    twice = [zone for zone, count in zones.items() if count > 1]
    if twice:
        raise SettingsError(
            "places", twice[0], "each zone stands once", Code.RECORD_INVALID
        )
    places = {row["zone"]: _place(row) for row in record["places"]}
    return Placement(record["team"], places)


def _place(row: dict[str, t.Any]) -> Place:
    offers = frozenset(map(parse_offer, row["offers"]))
    return Place(row["zone"], offers, row["share_percent"])


_SCHEMA_V1 = load_schema("fuchsiahatch_placement", "record_v1.json")
_SCHEMA_V2 = load_schema("fuchsiahatch_placement", "record_v2.json")
_DECODERS = {1: _decode_v1, 2: _decode_v2}
#: Schemas that this build reads; entries say theirs in their reports.
KNOWN_SCHEMAS = frozenset(_DECODERS)
