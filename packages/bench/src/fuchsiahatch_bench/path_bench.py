"""Drives the processes of packages/bench/path.sh and writes what it measured."""

import asyncio
import os
import pathlib
import random
import typing as t

import fire
import psutil
from twisted.internet import asyncioreactor

from fuchsiahatch_bench import path_layout as layout
from fuchsiahatch_bench.tables import load_average, make_table, write_result

if t.TYPE_CHECKING:
    from fuchsiahatch_bench.path_load import Call, Figures, LoadTool

LEVELS = (1, 4, 16, 64)
ROUNDS = 2
WINDOW_S = 1.5
TOKENS = 16
FAIRNESS_ROUNDS = 3
FAIRNESS_WINDOW_S = 4.0
FAIRNESS_TOKENS = 8
FLOOD_CONCURRENCY = 48
QUIET_PERIOD_S = 0.25
SEED = 7
_MB = 1_048_576

_PAGE = """# The whole path

Made by `make bench-path`; the numbers are in `docs/results/path.json`. Separate
processes on one machine of {cores} processors, shared with other work: load
average {before} before and {after} after. The load tool is one Python process
and is itself a bottleneck at the higher levels. Each comparison is interleaved
window by window in one run, so the ratios count and the absolute figures don't.

## Through entry and agent, against straight to the stand-in

{path}

Processor time a call through the path, over all its windows: {processor}.

## Fairness

Team `flood` keeps {flood} calls open against an upstream that runs 4 at once;
nine quiet teams send a call each {period:.0f} ms or so. Figures of the quiet
teams, by the queue at the agent.

{fairness}

## Memory

{memory}
"""


def main(base_port: int, pids: str) -> None:
    """Measure and write docs/results/path.json and its page.

    Parameters
    ----------
    base_port : int
        Of the layout.
    pids : str
        File with a line ``name pid`` for each process.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet.defer import Deferred
    from twisted.internet.task import react

    rows = (line.split() for line in pathlib.Path(pids).read_text().splitlines())
    processes = {name: psutil.Process(int(pid)) for name, pid in rows}
    react(lambda _: Deferred.fromCoroutine(_measure(base_port, processes)))


async def _measure(base_port: int, processes: dict[str, psutil.Process]) -> None:
    from twisted.internet.defer import Deferred

    from fuchsiahatch_bench.path_load import LoadTool

    before = load_average()
    tool = LoadTool(2 * max(*LEVELS, FLOOD_CONCURRENCY))
    work = _measure_all(tool, base_port, processes)
    path, processor, fairness = await Deferred.fromFuture(asyncio.ensure_future(work))
    result = {
        "name": "path",
        "kind": "processes on one shared machine",
        "seed": SEED,
        "cores": os.cpu_count(),
        "load_average_before": before,
        "load_average_after": load_average(),
        "path": path,
        "processor_ms_per_call": processor,
        "fairness": fairness,
        "memory_mb": {
            name: round(process.memory_info().rss / _MB, 1)
            for name, process in processes.items()
        },
    }
    page = _make_page(result)
    write_result("path", result, page)
    print(page)


async def _measure_all(
    tool: "LoadTool", base_port: int, processes: dict[str, psutil.Process]
) -> tuple[list[dict[str, t.Any]], dict[str, dict[str, float]], dict[str, t.Any]]:
    pairs = _pairs(base_port)
    for pair in pairs.values():
        for call in pair:
            await _window(tool, call, 4, 1.0)
    path: list[dict[str, t.Any]] = []
    processor: dict[str, dict[str, float]] = {}
    for kind, pair in pairs.items():
        rows, used = await _compare(tool, kind, pair, processes)
        path += rows
        processor[kind] = used
    return path, processor, await _measure_fairness(tool, base_port)


def _pairs(base_port: int) -> dict[str, tuple["Call", "Call"]]:
    from fuchsiahatch_bench.path_load import chat, readings

    entry = _address(base_port, "entry-kl-a", 0)
    engine = _address(base_port, "engine-cj-c", 200)
    service = _address(base_port, "map-and-readings-cj-c", 200)
    team = layout.PATH_TEAM
    return {
        "readings": (
            readings(service, "", team),
            readings(entry, f"/services/{layout.PATH_SERVICE}", team),
        ),
        "chat, streamed": (
            chat(engine, layout.PATH_MODEL, team, TOKENS),
            chat(entry, layout.PATH_MODEL, team, TOKENS),
        ),
    }


async def _compare(
    tool: "LoadTool",
    kind: str,
    pair: tuple["Call", "Call"],
    processes: dict[str, psutil.Process],
) -> tuple[list[dict[str, t.Any]], dict[str, float]]:
    from fuchsiahatch_bench.path_load import Figures

    rows = []
    agent = "engine-cj-c" if kind.startswith("chat") else "map-and-readings-cj-c"
    watched = {"entry": processes["entry-kl-a"], "agent": processes[agent]}
    used = dict.fromkeys(watched, 0.0)
    calls = 0
    for level in LEVELS:
        straight, through = Figures(), Figures()
        for _ in range(ROUNDS):
            await _window(tool, pair[0], level, WINDOW_S, straight)
            start_s = {name: _cpu_s(one) for name, one in watched.items()}
            await _window(tool, pair[1], level, WINDOW_S, through)
            for name, one in watched.items():
                used[name] += _cpu_s(one) - start_s[name]
        rows.append(_path_row(kind, level, straight.summary(), through.summary()))
        calls += through.summary()["answered"]
    return rows, {name: round(1_000 * s / calls, 3) for name, s in used.items()}


def _path_row(
    kind: str, level: int, straight: dict[str, float], through: dict[str, float]
) -> dict[str, t.Any]:
    return {
        "kind": kind,
        "concurrency": level,
        "straight": straight,
        "through": through,
        "ratio": {
            name: round(through[name] / straight[name], 2)
            for name in ("p50_ms", "p99_ms", "first_p50_ms", "first_p99_ms", "per_s")
        },
    }


async def _measure_fairness(tool: "LoadTool", base_port: int) -> dict[str, t.Any]:
    from fuchsiahatch_bench.path_load import Figures

    cases = {
        "fair, no flood": (layout.FAIR_MODEL, 0),
        "fair, flood": (layout.FAIR_MODEL, FLOOD_CONCURRENCY),
        "fifo, flood": (layout.FIFO_MODEL, FLOOD_CONCURRENCY),
    }
    quiet = {name: Figures() for name in cases}
    flood = {name: Figures() for name in cases}
    entry = _address(base_port, "entry-kl-a", 0)
    for number in range(FAIRNESS_ROUNDS):
        for name, (model, flooding) in cases.items():
            rng = random.Random(SEED + number)
            await _flood(tool, entry, model, flooding, quiet[name], flood[name], rng)
    return {
        name: {"quiet": quiet[name].summary(), "flood": flood[name].summary()}
        for name in cases
    }


async def _flood(
    tool: "LoadTool",
    entry: str,
    model: str,
    flooding: int,
    quiet: "Figures",
    flood: "Figures",
    rng: random.Random,
) -> None:
    from fuchsiahatch_bench.path_load import chat, jittered

    work = [
        tool.pace(
            chat(entry, model, team, FAIRNESS_TOKENS),
            jittered(QUIET_PERIOD_S, rng),
            FAIRNESS_WINDOW_S,
            quiet,
        )
        for team in layout.QUIET_TEAMS
    ]
    if flooding:
        call = chat(entry, model, layout.FLOOD_TEAM, FAIRNESS_TOKENS)
        work.append(tool.saturate(call, flooding, FAIRNESS_WINDOW_S, flood))
    await asyncio.gather(*work)
    quiet.seconds += FAIRNESS_WINDOW_S


async def _window(
    tool: "LoadTool",
    call: "Call",
    concurrency: int,
    seconds: float,
    figures: "Figures | None" = None,
) -> None:
    from fuchsiahatch_bench.path_load import Figures

    await tool.saturate(call, concurrency, seconds, figures or Figures())


def _address(base_port: int, host: str, offset: int) -> str:
    return f"127.0.0.1:{base_port + offset + layout.HOSTS[host]}"


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _make_page(result: dict[str, t.Any]) -> str:
    ratios = ("p50_ms", "p99_ms", "first_p50_ms", "first_p99_ms", "per_s")
    heads = ["p50", "p99", "first byte p50", "first byte p99", "calls a second"]
    path = make_table(
        ["kind", "concurrency", *heads, "failed"],
        [
            (
                row["kind"],
                row["concurrency"],
                *(row["ratio"][name] for name in ratios),
                row["straight"]["failed"] + row["through"]["failed"],
            )
            for row in result["path"]
        ],
    )
    return _PAGE.format(
        cores=result["cores"],
        before=result["load_average_before"],
        after=result["load_average_after"],
        path=path,
        processor="; ".join(
            f"{kind}: entry {used['entry']} ms, agent {used['agent']} ms"
            for kind, used in result["processor_ms_per_call"].items()
        ),
        flood=FLOOD_CONCURRENCY,
        period=1_000 * QUIET_PERIOD_S,
        fairness=_fairness_table(result["fairness"]),
        memory=make_table(["process", "MB"], result["memory_mb"].items()),
    )


def _fairness_table(fairness: dict[str, t.Any]) -> str:
    base = fairness["fair, no flood"]["quiet"]
    rows = [
        (
            name,
            one["quiet"]["p50_ms"],
            one["quiet"]["p99_ms"],
            one["quiet"]["p99_ms"] / base["p99_ms"],
            one["quiet"]["failed"],
            one["flood"]["per_s"],
        )
        for name, one in fairness.items()
    ]
    heads = ["queue", "p50 ms", "p99 ms", "p99 to no flood", "failed", "flood calls/s"]
    return make_table(heads, rows)


if __name__ == "__main__":
    fire.Fire(main, name="path_bench")
