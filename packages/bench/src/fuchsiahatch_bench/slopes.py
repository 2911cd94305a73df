"""Measures the slopes that docs/CAPACITY.md is computed from."""

import asyncio
import dataclasses
import json
import pathlib
import platform
import shutil
import typing as t

import fire
import psutil
from twisted.internet import asyncioreactor

from fuchsiahatch_bench.fits import Line

RESULTS = pathlib.Path("docs/results/slopes.json")
PAGE = pathlib.Path("docs/measurements/slopes.md")
FOLDER = pathlib.Path(".run/slopes")
BASE_PORT = 23_000


def main(base_port: int = BASE_PORT) -> None:
    """Measure everything, and write docs/results and docs/measurements.

    Parameters
    ----------
    base_port : int
        First of the loopback ports; the 600 from there on are used.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet.defer import Deferred
    from twisted.internet.task import react

    react(lambda _: Deferred.fromFuture(asyncio.ensure_future(_run(base_port))))


async def _run(base_port: int) -> None:
    # These import the reactor, which must be installed before.
    from fuchsiahatch_bench.message_sizes import measure_messages
    from fuchsiahatch_bench.path_costs import measure_path
    from fuchsiahatch_bench.peer_costs import measure_peers
    from fuchsiahatch_bench.record_costs import measure_records
    from fuchsiahatch_bench.selection_costs import measure_selection
    from fuchsiahatch_bench.service_costs import measure_service_calls
    from fuchsiahatch_bench.watch_costs import measure_watching

    shutil.rmtree(FOLDER, ignore_errors=True)
    (FOLDER / "path").mkdir(parents=True)
    lines = measure_records() | measure_selection()
    watching, watched = await measure_watching(FOLDER / "watch", base_port)
    peers, peer_rows = await measure_peers(FOLDER / "peers", base_port)
    lines |= watching | peers
    service, service_values = await measure_service_calls(FOLDER / "service", base_port)
    path, path_values = await measure_path(FOLDER / "path", base_port)
    lines |= service | path
    document = {
        "machine": _machine(),
        "lines": {name: dataclasses.asdict(line) for name, line in lines.items()},
        "values": service_values | path_values,
        "watched": [dataclasses.asdict(row) for row in watched],
        "peers": [dataclasses.asdict(row) for row in peer_rows],
        "message_bytes": measure_messages(),
    }
    _write(RESULTS, json.dumps(document, indent=1) + "\n")
    _write(PAGE, page_of(lines, document["machine"]))


def page_of(lines: t.Mapping[str, Line], machine: t.Mapping[str, t.Any]) -> str:
    """Return the page of all slopes."""
    rows = (
        f"| `{name}` | {line.slope:.4g} | {line.intercept:.4g} | {line.residual:.3g}"
        f" | {', '.join(f'{x:g}: {y:.4g}' for x, y in line.points)} |"
        for name, line in sorted(lines.items())
    )
    head = (
        "# Slopes\n\n"
        "Made by `make bench-slopes`; raw points and sizes in "
        "[results](../results/slopes.json).\n"
        f"Machine: {machine['processor']}, {machine['cores']} cores, load average "
        f"{machine['load_average']} before, {machine['system']}, Python "
        f"{machine['python']}.\nOther work ran on it, so treat processor times as "
        "upper figures.\n\n"
        "| Line | Slope | Intercept | Largest residual | Points |\n"
        "| --- | --- | --- | --- | --- |\n"
    )
    return head + "\n".join(rows) + "\n"


def _machine() -> dict[str, t.Any]:
    return {
        "processor": _processor(),
        "cores": psutil.cpu_count(),
        "load_average": round(psutil.getloadavg()[0], 1),
        "system": platform.system(),
        "python": platform.python_version(),
    }


def _processor() -> str:
    lines = pathlib.Path("/proc/cpuinfo").read_text("utf-8").splitlines()
    named = (line.partition(":")[2] for line in lines if line.startswith("model name"))
    return next(named, platform.machine()).strip()


def _write(path: pathlib.Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, "utf-8")


if __name__ == "__main__":
    fire.Fire(main, name="slopes")
