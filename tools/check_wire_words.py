"""Checks that the users' platform's names stand in its adapter alone.

What the adapter's `names` module holds must appear in no other source, but for tests
and stand-ins, which speak the protocol from the other side.
"""

import ast
import pathlib
import sys
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ROOT / "platform/src/fuchsiahatch_adapter/names.py"
#: Names that HTTP itself has, and that are nobody's own.
COMMON = frozenset(("authorization", "retry-after", "last-event-id", "Token"))

#: The product's own callers' interface has a header of the same name.
OWN = frozenset((("caller_requests.py", "fuchsiahatch-deadline-ms"),))


def read_names(source: str) -> set[str]:
    """Return the values of a module's constants."""
    values = (
        node.value.value
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant)
    )
    words = (one.decode() if isinstance(one, bytes) else one for one in values)
    return {word for word in words if isinstance(word, str)} - COMMON


def find_faults(words: t.Iterable[str], path: str, source: str) -> list[str]:
    """Return a sentence for each name that a source has, in any case of letters."""
    lowered = source.lower()
    file = path.rpartition("/")[2]
    return [
        f"{path} has {word!r}"
        for word in words
        if word.lower() in lowered and (file, word) not in OWN
    ]


def main() -> None:
    """Print each fault and exit with 1 when there is one."""
    words = sorted(read_names(NAMES.read_text("utf-8")))
    sources = (
        path
        for path in sorted(ROOT.glob("packages/*/src/**/*.py"))
        if "fuchsiahatch_standins" not in path.parts
    )
    faults = [
        fault
        for path in sources
        for fault in find_faults(
            words, str(path.relative_to(ROOT)), path.read_text("utf-8")
        )
    ]
    for fault in faults:
        print(f"fault: {fault}; it belongs into platform/")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
