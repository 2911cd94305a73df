"""Carries one write of a segment through: the I/O that `writing.Write` asks for."""

import asyncio
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.peer_calls import PeerCalls
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_placement import writing
from fuchsiahatch_platform.keyvalue import KeyValueClient

_TICK_MS = 200

Emit = t.Callable[[writing.Progress | writing.Finished], None]


class Changes:
    """Makes changes on behalf of operators, at any entry.

    Parameters
    ----------
    configuration : Configuration
    key_value : KeyValueClient
    calls : PeerCalls
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_calls", "_clock", "_configuration", "_key_value")

    def __init__(
        self,
        configuration: Configuration,
        key_value: KeyValueClient,
        calls: PeerCalls,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._key_value = key_value
        self._calls = calls
        self._clock = clock

    async def run(
        self,
        change_id: str,
        propose: writing.Propose,
        emit: Emit,
        is_roster: bool = False,
    ) -> None:
        """Make one change and emit its progress and its end.

        Parameters
        ----------
        change_id : str
        propose : callable
            Makes the next document; see `writing.Write`.
        emit : callable
        is_roster : bool, optional
            Whether the roster is changed, not the placement segment.
        """
        key = self._configuration.roster_key if is_roster else self._configuration.key
        now_ms = self._clock.now_ms()
        write = writing.Write(change_id, propose, now_ms, is_roster)
        run = _Run(write, key, self, emit)
        try:
            await run.finish()
        finally:
            run.cancel()

    async def live_schemas(self, hosts: t.Iterable[str]) -> frozenset[int]:
        """Return the record schemas that this entry and all answering ones read."""
        reports = await asyncio.gather(*map(self._calls.tell, hosts))
        known = [report.schemas for report in reports if report is not None]
        own = self._configuration.part.report().schemas
        return frozenset(own.intersection(*known))

    async def answer(self, effect: writing.Effect, key: str) -> writing.Event | None:
        """Do what an effect asks for and return what came of it."""
        match effect:
            case writing.ReadDocument():
                return await self._read(key, writing.DocumentRead)
            case writing.ReadRoster():
                self._configuration.hear_of_newer("")
                return await self._read(
                    self._configuration.roster_key,
                    lambda value, _: writing.RosterRead(value),
                )
            case writing.SwapDocument():
                return await self._swap(key, effect)

    async def report(self, host: str) -> writing.Event | None:
        """Return an entry's report as an event; None for silence."""
        own = self._configuration.part.report()
        report = own if host == own.host else await self._calls.tell(host)
        return None if report is None else writing.Reported(report)

    def now_ms(self) -> int:
        """Return the present time in milliseconds."""
        return self._clock.now_ms()

    async def _read(
        self, key: str, make: t.Callable[[bytes, int], writing.Event]
    ) -> writing.Event:
        try:
            found = await self._key_value.get(key)
        except PlatformError as fault:
            return writing.ServiceFailed(fault.detail)
        return make(found.value, found.mod_revision)

    async def _swap(self, key: str, effect: writing.SwapDocument) -> writing.Event:
        try:
            done = await self._key_value.swap(
                key, effect.value, effect.expected_version
            )
        except PlatformError:
            return writing.SwapAmbiguous()
        return writing.SwapDone(done)


class _Run:
    """One write on its way."""

    __slots__ = ("_asked", "_changes", "_emit", "_ended", "_key", "_tasks", "_write")

    def __init__(
        self, write: writing.Write, key: str, changes: Changes, emit: Emit
    ) -> None:
        self._write = write
        self._key = key
        self._changes = changes
        self._emit = emit
        self._ended = asyncio.Event()
        self._asked: set[str] = set()
        self._tasks = Tasks()

    async def finish(self) -> None:
        """Start, and wait for the end."""
        self._do(self._write.start())
        self._tasks.repeat(self._tick, _TICK_MS)
        await self._ended.wait()

    def cancel(self) -> None:
        """End whatever is still under way."""
        self._tasks.cancel()

    async def _tick(self) -> None:
        self._handle(writing.Tick())

    def _handle(self, event: writing.Event | None) -> None:
        if event is not None and not self._write.done:
            self._do(self._write.handle(event, self._changes.now_ms()))

    def _do(self, effects: t.Iterable[writing.Effect]) -> None:
        for effect in effects:
            match effect:
                case writing.Progress():
                    self._emit(effect)
                case writing.Finished():
                    self._emit(effect)
                    self._ended.set()
                case writing.AskReports():
                    for host in sorted(set(effect.hosts) - self._asked):
                        self._tasks.spawn(self._ask(host))
                case _:
                    answer = self._changes.answer(effect, self._key)
                    self._tasks.spawn(self._await(answer))

    async def _ask(self, host: str) -> None:
        # One question to a host at a time: a slow host that was asked again at
        # each tick would get slower by it.
        self._asked.add(host)
        try:
            self._handle(await self._changes.report(host))
        finally:
            self._asked.discard(host)

    async def _await(self, answer: t.Awaitable[writing.Event | None]) -> None:
        self._handle(await answer)
