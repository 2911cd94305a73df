"""Processes of a bench: started, measured and ended by their ids."""

import pathlib
import subprocess
import sys
import typing as t

import psutil

_NS_PER_MS = 1_000_000
_STOP_TIMEOUT_S = 20
#: The one module that answers on its standard output.
ROLES_HOST = "fuchsiahatch_bench.roles_host"
_TREE = pathlib.Path(sys.executable).parent


class ProcessGroup:
    """The processes of one run, ended together.

    Parameters
    ----------
    folder : pathlib.Path
        Where their output goes.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_by_name", "_folder")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._by_name: dict[str, subprocess.Popen[str]] = {}

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module`` with pipes for its input and output."""
        self._start(name, [sys.executable, "-m", module, *arguments])

    def start_daemon(self, name: str, settings: pathlib.Path) -> None:
        """Start fuchsiahatchd over a settings file."""
        program = str(_TREE / "fuchsiahatchd")
        self._start(name, [program, "--settings", str(settings)])

    def ask(self, name: str) -> str:
        """Send a process an empty line and return the line it answers."""
        process = self._by_name[name]
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write("\n")
        process.stdin.flush()
        return process.stdout.readline()

    def cpu_ms(self, name: str) -> float:
        """Return the processor time that a one-thread process has used."""
        path = pathlib.Path(f"/proc/{self._by_name[name].pid}/schedstat")
        return int(path.read_text("ascii").split()[0]) / _NS_PER_MS

    def rss_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        return psutil.Process(self._by_name[name].pid).memory_info().rss

    def stop(self) -> None:
        """End all processes by their ids and wait for them."""
        for process in self._by_name.values():
            process.terminate()
        for process in self._by_name.values():
            _wait(process)
        self._by_name.clear()

    def _start(self, name: str, command: t.Sequence[str]) -> None:
        with (self._folder / f"{name}.err").open("w") as errors:
            self._by_name[name] = subprocess.Popen(
                command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE if ROLES_HOST in command else errors,
                stderr=errors,
                text=True,
            )


def _wait(process: subprocess.Popen[str]) -> None:
    try:
        process.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
