"""One run of the configuration bench: some entries, their agents and the service."""

import asyncio
import dataclasses
import json
import pathlib
import time
import typing as t

from fuchsiahatch_bench.config_nodes import (
    SEGMENT,
    ZONES,
    AgentNode,
    EntryNode,
    make_rows,
    roster_rows,
)
from fuchsiahatch_bench.processes import ProcessGroup
from fuchsiahatch_core.defaults import KEY_PREFIX
from fuchsiahatch_placement import writing
from fuchsiahatch_placement.documents import Change, Document
from fuchsiahatch_placement.edits import Edit, propose
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_standins.ports import free_address

#: Changes a day that the design is for, and the time between two of them.
CHANGES_PER_DAY = 21_000
CHANGE_PERIOD_S = 86_400 / CHANGES_PER_DAY
AGENTS_PER_ENTRY = 2
TEAMS = 10
OUTAGE_S = 8.0

_POLL_S = 0.002
_READY_S = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """What one entry spent in a second, its agents' parts included.

    Attributes
    ----------
    service_calls, payload_bytes, cpu_ms : float
    """

    service_calls: float
    payload_bytes: float
    cpu_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """How one change spread, in ms after its write was answered.

    Attributes
    ----------
    entries_ms, agents_ms : float
        Until it was in force at the last entry and at the last agent.
    accepted_ms : float
        Until the operator was told the outcome.
    outcome : str
    """

    entries_ms: float
    agents_ms: float
    accepted_ms: float
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """The service was down for `OUTAGE_S`, right after a change was written.

    Attributes
    ----------
    entries_ms, agents_ms : float
        Until that change was in force at the last entry and agent.
    stale_checks, checks : int
        How often an entry was seen not fresh, of all times it was looked at.
    rates : Rates
    outcome : str
        What the operator of that change was told.
    """

    entries_ms: float
    agents_ms: float
    stale_checks: int
    checks: int
    rates: Rates
    outcome: str


class ConfigRun:
    """Some entries with their agents, measured.

    Parameters
    ----------
    entries : int
    folder : pathlib.Path
        For the service's output.
    """

    def __init__(self, entries: int, folder: pathlib.Path) -> None:
        self._folder = folder
        self._rows = make_rows(entries)
        self._service = free_address()
        url = f"http://{self._service}"
        self.entries = [EntryNode(row, self._rows, url) for row in self._rows]
        numbers = range(entries * AGENTS_PER_ENTRY)
        self.agents = [AgentNode(number, self._rows) for number in numbers]
        self._processes = ProcessGroup(folder)
        self._caller = HttpCaller(5_000)
        self._changes = 0

    async def __aenter__(self) -> "ConfigRun":
        self._start_service()
        await self._until(self._service_answers)
        for node in (*self.entries, *self.agents):
            await node.start()
        await self._until(self._all_in_force)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for node in (*self.entries, *self.agents):
            await node.stop()
        await self._caller.close()
        self._processes.stop()

    async def rates(self, seconds: float) -> Rates:
        """Measure what is spent while nothing but this goes on."""
        return await self._spent(asyncio.sleep(seconds))

    async def rates_under_changes(self, seconds: float) -> tuple[Rates, list[Spread]]:
        """Measure what is spent with changes coming at the design's rate."""
        spreads: list[Spread] = []
        rates = await self._spent(self._make_changes(seconds, spreads))
        return rates, spreads

    async def change(self) -> Spread:
        """Make one change and measure how it spreads."""
        ends, told = await self._write(asyncio.sleep(0))
        return Spread(
            _after_ms(ends, "entries"),
            _after_ms(ends, "agents"),
            _after_ms(ends, "told"),
            told.outcome.value,
        )

    async def outage(self) -> Outage:
        """Take the service down just after a change was written."""
        seen = [0, 0]
        ends: dict[str, float] = {}
        outcome: list[str] = []

        async def go() -> None:
            found, told = await self._write(self._take_down(seen))
            ends.update(found)
            outcome.append(told.outcome.value)

        rates = await self._spent(go())
        return Outage(
            _after_ms(ends, "entries"),
            _after_ms(ends, "agents"),
            *seen,
            rates,
            outcome[0],
        )

    async def _take_down(self, seen: list[int]) -> None:
        await self._fault(down=True)
        end_s = time.monotonic() + OUTAGE_S
        while time.monotonic() < end_s:
            for entry in self.entries:
                seen[0] += not entry.configuration.fresh
                seen[1] += 1
            await asyncio.sleep(0.1)
        await self._fault(down=False)

    async def _make_changes(self, seconds: float, spreads: list[Spread]) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            next_s = time.monotonic() + CHANGE_PERIOD_S
            spreads.append(await self.change())
            await asyncio.sleep(max(0, next_s - time.monotonic()))

    async def _write(
        self, when_written: t.Awaitable[None]
    ) -> tuple[dict[str, float], writing.Finished]:
        """Make one change at the first entry; return when each stage was reached."""
        writer = self.entries[0]
        writer.key_value.swapped_s = None
        self._changes += 1
        expected = writer.revision
        edit = Edit((_record(0, 1 + self._changes % 2),))
        change = Change(0, f"{expected}-{self._changes}", 0, "bench", "")
        ends: dict[str, float] = {}
        told: list[writing.Finished] = []

        def make(base: Document) -> Document:
            return propose(base, expected, change, edit)

        def emit(effect: writing.Progress | writing.Finished) -> None:
            if isinstance(effect, writing.Finished):
                ends["told"] = time.monotonic()
                told.append(effect)

        async def follow(name: str, nodes: t.Sequence[t.Any]) -> None:
            while any(node.revision <= expected for node in nodes):
                await asyncio.sleep(_POLL_S)
            ends[name] = time.monotonic()

        async def disturb() -> None:
            while writer.key_value.swapped_s is None:
                await asyncio.sleep(_POLL_S)
            ends["written"] = writer.key_value.swapped_s
            await when_written

        await asyncio.gather(
            writer.changes.run(change.change_id, make, emit),
            follow("entries", self.entries),
            follow("agents", self.agents),
            disturb(),
        )
        return ends, told[0]

    async def _spent(self, work: t.Awaitable[None]) -> Rates:
        before = self._totals()
        await work
        after = self._totals()
        calls, payload_bytes, cpu_s, now_s = (
            late - early for early, late in zip(before, after, strict=True)
        )
        each = len(self.entries) * now_s
        return Rates(calls / each, payload_bytes / each, cpu_s * 1000 / each)

    def _totals(self) -> tuple[float, float, float, float]:
        return (
            sum(one.key_value.calls for one in self.entries),
            sum(one.payload_bytes for one in self.entries),
            time.process_time(),
            time.monotonic(),
        )

    def _start_service(self) -> None:
        records = [_record(number, 1) for number in range(TEAMS)]
        arguments = []
        for name, listed in (
            ("placement", records),
            ("roster", roster_rows(self._rows)),
        ):
            path = self._folder / f"{name}.json"
            document = {"revision": 1, "history": [], "records": listed}
            path.write_text(json.dumps(document), "utf-8")
            arguments += [f"--{name}", str(path)]
        module = "fuchsiahatch_standins"
        self._processes.start_module(
            "service", module, "key-value", self._service, *arguments
        )

    async def _fault(self, **faults: t.Any) -> None:
        await self._caller.call("PUT", f"http://{self._service}/faults", faults)

    async def _service_answers(self) -> bool:
        key = f"{KEY_PREFIX}placement/{SEGMENT}"
        try:
            return bool((await self.entries[0].key_value.get(key)).value)
        except Exception:
            return False

    async def _all_in_force(self) -> bool:
        nodes = (*self.entries, *self.agents)
        fresh = all(one.configuration.fresh for one in self.entries)
        return fresh and all(node.revision >= 1 for node in nodes)

    async def _until(self, holds: t.Callable[[], t.Awaitable[bool]]) -> None:
        async with asyncio.timeout(_READY_S):
            while not await holds():
                await asyncio.sleep(0.05)


def _after_ms(ends: t.Mapping[str, float], name: str) -> float:
    # The watch may tell of a write before its writer has read the answer.
    return max(0.0, ends[name] - ends["written"]) * 1000


def _record(number: int, share_percent: int) -> dict[str, t.Any]:
    return {
        "schema": 1,
        "team": f"team-{number}",
        "zones": list(ZONES),
        "offers": ["booking-assistant@2"],
        "share_percent": share_percent,
    }
