"""Golden files of whole sessions: compare, or write anew when asked."""

import difflib
import os
import pathlib
import typing as t

WRITE_VARIABLE = "FUCHSIAHATCH_GOLDEN"


def check_golden(test_file: str, name: str, lines: t.Iterable[str]) -> None:
    """Compare a session with its golden file.

    Parameters
    ----------
    test_file : str
        The test's ``__file__``; the golden files stand beside it in ``golden/``.
    name : str
        The session's name.
    lines : iterable of str
        What happened, a line each.

    Raises
    ------
    AssertionError
        With the difference. ``FUCHSIAHATCH_GOLDEN=write`` writes the file
        instead; read the difference in git before committing it.
    """
    path = pathlib.Path(test_file).parent / "golden" / f"{name}.txt"
    found = "".join(f"{line}\n" for line in lines)
    if os.environ.get(WRITE_VARIABLE) == "write":
        path.parent.mkdir(exist_ok=True)
        path.write_text(found, "utf-8")
        return
    kept = path.read_text("utf-8") if path.exists() else ""
    difference = difflib.unified_diff(
        kept.splitlines(), found.splitlines(), str(path.name), "this run", lineterm=""
    )
    text = "\n".join(difference)
    if text:
        raise AssertionError(f"the session differs from its golden file:\n{text}")
