"""What it costs to run a hold at most once: with a ticket, bound, and replayed.

Starts the demo's processes on loopback and sends the kinds in turn, so that all of
them see the same machine.
"""

import asyncio
import json
import pathlib
import shutil
import time
import typing as t

import fire
from hdrh.histogram import HdrHistogram
from twisted.internet import asyncioreactor

from fuchsiahatch_bench.processes import ProcessGroup
from fuchsiahatch_bench.tables import load_average, make_table, write_result
from fuchsiahatch_standins.caller import Call, Caller
from fuchsiahatch_standins.layout import write_layout

FOLDER = pathlib.Path(".run/delivery")
BASE_PORT = 24_000
ROUNDS = 600
#: A binding costs the key-value service a call, and an entry makes few of them.
ROUNDS_PER_BINDING = 20
KINDS = ("straight", "no key", "ticket", "replay", "bound")

_TEAM = "gym-bangsar"
_TARGET = "service=hold-and-cancel"
_PATH = "/services/hold-and-cancel/holds"
_READY_TIMEOUT_S = 30
_HIGHEST_US = 10_000_000

Times = dict[str, HdrHistogram]


def main(base_port: int = BASE_PORT, rounds: int = ROUNDS) -> None:
    """Measure, and write docs/results/delivery.json and its page.

    Parameters
    ----------
    base_port : int
        First of the loopback ports; the 400 from there on are used.
    rounds : int
        How many calls of each kind are sent, fewer of the bound ones.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet.defer import Deferred
    from twisted.internet.task import react

    react(lambda _: Deferred.fromCoroutine(_run(base_port, rounds)))


async def _run(base_port: int, rounds: int) -> None:
    shutil.rmtree(FOLDER, ignore_errors=True)
    before = load_average()
    with ProcessGroup(FOLDER) as group:
        hosts = _start(group, base_port)
        entry = f"127.0.0.1:{base_port}"
        ticket = await _wait_ready(entry)
        upstream = hosts["hold-and-cancel-kl-a"].removeprefix("http://")
        times = await _measure(entry, upstream, ticket, rounds)
    rows = {kind: _row(times[kind], times["no key"]) for kind in KINDS}
    result = {"load_average": before, "rounds": rounds, "kinds": rows}
    write_result("delivery", result, _page(result))
    print(_page(result))


def _start(group: ProcessGroup, base_port: int) -> dict[str, str]:
    """Start the processes and return the upstreams' addresses by host."""
    write_layout(str(FOLDER), base_port)
    standins = "fuchsiahatch_standins"
    placement, hosts = str(FOLDER / "placement.json"), str(FOLDER / "hosts.json")
    address = f"127.0.0.1:{base_port + 300}"
    group.start_module(
        "key-value", standins, "key-value", address, "--placement", placement
    )
    address = f"127.0.0.1:{base_port + 301}"
    group.start_module("host-list", standins, "host-list", address, "--hosts", hosts)
    upstreams = {}
    for file in sorted(FOLDER.glob("*-*.json")):
        settings = json.loads(file.read_text("utf-8"))
        if "upstream" in settings:
            upstreams[file.stem] = settings["upstream"]["url"]
            group.start_module(f"up-{file.stem}", standins, "upstream", str(file))
        group.start_daemon(file.stem, file)
    return upstreams


async def _wait_ready(entry: str) -> str:
    """Wait until the entry knows the service's homes, and return a ticket."""
    bound_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < bound_s:
        await _pause()
        answer = await Caller(entry).look_up(_TEAM, _TARGET)
        if "ticket" in answer:
            return answer["ticket"]
    raise TimeoutError("the entry knows no home of the service")


async def _pause() -> None:
    from twisted.internet import reactor
    from twisted.internet.task import deferLater

    await deferLater(reactor, 1)


async def _measure(entry: str, upstream: str, ticket: str, rounds: int) -> Times:
    caller = Caller(entry)
    times = {kind: HdrHistogram(1, _HIGHEST_US, 3) for kind in KINDS}

    async def send(kind: str, address: str, path: str, key: str, with_: str) -> None:
        call = Call(kind, _TEAM, _TARGET, "POST", path, {"slot": "07:00"}, key)
        began_ns = time.perf_counter_ns()
        outcome = await caller.send_to(address, call, with_)
        if outcome.status != 200:
            raise RuntimeError(f"{kind}: {outcome}")
        times[kind].record_value((time.perf_counter_ns() - began_ns) // 1_000)

    for number in range(rounds):
        await send("straight", upstream, "/holds", "", "")
        await send("no key", entry, _PATH, "", "")
        await send("ticket", entry, _PATH, f"t{number}", ticket)
        await send("replay", entry, _PATH, f"t{number}", ticket)
        if number % ROUNDS_PER_BINDING == 0:
            await send("bound", entry, _PATH, f"b{number}", "")
    return times


def _row(times: HdrHistogram, base: HdrHistogram) -> dict[str, float]:
    at = times.get_value_at_percentile
    of = base.get_value_at_percentile
    return {
        "calls": times.get_total_count(),
        "p50_ratio": round(at(50) / of(50), 2),
        "p99_ratio": round(at(99) / of(99), 2),
        "p50_us": at(50),
        "p99_us": at(99),
    }


def _page(result: dict[str, t.Any]) -> str:
    heads = ("kind", "calls", "p50 to no key", "p99 to no key", "p50 us", "p99 us")
    rows = [(kind, *row.values()) for kind, row in result["kinds"].items()]
    return (
        "# Delivery\n\n"
        "Made by `make bench-delivery`. A hold, one at a time, the kinds in turn on a"
        " new connection each; ratios are to a hold without a key through entry and"
        " agent. *straight* goes to the service itself, *ticket* brings key and"
        " ticket, *replay* repeats it, *bound* brings a key alone.\n\n"
        f"{make_table(heads, rows)}\n\n"
        f"Load average before: {result['load_average']}. Other work ran on the"
        " machine: trust the ratios of one run, not the times. The key-value service"
        " is a stand-in on the same host, so *bound* shows the calls' number, not a"
        " real service's time.\n"
    )


if __name__ == "__main__":
    fire.Fire(main, name="delivery_bench")
