"""Heartbeats between entries: which entries are alive, and which have left.

A registration outlives its entry by the time of its lease, and by the whole of a store
outage. Without heartbeats, lookups name entries that have stopped meanwhile: while two
entries of a zone are restarted, callers there use up both of their attempts on them.
"""

import dataclasses
import typing as t

from fuchsiahatch_gateway.datagrams import EntryHeartbeat, Peer

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Interval of heartbeats while the store is down, and of repeated announcements.
HEARTBEAT_INTERVAL_MS = 250
#: Silence after which an entry then counts as unreachable: four heartbeats.
SILENCE_MS = 1_000
#: Heartbeats by which an entry announces its departure at first, as one may be lost.
DEPARTURE_ANNOUNCEMENTS = 3
#: Interval at which a stopping entry repeats its departure: entries that have started
#: meanwhile don't know of it.
REMINDER_INTERVAL_MS = 1_000
#: Minimum time for which an entry that announced its departure is excluded. Its last
#: registration may still be on its way to the store or from it.
DEPARTED_MS = 3_000
#: Time for which an entry that isn't registered gets heartbeats: one that is starting
#: or stopping answers lookups all the while.
UNREGISTERED_MS = 15_000


@dataclasses.dataclass(slots=True)
class _HeardEntry:
    """An entry that has sent heartbeats.

    Attributes
    ----------
    peer : tuple of (str, int)
        Its address for heartbeats.
    heard_ms : int
        When the last one arrived.
    answered_ms : int or None
        When one was last answered.
    left_ms : int or None
        When it announced its departure; None while it serves.
    left_revision : int
        Revision of the registration that it ended, by its own word if it gave one, or
        of the one known then; 0 without one.
    """

    peer: Peer
    heard_ms: int
    answered_ms: int | None = None
    left_ms: int | None = None
    left_revision: int = 0


class EntryLiveness:
    """Tracks which other entries are alive.

    Parameters
    ----------
    node : str
        Name of this entry.
    """

    __slots__ = ("_heard", "_node", "_outage_began_ms", "_revisions")

    def __init__(self, node: str) -> None:
        self._node = node
        self._heard: dict[str, _HeardEntry] = {}
        #: Revisions of the registrations, by node.
        self._revisions: t.Mapping[str, int] = {}
        self._outage_began_ms: int | None = None

    def note_store(self, answers: bool, now_ms: int) -> None:
        """Note whether the store answers."""
        if answers:
            self._outage_began_ms = None
        elif self._outage_began_ms is None:
            self._outage_began_ms = now_ms

    def note_registrations(self, revisions: t.Mapping[str, int], now_ms: int) -> None:
        """Note the revisions of the entries' registrations, by node."""
        self._revisions = revisions
        self._heard = {
            node: heard
            for node, heard in self._heard.items()
            if node in revisions or now_ms - heard.heard_ms < UNREGISTERED_MS
        }

    def receive(self, heartbeat: EntryHeartbeat, peer: Peer, now_ms: int) -> bool:
        """Receive a heartbeat; return whether to answer it.

        Entries that the store serves send no heartbeats by themselves. One that the
        store refuses therefore learns that they are alive only from their answers.
        """
        heard = self._heard.setdefault(heartbeat.node, _HeardEntry(peer, now_ms))
        heard.peer, heard.heard_ms = peer, now_ms
        if not heartbeat.serving:
            self._note_departure(heard, heartbeat, now_ms)
            return False
        heard.left_ms = None
        if (
            heard.answered_ms is not None
            and now_ms - heard.answered_ms < HEARTBEAT_INTERVAL_MS
        ):
            return False
        heard.answered_ms = now_ms
        return True

    def _note_departure(
        self, heard: _HeardEntry, heartbeat: EntryHeartbeat, now_ms: int
    ) -> None:
        known = self._revisions.get(heartbeat.node, 0)
        if 0 < heartbeat.revision < known:
            # The entry is back: its departure was read behind its next registration.
            return
        heard.left_ms = now_ms
        heard.left_revision = heartbeat.revision or known

    def peers(self, entries: t.Mapping[str, "EntryRecord"]) -> list[Peer]:
        """Return the addresses at which the registered entries receive notices."""
        return [entry.peer for node, entry in entries.items() if node != self._node]

    def heartbeat_peers(
        self, entries: t.Mapping[str, "EntryRecord"], now_ms: int
    ) -> set[Peer]:
        """Return the addresses to which heartbeats are sent.

        Besides the registered entries, those that were heard lately: one that stops has
        ended its registration and still answers lookups.
        """
        unregistered = {
            heard.peer
            for heard in self._heard.values()
            if now_ms - heard.heard_ms < UNREGISTERED_MS
        }
        return {*self.peers(entries), *unregistered}

    def present(
        self, entries: t.Mapping[str, "EntryRecord"], now_ms: int
    ) -> list["EntryRecord"]:
        """Return the other entries that callers may be sent to.

        Without heartbeats from any of them, this entry itself is probably cut off: the
        silence then doesn't show that the others are unreachable.
        """
        remaining = {
            node: entry
            for node, entry in entries.items()
            if node != self._node and not self._has_left(node, now_ms)
        }
        if self._outage_began_ms is None or now_ms - self._outage_began_ms < SILENCE_MS:
            return list(remaining.values())
        alive = [
            entry for node, entry in remaining.items() if self._is_alive(node, now_ms)
        ]
        return alive or list(remaining.values())

    def _is_alive(self, node: str, now_ms: int) -> bool:
        heard = self._heard.get(node)
        return heard is not None and now_ms - heard.heard_ms < SILENCE_MS

    def _has_left(self, node: str, now_ms: int) -> bool:
        """Return whether an entry announced its departure and hasn't come back.

        Its registration may last as long as an outage of the store, and longer. One
        that was written later shows that the entry is back.
        """
        heard = self._heard.get(node)
        if heard is None or heard.left_ms is None:
            return False
        if now_ms - heard.left_ms < DEPARTED_MS:
            return True
        return self._revisions.get(node, 0) <= heard.left_revision
