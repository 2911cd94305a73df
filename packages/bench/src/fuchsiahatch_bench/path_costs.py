"""What requests, tokens, open requests and kept keys cost entry and agents.

Starts the demo's processes on loopback, sends bounded loads through one entry
and reads processor time and memory of the processes that it started.
"""

import asyncio
import itertools
import json
import pathlib
import time
import typing as t
import urllib.error
import urllib.request

from fuchsiahatch_bench import load
from fuchsiahatch_bench.command_costs import measure_command
from fuchsiahatch_bench.fits import Line, Point, fit_line
from fuchsiahatch_bench.processes import ProcessGroup
from fuchsiahatch_standins.layout import write_layout

REQUEST_COUNTS = (100, 400, 800)
TOKEN_COUNTS = (1, 64, 256)
TOKENS_PER_WRITE = (1, 2, 4, 8)
OPEN_COUNTS = (0, 100, 200, 400)
KEY_COUNTS = (0, 1_000, 2_000, 4_000)
_STREAMS = 24
_AT_ONCE = 8
_HELD_TOKENS = 800
_HELD_READ_S = 2.5
_IDLE_S = 5
_AGENT_LIMIT = 4_000
_READY_TIMEOUT_S = 30
_SETTLE_S = 2

Agents = t.Sequence[str]


async def measure_path(
    folder: pathlib.Path, base_port: int
) -> tuple[dict[str, Line], dict[str, float]]:
    """Return the lines of the data path, and what the processes use when idle."""
    with ProcessGroup(folder) as group:
        agents = await _start(group, folder, base_port)
        path = Path(group, f"127.0.0.1:{base_port}", agents)
        idle = await path.note_idle() | _measure_command(path)
        lines = await _requests(path)
        for tokens_per_write in TOKENS_PER_WRITE:
            lines |= await _tokens(path, tokens_per_write)
        lines |= await _kept_keys(path)
        return lines | await _open_requests(path), idle


class Path:
    """One entry and the agents behind it, with what they use when idle.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_idle_ms_per_s", "agents", "entry", "group")

    def __init__(self, group: ProcessGroup, entry: str, agents: Agents) -> None:
        self.group = group
        self.entry = entry
        self.agents = agents
        self._idle_ms_per_s = (0.0, 0.0)

    async def note_idle(self) -> dict[str, float]:
        """Measure what the processes use without a load, one of each role."""
        before = self._cpu_ms()
        await asyncio.sleep(_IDLE_S)
        self._idle_ms_per_s = tuple(
            (after - was) / _IDLE_S
            for was, after in zip(before, self._cpu_ms(), strict=True)
        )
        entry_ms, agents_ms = self._idle_ms_per_s
        return {
            "entry_idle_ms_per_s": entry_ms,
            "agent_idle_ms_per_s": agents_ms / len(self.agents),
            "entry_idle_rss_bytes": self.group.rss_bytes("entry-kl-a"),
            "agent_idle_rss_bytes": self.agents_rss_bytes() / len(self.agents),
        }

    async def send(
        self, calls: t.Iterable[load.Call], count: int, at_once: int
    ) -> tuple[float, float]:
        """Send calls and return milliseconds used by the entry and the agents."""
        before, began_s = self._cpu_ms(), time.monotonic()
        answered = await load.send_all(self.entry, calls, at_once)
        if answered != count:
            raise RuntimeError(f"{answered} of {count} calls were answered")
        took_s = time.monotonic() - began_s
        entry_ms, agents_ms = (
            after - was - idle * took_s
            for was, after, idle in zip(
                before, self._cpu_ms(), self._idle_ms_per_s, strict=True
            )
        )
        return entry_ms, agents_ms

    def agents_rss_bytes(self) -> int:
        """Return the memory of all agents."""
        return sum(map(self.group.rss_bytes, self.agents))

    def _cpu_ms(self) -> tuple[float, float]:
        return (
            self.group.cpu_ms("entry-kl-a"),
            sum(map(self.group.cpu_ms, self.agents)),
        )


def _measure_command(path: Path) -> dict[str, float]:
    used = measure_command(path.entry)
    return {f"command_{name}": value for name, value in used.items()}


async def _requests(path: Path) -> dict[str, Line]:
    call = load.reading_call()
    await path.send(load.repeated(call, 100), 100, _AT_ONCE)
    used = [
        (count, *await path.send(load.repeated(call, count), count, _AT_ONCE))
        for count in REQUEST_COUNTS
    ]
    return _two_lines("request_ms", used)


async def _tokens(path: Path, tokens_per_write: int) -> dict[str, Line]:
    used = []
    for tokens in TOKEN_COUNTS:
        call = load.chat_call(tokens, tokens_per_write)
        spent = await path.send(load.repeated(call, _STREAMS), _STREAMS, _STREAMS)
        used.append((tokens * _STREAMS, *spent))
    return _two_lines(f"token_ms_by_{tokens_per_write}", used)


async def _kept_keys(path: Path) -> dict[str, Line]:
    points: list[Point] = []
    numbers = itertools.count()
    ticket = await load.take_ticket(path.entry)
    for kept in KEY_COUNTS:
        more = kept - (int(points[-1][0]) if points else 0)
        calls = (
            load.hold_call(number, ticket) for number in itertools.islice(numbers, more)
        )
        await path.send(calls, more, _AT_ONCE)
        points.append((kept, path.agents_rss_bytes()))
    return {"agent_kept_key_bytes": fit_line(points)}


async def _open_requests(path: Path) -> dict[str, Line]:
    entry: list[Point] = []
    agents: list[Point] = []
    for count in OPEN_COUNTS:
        call = load.chat_call(_HELD_TOKENS, _HELD_TOKENS)
        calls = load.repeated(call, count)
        held = asyncio.ensure_future(load.send_all(path.entry, calls, max(1, count)))
        await asyncio.sleep(_HELD_READ_S)
        entry.append((count, path.group.rss_bytes("entry-kl-a")))
        agents.append((count, path.agents_rss_bytes()))
        await held
    return {
        "entry_open_request_bytes": fit_line(entry),
        "agent_open_request_bytes": fit_line(agents),
    }


def _two_lines(name: str, used: list[tuple[int, float, float]]) -> dict[str, Line]:
    return {
        f"entry_{name}": fit_line((count, entry) for count, entry, _ in used),
        f"agent_{name}": fit_line((count, agents) for count, _, agents in used),
    }


async def _start(group: ProcessGroup, folder: pathlib.Path, base_port: int) -> Agents:
    write_layout(str(folder), base_port)
    settings = {
        path.stem: json.loads(path.read_text("utf-8"))
        for path in sorted(folder.glob("*-*.json"))
    }
    start_platform(group, folder, base_port)
    agents = [host for host, one in settings.items() if one["role"] == "agent"]
    for host in agents:
        settings[host]["upstream"]["limit"] = _AGENT_LIMIT
        path = folder / f"{host}.json"
        path.write_text(json.dumps(settings[host]), "utf-8")
        group.start_module(
            f"upstream-{host}", "fuchsiahatch_standins", "upstream", str(path)
        )
    for host in settings:
        group.start_daemon(host, folder / f"{host}.json")
    for one in settings.values():
        await wait_ready(one["listen"]["http_address"])
    await asyncio.sleep(_SETTLE_S)
    return agents


def start_platform(group: ProcessGroup, folder: pathlib.Path, base_port: int) -> None:
    """Start the stand-ins of the key-value service and the host list."""
    standins = "fuchsiahatch_standins"
    group.start_module(
        "key-value",
        standins,
        "key-value",
        f"127.0.0.1:{base_port + 300}",
        "--placement",
        str(folder / "placement.json"),
        "--roster",
        str(folder / "roster.json"),
    )
    group.start_module(
        "host-list",
        standins,
        "host-list",
        f"127.0.0.1:{base_port + 301}",
        "--hosts",
        str(folder / "hosts.json"),
    )


async def wait_ready(address: str) -> None:
    """Wait until a process says that it is ready.

    Raises
    ------
    RuntimeError
        When it doesn't in time.
    """
    for _ in range(_READY_TIMEOUT_S * 10):
        if _is_ready(address):
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f"{address} did not become ready")


def _is_ready(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/ready", timeout=1):
            return True
    except (urllib.error.URLError, OSError):
        return False
