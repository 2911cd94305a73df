"""Tables in Markdown, made from a bench's results."""

import json
import os
import pathlib
import typing as t

DOCS = pathlib.Path("docs")


def make_table(heads: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    """Return a Markdown table; numbers are aligned to the right."""
    kept = [[_cell(value) for value in row] for row in rows]
    marks = [
        "---:" if all(_is_number(row[place]) for row in kept) else "---"
        for place in range(len(heads))
    ]
    return "\n".join(
        f"| {' | '.join(cells)} |" for cells in [list(heads), marks, *kept]
    )


def write_result(name: str, result: dict[str, t.Any], page: str) -> None:
    """Write a bench's result and the page made from it, below docs/."""
    for folder in ("results", "measurements"):
        (DOCS / folder).mkdir(parents=True, exist_ok=True)
    text = json.dumps(result, indent=2) + "\n"
    (DOCS / "results" / f"{name}.json").write_text(text, "utf-8")
    (DOCS / "measurements" / f"{name}.md").write_text(page, "utf-8")


def load_average() -> list[float]:
    """Return the machine's load over 1, 5 and 15 minutes."""
    return [round(value, 1) for value in os.getloadavg()]


def _cell(value: t.Any) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _is_number(cell: str) -> bool:
    return cell.replace(".", "", 1).removeprefix("-").isdigit()
