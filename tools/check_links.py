"""Checks that every relative link in the Markdown pages leads to a file."""

import pathlib
import re
import sys
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent

_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_ELSEWHERE = re.compile(r"^(?:[a-z]+:|#)")


def broken_links(page: pathlib.Path) -> list[str]:
    """Return the relative links of a page that lead nowhere."""
    targets = _LINK.findall(page.read_text("utf-8"))
    relative = (link for link in targets if not _ELSEWHERE.match(link))
    return [link for link in relative if not _exists(page, link)]


def pages(root: pathlib.Path) -> t.Iterator[pathlib.Path]:
    """Return the Markdown pages at the root and below docs/."""
    yield from sorted(root.glob("*.md"))
    yield from sorted((root / "docs").rglob("*.md"))


def main() -> None:
    """Print each broken link and exit with 1 when there is one."""
    found = [
        f"fault: {page.relative_to(ROOT)} links to {link}, which is not there"
        for page in pages(ROOT)
        for link in broken_links(page)
    ]
    print(*found, sep="\n", end="\n" if found else "")
    sys.exit(1 if found else 0)


def _exists(page: pathlib.Path, link: str) -> bool:
    return (page.parent / link.partition("#")[0]).exists()


if __name__ == "__main__":
    main()
