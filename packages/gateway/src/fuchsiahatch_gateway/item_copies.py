"""Copies of the store's items, which forget only what is gone for good."""

import asyncio
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.store_health import StoreHealth

#: Share of all items, and least number of them, whose deletions in one answer show that
#: the store has forgotten its leases.
LAPSE_SHARE = 0.5
LEAST_LAPSED = 4


class ItemCopy:
    """Copy of the items below one prefix.

    Parameters
    ----------
    prefix : str
    health : StoreHealth
    clock : Clock
    on_change : callable
        Is called after each change, without arguments.

    Attributes
    ----------
    items : dict of str to Item
        By key without the prefix.

    Notes
    -----
    Guards against a store that forgets its leases: while it is away, the owners of
    items can't renew them, and on its return all of them are gone for a moment.
    Whoever believed that would refuse every request. A deletion that comes within
    `LAPSE_MS` of a failure is held back until that time is over, and dropped when the
    item has come back. A process whose only call is a watch that waits sees no failure
    at all in a short outage; there, that half of all items go at once is the sign.
    """

    __slots__ = ("_clock", "_health", "_lapsed", "_on_change", "_prefix", "items")

    def __init__(
        self,
        prefix: str,
        health: "StoreHealth",
        clock: "Clock",
        on_change: t.Callable[[], None],
    ) -> None:
        self._prefix = prefix
        self._health = health
        self._clock = clock
        self._on_change = on_change
        self._lapsed: set[str] = set()
        self.items: dict[str, Item] = {}

    def take_all(self, found: t.Iterable["Item"]) -> None:
        """Take over all items of the store, as they were read anew."""
        fresh = {self._name(item): item for item in self._own(found)}
        gone = self.items.keys() - fresh.keys()
        self._look_for_lapse(len(gone))
        for name in gone:
            self._take_deletion(name)
        self._lapsed -= fresh.keys()
        self.items.update(fresh)
        self._on_change()

    def take_changes(self, changes: t.Iterable["Item"]) -> None:
        """Take in what has changed; items of other prefixes are passed over."""
        own = self._own(changes)
        self._look_for_lapse(sum(item.value is None for item in own))
        for item in own:
            self._take(item)
        if own:
            self._on_change()

    def _own(self, items: t.Iterable["Item"]) -> "list[Item]":
        return [item for item in items if item.key.startswith(self._prefix)]

    def _look_for_lapse(self, deleted: int) -> None:
        if deleted >= max(LEAST_LAPSED, LAPSE_SHARE * len(self.items)):
            self._health.note_lapse(self._clock.now_ms(), deleted)

    def _take(self, item: "Item") -> None:
        name = self._name(item)
        known = self.items.get(name)
        if known is not None and known.change_order >= item.change_order:
            return
        if item.value is None:
            self._take_deletion(name)
            return
        self._lapsed.discard(name)
        self.items[name] = item

    def _take_deletion(self, name: str) -> None:
        if name not in self.items:
            return
        if self._health.settled(self._clock.now_ms()):
            del self.items[name]
            return
        self._lapsed.add(name)
        self._look_again(name)

    def _look_again(self, name: str) -> None:
        # Until the store's first seconds are over, not for as long from now on: an
        # upstream that left late in them got requests for 2.2 s more, over its bound.
        wait_ms = self._health.settles_in_ms(self._clock.now_ms()) + 1
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, self._end_lapse, name)

    def _end_lapse(self, name: str) -> None:
        if name not in self._lapsed:
            return
        if not self._health.settled(self._clock.now_ms()):
            self._look_again(name)
            return
        self._lapsed.discard(name)
        self.items.pop(name, None)
        self._on_change()

    def _name(self, item: "Item") -> str:
        return item.key.removeprefix(self._prefix)
