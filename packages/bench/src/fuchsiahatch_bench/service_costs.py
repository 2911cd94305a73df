"""What a call to the key-value service costs against the size of its value."""

import asyncio
import json
import pathlib
import time
import typing as t

from fuchsiahatch_bench.fits import Line, Point, fit_line
from fuchsiahatch_bench.processes import ProcessGroup
from fuchsiahatch_bench.traffic import Traffic, read_traffic
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_platform.budget import CallBudget
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient

VALUE_BYTES = (0, 10_000, 100_000, 500_000)
_CALLS = 20
_CALLS_PER_S = 1_000
_NS_PER_MS = 1_000_000


async def measure_service_calls(
    folder: pathlib.Path, base_port: int
) -> tuple[dict[str, Line], dict[str, float]]:
    """Return the costs of a read against the value's bytes, and of a confirmation.

    A confirmation is a read of two keys whose versions are as known.
    """
    folder.mkdir(parents=True)
    wire: list[Point] = []
    used: list[Point] = []
    address = f"127.0.0.1:{base_port + 300}"
    with ProcessGroup(folder) as group:
        group.start_module("key-value", "fuchsiahatch_standins", "key-value", address)
        caller = HttpCaller()
        budget = CallBudget(Clock(), _CALLS_PER_S, _CALLS_PER_S)
        client = KeyValueClient(f"http://{address}", caller, budget)
        await _wait_served(client)
        for size in VALUE_BYTES:
            key = await _write_value(client, size)
            cost = await _call_often(lambda key=key: client.get(key), caller)
            wire.append((size, cost[0]))
            used.append((size, cost[1]))
        known = dict.fromkeys(("absent", "absent as well"), 0)
        confirm = await _call_often(lambda: client.get_changed(known), caller)
    lines = {"read_wire_bytes": fit_line(wire), "read_ms": fit_line(used)}
    return lines, {"confirm_wire_bytes": confirm[0], "confirm_ms": confirm[1]}


async def _wait_served(client: KeyValueClient) -> None:
    for _ in range(100):
        try:
            await client.get("absent")
        except PlatformError:
            await asyncio.sleep(0.1)
        else:
            return


async def _write_value(client: KeyValueClient, size: int) -> str:
    key = f"value-{size}"
    await client.swap(key, json.dumps("x" * size).encode(), 0)
    return key


async def _call_often(
    call: t.Callable[[], t.Awaitable[t.Any]], caller: HttpCaller
) -> tuple[float, float]:
    """Return wire bytes and milliseconds of one call, after a first."""
    await call()
    before, began_ns = _traffic(caller), time.process_time_ns()
    for _ in range(_CALLS):
        await call()
    used_ms = (time.process_time_ns() - began_ns) / _NS_PER_MS
    passed = _traffic(caller).wire_bytes - before.wire_bytes
    return passed / _CALLS, used_ms / _CALLS


def _traffic(caller: HttpCaller) -> Traffic:
    # The pool has no public way to its connections.
    pools: t.Iterable[t.Any] = caller._pool._connections.values()
    sockets = (one.transport.getHandle() for pool in pools for one in pool)
    return sum(map(read_traffic, sockets), Traffic())
