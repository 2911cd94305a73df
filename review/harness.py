"""Stand-ins, processes and records that the scripts of this review share.

Everything here uses the standard library alone. The stand-ins follow the platform's
published protocol and behave like a sound store, server or caller, except where a
script tells them otherwise.
"""

import asyncio
import base64
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
KEY = "key-of-team-a"
TENANT = "team-a"
ZONES = ("zone-a", "zone-b", "zone-c")
#: The platform's bounds, as the site files of small deployments state them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 90,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "stall_ms": 1500,
    "requireFencing": False,
    "ttl_max_s": 5,
}
#: Port of a role's metrics, fixed by the deploy file.
METRICS_PORT = 9464
#: Time within which an entry has to become ready.
START_TIMEOUT_S = 20.0
SCRIPT_TIMEOUT_S = 100.0
#: Time after the start in which machines get in touch.
SETTLE_S = 3.5

#: Exit codes of a case. `run.sh` turns them into its own: Python exits with 1 after any
#: error, which is no broken rule.
HELD, NOT_RUN, BROKEN = 0, 2, 3


class SetupError(Exception):
    """The case couldn't run."""


def trouble() -> bool:
    """Return whether the script is to bring the disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Collects what was sent, answered and run, and writes it to a file.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    @property
    def now_s(self) -> float:
        """Time since the start of the script."""
        return time.monotonic() - self._began_s

    def note(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{self.now_s:9.3f}  {text}")

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n", "utf-8")


# Messages


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def request_id(self) -> str:
        """Id of the request that it is or answers."""
        return self.headers.get("fuchsiahatch-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message up to its body; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Message(start, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a stated length; None if it ends early."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return dataclasses.replace(head, body=body)


async def read_chunk(reader: asyncio.StreamReader) -> bytes | None:
    """Read a chunk of a body; empty for the last one, None if the body ends early."""
    try:
        size = int(await reader.readuntil(b"\r\n"), 16)
        return (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode_answer(
    status: int, headers: collections.abc.Mapping[str, str], body: bytes
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_request(
    path: str,
    request_id: str,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 8_000,
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Fuchsiahatch-Request-Id: {request_id}",
        f"Fuchsiahatch-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


# The platform's store


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's store: linearizable, with watches, transactions and leases."""

    def __init__(self) -> None:
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, t.Any]] = []
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Serve at a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: t.Any) -> None:
        """Write an item as the operator or a server does."""
        self._put(key, json.dumps(value).encode(), 0)

    def remove(self, *keys: str) -> None:
        """Delete items in one transaction."""
        for key in keys:
            self._remove(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        known = self._items.get(key)
        created = self._revision if known is None else known.created
        self._items[key] = _Item(value, self._revision, created, lease)
        self._note(self._row(key))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "revision": self._revision, "deleted": True})

    def _note(self, event: dict[str, t.Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, t.Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createdRev": item.created,
            "lease": item.lease,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                path, _, query = request.target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                body = json.loads(request.body) if request.body else {}
                status, answer = await self._answer(path, fields, body)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                data = json.dumps(answer).encode()
                writer.write(encode_answer(status, headers, data))
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, fields: dict[str, str], body: dict[str, t.Any]
    ) -> tuple[int, t.Any]:
        name, _, number = path.removeprefix("/-/kv-").partition("/")
        if name == "key":
            key = fields["key"]
            if key not in self._items:
                return 404, {"currentRev": self._revision}
            return 200, {**self._row(key), "currentRev": self._revision}
        if name == "range":
            after = fields.get("after", "")
            keys = [key for key in self.keys(fields["prefix"]) if key > after]
            rows = [self._row(key) for key in keys]
            return 200, {
                "items": rows,
                "morePages": False,
                "currentRev": self._revision,
            }
        if name == "watch":
            return await self._watch(fields)
        if name == "txn":
            return self._transact(body)
        if name == "lease":
            self._next_lease += 1
            self._start_lease(self._next_lease, int(body["ttlMs"]))
            return 200, {"lease": self._next_lease, "ttlMs": int(body["ttlMs"])}
        if name == "keep":
            return self._keep(int(number))
        self._end_lease(int(number))
        return 200, {}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, t.Any]:
        after, prefix = int(fields["after"]), fields["prefix"]
        until_s = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict[str, t.Any]) -> tuple[int, t.Any]:
        conflicts = [
            row
            for row in body["expected"]
            if self._revision_of(row["key"]) != row["revision"]
        ]
        if conflicts:
            present = [row["key"] for row in conflicts if row["key"] in self._items]
            return 412, {"items": [self._row(key) for key in present]}
        leases = {put.get("lease", 0) for put in body["puts"]} - {0}
        if leases - self._leases.keys():
            return 404, {}
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self._put(put["key"], value, put.get("lease", 0))
        self.remove(*body["remove"])
        return 200, {"revision": self._revision}

    def _revision_of(self, key: str) -> int:
        return self._items[key].revision if key in self._items else 0

    def _start_lease(self, lease: int, ttl_ms: int) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_ms / 1000, self._end_lease, lease)
        self._leases[lease] = ttl_ms, timer

    def _keep(self, lease: int) -> tuple[int, t.Any]:
        if lease not in self._leases:
            return 404, {}
        ttl_ms, timer = self._leases[lease]
        timer.cancel()
        self._start_lease(lease, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _end_lease(self, lease: int) -> None:
        _, timer = self._leases.pop(lease, (0, None))
        if timer is not None:
            timer.cancel()
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self._remove(key)


class Proxy:
    """A proxy before the store, which can lose an answer of the store.

    Parameters
    ----------
    record : Record
    port : int
        Of the store.
    """

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._target_port = port
        self._channels: list[_ProxiedChannel] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Serve at a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def lose_next_answer(self, path: str) -> bool:
        """Lose the next answer on the channel whose latest request has a path.

        The channel stays open and returns nothing further. Other channels work, new
        ones too.

        Returns
        -------
        found : bool
            Whether such a request waits for its answer.
        """
        for channel in self._channels:
            if channel.latest_path.startswith(path) and not channel.loses_answer:
                channel.loses_answer = True
                return True
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = _ProxiedChannel(self._record)
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._channels.append(channel)
        try:
            await asyncio.gather(
                channel.forward_requests(reader, store_writer),
                channel.forward_answers(store_reader, writer),
            )
        finally:
            self._channels.remove(channel)


class _ProxiedChannel:
    """One channel through the proxy."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.latest_path = ""
        self.loses_answer = False

    async def forward_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward requests until the caller closes its channel."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                self.latest_path = data.split(b" ")[1].decode("latin-1")
                writer.write(data)
                await writer.drain()
        if self.loses_answer:
            self._record.note("the caller gives up the channel of the lost answer")
        writer.close()

    async def forward_answers(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward answers until the store closes the channel."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.loses_answer:
                    self._record.note(f"lost: the answer to {self.latest_path}")
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


# Servers


class Reply:
    """Answers one request of a server.

    Parameters
    ----------
    writer : asyncio.StreamWriter
    headers : dict of str to str
        Headers of each answer.
    """

    def __init__(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        self._writer = writer
        self._headers = headers

    async def whole(self, body: bytes) -> None:
        """Send an answer with a length."""
        self._writer.write(encode_answer(200, self._headers, body))
        await self._writer.drain()

    async def begin_stream(self) -> None:
        """Send the head of a stream of events, which comes in chunks."""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        headers = {**self._headers, "Content-Type": "text/event-stream"}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode())
        await self._writer.drain()

    async def event(self, number: int) -> None:
        """Send one event of a stream."""
        data = b"id: %d\ndata: piece %d\n\n" % (number, number)
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self._writer.drain()

    async def end_stream(self) -> None:
        """Send the end of a stream."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()


Handle = t.Callable[[Message, Reply], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server began to work on, and when."""

    server: str
    request_id: str
    at_s: float


class Server:
    """A plain server of a service, which registers in the store under its id.

    Parameters
    ----------
    store : Store
    record : Record
    name, service, zone : str
    handle : coroutine function
        Answers a request.
    slots : int
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        handle: Handle,
        slots: int = 6,
    ) -> None:
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._handle = handle
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._born_ms = time.time_ns() // 1_000_000
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self.name = name
        self.runs: list[Run] = []

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f"servers/{self.name}"

    async def start(self) -> None:
        """Serve at a free port of loopback, and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._born_ms,
        }
        self._store.put(self.key, entry)

    def stop(self) -> None:
        """Stop accepting connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
        except ConnectionError:
            self._record.note(f"{self.name}: one of its channels was reset")
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("fuchsiahatch-expect-instance", self.name)
        headers = {"Fuchsiahatch-Request-Id": request.request_id}
        if expected != self.name:
            headers |= {"Fuchsiahatch-Not-Executed": "1", "At-Server": self.name}
            writer.write(encode_answer(421, headers, b""))
            await writer.drain()
            return
        run = Run(self.name, request.request_id, self._record.now_s)
        self.runs.append(run)
        self._record.note(f"{self.name} runs {run.request_id}")
        headers["Fuchsiahatch-Response-Signature"] = f"sig.{self.name}"
        await self._handle(request, Reply(writer, headers))


# Processes of the system


def free_loopback_ip() -> str:
    """Return a loopback address at which the metrics port is free."""
    for _ in range(100):
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.17"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, METRICS_PORT))
            return ip
    raise SetupError("no loopback address is free")


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]


class EntryProcess:
    """One entry, started with the command of the deploy file.

    Parameters
    ----------
    record : Record
    folder : pathlib.Path
        For its settings and its log.
    store_port : int
    node, zone : str
    """

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        store_port: int,
        node: str = "front-a-1",
        zone: str = "zone-a",
    ) -> None:
        self._record = record
        self._folder = folder
        self.node = node
        self.ip = free_loopback_ip()
        names = ("front", "ready", "directory", "control")
        self.ports = dict(zip(names, free_ports(self.ip, len(names)), strict=True))
        (internal,) = free_ports(self.ip, 1)
        settings = {
            "node": node,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": self.ip,
            "zone": zone,
            "region": "region-a",
            "zones": dict.fromkeys(ZONES, "region-a"),
            "listen": {name: f"{self.ip}:{port}" for name, port in self.ports.items()},
            "internalPorts": [internal, internal + 15],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "retry", "tenants", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }
        self._settings_path = folder / f"{node}.json"
        self._settings_path.write_text(json.dumps(settings), "utf-8")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["entry"]
        passed = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in passed if name in os.environ}
        environment |= role.get("env", {})
        environment["FUCHSIAHATCH_NODE_FILE"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(self._folder / f"{self.node}.log", "wb") as log:
            self._process = subprocess.Popen(
                role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.note(f"{self.node} is started")

    async def until_ready(self) -> None:
        """Wait until the platform's readiness check succeeds."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if await self.is_ready():
                self._record.note(f"{self.node} is ready")
                return
            await asyncio.sleep(0.05)
        raise SetupError(f"{self.node} didn't become ready")

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: entry\r\n\r\n")
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)
        self._record.note(f"{self.node} gets {number.name}")

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is not None and self._process.poll() is not None

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


# Callers


class Channel:
    """A caller's channel to an entry, kept for several requests.

    Parameters
    ----------
    ip : str
    port : int
    """

    def __init__(self, ip: str, port: int) -> None:
        self._address = ip, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, limit: int = 65_536) -> None:
        """Connect.

        Parameters
        ----------
        limit : int, optional
            Bytes that are read ahead.
        """
        self.reader, self.writer = await asyncio.open_connection(
            *self._address, limit=limit
        )

    async def ask(self, request: bytes) -> Message | None:
        """Send a request; return the whole answer, or None if it ends early."""
        assert self.reader is not None and self.writer is not None
        self.writer.write(request)
        return await read_message(self.reader)

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


def make_configuration(
    version: int, routes: list[dict[str, t.Any]], keys: t.Sequence[str] = (KEY,)
) -> dict[str, t.Any]:
    """Return a configuration of the operator."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 100}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": list(keys)}],
    }


def make_route(
    prefix: str, kind: str, service: str, **changes: t.Any
) -> dict[str, t.Any]:
    """Return a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 8_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        **changes,
    }


# Running a case

Play = t.Callable[[Record, pathlib.Path, list[EntryProcess]], t.Awaitable[bool]]


async def _play(play: Play, record: Record) -> bool:
    processes: list[EntryProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with asyncio.timeout(SCRIPT_TIMEOUT_S):
                return await play(record, pathlib.Path(folder), processes)
        finally:
            for process in processes:
                process.end()
            # The connections that are still open are cancelled with the loop.
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: None)


def main(play: Play, folder: pathlib.Path) -> t.NoReturn:
    """Run a case and exit with its result.

    Parameters
    ----------
    play : coroutine function
        Returns whether the rule held. It adds each process that it makes to a list, so
        that the process is ended with the script.
    folder : pathlib.Path
        Folder of the case.
    """
    # Ends the processes also when the script is stopped from outside.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(folder)
    record.note(f"TROUBLE={int(trouble())}")
    try:
        result = HELD if asyncio.run(_play(play, record)) else BROKEN
    except Exception as fault:
        record.note(f"the case couldn't run: {fault!r}")
        traceback.print_exc()
        result = NOT_RUN
    record.note(f"exit {result}")
    record.write()
    sys.exit(result)
