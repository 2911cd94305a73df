import asyncio
import contextlib
import io
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from tests.deployment.addresses import FRONT_PORT
from tests.deployment.early_ends import run_until_end
from tests.deployment.options import read_options
from tests.deployment.programs import ROOT, NotRunError
from tests.deployment.soak import Soak

#: Seeds of which no other run uses the addresses.
SIGNAL_SEED, FAULT_SEED, PORT_SEED = 197, 198, 199
START_LIMIT_S, END_LIMIT_S = 60.0, 30.0
POLL_S = 0.05


def find_children(pid):
    """Return the ids of the processes that a process started and that still run."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            state, parent = path.read_text().rpartition(")")[2].split()[:2]
        except OSError:
            continue
        if int(parent) == pid and state != "Z":
            found.append(int(path.parent.name))
    return found


class TestSignals(unittest.TestCase):
    def test_a_run_that_is_ended_ends_its_processes_and_says_not_run(self):
        for offset, number in enumerate((signal.SIGTERM, signal.SIGINT)):
            with self.subTest(number), tempfile.TemporaryDirectory() as folder:
                self.check(number, seed=SIGNAL_SEED - offset, folder=folder)

    def check(self, number, seed, folder):
        command = [sys.executable, "-m", "tests.deployment.soak", f"--seed={seed}"]
        process = subprocess.Popen(
            [*command, f"--folder={folder}"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            self.wait_for_callers(process, pathlib.Path(folder))
            children = find_children(process.pid)
            self.assertGreater(len(children), 20)
            process.send_signal(number)
            _, said = process.communicate(timeout=END_LIMIT_S)
        finally:
            # A driver that hangs is still asked to end its own processes first.
            process.terminate()
            process.communicate()
        self.assertEqual(process.returncode, 3, said)
        self.assertIn(f"not run: ended early by {number.name}", said)
        left = [pid for pid in children if pathlib.Path(f"/proc/{pid}").exists()]
        self.assertEqual(left, [])

    def wait_for_callers(self, process, folder):
        until_s = time.monotonic() + START_LIMIT_S
        while not (folder / "callers-3.log").exists():
            self.assertIsNone(process.poll())
            self.assertLess(time.monotonic(), until_s)
            time.sleep(POLL_S)


class TestFaults(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def make_soak(self, seed):
        options = read_options(seed=seed, minutes=0.5, only="stops")
        return Soak(options, self.folder, show=lambda text: None)

    def test_a_fault_of_the_driver_ends_all_processes(self):
        soak = self.make_soak(FAULT_SEED)
        soak.disturbances.play = self.fail_at_once
        said = io.StringIO()
        with contextlib.redirect_stderr(said):
            with self.assertRaisesRegex(NotRunError, "no such disturbance"):
                run_until_end(soak.play(), START_LIMIT_S)
        self.assertIn("fail_at_once", said.getvalue())
        self.assertGreater(len(soak.programs.processes), 20)
        self.assertEqual(soak.programs.left, [])
        with self.assertRaises(NotRunError):
            soak.programs.start_module("late", "tests.deployment.upstreams", {})

    async def fail_at_once(self, until_s):
        raise LookupError("no such disturbance")

    def test_a_taken_port_is_told_and_nothing_is_started(self):
        soak = self.make_soak(PORT_SEED)
        place = soak.places.entries[-1]
        with socket.create_server((place.ip, FRONT_PORT)):
            with self.assertRaisesRegex(NotRunError, f"{place.ip}:{FRONT_PORT}"):
                run_until_end(soak.play(), START_LIMIT_S)
        self.assertEqual(soak.programs.processes, {})

    def test_a_taken_port_has_an_exit_code_of_its_own(self):
        place = self.make_soak(PORT_SEED).places.entries[0]
        command = [sys.executable, "-m", "tests.deployment.soak", f"--seed={PORT_SEED}"]
        with socket.create_server((place.ip, FRONT_PORT)):
            ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(ended.returncode, 3)
        self.assertIn("not run", ended.stderr)

    def test_a_run_beyond_its_limit_is_cancelled_and_not_run(self):
        ended = []
        with self.assertRaisesRegex(NotRunError, "not over"):
            run_until_end(self.hang(ended), limit_s=0.05)
        self.assertEqual(ended, [True])

    async def hang(self, ended):
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(True)
