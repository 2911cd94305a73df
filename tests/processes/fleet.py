"""Starts stand-ins and daemons as processes of a test, and ends them by their ids."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from fuchsiahatch_delivery.tickets import decode_ticket
from fuchsiahatch_standins.layout import write_layout

HOSTS = ("entry-kl-a", "entry-kl-b", "engine-kl-a", "engine-kl-b")
TEAM, MODEL = "gym-bangsar", "booking-assistant"
_BASE_PORTS = tuple(
    base + offset for base in (24_400, 25_000) for offset in range(0, 100, 10)
)
_GUARD_OFFSET = 9
_USED_OFFSETS = (0, 1, 3, 4, 100, 101, 103, 104, 203, 204, 300, 301)
_BOUND_S = 20


class Fleet:
    """Two entries, two engines with their agents, and the platform's stand-ins."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self._folder.name)
        self.base_port, self._guard = _reserve_base()
        write_layout(str(self.path), self.base_port)
        self.settings = {
            host: json.loads((self.path / f"{host}.json").read_text("utf-8"))
            for host in HOSTS
        }
        self._keep_hosts()
        self.processes = {}

    def start(self):
        standin = (sys.executable, "-m", "fuchsiahatch_standins")
        placement, hosts = self.path / "placement.json", self.path / "hosts.json"
        address = f"127.0.0.1:{self.base_port + 300}"
        self._spawn(
            "key-value", *standin, "key-value", address, "--placement", placement
        )
        address = f"127.0.0.1:{self.base_port + 301}"
        self._spawn("host-list", *standin, "host-list", address, "--hosts", hosts)
        for host in HOSTS:
            file = self.path / f"{host}.json"
            if host.startswith("engine"):
                self._spawn(f"upstream-{host}", *standin, "upstream", file)
            daemon = (sys.executable, "-m", "fuchsiahatch_daemon.main")
            self._spawn(host, *daemon, "--settings", file)
        for entry in HOSTS[:2]:
            wait_until(lambda entry=entry: self._is_running(entry), "the fleet")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._guard.close()
        self._folder.cleanup()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def wait_exit(self, name):
        return self.processes[name].wait(_BOUND_S)

    def address(self, host):
        return self.settings[host]["listen"]["http_address"]

    def look_up(self, entry):
        path = f"/lookup?team={TEAM}&model={MODEL}"
        return json.loads(ask(self.address(entry), "GET", path)[1])

    def send(self, entry, key, ticket, tokens=4, on_head=lambda: None):
        """Send a keyed, streamed chat; status 0 when it broke off."""
        question = {"role": "user", "content": f"a trainer for {key}"}
        body = {"model": MODEL, "stream": True, "max_tokens": tokens}
        headers = {"Fuchsiahatch-Team": TEAM, "Idempotency-Key": key}
        if ticket:
            headers["Fuchsiahatch-Ticket"] = ticket
        document = json.dumps(body | {"messages": [question]})
        path = "/v1/chat/completions"
        return ask(self.address(entry), "POST", path, document, headers, on_head)

    def runs(self):
        """Return the runs of each key at each engine, as the engines count them."""
        return {host: self.counts(host)["by_key"] for host in HOSTS[2:]}

    def counts(self, host):
        address = self.settings[host]["upstream"]["url"].removeprefix("http://")
        status, content = ask(address, "GET", "/runs")
        return json.loads(content) if status else {"by_key": {}}

    def total_runs(self, key):
        return sum(by_key.get(key, 0) for by_key in self.runs().values())

    def home_of(self, key):
        """Return the engine that ran a key, or None."""
        return next((host for host, keys in self.runs().items() if key in keys), None)

    def _is_running(self, entry):
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.path / f"{name}.log").read_text("utf-8")
                raise AssertionError(f"{name} has ended: {log[-500:]}")
        return self._knows_homes(entry)

    def _knows_homes(self, entry):
        status, content = ask(
            self.address(entry), "GET", f"/lookup?team={TEAM}&model={MODEL}"
        )
        if status != 200:
            return False
        return len(decode_ticket(json.loads(content)["ticket"]).homes) == 2

    def _keep_hosts(self):
        path = self.path / "hosts.json"
        rows = json.loads(path.read_text("utf-8"))
        kept = [row for row in rows if row["Node"]["Node"] in HOSTS]
        path.write_text(json.dumps(kept), "utf-8")

    def _spawn(self, name, *command):
        log = open(self.path / f"{name}.log", "w")
        self.processes[name] = subprocess.Popen(
            list(map(str, command)), stdout=log, stderr=log
        )
        log.close()


def ask(address, method, path, body=None, headers=None, on_head=lambda: None):
    """Make one HTTP call; status 0 when no whole answer came."""
    connection = http.client.HTTPConnection(address, timeout=_BOUND_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        on_head()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until(condition, what):
    """Poll a condition until it holds."""
    bound_s = time.monotonic() + _BOUND_S
    while time.monotonic() < bound_s:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"{what}: not so within {_BOUND_S} s")


def _reserve_base():
    """Return a base port and the socket that keeps other runs off it.

    Two runs that probe the same ports at the same moment both find them free, and
    one's callers reach the other's engines. Of two that bind one port, one fails.
    """
    start = os.getpid() % len(_BASE_PORTS)
    for base in (*_BASE_PORTS[start:], *_BASE_PORTS[:start]):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", base + _GUARD_OFFSET))
        except OSError:
            guard.close()
            continue
        if _is_free(base):
            return base, guard
        guard.close()
    raise AssertionError("no free ports for a fleet")


def _is_free(base):
    try:
        for offset in _USED_OFFSETS:
            with socket.socket() as probe:
                # As the servers do: a port is free when only closed calls are left.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", base + offset))
    except OSError:
        return False
    return True
