"""Heartbeats between entries: which entries are alive while the store is down.

A registration outlives its entry by the time of its lease, and by the whole of a store
outage. Without heartbeats, lookups name entries that have stopped meanwhile: while two
entries of a zone are restarted, callers there use up both of their attempts on them.
"""

import typing as t

from fuchsiahatch_gateway.datagrams import EntryHeartbeat, Peer

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Interval of heartbeats while the store is down.
HEARTBEAT_INTERVAL_MS = 250
#: Silence after which an entry then counts as unreachable: four heartbeats.
SILENCE_MS = 1_000
#: Time for which an entry that announced its departure is excluded: until its
#: registration has expired, or it has registered again.
DEPARTED_MS = 3_000


class EntryLiveness:
    """Tracks which other entries are alive.

    Parameters
    ----------
    node : str
        Name of this entry.
    """

    __slots__ = (
        "_answered_ms",
        "_left_ms",
        "_node",
        "_outage_began_ms",
        "_received_ms",
    )

    def __init__(self, node: str) -> None:
        self._node = node
        self._received_ms: dict[str, int] = {}
        self._left_ms: dict[str, int] = {}
        self._answered_ms: dict[str, int] = {}
        self._outage_began_ms: int | None = None

    def note_store(self, answers: bool, now_ms: int) -> None:
        """Note whether the store answers."""
        if answers:
            self._outage_began_ms = None
        elif self._outage_began_ms is None:
            self._outage_began_ms = now_ms

    def receive(self, heartbeat: EntryHeartbeat, now_ms: int) -> bool:
        """Receive a heartbeat; return whether to answer it.

        Entries that the store serves send no heartbeats by themselves. One that the
        store refuses therefore learns that they are alive only from their answers.
        """
        if not heartbeat.serving:
            self._left_ms[heartbeat.node] = now_ms
            self._received_ms.pop(heartbeat.node, None)
            return False
        self._left_ms.pop(heartbeat.node, None)
        self._received_ms[heartbeat.node] = now_ms
        answered_ms = self._answered_ms.get(heartbeat.node)
        if answered_ms is not None and now_ms - answered_ms < HEARTBEAT_INTERVAL_MS:
            return False
        self._answered_ms[heartbeat.node] = now_ms
        return True

    def peers(self, entries: t.Mapping[str, "EntryRecord"]) -> list[Peer]:
        """Return the addresses at which the other entries receive heartbeats."""
        return [entry.peer for node, entry in entries.items() if node != self._node]

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
            entry
            for node, entry in remaining.items()
            if now_ms - self._received_ms.get(node, -SILENCE_MS) < SILENCE_MS
        ]
        return alive or list(remaining.values())

    def _has_left(self, node: str, now_ms: int) -> bool:
        left_ms = self._left_ms.get(node)
        return left_ms is not None and now_ms - left_ms < DEPARTED_MS
