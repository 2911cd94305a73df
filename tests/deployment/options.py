"""Options of a run, checked before anything is started."""

import dataclasses
import pathlib

from fuchsiahatch_core.exceptions import SettingsError
from tests.deployment.disturbances import KINDS
from tests.deployment.layout import Layout, read_layout
from tests.deployment.programs import ROOT

MOST_MINUTES = 24 * 60


@dataclasses.dataclass(frozen=True)
class Options:
    """Options that are allowed.

    Attributes
    ----------
    seed : int
    minutes : float
        Time in which disturbances happen.
    deployment : str
    layout : Layout
    disturbances : list of str
    tree : pathlib.Path
        Root of the repository whose load balancer runs.
    folder, report : pathlib.Path or None
    """

    seed: int
    minutes: float
    deployment: str
    layout: Layout
    disturbances: list
    tree: pathlib.Path
    folder: pathlib.Path | None
    report: pathlib.Path | None

    @property
    def plan(self):
        """What the report says of them."""
        return {
            "seed": self.seed,
            "minutes": self.minutes,
            "deployment": self.deployment,
            "disturbances": self.disturbances,
            "tree": "" if self.tree == ROOT else str(self.tree),
        }


def read_options(
    seed=1,
    minutes=1.0,
    deployment="six_entries",
    only="",
    without="",
    tree="",
    folder="",
    report="",
):
    """Play one seed; exit with 1 if something doesn't hold, 3 if it couldn't be run.

    Parameters
    ----------
    seed : int
    minutes : float
    deployment : str
        Name or path of a settings file.
    only, without : str
        Disturbances to play, or to leave out, with commas between.
    tree : str
        Root of the repository whose load balancer runs; this one by default.
    folder : str
        Where settings and logs are kept; they are removed by default.
    report : str
        Path of the report as JSON.

    Raises
    ------
    SettingsError
    """
    if type(seed) is not int or seed < 0:
        raise SettingsError("seed", seed, "a number from 0 on")
    if type(minutes) not in (int, float) or not 0 < minutes <= MOST_MINUTES:
        raise SettingsError("minutes", minutes, f"more than 0, {MOST_MINUTES} at most")
    texts = {"deployment": deployment, "tree": tree, "folder": folder, "report": report}
    for name, text in texts.items():
        if not isinstance(text, str):
            raise SettingsError(name, text, "a name or path")
    return Options(
        seed,
        minutes,
        deployment,
        read_layout(deployment),
        choose(only, without),
        _read_tree(tree),
        pathlib.Path(folder) if folder else None,
        _read_report(report),
    )


def _read_tree(tree):
    root = pathlib.Path(tree).resolve() if tree else ROOT
    if not (root / "packages").is_dir():
        raise SettingsError("tree", tree, "the root of a work tree")
    return root


def _read_report(report):
    path = pathlib.Path(report) if report else None
    if path is not None and not path.parent.is_dir():
        raise SettingsError("report", report, "a path in a folder that exists")
    return path


def choose(only, without):
    """Return the names of the disturbances that are to happen.

    Parameters
    ----------
    only, without : str or sequence of str
        Names with commas between; none in `only` stands for all.

    Raises
    ------
    SettingsError
    """
    wanted, unwanted = _split("only", only) or list(KINDS), _split("without", without)
    return [name for name in wanted if name not in unwanted]


def _split(option, names):
    if isinstance(names, str):
        names = names.split(",") if names else ()
    allowed = f"names of {', '.join(KINDS)}"
    if not isinstance(names, list | tuple):
        raise SettingsError(option, names, allowed)
    for name in names:
        if name not in KINDS:
            raise SettingsError(option, name, allowed)
    return list(names)
