"""An entry in the test process, with scripted upstreams and a stand-in store."""

import asyncio
import contextlib
import json
import os

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_adapter.node_settings import decode_node_settings
from fuchsiahatch_gateway.entry import Entry
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import Process
from fuchsiahatch_standins import platform_demo
from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests import loopback  # noqa: F401  (installs the reactor)

HOST = "booking.example"
KEY = "key-of-team-a"


def make_route(prefix, kind, service="svc", **changes):
    route = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1_500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return {**route, **changes}


ROUTES = [
    make_route("/safe/", "safe"),
    make_route("/hold/", "unsafe", maxAttempts=1),
    make_route("/twice/", "unsafe"),
    make_route("/chat/", "streaming", resumeStreams=True),
    make_route("/brief/", "streaming"),
    make_route("/open/", "safe", public=True),
]


def make_configuration(version=1, routes=None, keys=(KEY,)):
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": [{"name": "svc", "healthPath": "/health", "maxConnections": 50}],
        "limits": {},
        "tenants": [{"name": "team-a", "apiKeys": list(keys)}],
    }


def make_settings(store_port, **changes):
    local = {
        "node": "front-1",
        "role": "entry",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:0"},
        "internalPorts": [0, 0],
    }
    return decode_node_settings(
        platform_demo.make_settings(store_port, **{**local, **changes})
    )


class Site:
    """An entry with its upstreams, for the time of a context.

    Parameters
    ----------
    *upstreams : ScriptedUpstream
    **settings
        Changes of the entry's settings.
    """

    def __init__(self, *upstreams, **settings):
        self.upstreams = upstreams
        self.settings = settings
        self.store = FleetStore()
        self.entry = None
        self.port = 0

    async def __aenter__(self):
        store_port = await self.store.listen()
        self.store.put("op/config", make_configuration())
        for number, upstream in enumerate(self.upstreams):
            await self.add_upstream(f"i-{number}", upstream)
        null = os.open(os.devnull, os.O_WRONLY)
        settings = make_settings(store_port, **self.settings)
        process = Process(settings, LineWriter(null, lambda: 0))
        self.entry = Entry(process)
        self._following = asyncio.ensure_future(self.entry.follower.run())
        await until(lambda: self.entry.synced)
        self.port = await self.entry.callers.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        self._following.cancel()
        await self.entry.callers.stop_accepting()
        for connection in tuple(self.entry.callers.connections):
            connection.abort()
        for upstream in self.upstreams:
            await upstream.close()
        await self.store.close()

    async def add_upstream(
        self, instance, upstream, state="ready", service="svc", zone="kl-a"
    ):
        port = (
            await upstream.listen()
            if not getattr(upstream, "port", 0)
            else upstream.port
        )
        upstream.port = port
        self.put_upstream(instance, port, state, service, zone)

    def put_upstream(
        self, instance, port, state="ready", service="svc", zone="kl-a", **changes
    ):
        self.store.put(
            f"servers/{instance}",
            make_upstream_entry(
                service, f"127.0.0.1:{port}", zone=zone, state=state, **changes
            ),
        )

    async def limit_time(self, timeout_ms):
        """Give each request so much time, by the next version of the configuration."""
        routes = [{**route, "timeoutMs": timeout_ms} for route in ROUTES]
        self.store.put("op/config", make_configuration(2, routes))
        await until(lambda: self.entry.routes.configuration.version == 2)

    async def ask(self, path, **options):
        return await ask(self.port, path, **options)


async def until(holds, limit_s=5.0):
    for _ in range(int(limit_s / 0.01)):
        if holds():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition did not hold in time")


class Reply:
    """A response as the caller received it; `whole` is False for a truncated one."""

    def __init__(self, data):
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if head else 0
        pairs = (line.partition(": ") for line in lines[1:])
        self.headers = {name.lower(): value for name, _, value in pairs}
        self.body, self.whole = self._read_body(rest)

    def _read_body(self, rest):
        if "content-length" in self.headers:
            length = int(self.headers["content-length"])
            return rest[:length], len(rest) == length
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size or b"0", 16)
            if not length:
                return body, rest == b"\r\n"
            if len(rest) < length:
                return body + rest, False
            body, rest = body + rest[:length], rest[length + 2 :]
        return body, False


def encode_request(
    path, request_id="q-1", key=KEY, body=b"", headers=(), keep=False, deadline_ms=1_400
):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Fuchsiahatch-Request-Id: {request_id}",
        f"Fuchsiahatch-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    if key:
        lines.append(f"Authorization: Token {key}")
    if not keep:
        lines.append("Connection: close")
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(port, path, ip="127.0.0.1", **options):
    """Send one request and return all that is received until the connection ends."""
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(encode_request(path, **options))
    data = b""
    # What came before a reset counts as received.
    with contextlib.suppress(ConnectionResetError):
        while piece := await reader.read(65_536):
            data += piece
    writer.close()
    return Reply(data)


def answers(status=200, body=b"ok", **headers):
    async def script(request, wire):
        await wire.answer(request, status, body, headers)

    return script


def refuses(status=503):
    async def script(request, wire):
        headers = {"Fuchsiahatch-Not-Executed": "1"}
        await wire.answer(request, status, b"", headers)

    return script


async def resets(request, wire):
    wire.reset()


async def waits(request, wire):
    await asyncio.sleep(30)


def streams(first, last, end=True):
    async def script(request, wire):
        await wire.begin_stream(request)
        for number in range(first, last + 1):
            await wire.event(number)
        if end:
            await wire.end_stream()
        elif end is not None:
            wire.reset()

    return script


def upstream(*scripts):
    return ScriptedUpstream(*scripts)


def event_ids(body):
    return [int(line[4:]) for line in body.decode().splitlines() if line[:3] == "id:"]


def dump(value):
    return json.dumps(value).encode()


#: The engine parameters of a rank group.
ENGINE = (
    decode_configuration(
        dump(
            {
                "version": 1,
                "routes": [],
                "services": [{"name": "svc", "engine": platform_demo.ENGINE}],
            }
        )
    )
    .services["svc"]
    .engine
)
