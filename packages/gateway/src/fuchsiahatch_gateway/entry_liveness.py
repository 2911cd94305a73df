"""Heartbeats between entries: which of them are there while the store can't say so.

A registration outlives its entry by its lease, and by the whole outage while the store
is away. Lookups named entries that had stopped meanwhile: where two of a zone's were
being restarted, callers there spent both of their tries on them.
"""

import typing as t

from fuchsiahatch_gateway.datagrams import EntryHeartbeat, Peer

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Pause between two heartbeats while the store is away.
BEAT_MS = 250
#: Silence behind which an entry counts as gone then: four heartbeats.
SILENCE_MS = 1_000
#: Time for which an entry that said it leaves is left out: until its registration has
#: lapsed, or it has registered anew.
LEFT_MS = 3_000


class EntryLiveness:
    """What this entry heard from others.

    Parameters
    ----------
    node : str
        This entry.
    """

    __slots__ = ("_answered_ms", "_away_ms", "_heard_ms", "_left_ms", "_node")

    def __init__(self, node: str) -> None:
        self._node = node
        self._heard_ms: dict[str, int] = {}
        self._left_ms: dict[str, int] = {}
        self._answered_ms: dict[str, int] = {}
        self._away_ms: int | None = None

    def note_store(self, answers: bool, now_ms: int) -> None:
        """Note whether the store answers."""
        if answers:
            self._away_ms = None
        elif self._away_ms is None:
            self._away_ms = now_ms

    def receive(self, beat: EntryHeartbeat, now_ms: int) -> bool:
        """Take in a heartbeat; return whether it is to be answered.

        An entry that the store turns away hears from those that it serves only if
        these answer.
        """
        if not beat.serving:
            self._left_ms[beat.node] = now_ms
            self._heard_ms.pop(beat.node, None)
            return False
        self._left_ms.pop(beat.node, None)
        self._heard_ms[beat.node] = now_ms
        answered_ms = self._answered_ms.get(beat.node)
        if answered_ms is not None and now_ms - answered_ms < BEAT_MS:
            return False
        self._answered_ms[beat.node] = now_ms
        return True

    def peers(self, entries: t.Mapping[str, "EntryRecord"]) -> list[Peer]:
        """Return where the other entries take heartbeats."""
        return [one.peer for node, one in entries.items() if node != self._node]

    def present(
        self, entries: t.Mapping[str, "EntryRecord"], now_ms: int
    ) -> list["EntryRecord"]:
        """Return the other entries that callers may be sent to.

        Where nobody at all is heard, this entry itself is cut off, and its silence
        says nothing of the others.
        """
        others = {
            node: one
            for node, one in entries.items()
            if node != self._node and not self._has_left(node, now_ms)
        }
        if self._away_ms is None or now_ms - self._away_ms < SILENCE_MS:
            return list(others.values())
        heard = [
            one
            for node, one in others.items()
            if now_ms - self._heard_ms.get(node, -SILENCE_MS) < SILENCE_MS
        ]
        return heard or list(others.values())

    def _has_left(self, node: str, now_ms: int) -> bool:
        left_ms = self._left_ms.get(node)
        return left_ms is not None and now_ms - left_ms < LEFT_MS
