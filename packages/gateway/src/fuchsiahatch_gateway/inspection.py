"""The operators' command on the users' platform: checks, status, explain."""

import asyncio
import json
import pathlib
import sys
import typing as t

import fire
from fire import decorators
from twisted.internet import asyncioreactor

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_adapter.names import CONFIGURATION_KEY, UPSTREAMS_PREFIX
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

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import StoreClient

#: Exit codes: what was checked is wrong; the store can't be read.
EXIT_WRONG = 1
EXIT_UNREADABLE = 2


class Inspection:
    """Checks files and shows what the store holds."""

    def check_settings(self, path: str) -> None:
        """Check a settings file as a process would read it; 1 when it is wrong."""
        try:
            settings = read_node_settings(pathlib.Path(path))
        except SettingsError as fault:
            _fail(str(fault), EXIT_WRONG)
        print(f"settings of {settings.node}: in order")

    def check_configuration(self, path: str) -> None:
        """Check a configuration file as an entry would read it; 1 when it is wrong."""
        try:
            known = decode_configuration(pathlib.Path(path).read_bytes())
        except (OSError, FormError) as fault:
            _fail(f"{path}: {type(fault).__name__}: {fault}", EXIT_WRONG)
        unknown = sorted(
            service
            for route in known.routes
            for service, _ in route.services
            if service not in known.services
        )
        if unknown:
            _fail(f"{path}: routes name unknown services: {unknown}", EXIT_WRONG)
        print(f"version {known.version}: {len(known.routes)} routes, in order")

    def status(self, store: str, as_json: bool = False) -> None:
        """Show entries, leaders, upstreams and held requests; 2 without the store.

        Parameters
        ----------
        store : str
            Its address, ``ip:port``.
        as_json : bool, optional
        """
        try:
            found = _run(store, read_status)
        except PlatformError as fault:
            _fail(str(fault), EXIT_UNREADABLE)
        if as_json:
            print(json.dumps(found, indent=2))
            return
        for line in describe(found):
            print(line)

    # Ids of digits alone, or such as 12e4, would be taken for numbers.
    @decorators.SetParseFns(request_id=str)
    def explain(self, request_id: str) -> None:
        """Say what the log lines on standard input know of a request."""
        explain(request_id)

    def losses(self, span_ms: int = 2_000) -> None:
        """Add up what became of requests and why, from log lines on standard input.

        Parameters
        ----------
        span_ms : int, optional
            Length of the spells that are told apart.
        """
        for text in describe_losses(read_lines(sys.stdin), span_ms):
            print(text)


async def read_status(store: "StoreClient") -> dict[str, t.Any]:
    """Return what the store holds of the system.

    Raises
    ------
    PlatformError
    """
    item = await store.get(CONFIGURATION_KEY)
    value = None if item is None else item.value
    return {
        "version": None if value is None else decode_configuration(value).version,
        "entries": await _read_below(store, ENTRIES_PREFIX),
        "leaders": await _read_below(store, LEADERS_PREFIX),
        "upstreams": await _read_below(store, UPSTREAMS_PREFIX),
        "held_requests": await _read_below(store, HELD_PREFIX),
    }


def describe(found: dict[str, t.Any]) -> t.Iterator[str]:
    """Yield the status, a line for each thing."""
    yield f"configuration: version {found['version']}"
    for node, entry in found["entries"].items():
        yield f"entry {node}: {entry.get('zone')} {entry.get('callers')}"
    for group, leader in found["leaders"].items():
        yield f"group {group}: led by {leader.get('node')}, term {leader['created']}"
    for instance, one in found["upstreams"].items():
        fields = (one.get(name) for name in ("service", "zone", "address", "state"))
        yield f"upstream {instance}: {' '.join(map(str, fields))}"
    for fingerprint, one in found["held_requests"].items():
        if one.get("held"):
            crashed = " ".join(one.get("upstreams", ()))
            yield f"held request {fingerprint}: crashed {crashed}"


async def _read_below(store: "StoreClient", prefix: str) -> dict[str, t.Any]:
    found = await store.read_all(prefix)
    return {
        item.key.removeprefix(prefix): {
            **json.loads(item.value or b"{}"),
            "created": item.created,
        }
        for item in found.items
    }


def _run(
    address: str,
    work: t.Callable[["StoreClient"], t.Coroutine[t.Any, t.Any, dict[str, t.Any]]],
) -> dict[str, t.Any]:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from fuchsiahatch_adapter.store import StoreClient
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_http1.client import ConnectionPool

    reactor.startRunning(installSignalHandlers=False)
    access = StoreAccess(parse_address(address), 1_000, 20_000)
    store = StoreClient(access, ConnectionPool(Clock()))
    return loop.run_until_complete(work(store))


def _fail(text: str, code: int) -> t.NoReturn:
    print(f"fuchsiahatch: {text}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    fire.Fire(Inspection, name="fuchsiahatch-platform")
