"""Removed upstreams that a store restored from an older copy may list again."""

import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which a removed upstream is remembered; a store's copy is some seconds old.
RETENTION_MS = 60_000


@dataclasses.dataclass(slots=True)
class _RemovedUpstream:
    """Last known state of a removed upstream, and whether it was listed again."""

    born_ms: int
    entry_version: tuple[int, int]
    removed_ms: int
    listed_again: bool = False


class DepartedUpstreams:
    """Remembers the recently removed upstreams.

    After a store is restored from a copy made before an upstream left, the upstream's
    entry is listed as ready again. Without this check an upstream that shuts down would
    get requests seconds after the end of its drain.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_departed")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._departed: dict[str, _RemovedUpstream] = {}

    def note(self, upstream: "Upstream") -> None:
        """Remember an upstream whose entry was removed."""
        now_ms = self._clock.now_ms()
        self._departed = {
            instance: record
            for instance, record in self._departed.items()
            if now_ms - record.removed_ms < RETENTION_MS
        }
        departed = _RemovedUpstream(upstream.born_ms, upstream.entry_version, now_ms)
        self._departed[upstream.entry.instance] = departed

    def is_outdated(self, entry: "UpstreamEntry", item: "Item") -> bool:
        """Return whether an entry is a removed one that comes from an older copy.

        The entry of a later incarnation isn't, nor is one written again since: its
        revision is higher than the last known one, and that of a copy can't be.
        """
        departed = self._departed.get(entry.instance)
        if (
            departed is None
            or self._clock.now_ms() - departed.removed_ms >= RETENTION_MS
        ):
            return False
        era, revision = departed.entry_version
        is_old = item.era > era and item.revision <= revision
        if not is_old or entry.born_ms > departed.born_ms:
            del self._departed[entry.instance]
            return False
        if not departed.listed_again:
            departed.listed_again = True
            log_event(Event.UPSTREAM_GONE, upstream=entry.instance, detail="older copy")
        return True
