"""The users' platform on stand-ins: an entry, a rank group, a drain and a stop.

Starts the store, two plain upstreams and a group of three engines in this process, and
an entry and three agents as processes of their own; ends them by their ids.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing as t

from twisted.internet import asyncioreactor

IPS = ("127.0.9.1", "127.0.9.2", "127.0.9.3")
ENTRY_IP = "127.0.9.10"
PORTS = {"front": 28_227, "ready": 28_220, "directory": 28_224}
HOST = "booking.example"
KEY = "demo-key"
LAYERS, EXPERTS = 2, 12
REQUESTS = 40
ENGINE = {
    "slots": 6,
    "step_ms": 4.5,
    "per_seq_ms": 1.8,
    "context_per_k": 0.03,
    "read_per_s": 61_400.0,
    "linkMbps": 92_000.0,
    "stride": 4,
    "sets": LAYERS,
    "experts": EXPERTS,
    "places": 6,
    "spare": 4,
    "expertMb": 1_700.0,
    "expertShare": 0.85,
}


def make_configuration() -> dict[str, t.Any]:
    """Return a configuration with one route."""
    route = {
        "name": "hold",
        "host": HOST,
        "prefix": "/hold/",
        "kind": "unsafe",
        "timeoutMs": 1_500,
        "targetLatencyMs": 200,
        "service": "holds",
        "maxAttempts": 1,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [
            {"name": "holds", "maxConnections": 50},
            {"name": "models", "maxConnections": 50, "engine": ENGINE},
        ],
        "tenants": [{"name": "gym-bangsar", "apiKeys": [KEY]}],
    }


def make_settings(store_port: int, ip: str, **changes: t.Any) -> dict[str, t.Any]:
    """Return the settings of one process."""
    settings = {
        "node": f"demo-{ip}",
        "role": "demo",
        "zone": "kl-a",
        "region": "klang-valley",
        "ip": ip,
        "listen": {},
        "internalPorts": [27_340, 27_355],
        "bootstrap": True,
        "limits": {"linkMbps": 1000.0},
        "bounds": {
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "budgetSlack": 90,
            "budgetWindowS": 10,
        },
        "platform": {
            "address": f"127.0.0.1:{store_port}",
            "historyS": 20,
            "ttlMinMs": 1_000,
        },
    }
    return {**settings, **changes}


class Processes:
    """The processes of the demo, and the folder of their settings."""

    def __init__(self, folder: str) -> None:
        self._folder = pathlib.Path(folder)
        self._running: list[subprocess.Popen[bytes]] = []

    def start(self, role: str, settings: dict[str, t.Any]) -> subprocess.Popen[bytes]:
        """Start a process of ours; its log goes beside its settings."""
        path = self._folder / f"{settings['node']}.json"
        path.write_text(json.dumps(settings), "utf-8")
        with open(path.with_suffix(".log"), "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "fuchsiahatch_gateway.main", role],
                env={**os.environ, "FUCHSIAHATCH_NODE_FILE": str(path)},
                stdout=log,
            )
        self._running.append(process)
        return process

    def end(self) -> None:
        """End what still runs."""
        for process in self._running:
            if process.poll() is None:
                process.kill()
            process.wait()


async def send(path: str, request_id: str) -> bytes:
    """Send one request to the entry and return all that it answers."""
    reader, writer = await asyncio.open_connection(ENTRY_IP, PORTS["front"])
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Fuchsiahatch-Request-Id: {request_id}",
        "Fuchsiahatch-Deadline-Ms: 1500",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
        "Connection: close",
        "",
        "",
    )
    writer.write("\r\n".join(lines).encode())
    try:
        return await reader.read(-1)
    except ConnectionResetError:
        # The entry breaks an answer off that its upstream has not finished.
        return b""
    finally:
        writer.close()


async def ask(number: int) -> int:
    """Send one hold and return its status; 0 when there is no whole answer."""
    answer = await send("/hold/seven", f"demo-{number}")
    return int(answer.split(b" ")[1]) if answer.endswith(b"held") else 0


async def wait_for(holds: t.Callable[[], bool], what: str) -> None:
    """Wait until something holds, ten seconds at most."""
    for _ in range(1_000):
        if holds():
            return
        await asyncio.sleep(0.01)
    sys.exit(f"demo: {what} did not come about")


async def entry_is_ready() -> bool:
    """Return whether the entry says that callers may come.

    Its callers' socket alone says little: it listens before anything is known.
    """
    try:
        reader, writer = await asyncio.open_connection(ENTRY_IP, PORTS["ready"])
    except OSError:
        return False
    try:
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: entry\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


async def run() -> None:
    """Run the demo."""
    from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
    from fuchsiahatch_standins.rank_group import RankGroup
    from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream

    async def hold(request: t.Any, wire: t.Any) -> None:
        await wire.answer(request, body=b"held")

    store, group = FleetStore(), RankGroup("g-1", IPS, LAYERS, EXPERTS)
    upstreams = [ScriptedUpstream(hold), ScriptedUpstream(hold)]
    store_port = await store.listen()
    store.put("op/config", make_configuration())
    entries = []
    for number, upstream in enumerate(upstreams):
        address = f"127.0.0.1:{await upstream.listen()}"
        entry = make_upstream_entry("holds", address)
        entries.append(entry)
        store.put(f"servers/hold-{number}", entry)
    await group.start()
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder)
        try:
            await _play(processes, store, store_port, group, upstreams, entries)
        finally:
            processes.end()
            await group.close()
            await store.close()
            for upstream in upstreams:
                await upstream.close()


async def _play(
    processes: Processes,
    store: t.Any,
    store_port: int,
    group: t.Any,
    upstreams: list[t.Any],
    entries: list[dict[str, t.Any]],
) -> None:
    listen = {name: f"{ENTRY_IP}:{port}" for name, port in PORTS.items()}
    settings = make_settings(store_port, ENTRY_IP, listen=listen)
    entry = processes.start("entry", settings)
    for ip, port in zip(IPS, group.ports, strict=True):
        beside = {"app": f"{ip}:{port}", "service": "models"}
        processes.start("agent", make_settings(store_port, ip, **beside))
    while not await entry_is_ready():
        await asyncio.sleep(0.05)
    print("entry: takes requests")
    statuses = [await ask(number) for number in range(REQUESTS // 2)]
    store.put("servers/hold-0", {**entries[0], "state": "draining"})
    await asyncio.sleep(0.2)
    before = len(upstreams[0].received)
    statuses += [await ask(number) for number in range(REQUESTS // 2, REQUESTS)]
    drained = len(upstreams[0].received) - before
    print(f"holds: {statuses.count(200)} of {REQUESTS} answered")
    print(f"holds sent to an upstream that leaves: {drained}")
    await wait_for(lambda: group.switches >= 1, "a change of map")
    before = group.switches
    group.hot = 7
    await wait_for(lambda: group.switches > before, "a change of map behind a shift")
    print(f"maps: {group.switches} changes, {len(group.mixed)} passes with two maps")
    entry.send_signal(signal.SIGTERM)
    await wait_for(lambda: entry.poll() is not None, "the entry's stop")
    print(f"entry: stopped with code {entry.returncode}")


def run_on_own_loop(work: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]) -> None:
    """Run a coroutine on a loop of its own, with Twisted's reactor on it."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    loop.run_until_complete(work())


if __name__ == "__main__":
    run_on_own_loop(run)
