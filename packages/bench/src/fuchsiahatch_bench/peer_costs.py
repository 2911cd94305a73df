"""What entries cost one another and the key-value service, without any load.

K real entries in one process, no agents. Each connection has both of its ends in
that process, so the sum over all ends is the sum over entries of what each sends
and receives.
"""

import asyncio
import dataclasses
import json
import pathlib
import re
import typing as t
import urllib.request

from fuchsiahatch_bench.fits import Line, fit_line
from fuchsiahatch_bench.path_costs import start_platform, wait_ready
from fuchsiahatch_bench.processes import ROLES_HOST, ProcessGroup
from fuchsiahatch_standins.layout import list_row, roster_of, write_layout

ENTRIES = (3, 7, 14)
_SETTLE_S = 8
_MEASURE_S = 10
_ENTRY_PORTS = 400
_CALLS = re.compile(r"^fuchsiahatch_service_calls_total\{.*\} ([0-9.]+)$", re.M)
_WAITING = re.compile(
    r"^fuchsiahatch_service_watches_waiting(?:\{\})? ([0-9.]+)$", re.M
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCost:
    """What one of K idle entries costs, on the mean.

    Attributes
    ----------
    entries : int
    wire_bytes_per_s : float
        To and from other entries.
    cpu_ms_per_s : float
        All control without agents: peers, service, host list.
    calls_per_s : float
        Calls to the key-value service.
    watches_waiting : float
        Watches open there.
    """

    entries: int
    wire_bytes_per_s: float
    cpu_ms_per_s: float
    calls_per_s: float
    watches_waiting: float


async def measure_peers(
    folder: pathlib.Path, base_port: int
) -> tuple[dict[str, Line], list[PeerCost]]:
    """Return lines against the number of entries, and the raw rows."""
    rows = [await _run(folder / str(n), base_port, n) for n in ENTRIES]
    read = {
        "peer_wire_bytes_per_s": lambda row: row.wire_bytes_per_s,
        "peer_ms_per_s": lambda row: row.cpu_ms_per_s,
        "peer_service_calls_per_s": lambda row: row.calls_per_s,
    }
    lines = {
        name: fit_line((row.entries, value(row)) for row in rows)
        for name, value in read.items()
    }
    return lines, rows


async def _run(folder: pathlib.Path, base_port: int, entries: int) -> PeerCost:
    addresses = _write_settings(folder, base_port, entries)
    with ProcessGroup(folder) as group:
        start_platform(group, folder, base_port)
        group.start_module("entries", ROLES_HOST, str(folder), "entries-")
        for address in addresses:
            await wait_ready(address)
        await asyncio.sleep(_SETTLE_S)
        before = _totals(group, addresses)
        await asyncio.sleep(_MEASURE_S)
        after = _totals(group, addresses)
    used = {name: (after[name] - before[name]) / _MEASURE_S / entries for name in after}
    return PeerCost(
        entries=entries,
        wire_bytes_per_s=used["wire_bytes"],
        cpu_ms_per_s=used["cpu_ms"],
        calls_per_s=used["calls"],
        watches_waiting=after["waiting"] / entries,
    )


def _totals(group: ProcessGroup, addresses: t.Sequence[str]) -> dict[str, float]:
    pages = list(map(_read_metrics, addresses))
    # Asked for after the scrapes, so that they cost both readings the same.
    answer = json.loads(group.ask("entries"))
    return {
        "wire_bytes": answer["accepted_wire_bytes"] + answer["made_wire_bytes"],
        "cpu_ms": answer["cpu_ms"],
        "calls": _sum_of(_CALLS, pages),
        "waiting": _sum_of(_WAITING, pages),
    }


def _sum_of(pattern: re.Pattern[str], pages: t.Iterable[str]) -> float:
    return sum(float(value) for page in pages for value in pattern.findall(page))


def _read_metrics(address: str) -> str:
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as answer:
        return answer.read().decode()


def _write_settings(folder: pathlib.Path, base_port: int, entries: int) -> list[str]:
    layout = folder / "layout"
    write_layout(str(layout), base_port)
    model = json.loads((layout / "entry-kl-a.json").read_text("utf-8"))
    rows = [_entry_settings(model, base_port, number) for number in range(entries)]
    for number, settings in enumerate(rows):
        _write(folder / f"entries-{number:03d}.json", settings)
    _write(folder / "hosts.json", list(map(list_row, rows)))
    _write(folder / "roster.json", roster_of(rows))
    placement = (layout / "placement.json").read_text("utf-8")
    (folder / "placement.json").write_text(placement, "utf-8")
    return [settings["listen"]["http_address"] for settings in rows]


def _entry_settings(
    model: dict[str, t.Any], base_port: int, number: int
) -> dict[str, t.Any]:
    first = base_port + _ENTRY_PORTS + 2 * number
    listen = {
        "http_address": f"127.0.0.1:{first}",
        "rpc_address": f"127.0.0.1:{first + 1}",
    }
    return {**model, "host": f"entry-{number:03d}", "listen": listen}


def _write(path: pathlib.Path, document: t.Any) -> None:
    path.write_text(json.dumps(document), "utf-8")
