"""Checks that every direct dependency is pinned, installed as pinned and explained."""

import itertools
import pathlib
import re
import sys
import tomllib
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/DEPENDENCIES.md"
REQUIREMENTS = ROOT / "requirements.txt"

_OWN_PREFIX = "fuchsiahatch-"
_ROW = re.compile(r"^\| `([\w.-]+)` \|", re.MULTILINE)


def normal_name(name: str) -> str:
    """Return a distribution's name as package indexes compare it."""
    return re.sub(r"[-_.]+", "-", name).lower()


def read_pins(lines: t.Iterable[str]) -> dict[str, str]:
    """Return the version of each pinned requirement; empty where it isn't pinned."""
    split = (line.partition("==") for line in lines)
    return {normal_name(name.strip()): version for name, _, version in split}


def find_faults(
    direct: t.Mapping[str, str], installed: t.Mapping[str, str], rows: t.Iterable[str]
) -> list[str]:
    """Return what is wrong with the direct dependencies, a sentence each."""
    explained = set(map(normal_name, rows))
    unpinned = (f"{name} is not pinned" for name, pin in direct.items() if not pin)
    differing = (
        f"{name} is {pin} in its package, {installed.get(name, 'absent')} installed"
        for name, pin in direct.items()
        if pin and installed.get(name) != pin
    )
    unexplained = (f"{name} has no row" for name in direct if name not in explained)
    unknown = (f"{name} has a row only" for name in explained - installed.keys())
    return sorted(itertools.chain(unpinned, differing, unexplained, unknown))


def read_direct(root: pathlib.Path) -> dict[str, str]:
    """Return the pins of all packages' dependencies, our own left out."""
    projects = (
        tomllib.loads(path.read_text("utf-8"))["project"]
        for path in sorted(
            [*root.glob("packages/*/pyproject.toml"), *root.glob("platform/*.toml")]
        )
    )
    wanted = itertools.chain.from_iterable(one["dependencies"] for one in projects)
    return read_pins(line for line in wanted if not line.startswith(_OWN_PREFIX))


def main() -> None:
    """Print each fault and exit with 1 when there is one."""
    installed = read_pins(REQUIREMENTS.read_text("utf-8").splitlines())
    rows = _ROW.findall(PAGE.read_text("utf-8"))
    faults = find_faults(read_direct(ROOT), installed, rows)
    for fault in faults:
        print(f"fault: docs/DEPENDENCIES.md: {fault}")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
