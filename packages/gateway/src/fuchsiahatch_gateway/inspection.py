"""The operators' command on the users' platform: checks, status, explain."""

import asyncio
import json
import pathlib
import sys
import typing as t

import fire
from fire import decorators

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_adapter.names import (
    CONFIGURATION_KEY,
    DRAINED_ZONES_PREFIX,
    UPSTREAMS_PREFIX,
)
from fuchsiahatch_adapter.node_settings import (
    StoreAccess,
    parse_address,
    read_node_settings,
)
from fuchsiahatch_core.exceptions import FormError, PlatformError, SettingsError
from fuchsiahatch_gateway.defaults import (
    ENTRIES_PREFIX,
    HELD_PREFIX,
    LEADERS_PREFIX,
)
from fuchsiahatch_gateway.explain import explain, read_lines
from fuchsiahatch_gateway.losses import describe_losses
from fuchsiahatch_http1.steady_reactor import install_reactor

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import StoreClient

#: Exit codes for an invalid file and for a store that can't be read.
EXIT_INVALID = 1
EXIT_UNREADABLE = 2


class Inspection:
    """Checks files and shows the contents of the store."""

    def check_settings(self, path: str) -> None:
        """Check a settings file as a process would read it; exit 1 if invalid."""
        try:
            settings = read_node_settings(pathlib.Path(path))
        except SettingsError as fault:
            _fail(str(fault), EXIT_INVALID)
        print(f"settings of {settings.node}: valid")

    def check_configuration(self, path: str) -> None:
        """Check a configuration file as an entry would read it; exit 1 if invalid."""
        try:
            config = decode_configuration(pathlib.Path(path).read_bytes())
        except (OSError, FormError) as fault:
            _fail(f"{path}: {type(fault).__name__}: {fault}", EXIT_INVALID)
        unknown = sorted(
            service
            for route in config.routes
            for service, _ in route.services
            if service not in config.services
        )
        if unknown:
            _fail(f"{path}: routes name unknown services: {unknown}", EXIT_INVALID)
        print(f"version {config.version}: {len(config.routes)} routes, valid")

    def status(self, store: str, as_json: bool = False) -> None:
        """Show the contents of the store; exit 2 without it.

        These are entries, leaders, upstreams, drained zones and held requests.

        Parameters
        ----------
        store : str
            Address of the store, ``ip:port``.
        as_json : bool, optional
        """
        try:
            status = _run(store, read_status)
        except PlatformError as fault:
            _fail(str(fault), EXIT_UNREADABLE)
        if as_json:
            print(json.dumps(status, indent=2))
            return
        for line in describe(status):
            print(line)

    # Ids of digits only, or such as 12e4, would be parsed as numbers.
    @decorators.SetParseFns(request_id=str)
    def explain(self, request_id: str) -> None:
        """Explain what happened to a request, from log lines on standard input."""
        explain(request_id)

    def losses(self, span_ms: int = 2_000) -> None:
        """Summarize the results of requests and their causes, from log lines on stdin.

        Parameters
        ----------
        span_ms : int, optional
            Length of the time spans that are counted separately.
        """
        for text in describe_losses(read_lines(sys.stdin), span_ms):
            print(text)


async def read_status(store: "StoreClient") -> dict[str, t.Any]:
    """Return the system's state as it is in the store.

    Raises
    ------
    PlatformError
    """
    item = await store.get(CONFIGURATION_KEY)
    value = None if item is None else item.value
    return {
        "version": None if value is None else decode_configuration(value).version,
        "entries": await _read_prefix(store, ENTRIES_PREFIX),
        "leaders": await _read_prefix(store, LEADERS_PREFIX),
        "upstreams": await _read_prefix(store, UPSTREAMS_PREFIX),
        "drained_zones": await _read_names(store, DRAINED_ZONES_PREFIX),
        "held_requests": await _read_prefix(store, HELD_PREFIX),
    }


def describe(status: dict[str, t.Any]) -> t.Iterator[str]:
    """Yield the status, line by line."""
    yield f"configuration: version {status['version']}"
    for node, entry in status["entries"].items():
        yield f"entry {node}: {entry.get('zone')} {entry.get('callers')}"
    for group, leader in status["leaders"].items():
        yield f"group {group}: led by {leader.get('node')}, term {leader['created']}"
    for instance, record in status["upstreams"].items():
        fields = (record.get(name) for name in ("service", "zone", "address", "state"))
        yield f"upstream {instance}: {' '.join(map(str, fields))}"
    for zone in status["drained_zones"]:
        yield f"zone {zone}: drained"
    for name, record in status["held_requests"].items():
        if record.get("held"):
            crashed = " ".join(record.get("upstreams", ()))
            fingerprints = " ".join(record.get("fingerprints") or (name,))
            yield f"held request {fingerprints}: crashed {crashed}"


async def _read_names(store: "StoreClient", prefix: str) -> list[str]:
    """Return the names of items whose values don't count."""
    result = await store.read_all(prefix)
    return [item.key.removeprefix(prefix) for item in result.items]


async def _read_prefix(store: "StoreClient", prefix: str) -> dict[str, t.Any]:
    result = await store.read_all(prefix)
    return {
        item.key.removeprefix(prefix): {
            **json.loads(item.value or b"{}"),
            "created": item.created,
        }
        for item in result.items
    }


def _run(
    address: str,
    work: t.Callable[["StoreClient"], t.Coroutine[t.Any, t.Any, dict[str, t.Any]]],
) -> dict[str, t.Any]:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    install_reactor(loop)
    from twisted.internet import reactor

    from fuchsiahatch_adapter.store import StoreClient
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_http1.pool import ConnectionPool

    reactor.startRunning(installSignalHandlers=False)
    access = StoreAccess(parse_address(address), 1_000, 20_000)
    store = StoreClient(access, ConnectionPool(Clock()))
    return loop.run_until_complete(work(store))


def _fail(text: str, code: int) -> t.NoReturn:
    print(f"fuchsiahatch: {text}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    fire.Fire(Inspection, name="fuchsiahatch-platform")
