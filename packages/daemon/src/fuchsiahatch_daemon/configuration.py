"""The entry's configuration: asks the service and the other entries, applies, tells."""

import contextlib
import hashlib
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import KEY_PREFIX
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_daemon.peer_calls import PeerCalls
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_placement import acceptance
from fuchsiahatch_placement.acceptance import EntryConfiguration, Question
from fuchsiahatch_placement.records import Snapshot
from fuchsiahatch_platform.keyvalue import KeyValueClient

#: Entries of a region that hold a watch on a segment; the others hear it of them.
WATCHERS_PER_REGION = 2
_WATCH_PAUSE_MS = 1_000
_HINT_PAUSE_MS = 100
_NEVER_READ = -1


class Configuration:
    """Keeps one entry's placement snapshot, and whether it is fresh.

    Parameters
    ----------
    part : EntryConfiguration
        Decides; this class does what it says.
    segment : str
    key_value : KeyValueClient
    calls : PeerCalls
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        part: EntryConfiguration,
        segment: str,
        key_value: KeyValueClient,
        calls: PeerCalls,
        clock: Clock,
    ) -> None:
        self.part = part
        self.key = f"{KEY_PREFIX}placement/{segment}"
        self.roster_key = f"{KEY_PREFIX}roster"
        self._key_value = key_value
        self._calls = calls
        self._clock = clock
        self._tasks = Tasks()
        self._listeners: list[t.Callable[[], None]] = []
        self._versions = {self.roster_key: _NEVER_READ, self.key: _NEVER_READ}
        self._hinted_ms = -_HINT_PAUSE_MS
        self._reading = False
        self._pulling: set[str] = set()

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force here."""
        return self.part.snapshot

    @property
    def fresh(self) -> bool:
        """Whether work may be admitted under the snapshot now."""
        return self.part.is_fresh(self._clock.now_ms())

    def start(self) -> None:
        """Begin to ask."""
        self._tasks.repeat(self._tick, acceptance.TICK_MS)
        self._tasks.repeat(self._watch, _WATCH_PAUSE_MS)

    def stop(self) -> None:
        """End asking."""
        self._tasks.cancel()

    def when_applied(self, listener: t.Callable[[], None]) -> None:
        """Call a listener after each applied revision."""
        self._listeners.append(listener)

    def hear_of_newer(self, host: str) -> None:
        """Ask an entry that has something newer, or the service if none is named."""
        if not host:
            self._ask_soon()
        elif host not in self._pulling:
            self._pulling.add(host)
            self._tasks.spawn(self._pull(host))

    def _ask_soon(self) -> None:
        # Each refused request of a stale entry hints at something newer: a burst
        # of them must not become a burst of questions.
        now_ms = self._clock.now_ms()
        if now_ms - self._hinted_ms >= _HINT_PAUSE_MS:
            self._hinted_ms = now_ms
            self._handle(acceptance.RosterHint())

    async def _tick(self) -> None:
        self._handle(acceptance.Tick())

    def _handle(self, event: acceptance.Event) -> None:
        for effect in self.part.handle(event, self._clock.now_ms()):
            self._do(effect)

    def _do(self, effect: acceptance.Effect) -> None:
        match effect:
            case acceptance.AskService():
                self._tasks.spawn(self._ask_service(effect.question))
            case acceptance.AskPeers():
                for host in effect.hosts:
                    self._tasks.spawn(self._ask_peer(host, effect.question))
            case acceptance.Applied():
                revision = effect.snapshot.revision
                log_event(Event.CONFIGURATION_APPLIED, revision=revision)
                self._tell_listeners()
            case acceptance.RosterApplied():
                log_event(Event.ROSTER_APPLIED, revision=effect.roster.revision)
                self._tell_listeners()
            case acceptance.RevertSeen():
                log_event(
                    Event.REVERT_SEEN,
                    source=effect.source,
                    segment=effect.segment,
                    held_revision=effect.held_revision,
                    seen_revision=effect.seen_revision,
                )
            case acceptance.Unreadable():
                log_event(Event.CONFIGURATION_UNREADABLE, detail=effect.detail)
            case acceptance.FreshnessChanged():
                event = Event.FRESHNESS_GAINED if effect.fresh else Event.FRESHNESS_LOST
                log_event(event, revision=self.snapshot.revision)

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    async def _ask_service(self, question: Question) -> None:
        # One read at a time: the answer of an earlier read, handed in after that
        # of a later one, would look like a service that was set back.
        if self._reading:
            return
        self._reading = True
        try:
            changed = await self._key_value.get_changed(self._versions)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return
        finally:
            self._reading = False
        self._versions |= {key: found.mod_revision for key, found in changed.items()}
        values = {key: found.value for key, found in changed.items()}
        roster_document, document = values.get(self.roster_key), values.get(self.key)
        self._handle(acceptance.ServiceAnswer(question, roster_document, document))

    async def _ask_peer(self, host: str, question: Question) -> None:
        answer = await self._calls.ask(host, question)
        if answer is not None:
            self._handle(answer)

    async def _pull(self, host: str) -> None:
        """Fetch what an entry has that is newer; this confirms nothing."""
        report = self.part.report()
        question = Question(
            report.host, report.incarnation, 0, report.roster_revision, report.revision
        )
        try:
            await self._ask_peer(host, question)
        finally:
            self._pulling.discard(host)

    async def _watch(self) -> None:
        if not self._is_watcher():
            return
        async with contextlib.aclosing(self._key_value.watch(self.key)) as values:
            async for found in values:
                self._handle(acceptance.WatchEvent(found.value))
                if not self._is_watcher():
                    return

    def _is_watcher(self) -> bool:
        """Whether this entry is one of the few that hold the region's watches."""
        report = self.part.report()
        hosts = self.part.roster.hosts_in(report.region) | {report.host}
        ranked = sorted(hosts, key=lambda host: _rank(self.key, host))
        return report.host in ranked[:WATCHERS_PER_REGION]


def _rank(segment: str, host: str) -> bytes:
    return hashlib.blake2b(f"{segment}\n{host}".encode(), digest_size=8).digest()
