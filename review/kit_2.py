"""Stand-ins of the platform's store, of servers and of clients, and the processes.

Only the standard library is used. All addresses are loopback addresses, drawn for each
run, so that runs don't meet.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
FRONT, READY, DIRECTORY, APP, STORE = 8227, 8220, 8224, 8300, 8223
#: Time after which a case is given up.
LIMIT_S = 100
#: As in the settings of a small deployment (`DEPLOY.md`).
BOUNDS = {
    "stableWindowMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lostMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 90,
    "recoverS": 12,
    "passMs": 120,
    "stall_ms": 1500,
    "requireFencing": False,
    "ttl_max_s": 5,
}


@dataclasses.dataclass
class Message:
    """A request or an answer that was read from a connection.

    `via` is the address of ours that a request came to.
    """

    start: str
    headers: list
    body: bytes = b""
    complete: bool = True
    via: str = ""

    def header(self, name):
        """Return the first value of a header, or None."""
        values = (value for key, value in self.headers if key == name.lower())
        return next(values, None)

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start.split()[1])

    @property
    def method(self):
        """Method of a request."""
        return self.start.split()[0]

    @property
    def target(self):
        """Target of a request."""
        return self.start.split()[1]


async def read_head(reader):
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return Message(start, [(name.lower(), value.strip()) for name, _, value in pairs])


async def read_message(reader):
    """Read a whole message; None at the end of the connection."""
    message = await read_head(reader)
    while message is not None and message.start.startswith("HTTP/1.1 100"):
        message = await read_head(reader)
    if message is None:
        return None
    try:
        if (message.header("transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return message
                message.body += piece[:-2]
        length = message.header("content-length")
        if length is not None:
            message.body = await reader.readexactly(int(length))
        elif message.start.startswith("HTTP/"):
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as fault:
        message.body += getattr(fault, "partial", b"") or b""
        message.complete = False
    return message


def encode(start, headers, body=b"", framed=True):
    """Return a message as it is sent."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class HttpStandIn:
    """A server of one address; `serve` answers one request after the other."""

    def __init__(self):
        self._server = None
        self._open = set()

    async def listen(self, ip, port):
        """Accept connections, at one address or at several."""
        self._server = await asyncio.start_server(self._handle, ip, port)

    def close(self):
        """Accept nothing any more, and reset what is open."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._open):
            writer.transport.abort()

    async def _handle(self, reader, writer):
        self._open.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.complete:
                    break
                request.via = writer.get_extra_info("sockname")[0]
                await self.serve(request, reader, writer)
                await writer.drain()
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        """Answer a request."""
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's store (`PROTOCOL.md`, "The platform's metadata store")."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.era = 1
        self.revision = 10
        self.items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        #: Called with each call; returns False if it gets no answer, or a status.
        self.gate = lambda request: True

    def put(self, key, value, lease=0):
        """Write an item."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(dict(item))

    def remove(self, key):
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        ended = [one for one, (_, until) in self._leases.items() if until < now]
        for lease in ended:
            self._end(lease)

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, one in self.items.items() if one["lease"] == lease]:
            self.remove(key)

    async def tick_forever(self):
        """Let leases run out."""
        while True:
            await asyncio.sleep(0.05)
            self._expire()

    async def serve(self, request, reader, writer):
        """Answer a call."""
        allowed = self.gate(request)
        if allowed is False:
            await asyncio.sleep(3600)
        if allowed is not True:
            writer.write(encode(f"HTTP/1.1 {allowed} No", self._headers(), b"{}"))
            return
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        status, answer = await self._answer(request, url.path, query)
        body = json.dumps(answer).encode()
        writer.write(encode(f"HTTP/1.1 {status} S", self._headers(), body))

    def _headers(self):
        return [("Content-Type", "application/json"), ("Store-Era", str(self.era))]

    async def _answer(self, request, path, query):
        self._expire()
        name, _, number = path.removeprefix("/-/kv-").partition("/")
        body = json.loads(request.body) if request.body else {}
        if name == "key":
            item = self.items.get(query["key"])
            found = {**(item or {}), "currentRev": self.revision}
            return (404, {}) if item is None else (200, found)
        if name == "range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            fields = {"items": page, "morePages": more, "currentRev": self.revision}
            return 200, fields
        if name == "watch":
            return await self._watch(query)
        if name == "txn":
            return self._transact(body)
        if name == "lease":
            self._next_lease += 1
            ttl_ms = int(body["ttlMs"])
            until = time.monotonic() + ttl_ms / 1000
            self._leases[self._next_lease] = ttl_ms, until
            return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}
        lease = int(number)
        if name == "keep":
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
            return 200, {"ttlMs": ttl_ms}
        self._end(lease)
        return 200, {}

    async def _watch(self, query):
        after, until = (
            int(query["after"]),
            time.monotonic() + int(query["waitMs"]) / 1e3,
        )
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                one
                for one in self._events
                if one["revision"] > after and one["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body):
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        if any(
            put.get("lease") not in (None, 0, *self._leases) for put in body["puts"]
        ):
            return 404, {}
        for put in body["puts"]:
            lease = put.get("lease") or 0
            self.put(put["key"], base64.b64decode(put["value"]), lease)
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Server(HttpStandIn):
    """A server of a service; it keeps what it ran.

    Parameters
    ----------
    record : callable
    name, service, ip : str
    slots : int, optional
    """

    def __init__(self, record, name, service, ip, slots=6):
        super().__init__()
        self.record = record
        self.name, self.service, self.ip, self.slots = name, service, ip, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.work_s = 0.02

    def entry(self, **changes):
        """Return its entry in the store."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": f"{self.ip}:{APP}",
            "zone": "kl-a",
            "version": "1.0",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return {**fields, **changes}

    def report(self):
        """Return what it says of itself."""
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
        }

    def _signed(self, request):
        own = f"{self.name}.{request.header('fuchsiahatch-request-id')}"
        return [
            ("Fuchsiahatch-Request-Id", request.header("fuchsiahatch-request-id")),
            ("Fuchsiahatch-Response-Signature", own),
        ]

    def refuse(self, request, writer, status):
        """Turn a request away unrun."""
        headers = [
            ("Fuchsiahatch-Request-Id", request.header("fuchsiahatch-request-id")),
            ("Fuchsiahatch-Not-Executed", "1"),
            ("At-Server", self.name),
        ]
        writer.write(encode(f"HTTP/1.1 {status} Refused", headers))

    async def serve(self, request, reader, writer):
        """Answer a request."""
        if request.target.startswith("/-/report"):
            body = json.dumps(self.report()).encode()
            writer.write(encode("HTTP/1.1 200 OK", [], body))
            return
        expected = request.header("fuchsiahatch-expect-instance")
        if expected not in (None, self.name):
            self.refuse(request, writer, 421)
            return
        await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        """Run a request and answer it."""
        self.note_run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = (
            b"answer to " + (request.header("fuchsiahatch-request-id") or "").encode()
        )
        writer.write(encode("HTTP/1.1 200 OK", self._signed(request), body))

    def note_run(self, request):
        """Note that a request has begun to run."""
        number = request.header("fuchsiahatch-request-id")
        self.runs.append(number)
        self.record(f"{self.name} runs {number}")


@dataclasses.dataclass
class Answer:
    """What a client got: a status, or 0 without a whole answer."""

    status: int
    body: bytes = b""
    headers: list = dataclasses.field(default_factory=list)
    detail: str = ""


def request_bytes(path, number, method="POST", body=b"", headers=(), deadline_ms=3000):
    """Return a request as a client sends it."""
    fields = [
        ("Host", HOST),
        ("Fuchsiahatch-Request-Id", number),
        ("Fuchsiahatch-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {KEY}"),
        *headers,
    ]
    return encode(f"{method} {path} HTTP/1.1", fields, body)


async def ask(ip, data, port=FRONT, timeout_s=4.0):
    """Send a request on a new connection, and return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(data)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError) as fault:
        return Answer(0, detail=type(fault).__name__)
    if message is None or not message.complete:
        return Answer(0, detail="the channel ended")
    return Answer(message.status, message.body, message.headers)


class Deployment:
    """The processes, the store and the servers of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Where `record.txt` is written.
    entries : int
    """

    def __init__(self, folder, entries=2):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self._temporary = pathlib.Path(tempfile.mkdtemp())
        self._net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.entry_ips = [f"{self._net}.{10 + n}" for n in range(entries)]
        self.store_ip = f"{self._net}.2"
        #: Addresses at which the store is reached by some machines alone.
        self.store_ips = {}
        self.store = Store(self.record)
        self.servers = []
        self.processes = {}
        self._tasks = []

    def record(self, line):
        """Write a line of the record."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")

    def ip_of(self, number):
        """Return the address of a server's machine."""
        return f"{self._net}.{100 + number}"

    def settings(self, node, ip, **changes):
        """Return the settings of a process."""
        fields = {
            "node": node,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": ip,
            "zone": "kl-a",
            "region": "klang-valley",
            "zones": {"kl-a": "klang-valley"},
            "listen": {
                "front": f"{ip}:{FRONT}",
                "ready": f"{ip}:{READY}",
                "directory": f"{ip}:{DIRECTORY}",
            },
            "internalPorts": [7340, 7355],
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
            "contracts": ["base", "drain", "config", "retry", "stream", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store_ips.get(ip, self.store_ip)}:{STORE}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        return {**fields, **changes}

    async def start(self, program, node, ip, **changes):
        """Start a process by the command of the deploy file."""
        path = self._temporary / f"{node}.json"
        path.write_text(json.dumps(self.settings(node, ip, **changes)), "utf-8")
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        kept["FUCHSIAHATCH_NODE_FILE"] = str(path)
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        if program == "agent":
            kept["OPENBLAS_NUM_THREADS"] = "1"
        with open(self._temporary / f"{node}.log", "ab") as log:
            self.processes[node] = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "fuchsiahatch_gateway.main",
                program,
                cwd=ROOT,
                env=kept,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{node} started")

    async def start_agent(self, server):
        """Start the agent on a server's machine."""
        limits = {"cpuShare": 0.645, "cores": 1, "memoryMb": 168, "maxFds": 1124}
        await self.start(
            "agent",
            f"side-{server.name}",
            server.ip,
            role="agent",
            machineClass="side",
            serves=["side"],
            listen={},
            app=f"{server.ip}:{APP}",
            service=server.service,
            limits={**limits, "linkMbps": 10.0, "diskMb": 0},
        )

    def log_lines(self, node, name=None):
        """Return the lines of a process's log, those of one event if it is named."""
        lines = []
        text = (self._temporary / f"{node}.log").read_text("utf-8", "replace")
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        if name is None:
            return lines
        return [line for line in lines if line.get("message_type") == name]

    async def begin(self, configuration, agents=False):
        """Start the store, the servers and the entries, and wait for these."""
        await self.store.listen([self.store_ip, *self.store_ips.values()], STORE)
        self._tasks.append(asyncio.ensure_future(self.store.tick_forever()))
        self.store.put("op/config", configuration)
        for server in self.servers:
            await server.listen(server.ip, APP)
            self.store.put(f"servers/{server.name}", server.entry())
        self._tasks.append(asyncio.ensure_future(self._ping_forever()))
        for server in self.servers if agents else ():
            await self.start_agent(server)
        for number, ip in enumerate(self.entry_ips):
            await self.start("entry", f"front-{number}", ip)
        for ip in self.entry_ips:
            await self.until_ready(ip)
        await asyncio.sleep(1.5)

    async def _ping_forever(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if f"servers/{server.name}" in self.store.items:
                    self.store.put(f"servers/{server.name}", server.entry())

    async def until_ready(self, ip, wanted=200):
        """Wait until an entry counts as ready."""
        for _ in range(200):
            data = encode("GET /-/ready HTTP/1.1", [("Host", "x")])
            if (await ask(ip, data, READY)).status == wanted:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{ip} isn't ready")

    def signal(self, node, number):
        """Send a signal to a process of this run."""
        self.processes[node].send_signal(number)
        self.record(f"{node} gets {signal.Signals(number).name}")

    async def end(self):
        """End all processes of this run."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        for server in self.servers:
            server.close()
        self.store.close()
        self._file.close()
        shutil.rmtree(self._temporary, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be run."""


def route(name, prefix, service, kind, **changes):
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2500,
        "targetLatencyMs": 500,
        "service": service,
        "maxAttempts": 2,
        "priority": 1,
    }
    return {**fields, **changes}


def configuration(routes, services, version=3):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "maxConnections": 100} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


def run_case(play, folder, entries=2):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    play : coroutine function
        Given a deployment and whether there is a disruption; returns whether the rule
        held.
    folder : pathlib.Path
    entries : int, optional
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(folder, entries)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(deployment, trouble)
        finally:
            await deployment.end()

    try:
        held = asyncio.run(run())
    except Exception as fault:
        print(f"could not run: {type(fault).__name__}: {fault}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
