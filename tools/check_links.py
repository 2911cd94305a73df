"""Checks that every relative link leads to a file and every page can be found."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_ELSEWHERE = re.compile(r"^(?:[a-z]+:|#)")


def broken_links(page: pathlib.Path) -> list[str]:
    """Return the relative links of a page that lead nowhere."""
    return [link for link in _relative_links(page) if not _target(page, link).exists()]


def orphans(root: pathlib.Path) -> list[pathlib.Path]:
    """Return the pages below docs/ that no page links to."""
    linked = {
        _target(page, link) for page in pages(root) for link in _relative_links(page)
    }
    below = sorted((root / "docs").rglob("*.md"))
    return [page for page in below if page.resolve() not in linked]


def pages(root: pathlib.Path) -> list[pathlib.Path]:
    """Return the Markdown pages in a folder and below its docs/."""
    return [*sorted(root.glob("*.md")), *sorted((root / "docs").rglob("*.md"))]


def main() -> None:
    """Print each broken link and exit with 1 when there is one."""
    found = [
        f"fault: {page.relative_to(ROOT)} links to {link}, which is not there"
        for page in pages(ROOT)
        for link in broken_links(page)
    ]
    found += [
        f"fault: no page links to {page.relative_to(ROOT)}" for page in orphans(ROOT)
    ]
    print(*found, sep="\n", end="\n" if found else "")
    sys.exit(1 if found else 0)


def _relative_links(page: pathlib.Path) -> list[str]:
    targets = _LINK.findall(page.read_text("utf-8"))
    return [link for link in targets if not _ELSEWHERE.match(link)]


def _target(page: pathlib.Path, link: str) -> pathlib.Path:
    return (page.parent / link.partition("#")[0]).resolve()


if __name__ == "__main__":
    main()
