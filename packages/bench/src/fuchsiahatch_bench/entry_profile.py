"""Processor time of an entry's decisions for one request and one event."""

import random
import time
import typing as t

import numpy as np
import orjson

from fuchsiahatch_adapter.caller_requests import CallerRequest
from fuchsiahatch_bench.tables import load_average, make_table, write_result
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_delivery.keys import fingerprint_of
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_standins.fleet_store import make_upstream_item

#: Calls of each decision, and those before them that aren't counted.
CALLS = 2_000
WARM_CALLS = 200
UPSTREAMS = (72, 192, 1_024)
ROUTES = (250, 1_680)
BODY = b"x" * 1_000
EVENT = b"id: 17\ndata: " + b"y" * 70 + b"\n\n"

_PAGE = """# What an entry decides, in processor time

Made by `make bench-entry`; the numbers are in `docs/results/entry-profile.json`.
One process, {calls} calls each, times in microseconds by its own processor clock;
load of the machine {load}. No network, parsing of HTTP or logs.

{table}
"""


def main() -> None:
    """Time each decision; write docs/results/entry-profile.json and its page."""
    rows = [
        {"decision": name, **_time(decide)} for name, decide in _decisions().items()
    ]
    result = {"name": "entry-profile", "calls": CALLS, "rows": rows}
    heads = ("decision", "p50", "p99")
    table = make_table(heads, [[row[head] for head in heads] for row in rows])
    page = _PAGE.format(calls=CALLS, load=load_average()[0], table=table)
    write_result("entry-profile", result, page)
    print(table)


def _decisions() -> dict[str, t.Callable[[], object]]:
    """Return what is timed, by name."""
    decisions: dict[str, t.Callable[[], object]] = {
        "fingerprint of a body of 1 kB": lambda: fingerprint_of(
            "POST", "/r-1/x", "team@host", BODY
        ),
        "one event cut": lambda: EventSplitter().feed(EVENT),
    }
    for count in ROUTES:
        table, request = _make_routes(count), _make_request(count - 1)
        decisions[f"route of {count}, the last"] = lambda table=table, one=request: (
            table.match(one)
        )
    for count in UPSTREAMS:
        fleet = _make_fleet(count)
        decisions[f"upstream of {count}"] = lambda fleet=fleet: fleet.choose("svc", ())
    return decisions


def _time(decide: t.Callable[[], object]) -> dict[str, float]:
    for _ in range(WARM_CALLS):
        decide()
    times_us = []
    for _ in range(CALLS):
        began_ns = time.process_time_ns()
        decide()
        times_us.append((time.process_time_ns() - began_ns) / 1000)
    p50, p99 = np.percentile(times_us, (50, 99))
    return {"p50": float(p50), "p99": float(p99)}


def _make_routes(count: int) -> RouteTable:
    table = RouteTable()
    routes = [
        {
            "name": f"r-{number}",
            "host": "h.example",
            "prefix": f"/r-{number}/",
            "kind": "safe",
            "timeoutMs": 1_500,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": "svc",
            "maxAttempts": 2,
            "public": True,
        }
        for number in range(count)
    ]
    document = {
        "version": 1,
        "routes": routes,
        "services": [{"name": "svc", "healthPath": "/health", "maxConnections": 50}],
        "limits": {},
    }
    table.apply(orjson.dumps(document))
    return table


def _make_request(number: int) -> CallerRequest:
    path = f"/r-{number}/x"
    return CallerRequest(b"id", "h.example", path, "", None, 960, 160, (), None)


def _make_fleet(count: int) -> Fleet:
    fleet = Fleet("a", Clock(), random.Random(1))
    items = {
        f"i{at}": make_upstream_item(
            f"i{at}", "svc", f"10.0.{at // 200}.{at % 200}:80", places=5
        )
        for at in range(count)
    }
    fleet.apply(items)
    return fleet


if __name__ == "__main__":
    main()
