"""Makes docs/SETTINGS.md from the schema that settings are checked against."""

import dataclasses
import itertools
import json
import pathlib
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/SETTINGS.md"
SCHEMA = ROOT / "packages/daemon/src/fuchsiahatch_daemon/settings_schema.json"

_HEAD = """# Settings of fuchsiahatchd

Made from the schema by `make settings-page`; change the schema, not this page.
Settings are one JSON file, named by `fuchsiahatchd --settings FILE`. A file that
does not match is refused with code 400, the path, the value and what is allowed.
`fuchsiahatch check FILE` does the same without starting anything, where this
version has it.

| Setting | Type | Needed | Default | Allowed | Meaning |
| --- | --- | --- | --- | --- | --- |
"""
_BOUNDS = (
    ("enum", "one of {}"),
    ("const", "{}"),
    ("minimum", "at least {}"),
    ("exclusiveMinimum", "above {}"),
    ("maximum", "at most {}"),
    ("minLength", "at least {} characters"),
    ("minItems", "at least {} items"),
    ("pattern", "pattern `{}`"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRow:
    """One setting as the page shows it.

    Attributes
    ----------
    path : str
        As ``listen.http_address``.
    kind : str
        JSON type.
    needed : bool
        Whether its object must have it.
    default, allowed, meaning : str
        Empty where the schema says nothing.
    """

    path: str
    kind: str
    needed: bool
    default: str
    allowed: str
    meaning: str


def schema_rows(
    schema: dict[str, t.Any], definitions: dict[str, t.Any], prefix: str = ""
) -> list[SettingsRow]:
    """Return a row for each setting below an object of the schema."""
    required = schema.get("required", ())
    nested = (
        _rows_of(f"{prefix}{name}", part, name in required, definitions)
        for name, part in schema.get("properties", {}).items()
    )
    return list(itertools.chain.from_iterable(nested))


def read_settings_rows() -> list[SettingsRow]:
    """Return the rows of the shipped schema."""
    schema = json.loads(SCHEMA.read_text("utf-8"))
    return schema_rows(schema, schema.get("$defs", {}))


def settings_page() -> str:
    """Return the whole page."""
    return _HEAD + "".join(map(_line, read_settings_rows()))


def main() -> None:
    """Write the page."""
    PAGE.write_text(settings_page(), "utf-8")


def _rows_of(
    path: str, part: dict[str, t.Any], needed: bool, definitions: dict[str, t.Any]
) -> list[SettingsRow]:
    whole = _resolved(part, definitions)
    row = SettingsRow(
        path=path,
        kind=_kind(whole, definitions),
        needed=needed,
        default=json.dumps(whole["default"]) if "default" in whole else "",
        allowed=_allowed(whole, definitions),
        meaning=whole.get("description", ""),
    )
    return [row, *schema_rows(whole, definitions, f"{path}.")]


def _resolved(part: dict[str, t.Any], definitions: dict[str, t.Any]) -> t.Any:
    name = part.get("$ref", "").removeprefix("#/$defs/")
    return {**definitions.get(name, {}), **part}


def _kind(part: dict[str, t.Any], definitions: dict[str, t.Any]) -> str:
    kind = part.get("type", "string" if "enum" in part else "any")
    if kind == "array":
        item = _resolved(part.get("items", {}), definitions)
        return f"array of {_kind(item, definitions)}"
    return kind


def _allowed(part: dict[str, t.Any], definitions: dict[str, t.Any]) -> str:
    if part.get("type") == "array":
        item = _resolved(part.get("items", {}), definitions)
        return "; ".join(filter(None, (_bounds(part), _allowed(item, definitions))))
    return _bounds(part)


def _bounds(part: dict[str, t.Any]) -> str:
    return ", ".join(
        words.format(_shown(part[name])) for name, words in _BOUNDS if name in part
    )


def _shown(value: t.Any) -> str:
    if isinstance(value, list):
        return ", ".join(map(_shown, value))
    return str(value).replace("|", "\\|")


def _line(row: SettingsRow) -> str:
    needed = "yes" if row.needed else ""
    cells = (
        f"`{row.path}`",
        row.kind,
        needed,
        row.default,
        row.allowed,
        row.meaning,
    )
    return f"| {' | '.join(cells)} |\n"


if __name__ == "__main__":
    main()
