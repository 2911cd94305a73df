"""Three requests that fail at a real entry, and the way from each id to its cause.

One is refused, as its only upstream leaves; one is out of time at an upstream that is
silent; one is cut in its stream. What the entry logged of each is shown as
``inspection explain`` shows it.
"""

import asyncio
import pathlib
import tempfile
import typing as t

from fuchsiahatch_gateway.explain import explain_request, read_lines
from fuchsiahatch_standins.platform_demo import (
    ENTRY_IP,
    HOST,
    KEY,
    PORTS,
    Processes,
    entry_is_ready,
    make_settings,
    run_on_own_loop,
    send,
    wait_for,
)
from fuchsiahatch_standins.scripted_upstream import Received, ScriptedUpstream, Wire

if t.TYPE_CHECKING:
    from fuchsiahatch_standins.fleet_store import FleetStore

REFUSED, TIMED_OUT, CUT = "refused-1", "timed-out-1", "cut-1"
#: Path of each request and how its upstream behaves.
PATHS = {REFUSED: "/hold/", TIMED_OUT: "/notice/", CUT: "/chat/"}
KINDS = {"/hold/": "unsafe", "/notice/": "safe", "/chat/": "streaming"}
TIMEOUT_MS = 600


async def answer(request: Received, wire: Wire) -> None:
    """Answer as usual."""
    await wire.answer(request)


async def stay_silent(request: Received, wire: Wire) -> None:
    """Take the request and say nothing."""
    await asyncio.get_running_loop().create_future()


async def cut_stream(request: Received, wire: Wire) -> None:
    """Break off behind the third event."""
    await wire.begin_stream(request)
    for number in range(1, 4):
        await wire.event(number)
    await asyncio.sleep(0.05)
    wire.reset()


SCRIPTS = {"/hold/": answer, "/notice/": stay_silent, "/chat/": cut_stream}


def make_configuration() -> dict[str, t.Any]:
    """Return a configuration with a route and a service for each path."""
    routes = [
        {
            "name": path.strip("/"),
            "host": HOST,
            "prefix": path,
            "kind": kind,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 200,
            "service": path.strip("/"),
            "maxAttempts": 1,
        }
        for path, kind in KINDS.items()
    ]
    services = [{"name": path.strip("/"), "maxConnections": 50} for path in KINDS]
    teams = [{"name": "gym-bangsar", "apiKeys": [KEY]}]
    return {"version": 1, "routes": routes, "services": services, "tenants": teams}


async def collect_explanations() -> dict[str, list[str]]:
    """Cause the three failures; return what the log says of each, by request id."""
    # Only here: it takes the reactor that is installed.
    from fuchsiahatch_standins.fleet_store import FleetStore

    store = FleetStore()
    store_port = await store.listen()
    store.put("op/config", make_configuration())
    upstreams = []
    for path, script in SCRIPTS.items():
        upstream = ScriptedUpstream(script)
        upstreams.append(upstream)
        address = f"127.0.0.1:{await upstream.listen()}"
        _put_upstream(store, path, address, "ready")
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder)
        try:
            listen = {name: f"{ENTRY_IP}:{port}" for name, port in PORTS.items()}
            settings = make_settings(store_port, ENTRY_IP, listen=listen)
            processes.start("entry", settings)
            while not await entry_is_ready():
                await asyncio.sleep(0.05)
            _put_upstream(store, "/hold/", "127.0.0.1:1", "draining")
            log = pathlib.Path(folder) / f"{settings['node']}.log"
            await wait_for(lambda: _has(log, "upstream_leaving"), "the news of a drain")
            for request_id, path in PATHS.items():
                await send(path, request_id)
            await wait_for(lambda: _has(log, CUT), "the log's last line")
            return _explain(log)
        finally:
            processes.end()
            await store.close()
            for upstream in upstreams:
                await upstream.close()


def _put_upstream(store: "FleetStore", path: str, address: str, state: str) -> None:
    from fuchsiahatch_standins.fleet_store import make_upstream_entry

    name = path.strip("/")
    store.put(f"servers/i-{name}", make_upstream_entry(name, address, state=state))


def _has(log: pathlib.Path, text: str) -> bool:
    return text in log.read_text("utf-8")


def _explain(log: pathlib.Path) -> dict[str, list[str]]:
    with open(log, encoding="utf-8") as lines:
        known = list(read_lines(lines))
    return {request_id: explain_request(request_id, known) for request_id in PATHS}


async def show() -> None:
    """Print the three explanations."""
    for request_id, lines in (await collect_explanations()).items():
        print(f"{request_id}:")
        for line in lines:
            print(f"  {line}")


if __name__ == "__main__":
    run_on_own_loop(show)
