"""Settings of the processes that the path bench drives."""

import json
import pathlib
import typing as t

import fire

from fuchsiahatch_standins import layout

BASE_PORT = 25_000
#: Which host serves what, as a number in the demo's layout.
HOSTS = {
    "entry-kl-a": 0,
    "engine-kl-a": 3,
    "engine-kl-b": 4,
    "engine-cj-c": 5,
    "map-and-readings-cj-c": 8,
}
PATH_MODEL, FAIR_MODEL, FIFO_MODEL = "bench-path", "bench-fair", "bench-fifo"
PATH_SERVICE = "map-and-readings"
PATH_TEAM, FLOOD_TEAM = "bench", "flood"
QUIET_TEAMS = tuple(f"quiet-{number}" for number in range(9))
_FAIRNESS_LIMIT = 4
_PATH_LIMIT = 256
_QUEUE_LIMIT = 256


def write_layout(directory: str, base_port: int = BASE_PORT) -> None:
    """Write the demo's settings, changed for the bench.

    Parameters
    ----------
    directory : str
        Where the files go.
    base_port : int
        First of the loopback ports.
    """
    folder = pathlib.Path(directory)
    layout.write_layout(directory, base_port)
    changes = {
        "engine-kl-a": _upstream(FAIR_MODEL, _FAIRNESS_LIMIT, "fair"),
        "engine-kl-b": _upstream(FIFO_MODEL, _FAIRNESS_LIMIT, "fifo"),
        "engine-cj-c": _upstream(PATH_MODEL, _PATH_LIMIT, "fair"),
        "map-and-readings-cj-c": _upstream(PATH_SERVICE, _PATH_LIMIT, "fair"),
    }
    rows = []
    for host in HOSTS:
        path = folder / f"{host}.json"
        settings = json.loads(path.read_text("utf-8"))
        if host in changes:
            settings["upstream"].update(changes[host])
        path.write_text(json.dumps(settings, indent=2), "utf-8")
        rows.append(layout.list_row(settings))
    (folder / "hosts.json").write_text(json.dumps(rows, indent=2), "utf-8")
    placement = {"revision": 1, "history": [], "records": _records()}
    (folder / "placement.json").write_text(json.dumps(placement, indent=2), "utf-8")


def _upstream(offer: str, limit: int, queue: str) -> dict[str, t.Any]:
    return {
        "offers": [f"{offer}@1"],
        "limit": limit,
        "queue": queue,
        "queue_limit": _QUEUE_LIMIT,
    }


def _records() -> list[dict[str, t.Any]]:
    names = (PATH_MODEL, FAIR_MODEL, FIFO_MODEL, PATH_SERVICE)
    offers = [f"{name}@1" for name in names]
    return [
        {
            "schema": 1,
            "team": team,
            "zones": list(layout.ZONES),
            "offers": offers,
            "share_percent": 9,
        }
        for team in (PATH_TEAM, FLOOD_TEAM, *QUIET_TEAMS)
    ]


if __name__ == "__main__":
    fire.Fire(write_layout, name="path_layout")
