"""A segment's document: one key, one monotone revision and a short history."""

import dataclasses
import json
import re
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import ConflictError, SettingsError

#: Longest document, below the megabyte that the service holds under one key.
MAX_DOCUMENT_BYTES = 1_000_000
#: How many changes a document remembers.
HISTORY_LENGTH = 64

_DECODER = json.JSONDecoder()
_BLANK = re.compile(r"[ \t\r\n]*")
_RECORDS = "records"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One line of a document's history.

    Attributes
    ----------
    revision : int
        Revision of the document that the change made.
    change_id : str
        Chosen by the writer before the first try; unique.
    time_ms : int
        Wall-clock time of the write, for readers only; nothing compares it.
    operator, summary : str
    """

    revision: int
    change_id: str
    time_ms: int
    operator: str
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A segment's document, taken apart without decoding its records.

    Attributes
    ----------
    revision : int
        0 for a key that was never written.
    history : tuple of Change
        Newest last.
    records : tuple of str
        The JSON text of each record, as it stands in the document.
    """

    revision: int
    history: tuple[Change, ...] = ()
    records: tuple[str, ...] = ()

    @property
    def change_id(self) -> str:
        """The change that made this revision; empty when it isn't known."""
        return change_id_at(self.history, self.revision) or ""


EMPTY_DOCUMENT = Document(0)


def read_document(value: bytes) -> Document:
    """Take a document's bytes apart.

    Parameters
    ----------
    value : bytes
        The value under the segment's key; empty when the key is absent.

    Raises
    ------
    SettingsError
        When the document as a whole can't be read.
    """
    if not value:
        return EMPTY_DOCUMENT
    try:
        content = _read_members(value.decode())
        history = tuple(Change(**change) for change in content["history"])
        return Document(int(content["revision"]), history, content["records"])
    except (ValueError, KeyError, TypeError, IndexError) as fault:
        raise SettingsError(
            "(document)", type(fault).__name__, "a segment's JSON document"
        ) from fault


def write_document(document: Document) -> bytes:
    """Put a document together, each record's text verbatim on lines of its own.

    Raises
    ------
    SettingsError
        When it would be longer than `MAX_DOCUMENT_BYTES`.
    """
    history = [json.dumps(dataclasses.asdict(change)) for change in document.history]
    text = (
        f'{{"revision": {document.revision},\n"history": [\n'
        + ",\n".join(history)
        + '\n],\n"records": [\n'
        + ",\n".join(document.records)
        + "\n]}\n"
    )
    value = text.encode()
    if len(value) > MAX_DOCUMENT_BYTES:
        allowed = f"at most {MAX_DOCUMENT_BYTES} bytes; split the segment"
        raise SettingsError(
            "(document)", f"{len(value)} bytes", allowed, Code.DOCUMENT_TOO_LARGE
        )
    return value


def next_document(
    base: Document,
    expected_revision: int,
    change: Change,
    records: t.Iterable[str],
) -> Document:
    """Return the document that follows a base with other records.

    Parameters
    ----------
    base : Document
    expected_revision : int
        Revision that the operator read.
    change : Change
        Its revision is set here.
    records : iterable of str

    Raises
    ------
    ConflictError
        When the base isn't the revision that the operator read.
    """
    if base.revision != expected_revision:
        raise ConflictError(
            f"revision {expected_revision} was read, but {base.revision} is current; "
            "read it and decide anew"
        )
    return _follow(base.revision, base.history, change, records)


def republish(base: Document, held: Document, change: Change) -> Document:
    """Return a document that puts back what an entry still holds.

    After a restored backup the service holds less than is in force. The next
    revision is above everything that was ever in force, so every entry takes it.

    Parameters
    ----------
    base : Document
        What the service holds.
    held : Document
        What an entry holds in memory.
    change : Change
        Its revision is set here.
    """
    last = max(base.revision, held.revision)
    return _follow(last, held.history, change, held.records)


def check_no_revert(base: Document, held_revision: int) -> None:
    """Refuse to write on top of a document older than what is in force.

    The numbers that follow a restored backup were used before: entries that
    hold them would take the new change for the old one and never apply it.

    Raises
    ------
    ConflictError
        With `Code.REVERT_REFUSED`.
    """
    if base.revision < held_revision:
        detail = (
            f"the service holds revision {base.revision}, but {held_revision} is in "
            "force here; republish it first"
        )
        raise ConflictError(detail, Code.REVERT_REFUSED)


def change_id_at(history: t.Iterable[Change], revision: int) -> str | None:
    """Return the id of the change that made a revision; None when forgotten."""
    found = (change.change_id for change in history if change.revision == revision)
    return next(found, None)


def find_change(history: t.Iterable[Change], change_id: str) -> Change | None:
    """Return the change with an id, or None."""
    return next((one for one in history if one.change_id == change_id), None)


def _follow(
    revision: int,
    history: t.Iterable[Change],
    change: Change,
    records: t.Iterable[str],
) -> Document:
    made = dataclasses.replace(change, revision=revision + 1)
    return Document(revision + 1, (*history, made)[-HISTORY_LENGTH:], tuple(records))


def _read_members(text: str) -> dict[str, t.Any]:
    """Read a document's members, its records as their texts.

    Loading and dumping a record of an unknown schema would rewrite its numbers
    and drop repeated names, so the texts are cut out of the document.
    """
    members: dict[str, t.Any] = {}
    at = _skip(text, _skip_blank(text, 0), "{")
    while text[at] != "}":
        name, at = _DECODER.raw_decode(text, at)
        at = _skip(text, _skip_blank(text, at), ":")
        if name == _RECORDS:
            members[name], at = _item_texts(text, at)
        else:
            members[name], at = _DECODER.raw_decode(text, at)
        at = _next_item(text, at)
    if _skip_blank(text, at + 1) != len(text):
        raise ValueError("there is more after the document")
    return members


def _item_texts(text: str, start: int) -> tuple[tuple[str, ...], int]:
    items: list[str] = []
    at = _skip(text, start, "[")
    while text[at] != "]":
        _, end = _DECODER.raw_decode(text, at)
        items.append(text[at:end])
        at = _next_item(text, end)
    return tuple(items), at + 1


def _next_item(text: str, end: int) -> int:
    at = _skip_blank(text, end)
    if text[at] in "]}":
        return at
    at = _skip(text, at, ",")
    if text[at] in "]}":
        raise ValueError(f"an item is missing at {at}")
    return at


def _skip(text: str, at: int, mark: str) -> int:
    if text[at] != mark:
        raise ValueError(f"{mark} is missing at {at}")
    return _skip_blank(text, at + 1)


def _skip_blank(text: str, at: int) -> int:
    return _BLANK.match(text, at).end()
