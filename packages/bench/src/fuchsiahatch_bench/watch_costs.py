"""What it costs an entry to watch N agents, and the agents to report.

One real entry process and N real agents, a few of them in each process, without
any load: all that is used is control.
"""

import asyncio
import dataclasses
import itertools
import json
import pathlib
import typing as t

from fuchsiahatch_bench.fits import Line, Point, fit_line
from fuchsiahatch_bench.path_costs import start_platform, wait_ready
from fuchsiahatch_bench.processes import ROLES_HOST, ProcessGroup
from fuchsiahatch_standins.layout import list_row, roster_of, write_layout

WATCHED = (5, 20, 80)
AGENTS_A_PROCESS = 20
_SETTLE_S = 5
_MEASURE_S = 10
_AGENT_PORTS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """What one number of watched agents costs.

    Attributes
    ----------
    agents : int
    entry_ms_per_s, agent_ms_per_s : float
        Processor time of the entry, and of one agent.
    entry_rss_bytes : int
    report_bytes_per_s, follow_bytes_per_s : float
        On the wire, both ways: one agent's report stream, and what it asks an
        entry itself to follow the configuration.
    """

    agents: int
    entry_ms_per_s: float
    agent_ms_per_s: float
    entry_rss_bytes: int
    report_bytes_per_s: float
    follow_bytes_per_s: float


async def measure_watching(
    folder: pathlib.Path, base_port: int
) -> tuple[dict[str, Line], list[Watched]]:
    """Return lines against the number of agents, and the raw rows."""
    rows = [await _watch(folder / str(n), base_port, n) for n in WATCHED]
    lines = {
        "entry_watch_ms_per_s": _line(rows, lambda row: row.entry_ms_per_s),
        "entry_watch_rss_bytes": _line(rows, lambda row: row.entry_rss_bytes),
        "agents_report_ms_per_s": _line(
            rows, lambda row: row.agent_ms_per_s * row.agents
        ),
        "reports_wire_bytes_per_s": _line(
            rows, lambda row: row.report_bytes_per_s * row.agents
        ),
        "follow_wire_bytes_per_s": _line(
            rows, lambda row: row.follow_bytes_per_s * row.agents
        ),
        "host_list_bytes": fit_line(map(_host_list_point, WATCHED)),
    }
    return lines, rows


def _line(rows: t.Sequence[Watched], read: t.Callable[[Watched], float]) -> Line:
    return fit_line((row.agents, read(row)) for row in rows)


async def _watch(folder: pathlib.Path, base_port: int, agents: int) -> Watched:
    folder.mkdir(parents=True, exist_ok=True)
    entry = _write_settings(folder, base_port, agents)
    with ProcessGroup(folder) as group:
        start_platform(group, folder, base_port)
        processes = -(-agents // AGENTS_A_PROCESS)
        hosts = [f"agents-{number}" for number in range(processes)]
        for host in hosts:
            group.start_module(host, ROLES_HOST, str(folder), f"{host}-")
        group.start_daemon("entry", folder / "entry.json")
        await wait_ready(entry)
        await asyncio.sleep(_SETTLE_S)
        return await _measure(group, hosts, agents)


async def _measure(group: ProcessGroup, hosts: list[str], agents: int) -> Watched:
    before = _totals(group, hosts)
    await asyncio.sleep(_MEASURE_S)
    after = _totals(group, hosts)
    if after["accepted"] != agents:
        raise RuntimeError(f"{after['accepted']} of {agents} agents are watched")
    used = {name: (after[name] - before[name]) / _MEASURE_S for name in after}
    return Watched(
        agents=agents,
        entry_ms_per_s=used["entry_ms"],
        agent_ms_per_s=used["cpu_ms"] / agents,
        entry_rss_bytes=group.rss_bytes("entry"),
        report_bytes_per_s=used["accepted_wire_bytes"] / agents,
        follow_bytes_per_s=used["made_wire_bytes"] / agents,
    )


def _totals(group: ProcessGroup, hosts: list[str]) -> dict[str, float]:
    answers = [json.loads(group.ask(host)) for host in hosts]
    totals = {name: sum(one[name] for one in answers) for name in answers[0]}
    return {**totals, "entry_ms": group.cpu_ms("entry")}


def _write_settings(folder: pathlib.Path, base_port: int, agents: int) -> str:
    write_layout(str(folder / "layout"), base_port)
    layout = folder / "layout"
    entry = json.loads((layout / "entry-kl-a.json").read_text("utf-8"))
    model = json.loads((layout / "engine-kl-a.json").read_text("utf-8"))
    rows = [_agent_settings(model, base_port, number) for number in range(agents)]
    for number, settings in enumerate(rows):
        name = f"agents-{number // AGENTS_A_PROCESS}-{number:03d}.json"
        _write(folder / name, settings)
    _write(folder / "entry.json", entry)
    _write(folder / "hosts.json", list(map(list_row, [entry, *rows])))
    _write(folder / "roster.json", roster_of([entry]))
    placement = (layout / "placement.json").read_text("utf-8")
    (folder / "placement.json").write_text(placement, "utf-8")
    return entry["listen"]["http_address"]


def _agent_settings(
    model: dict[str, t.Any], base_port: int, number: int
) -> dict[str, t.Any]:
    first = base_port + _AGENT_PORTS + 2 * number
    listen = {
        "http_address": f"127.0.0.1:{first}",
        "rpc_address": f"127.0.0.1:{first + 1}",
    }
    return {**model, "host": f"engine-{number:04d}", "listen": listen}


def _host_list_point(agents: int) -> Point:
    model = {
        "host": "engine-0000",
        "zone": "kl-a",
        "region": "klang-valley",
        "role": "agent",
        "listen": {"http_address": "127.0.0.1:23000", "rpc_address": "127.0.0.1:23001"},
        "upstream": {"offers": ["booking-assistant@2", "brief-writer@1"]},
    }
    rows = list(itertools.repeat(list_row(model), agents))
    return agents, len(json.dumps(rows))


def _write(path: pathlib.Path, document: t.Any) -> None:
    path.write_text(json.dumps(document), "utf-8")
