"""An operator's change of records: what it makes of a document, and how it reads."""

import collections
import dataclasses
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_placement.documents import Change, Document, next_document
from fuchsiahatch_placement.records import (
    KNOWN_SCHEMAS,
    Place,
    Placement,
    decode_or_close,
    decode_record,
    team_of,
)

MAX_SHARE_PERCENT = 100
_SHARE_TOLERANCE_PERCENT = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """Records to put and teams to remove.

    Attributes
    ----------
    puts : tuple of dict
        Records in any known schema; each takes the place of its team's record.
    removes : tuple of str
        Teams whose record goes.
    """

    puts: tuple[dict[str, t.Any], ...] = ()
    removes: tuple[str, ...] = ()


def propose(
    base: Document,
    expected_revision: int,
    change: Change,
    edit: Edit,
    readable_schemas: t.Container[int] = KNOWN_SCHEMAS,
) -> Document:
    """Return the document that an edit makes of a base.

    Records that the edit doesn't name keep their text, whatever their schema.

    Parameters
    ----------
    base : Document
        As just read from the service.
    expected_revision : int
        Revision that the operator read.
    change : Change
    edit : Edit
    readable_schemas : container of int, optional
        Schemas that every live entry reads.

    Returns
    -------
    Document
        The base itself when the edit changes nothing.

    Raises
    ------
    ConflictError
        When the base isn't the revision that was read.
    SettingsError
        When a record is at fault, a live entry can't read it, or the records
        together promise more than a zone has.
    """
    texts = _texts_by_team(base)
    edited = _apply(texts, edit, readable_schemas)
    if base.revision == expected_revision and edited == texts:
        return base
    _check_shares(edited.values())
    return next_document(base, expected_revision, change, edited.values())


def describe(base: Document, proposed: Document) -> list[str]:
    """Return the difference between two documents, a line for each place."""
    before = dict(_place_lines(base))
    after = dict(_place_lines(proposed))
    gone = [(key, f"- {key}: {before[key]}") for key in before if key not in after]
    new = [(key, f"+ {key}: {after[key]}") for key in after if key not in before]
    other = [
        (key, f"~ {key}: {before[key]} -> {after[key]}")
        for key in before.keys() & after.keys()
        if before[key] != after[key]
    ]
    return [line for _, line in sorted((*gone, *new, *other))]


def _texts_by_team(base: Document) -> dict[str, str]:
    named = ((team_of(json.loads(text)), text) for text in base.records)
    # A record that names no team is kept under its own text.
    return {team if team is not None else text: text for team, text in named}


def _apply(
    texts: t.Mapping[str, str], edit: Edit, readable_schemas: t.Container[int]
) -> dict[str, str]:
    unknown = [team for team in edit.removes if team not in texts]
    if unknown:
        raise SettingsError(
            "remove", unknown[0], "a team that has a record", Code.RECORD_INVALID
        )
    puts = [decode_record(record).team for record in edit.puts]
    named = collections.Counter((*puts, *edit.removes))
    twice = [team for team, count in named.items() if count > 1]
    if twice:
        raise SettingsError("team", twice[0], "one record a team", Code.RECORD_INVALID)
    for record in edit.puts:
        _check_readable(record, readable_schemas)
    kept = {team: text for team, text in texts.items() if team not in edit.removes}
    changed = {
        record["team"]: json.dumps(record)
        for record in edit.puts
        if not _same_record(texts.get(record["team"]), record)
    }
    return {**kept, **changed}


def _same_record(text: str | None, record: dict[str, t.Any]) -> bool:
    return text is not None and json.loads(text) == record


def _check_readable(
    record: dict[str, t.Any], readable_schemas: t.Container[int]
) -> None:
    # A live entry of an older build would close the team on its node, and the
    # team would lose that entry's capacity without a word to the operator.
    if record["schema"] not in readable_schemas:
        allowed = f"a live entry can't read this schema; team {record['team']} waits"
        raise SettingsError("schema", record["schema"], allowed, Code.SCHEMA_UNKNOWN)


def _check_shares(texts: t.Iterable[str]) -> None:
    shares: dict[str, float] = collections.defaultdict(float)
    for placement in filter(None, map(decode_or_close, texts)):
        for place in placement.places.values():
            shares[place.zone] += place.share_percent
    limit = MAX_SHARE_PERCENT + _SHARE_TOLERANCE_PERCENT
    over = [(zone, share) for zone, share in sorted(shares.items()) if share > limit]
    if over:
        zone, share = over[0]
        raise SettingsError(
            f"share_percent in zone {zone}",
            round(share, 6),
            f"all teams together at most {MAX_SHARE_PERCENT}",
            Code.RECORD_INVALID,
        )


def _place_lines(document: Document) -> t.Iterator[tuple[str, str]]:
    for placement in filter(None, map(decode_or_close, document.records)):
        yield from _lines_of(placement)


def _lines_of(placement: Placement) -> t.Iterator[tuple[str, str]]:
    if placement.closed_reason:
        yield f"{placement.team}", f"not readable here: {placement.closed_reason}"
    for zone, place in placement.places.items():
        yield f"{placement.team} in {zone}", _place_text(place)


def _place_text(place: Place) -> str:
    offers = sorted(f"{offer.name}@{offer.version}" for offer in place.offers)
    return f"{', '.join(offers)} with {place.share_percent:g}%"
