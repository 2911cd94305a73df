"""What a call to the key-value service costs against the size of its value."""

import asyncio
import json
import pathlib
import time
import typing as t

from fuchsiahatch_bench.fits import Line, Point, fit_line
from fuchsiahatch_bench.processes import ProcessGroup
from fuchsiahatch_bench.traffic import Traffic, read_traffic
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient

VALUE_BYTES = (0, 10_000, 100_000, 500_000)
_CALLS = 20
_NS_PER_MS = 1_000_000


async def measure_service_calls(
    folder: pathlib.Path, base_port: int
) -> dict[str, Line]:
    """Return wire bytes and milliseconds of a read against the value's bytes."""
    folder.mkdir(parents=True)
    wire: list[Point] = []
    used: list[Point] = []
    address = f"127.0.0.1:{base_port + 300}"
    with ProcessGroup(folder) as group:
        group.start_module("key-value", "fuchsiahatch_standins", "key-value", address)
        caller = HttpCaller()
        client = KeyValueClient(f"http://{address}", caller)
        await _wait_served(client)
        for size in VALUE_BYTES:
            bytes_a_call, ms_a_call = await _read_often(client, caller, size)
            wire.append((size, bytes_a_call))
            used.append((size, ms_a_call))
    return {"read_wire_bytes": fit_line(wire), "read_ms": fit_line(used)}


async def _wait_served(client: KeyValueClient) -> None:
    for _ in range(100):
        try:
            await client.get("absent")
        except PlatformError:
            await asyncio.sleep(0.1)
        else:
            return


async def _read_often(
    client: KeyValueClient, caller: HttpCaller, size: int
) -> tuple[float, float]:
    key = f"value-{size}"
    await client.swap(key, json.dumps("x" * size).encode(), 0)
    await client.get(key)
    before, began_ns = _traffic(caller), time.process_time_ns()
    for _ in range(_CALLS):
        await client.get(key)
    used_ms = (time.process_time_ns() - began_ns) / _NS_PER_MS
    passed = _traffic(caller).wire_bytes - before.wire_bytes
    return passed / _CALLS, used_ms / _CALLS


def _traffic(caller: HttpCaller) -> Traffic:
    # The pool has no public way to its connections.
    pools: t.Iterable[t.Any] = caller._pool._connections.values()
    sockets = (one.transport.getHandle() for pool in pools for one in pool)
    return sum(map(read_traffic, sockets), Traffic())
