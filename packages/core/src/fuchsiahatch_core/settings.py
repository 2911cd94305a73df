"""Reading JSON settings and checking them against the shipped schemas."""

import importlib.resources
import json
import pathlib
import typing as t

import jsonschema

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import SettingsError


def load_schema(package: str, name: str) -> dict[str, t.Any]:
    """Return a JSON schema shipped inside a package."""
    text = importlib.resources.files(package).joinpath(name).read_text("utf-8")
    return json.loads(text)


def check_document(
    document: t.Any,
    schema: dict[str, t.Any],
    code: Code = Code.SETTINGS_INVALID,
) -> None:
    """Check a document against a JSON schema.

    Raises
    ------
    SettingsError
        For the first fault by path, with path, value and what is allowed.
    """
    validator = jsonschema.Draft202012Validator(schema)
    faults = sorted(
        validator.iter_errors(document), key=lambda f: list(map(str, f.path))
    )
    if not faults:
        return
    fault = jsonschema.exceptions.best_match(faults)
    path = ".".join(map(str, fault.absolute_path)) or "(document)"
    raise SettingsError(path, fault.instance, _allowed(fault), code)


def load_settings(
    path: str | pathlib.Path, schema: dict[str, t.Any]
) -> dict[str, t.Any]:
    """Read a JSON settings file and check it.

    Raises
    ------
    SettingsError
        When the file can't be read, isn't JSON or doesn't match.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text("utf-8"))
    except OSError as fault:
        raise SettingsError(str(path), fault.strerror, "a readable file") from fault
    except ValueError as fault:
        raise SettingsError(str(path), str(fault), "JSON in UTF-8") from fault
    check_document(document, schema)
    return document


def _allowed(fault: jsonschema.ValidationError) -> str:
    if fault.validator == "additionalProperties":
        known = ", ".join(sorted(fault.schema.get("properties", {})))
        return f"{fault.message}; known names are {known}"
    return f"{fault.validator} {json.dumps(fault.validator_value)}: {fault.message}"
