"""Copies of the store's items that ignore temporary deletions."""

import asyncio
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.store_health import StoreHealth

#: Deletions of this share of all items, but at least of `MIN_LAPSED` items, in one
#: answer show that the store may have lost its leases.
LAPSE_SHARE = 0.5
MIN_LAPSED = 4


class ItemCopy:
    """Copy of the items under one prefix.

    Parameters
    ----------
    prefix : str
    health : StoreHealth
    clock : Clock
    on_change : callable
        Called after each change, without arguments.
    leased : bool, optional
        Whether the items have leases. Deletions of items without leases are final at
        once: they can't be due to an expired lease.

    Attributes
    ----------
    items : dict of str to Item
        By key without the prefix.

    Notes
    -----
    Guards against a store that loses its leases: while it is down, the owners of
    items can't renew them, and when it returns all of them are deleted for a moment.
    A process that acted on that would refuse every request. A deletion that comes
    within `LAPSE_GRACE_MS` of a failure is deferred until that time is over, and
    dropped when the item has come back. A process whose only call is a pending watch
    sees no failure at all in a short outage; there, the deletion of half of all items
    at once is the sign. Where the store has answered all the time, such deletions are
    withheld for `ANSWERED_GRACE_MS` only: it may have turned away the owners alone.
    """

    __slots__ = (
        "_clock",
        "_health",
        "_lapsed",
        "_leased",
        "_on_change",
        "_prefix",
        "items",
    )

    def __init__(
        self,
        prefix: str,
        health: "StoreHealth",
        clock: "Clock",
        on_change: t.Callable[[], None],
        leased: bool = True,
    ) -> None:
        self._prefix = prefix
        self._health = health
        self._clock = clock
        self._on_change = on_change
        self._leased = leased
        self._lapsed: set[str] = set()
        self.items: dict[str, Item] = {}

    def replace_all(self, items: t.Iterable["Item"]) -> None:
        """Replace the copy by all items of the store, as read again."""
        current = {self._name(item): item for item in self._below_prefix(items)}
        deleted = self.items.keys() - current.keys()
        self._check_for_lapse(len(deleted))
        for name in deleted:
            self._apply_deletion(name)
        self._lapsed -= current.keys()
        self.items.update(current)
        self._on_change()

    def apply_changes(self, changes: t.Iterable["Item"]) -> None:
        """Apply changed and deleted items; other prefixes are skipped."""
        matching = self._below_prefix(changes)
        self._check_for_lapse(sum(item.value is None for item in matching))
        for item in matching:
            self._apply(item)
        if matching:
            self._on_change()

    def _below_prefix(self, items: t.Iterable["Item"]) -> "list[Item]":
        return [item for item in items if item.key.startswith(self._prefix)]

    def _check_for_lapse(self, deleted: int) -> None:
        if self._leased and deleted >= max(MIN_LAPSED, LAPSE_SHARE * len(self.items)):
            self._health.note_lapse(self._clock.now_ms(), deleted)

    def _apply(self, item: "Item") -> None:
        name = self._name(item)
        current = self.items.get(name)
        if current is not None and current.change_order >= item.change_order:
            return
        if item.value is None:
            self._apply_deletion(name)
            return
        self._lapsed.discard(name)
        self.items[name] = item

    def _apply_deletion(self, name: str) -> None:
        if name not in self.items:
            return
        if not self._leased or self._health.settled(self._clock.now_ms()):
            del self.items[name]
            return
        self._lapsed.add(name)
        self._schedule_recheck(name)

    def _schedule_recheck(self, name: str) -> None:
        # Waits until the grace time after the store's return is over, not for a whole
        # grace time from now: an upstream that left late in it got requests for 2.2 s
        # more, longer than the limit.
        wait_ms = self._health.settles_in_ms(self._clock.now_ms()) + 1
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, self._finish_deletion, name)

    def _finish_deletion(self, name: str) -> None:
        if name not in self._lapsed:
            return
        if not self._health.settled(self._clock.now_ms()):
            self._schedule_recheck(name)
            return
        self._lapsed.discard(name)
        self.items.pop(name, None)
        self._on_change()

    def _name(self, item: "Item") -> str:
        return item.key.removeprefix(self._prefix)
