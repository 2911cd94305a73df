"""A rank group of real agents, its lock-step engines and the key-value service."""

import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

from fuchsiahatch_standins.keyvalue import encode_key
from tests.processes.fleet import ask, wait_until

_BASE_PORTS = range(22_000, 24_400, 40)
_RPC, _ENGINE, _SERVICE = 10, 20, 30


class Group:
    """Agents of one rank group as processes, ended by their ids."""

    def __init__(self, ranks=3, fences=True):
        self._folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self._folder.name)
        self.base_port = _free_base()
        self.fences = fences
        self.group = range(ranks)
        self.processes = {}
        for rank in self.group:
            file = self.path / f"rank-{rank}.json"
            file.write_text(json.dumps(self._settings(rank)), "utf-8")

    def start(self):
        self.start_service()
        engines = " ".join(self._address(_ENGINE + rank) for rank in self.group)
        self._spawn_standin("engines", "rank-group", engines, f"--fences={self.fences}")
        for rank in self.group:
            self.start_agent(rank)
        self.wait_for_steps(1)

    def start_service(self):
        self._spawn_standin("key-value", "key-value", self._address(_SERVICE))

    def start_agent(self, rank):
        daemon = (sys.executable, "-m", "fuchsiahatch_daemon.main")
        file = self.path / f"rank-{rank}.json"
        self._spawn(f"rank-{rank}", *daemon, "--settings", file)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._folder.cleanup()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def counts(self):
        status, content = ask(self._address(_ENGINE), "GET", "/steps/counts")
        return json.loads(content) if status == 200 else {"steps": 0}

    def leader(self):
        """Return the rank that the service's record names, or None."""
        record = self.read("term")
        return None if record is None else record["rank"]

    def read(self, name):
        key = encode_key(f"fuchsiahatch/groups/test/{name}")
        body = json.dumps({"key": key})
        status, content = ask(self._address(_SERVICE), "POST", "/v3/kv/range", body)
        rows = json.loads(content).get("kvs", []) if status == 200 else []
        return decode(rows[0]["value"]) if rows else None

    def want_map(self, version):
        value = encode_key(json.dumps({"map_version": version}))
        body = {"key": encode_key("fuchsiahatch/groups/test/map"), "value": value}
        ask(self._address(_SERVICE), "POST", "/v3/kv/put", json.dumps(body))

    def replace_engine(self, rank):
        ask(self._address(_ENGINE + rank), "POST", "/steps/replace")

    def slow_down(self, rank, compute_ms):
        body = json.dumps({"compute_ms": compute_ms})
        ask(self._address(_ENGINE + rank), "POST", "/steps/compute", body)

    def wait_for_steps(self, count):
        """Wait until so many more steps have run."""
        goal = self.counts()["steps"] + count
        wait_until(lambda: self.counts()["steps"] >= goal, f"{count} more steps")

    def events(self, rank, name):
        """Return the events of a name in an agent's log."""
        lines = (self.path / f"rank-{rank}.log").read_text("utf-8").splitlines()
        rows = (json.loads(line) for line in lines if line.startswith("{"))
        return [row for row in rows if row.get("message_type") == name]

    def _settings(self, rank):
        members = [
            {"host": f"rank-{one}", "rpc_address": self._address(_RPC + one)}
            for one in self.group
        ]
        return {
            "role": "agent",
            "host": f"rank-{rank}",
            "zone": "kl-a",
            "region": "klang-valley",
            "listen": {
                "http_address": self._address(rank),
                "rpc_address": self._address(_RPC + rank),
            },
            "platform": {
                "key_value_url": "http://" + self._address(_SERVICE),
                "host_list_url": "http://" + self._address(_SERVICE + 1),
            },
            "upstream": {
                "url": "http://" + self._address(_ENGINE + rank),
                "offers": ["booking-assistant@2"],
            },
            "group": {
                "name": "test",
                "rank": rank,
                "members": members,
                "engine_fences": self.fences,
                "window_steps": 32,
                "ahead_steps": 64,
                "heartbeat_ms": 50,
                "silence_ms": 600,
                "settle_ms": 300,
            },
        }

    def _address(self, offset):
        return f"127.0.0.1:{self.base_port + offset}"

    def _spawn_standin(self, name, *arguments):
        self._spawn(name, sys.executable, "-m", "fuchsiahatch_standins", *arguments)

    def _spawn(self, name, *command):
        with open(self.path / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                list(map(str, command)), stdout=log, stderr=log
            )


def decode(value):
    """Return the JSON document of a value as the service keeps it."""
    return json.loads(base64.b64decode(value))


def _free_base():
    # Runs side by side begin at different bases, as those of the fleet do.
    start = os.getpid() % len(_BASE_PORTS)
    bases = (*_BASE_PORTS[start:], *_BASE_PORTS[:start])
    return next(base for base in bases if _is_free(base))


def _is_free(base):
    try:
        for port in (base, base + _RPC, base + _ENGINE, base + _SERVICE):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
