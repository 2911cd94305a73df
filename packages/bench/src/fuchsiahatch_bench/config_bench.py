"""Measures the configuration: how fast a change is in force, and what it costs."""

import asyncio
import dataclasses
import pathlib
import statistics
import typing as t

import fire
from twisted.internet import asyncioreactor

from fuchsiahatch_bench.fits import fit_line
from fuchsiahatch_bench.tables import load_average, make_table, write_result

FOLDER = pathlib.Path(".run/config")
SIZES = (3, 6, 12, 24, 48)
IDLE_S = 8.0
CHANGING_S = 16.0

_INTRO = """# Configuration: time to be in force, and cost

Made by `make bench-config`; raw points in [results](../results/config.json). Load
average of the machine before: {load}; other work ran on it, so treat times as upper
figures. All entries' and agents' configuration parts ran in one process on one
thread, with real gRPC and HTTP over loopback between them and to a stand-in of the
key-value service in a process of its own: one region, {agents} agents for each entry,
{teams} teams' records. One thread for all makes the times grow with the number of
entries; on hosts of their own they share no thread. No network delay or loss.

"""


def main() -> None:
    """Measure all sizes, and write docs/results and docs/measurements."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    loop.run_until_complete(_measure())


async def _measure() -> None:
    # These import the reactor, which must be installed before.
    from fuchsiahatch_bench import config_run

    load = load_average()
    FOLDER.mkdir(parents=True, exist_ok=True)
    rows = [await _measure_size(size) for size in SIZES]
    slopes = _slopes(rows)
    shown = {
        "load_average": load,
        "agents_per_entry": config_run.AGENTS_PER_ENTRY,
        "teams": config_run.TEAMS,
        "changes_per_day": config_run.CHANGES_PER_DAY,
        "outage_s": config_run.OUTAGE_S,
        "sizes": rows,
        "slopes": slopes,
    }
    intro = _INTRO.format(
        load=load, agents=config_run.AGENTS_PER_ENTRY, teams=config_run.TEAMS
    )
    page = intro + _page(rows, slopes)
    write_result("config", shown, page)
    print(page)


async def _measure_size(entries: int) -> dict[str, t.Any]:
    from fuchsiahatch_bench.config_run import ConfigRun

    async with ConfigRun(entries, FOLDER) as run:
        idle = await run.rates(IDLE_S)
        changing, spreads = await run.rates_under_changes(CHANGING_S)
        outage = await run.outage()
    return {
        "entries": entries,
        "idle": dataclasses.asdict(idle),
        "changing": dataclasses.asdict(changing),
        "spreads": [dataclasses.asdict(one) for one in spreads],
        "outage": dataclasses.asdict(outage),
    }


def _slopes(rows: t.Sequence[dict[str, t.Any]]) -> dict[str, t.Any]:
    lines = {
        f"{phase}_{name}": fit_line(
            (row["entries"], _of(row, phase)[name]) for row in rows
        )
        for phase in ("idle", "changing", "outage")
        for name in ("service_calls", "payload_bytes", "cpu_ms")
    }
    return {name: dataclasses.asdict(line) for name, line in lines.items()}


def _of(row: dict[str, t.Any], phase: str) -> dict[str, float]:
    return row["outage"]["rates"] if phase == "outage" else row[phase]


def _page(rows: t.Sequence[dict[str, t.Any]], slopes: dict[str, t.Any]) -> str:
    return (
        "\n\n".join(
            (
                "## Time after the write was answered, median and worst of the changes",
                _spread_table(rows),
                "`accepted` is told when a majority of every region has "
                "acknowledged and the freshness of before (3.1 s) has passed.",
                "## The service down for 8 s, right after a write was answered",
                _outage_table(rows),
                "## Cost of one entry in a second",
                _rates_table(rows),
                "Bytes are bodies only, without the heads of HTTP/2, HTTP and TCP, "
                "both ways. Processor time includes the agents' parts.",
                "## Slopes over the number of entries in the region",
                _slopes_table(slopes),
            )
        )
        + "\n"
    )


def _spread_table(rows: t.Sequence[dict[str, t.Any]]) -> str:
    heads = (
        "entries",
        "agents",
        "changes",
        "all entries, ms",
        "worst",
        "all agents, ms",
        "worst",
        "accepted, ms",
        "worst",
    )
    return make_table(heads, map(_spread_row, rows))


def _spread_row(row: dict[str, t.Any]) -> list[t.Any]:
    spreads = row["spreads"]
    figures = [
        round(pick([one[name] for one in spreads]))
        for name in ("entries_ms", "agents_ms", "accepted_ms")
        for pick in (statistics.median, max)
    ]
    return [row["entries"], 2 * row["entries"], len(spreads), *figures]


def _outage_table(rows: t.Sequence[dict[str, t.Any]]) -> str:
    heads = (
        "entries",
        "in force at all entries, ms",
        "at all agents, ms",
        "seen not fresh",
        "of looks",
        "operator was told",
    )
    return make_table(
        heads,
        (
            (
                row["entries"],
                round(row["outage"]["entries_ms"]),
                round(row["outage"]["agents_ms"]),
                row["outage"]["stale_checks"],
                row["outage"]["checks"],
                row["outage"]["outcome"],
            )
            for row in rows
        ),
    )


def _rates_table(rows: t.Sequence[dict[str, t.Any]]) -> str:
    heads = ("entries", "phase", "service calls", "bytes", "processor, ms")
    return make_table(
        heads,
        (
            (
                row["entries"],
                phase,
                _of(row, phase)["service_calls"],
                _of(row, phase)["payload_bytes"],
                _of(row, phase)["cpu_ms"],
            )
            for row in rows
            for phase in ("idle", "changing", "outage")
        ),
    )


def _slopes_table(slopes: dict[str, t.Any]) -> str:
    heads = ("line", "per entry more", "at none", "largest residual")
    rows = (
        (
            name,
            f"{one['slope']:.4g}",
            f"{one['intercept']:.4g}",
            f"{one['residual']:.3g}",
        )
        for name, one in slopes.items()
    )
    return make_table(heads, rows)


if __name__ == "__main__":
    fire.Fire(main, name="config_bench")
