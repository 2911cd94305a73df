"""Processes of a run, each with a log of its own, ended by their ids."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLL_S = 0.01


class NotRunError(Exception):
    """A deployment that could not be started, so that nothing was tested."""


class Programs:
    """Starts, signals and ends the processes of a run.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of settings and logs.
    tree : pathlib.Path, optional
        Root of the repository whose load balancer runs; this one by default.
    """

    def __init__(self, folder, tree=ROOT):
        self.folder = folder
        self._path = _make_python_path(tree)
        self.processes = {}
        self._started, self._ending = [], False

    def start_role(self, role, node, settings):
        """Start an entry or an agent, as it is deployed."""
        path = self._write_settings(node, settings)
        command = ["-S", "-m", "fuchsiahatch_gateway.main", role]
        changes = {
            "PYTHONPATH": self._path,
            "FUCHSIAHATCH_NODE_FILE": str(path),
            "OPENBLAS_NUM_THREADS": "1",
        }
        return self._start(node, command, changes, subprocess.DEVNULL)

    def start_module(self, name, module, settings):
        """Start a module of the tests with a settings file, and a pipe to its input."""
        path = self._write_settings(name, settings)
        return self._start(name, ["-m", module, str(path)], {}, subprocess.PIPE)

    def _write_settings(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), "utf-8")
        return path

    def _start(self, name, command, changes, stdin):
        if self._ending:
            raise NotRunError(f"{name} isn't started, as the run is ending")
        try:
            with open(self.log_path(name), "ab") as log:
                process = subprocess.Popen(
                    [sys.executable, *command],
                    cwd=ROOT,
                    env={**os.environ, **changes},
                    stdin=stdin,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
        except OSError as fault:
            raise NotRunError(f"{name} can't be started: {fault}") from fault
        self.processes[name] = process
        self._started.append(process)
        return process

    def log_path(self, name):
        """Return the path of a process's log, which its next process goes on with."""
        return self.folder / f"{name}.log"

    def read_lines(self, name):
        """Return what a process has written so far: documents, and other text."""
        lines, others = [], []
        for line in self.log_path(name).read_text("utf-8", "replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                others.append(line)
        return lines, others

    def runs(self, name):
        """Return whether a process of this name runs."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def signal(self, name, number):
        """Send a signal to a process that still runs."""
        if self.runs(name):
            self.processes[name].send_signal(number)

    async def until_ended(self, name, limit_s):
        """Wait for the end of a process; return whether it came in time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while self.runs(name):
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def end_all(self):
        """Kill what still runs, wait for it, and start nothing more."""
        self._ending = True
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._started:
            while process.poll() is None:
                await asyncio.sleep(POLL_S)
            if process.stdin is not None:
                process.stdin.close()

    @property
    def left(self):
        """Ids of the processes that still run, of all that were started."""
        return [one.pid for one in self._started if one.poll() is None]


def _make_python_path(tree):
    sources = sorted(tree.glob("packages/*/src"))
    paths = [*sources, tree / "platform" / "src", sysconfig.get_paths()["purelib"]]
    return os.pathsep.join(map(str, paths))
