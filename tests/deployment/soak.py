"""Plays a whole deployment under real signals.

By hand, from the root of the repository::

    python -m tests.deployment.soak --seed=1 --minutes=1
    python -m tests.deployment.soak --only=stops,shift --deployment=seven_entries
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

import fire
import msgspec

from fuchsiahatch_core.exceptions import SettingsError
from tests.deployment.addresses import DIRECTORY_PORT, FRONT_PORT, Places
from tests.deployment.configurations import HOST, KEY
from tests.deployment.deployment import UPSTREAMS, Deployment
from tests.deployment.disturbances import Disturbances
from tests.deployment.early_ends import run_until_end
from tests.deployment.findings import Examiner
from tests.deployment.options import read_options
from tests.deployment.programs import NotRunError, Programs
from tests.deployment.report import Lines, make_report, to_text

#: Time for which callers go on before the first disturbance.
LEAD_S = 3.0
#: Time that the callers' last requests may take, with their further sendings.
LAST_REQUESTS_S = 20.0
PROGRESS_EACH_S = 1.0
#: Most time that a run takes besides its minutes, for one that hangs.
START_AND_END_S = 120.0
#: Callers' processes, of which the last one is busy.
CALLER_PROCESSES = 3
EXIT_FAILED, EXIT_USAGE, EXIT_NOT_RUN = 1, 2, 3


class Soak:
    """One run.

    Parameters
    ----------
    options : Options
    folder : pathlib.Path
        Folder of settings and logs.
    show : callable
        Called with the progress as a text.

    Attributes
    ----------
    programs : Programs
    disturbances : Disturbances
    """

    def __init__(self, options, folder, show):
        self._options, self._show = options, show
        self._seed, self._layout = options.seed, options.layout
        self.places = Places(self._layout, self._seed)
        self.programs = Programs(folder, options.tree)
        self._deployment = Deployment(
            self._layout, self.places, self.programs, self._seed
        )
        self.disturbances = Disturbances(
            self._deployment, self._seed, options.disturbances
        )
        self._callers = []
        self.sendings, self.runs, self.lines, self.problems = [], [], None, []

    async def play(self):
        """Play it to the end of all processes.

        Raises
        ------
        NotRunError
        """
        try:
            await self._deployment.start()
            await self._play_load()
        finally:
            await self._deployment.close()
        self._read_logs()

    async def _play_load(self):
        began_s = time.monotonic()
        ends_s = began_s + LEAD_S + 60 * self._options.minutes
        self._start_callers(ends_s)
        progress = asyncio.ensure_future(self._show_progress(began_s, ends_s))
        try:
            await asyncio.sleep(LEAD_S)
            await self.disturbances.play(ends_s)
            await self._until_callers_ended(ends_s)
        finally:
            progress.cancel()

    def _start_callers(self, ends_s):
        layout = self._layout
        zones = [zone.name for zone in layout.zones]
        share = [layout.callers // CALLER_PROCESSES] * CALLER_PROCESSES
        share[0] += layout.callers % CALLER_PROCESSES
        for number, count in enumerate(share):
            zone = zones[number % len(zones)]
            nearest = sorted(self.places.entries, key=lambda one: one.zone != zone)
            name = f"callers-{number + 1}"
            self._callers.append(name)
            settings = {
                "seed": self._seed * CALLER_PROCESSES + number,
                "callers": count,
                "lookups": [f"{one.ip}:{DIRECTORY_PORT}" for one in nearest],
                "front_port": FRONT_PORT,
                "host": HOST,
                "key": KEY,
                "zones": [zone],
                "region": layout.region,
                "kinds": [_describe(kind) for kind in layout.kinds],
                "requests_per_s": layout.requests_per_s * count / layout.callers,
                "ends_at_s": ends_s,
                "busy": number == CALLER_PROCESSES - 1,
            }
            self.programs.start_module(name, "tests.deployment.callers", settings)

    async def _until_callers_ended(self, ends_s):
        for name in self._callers:
            left_s = ends_s + LAST_REQUESTS_S - time.monotonic()
            if not await self.programs.until_ended(name, max(0.0, left_s)):
                self.problems.append(f"{name} didn't end")

    async def _show_progress(self, began_s, ends_s):
        while True:
            passed_s = min(time.monotonic(), ends_s) - began_s
            stops = len(self.disturbances.stops)
            self._show(f"{passed_s:4.0f} of {ends_s - began_s:.0f} s, {stops} stops")
            await asyncio.sleep(PROGRESS_EACH_S)

    def _read_logs(self):
        lines = []
        for name in self.programs.processes:
            documents, others = self.programs.read_lines(name)
            if name in self._callers:
                self.sendings += documents
            elif name == UPSTREAMS:
                self.runs = [one["run"] for one in documents if "run" in one]
                self.problems += [f for one in documents for f in one.get("mixed", ())]
            else:
                lines += documents
            if others:
                self.problems.append(f"{name}: {others[-1]}")
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.lines = Lines(lines, now_s - time.monotonic())
        if not self.sendings:
            raise NotRunError(f"no request was sent: {self.problems}")

    def make_report(self):
        """Return the report."""
        examiner = Examiner(
            self._layout,
            self.runs,
            self.disturbances.stops,
            self.disturbances.mishaps,
        )
        findings = examiner.examine(self.sendings)
        nodes = {one.ip: one.name for one in self.places.entries}
        grace_s = self._layout.stop_grace_s + 0.1
        report = make_report(
            self._options.plan,
            self.sendings,
            findings,
            self.disturbances,
            self.lines,
            nodes,
            grace_s,
        )
        return {**report, "problems": self.problems}


def _describe(kind):
    fields = msgspec.to_builtins(kind)
    kept = ("name", "prefix", "method", "kind", "resumable", "objective_ms")
    more = ("time_limit_ms", "share", "request_bytes", "events_mean", "events_max")
    return {name: fields[name] for name in (*kept, *more, "work_ms")}


def read_command_line():
    """Return the options; unknown ones end the process before anything is started."""
    return fire.Fire(read_options, serialize=lambda _: None)


def main():
    """Play one seed and print its page."""
    options = read_command_line()
    with tempfile.TemporaryDirectory() as temporary:
        logs = options.folder or pathlib.Path(temporary)
        logs.mkdir(parents=True, exist_ok=True)
        soak = Soak(options, logs, _show)
        run_until_end(soak.play(), START_AND_END_S + 60 * options.minutes)
    document = soak.make_report()
    if options.report:
        options.report.write_text(json.dumps(document, indent=1), "utf-8")
    print("\n" + to_text(document))
    sys.exit(0 if document["passed"] else EXIT_FAILED)


def _show(text):
    print(f"\r{text}", end="", file=sys.stderr, flush=True)


if __name__ == "__main__":
    try:
        main()
    except SettingsError as fault:
        print(f"deployment soak: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except NotRunError as fault:
        print(f"\ndeployment soak: not run: {fault}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
