"""Heartbeats among entries: gossip with a fixed fan-out instead of a full mesh.

Each entry numbers its own heartbeats and sends the latest ones of a few entries to a
few peers. News (an entry leaving, a newer revision) is forwarded at once.
"""

import collections
import dataclasses
import typing as t

from fuchsiahatch_core.defaults import SUSPECT_AFTER_MS
from fuchsiahatch_membership.hosts import HostReport

if t.TYPE_CHECKING:
    import random

#: Peers that one round of heartbeats goes to.
FAN_OUT = 2
#: Peers to which each entry forwards news when it first receives it.
NEWS_FAN_OUT = 3
#: Heartbeats that one message carries, so that its size is bounded in any fleet. In a
#: large region an entry then knows most of the others, not all: lookup needs a few.
BEATS_PER_MESSAGE = 8
#: Silence after which an entry is considered unreachable; longer than for an agent, as
#: its heartbeats are relayed by peers.
ENTRY_SUSPECT_AFTER_MS = 3 * SUSPECT_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """One heartbeat of one incarnation of an entry, direct or relayed.

    Attributes
    ----------
    host, incarnation : str
    number : int
        Counts up within the incarnation; only that process raises it.
    age_ms : int
        Time since it was sent, summed over the entries that relayed it. Clocks of
        different hosts are never compared.
    leaving : bool
    revision, roster_revision : int
        Of the configuration in force there.
    open_requests : int
    """

    host: str
    incarnation: str
    number: int
    age_ms: int = 0
    leaving: bool = False
    revision: int = 0
    roster_revision: int = 0
    open_requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A heartbeat is due.

    Attributes
    ----------
    peers : tuple of str
        The other entries of the region that are on the host list now.
    """

    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Described:
    """The present state of this entry itself."""

    leaving: bool
    revision: int
    roster_revision: int
    open_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class BeatsHeard:
    """A peer's message, or its reply to ours."""

    beats: tuple[Beat, ...]


Event = Tick | Described | BeatsHeard


@dataclasses.dataclass(frozen=True, slots=True)
class SendBeats:
    """Send heartbeats to peers; their replies are handled as `BeatsHeard`."""

    hosts: tuple[str, ...]
    beats: tuple[Beat, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HostReported:
    """An entry is known to be alive, in this state."""

    report: HostReport


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionHeard:
    """Some entry has a newer configuration than any known before."""

    revision: int
    roster_revision: int


Effect = SendBeats | HostReported | RevisionHeard


@dataclasses.dataclass(slots=True)
class _Received:
    beat: Beat
    heard_ms: int


class Heartbeats:
    """Liveness of a region's entries as one entry knows it.

    Parameters
    ----------
    host, incarnation : str
        Of this entry.
    rng : random.Random
    fan_out, news_fan_out, beats_per_message : int, optional
    suspect_after_ms : int, optional
        Older heartbeats are neither accepted nor relayed.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_beats_per_message",
        "_fan_out",
        "_news_fan_out",
        "_own_beat",
        "_passed_on",
        "_peers",
        "_received",
        "_revisions",
        "_rng",
        "_suspect_after_ms",
    )

    def __init__(
        self,
        host: str,
        incarnation: str,
        rng: "random.Random",
        fan_out: int = FAN_OUT,
        news_fan_out: int = NEWS_FAN_OUT,
        beats_per_message: int = BEATS_PER_MESSAGE,
        suspect_after_ms: int = ENTRY_SUSPECT_AFTER_MS,
    ) -> None:
        self._own_beat = Beat(host, incarnation, 0)
        self._rng = rng
        self._fan_out = fan_out
        self._news_fan_out = news_fan_out
        self._beats_per_message = beats_per_message
        self._suspect_after_ms = suspect_after_ms
        self._peers: tuple[str, ...] = ()
        self._received: dict[tuple[str, str], _Received] = {}
        self._passed_on: collections.Counter[tuple[str, str]] = collections.Counter()
        self._revisions = (0, 0)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Handle an event and return the effects to carry out.

        Parameters
        ----------
        event : Event
        now_ms : int
            On this process's monotonic clock.
        """
        if isinstance(event, Tick):
            return self._tick(event, now_ms)
        if isinstance(event, Described):
            return self._describe(event, now_ms)
        return self._receive(event, now_ms)

    def reply(self, now_ms: int) -> tuple[Beat, ...]:
        """Return the heartbeats that answer a peer's message."""
        return self._digest(now_ms)

    def _tick(self, event: Tick, now_ms: int) -> list[Effect]:
        self._peers = event.peers
        self._own_beat = dataclasses.replace(
            self._own_beat, number=self._own_beat.number + 1
        )
        self._drop_expired(now_ms)
        own = HostReported(_report_of(self._own_beat, now_ms))
        return [own, *self._send(self._fan_out, now_ms)]

    def _describe(self, event: Described, now_ms: int) -> list[Effect]:
        old = self._own_beat
        self._own_beat = dataclasses.replace(
            old,
            number=old.number + 1,
            leaving=event.leaving,
            revision=event.revision,
            roster_revision=event.roster_revision,
            open_requests=event.open_requests,
        )
        newer = _revisions_of(self._own_beat) > _revisions_of(old)
        if not newer and old.leaving == event.leaving:
            return []
        own = HostReported(_report_of(self._own_beat, now_ms))
        return [own, *self._send(self._news_fan_out, now_ms)]

    def _receive(self, event: BeatsHeard, now_ms: int) -> list[Effect]:
        newly_leaving = [beat for beat in event.beats if self._is_newly_leaving(beat)]
        stored = [beat for beat in event.beats if self._store(beat, now_ms)]
        reports = [HostReported(self._newest_report(beat.host)) for beat in stored]
        effects: list[Effect] = [*reports, *self._revision_news(stored)]
        # If this waited for the next heartbeat or the lagging host list, lookup would
        # still send callers to an entry that closes its port.
        if any(beat in newly_leaving for beat in stored):
            effects += self._send(self._news_fan_out, now_ms)
        return effects

    def _is_newly_leaving(self, beat: Beat) -> bool:
        life = self._received.get((beat.host, beat.incarnation))
        return beat.leaving and (life is None or not life.beat.leaving)

    def _store(self, beat: Beat, now_ms: int) -> bool:
        """Store a heartbeat if it is newer than the latest of its incarnation."""
        name = (beat.host, beat.incarnation)
        is_own = name == (self._own_beat.host, self._own_beat.incarnation)
        # An old heartbeat that circulates among entries would keep a dead host in
        # the lookup; its age grows with every hop, so that it expires.
        if is_own or beat.age_ms >= self._suspect_after_ms:
            return False
        life = self._received.get(name)
        if life is not None and beat.number <= life.beat.number:
            return False
        self._received[name] = _Received(beat, now_ms - beat.age_ms)
        self._passed_on[name] = 0
        return True

    def _revision_news(self, beats: t.Iterable[Beat]) -> list[Effect]:
        heard = [self._revisions, *map(_revisions_of, beats)]
        roster_revision, revision = map(max, zip(*heard, strict=True))
        if (roster_revision, revision) == self._revisions:
            return []
        self._revisions = (roster_revision, revision)
        return [RevisionHeard(revision, roster_revision)]

    def _newest_report(self, host: str) -> HostReport:
        lives = (life for name, life in self._received.items() if name[0] == host)
        newest = max(lives, key=lambda life: life.heard_ms)
        return _report_of(newest.beat, newest.heard_ms)

    def _drop_expired(self, now_ms: int) -> None:
        for name in [
            name for name in self._received if not self._is_live(name, now_ms)
        ]:
            del self._received[name]
            del self._passed_on[name]

    def _is_live(self, name: tuple[str, str], now_ms: int) -> bool:
        return now_ms - self._received[name].heard_ms < self._suspect_after_ms

    def _is_leaving(self, name: tuple[str, str]) -> bool:
        return self._received[name].beat.leaving

    def _send(self, fan_out: int, now_ms: int) -> list[Effect]:
        count = min(fan_out, len(self._peers))
        hosts = tuple(self._rng.sample(self._peers, count))
        return [SendBeats(hosts, self._digest(now_ms))] if hosts else []

    def _digest(self, now_ms: int) -> tuple[Beat, ...]:
        """Return this entry's heartbeat and those that were relayed least often."""
        live = [name for name in self._received if self._is_live(name, now_ms)]
        self._rng.shuffle(live)
        live.sort(key=lambda name: (self._passed_on[name], not self._is_leaving(name)))
        chosen = live[: self._beats_per_message - 1]
        self._passed_on.update(chosen)
        lives = map(self._received.__getitem__, chosen)
        aged = (_aged(life, now_ms) for life in lives)
        return (self._own_beat, *aged)


def _aged(life: _Received, now_ms: int) -> Beat:
    return dataclasses.replace(life.beat, age_ms=now_ms - life.heard_ms)


def _revisions_of(beat: Beat) -> tuple[int, int]:
    return beat.roster_revision, beat.revision


def _report_of(beat: Beat, heard_ms: int) -> HostReport:
    return HostReport(
        host=beat.host,
        incarnation=beat.incarnation,
        leaving=beat.leaving,
        in_flight=beat.open_requests,
        queued=0,
        limit=1,
        heard_ms=heard_ms,
    )
