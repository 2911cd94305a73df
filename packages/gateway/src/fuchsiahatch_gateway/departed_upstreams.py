"""Upstreams that have gone, and that an older copy of the store still lists."""

import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which one that has gone is remembered; a store's copy is some seconds old.
REMEMBERED_MS = 60_000


@dataclasses.dataclass(slots=True)
class _Departed:
    """The last word of one that has gone, when, and whether it came up again."""

    born_ms: int
    told: tuple[int, int]
    at_ms: int
    listed_again: bool = False


class DepartedUpstreams:
    """Remembers who has gone of late.

    Guards against a store that comes back from a copy made before an upstream left: its
    entry is there again, ready, and would get requests in a life that it ends, seconds
    behind the end of its drain.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_departed")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._departed: dict[str, _Departed] = {}

    def note(self, upstream: "Upstream") -> None:
        """Remember an upstream whose entry is gone."""
        now_ms = self._clock.now_ms()
        self._departed = {
            instance: one
            for instance, one in self._departed.items()
            if now_ms - one.at_ms < REMEMBERED_MS
        }
        departed = _Departed(upstream.born_ms, upstream.told, now_ms)
        self._departed[upstream.entry.instance] = departed

    def has(self, entry: "UpstreamEntry", item: "Item") -> bool:
        """Return whether an entry is one that is gone, as an older copy tells it.

        One of a later life is not, nor one that was written again since: its revision
        is higher than what was known, where the copy's can't be.
        """
        gone = self._departed.get(entry.instance)
        if gone is None or self._clock.now_ms() - gone.at_ms >= REMEMBERED_MS:
            return False
        era, revision = gone.told
        is_old = item.era > era and item.revision <= revision
        if not is_old or entry.born_ms > gone.born_ms:
            del self._departed[entry.instance]
            return False
        if not gone.listed_again:
            gone.listed_again = True
            log_event(Event.UPSTREAM_GONE, upstream=entry.instance, detail="older copy")
        return True
