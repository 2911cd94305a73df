"""Whether the store's present era has lasted for as long as a leader's lease."""

import typing as t

from fuchsiahatch_adapter.forms import read_json
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError, PlatformError
from fuchsiahatch_gateway.defaults import (
    LEADER_TTL_MS,
    SETTLED_ERA_KEY,
    STORE_RECOVERY_TIMEOUT_MS,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item, StoreClient
    from fuchsiahatch_core.clock import Clock


class SettledEra:
    """Tells whether a leader of an earlier era may still believe in its lease.

    A store that comes back from an older copy has forgotten that lease, and whoever
    held it may not have heard. Once the era has lasted for as long as a lease, it has
    ended by its holder's own clock. A process sees that by waiting; one that has just
    started is told by an item that names the era, written by a process that waited. An
    older copy of the store names an earlier era there, or none.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    """

    __slots__ = ("_clock", "_era", "_next_ms", "_seen_ms", "_store", "_told")

    def __init__(self, store: "StoreClient", clock: "Clock") -> None:
        self._store = store
        self._clock = clock
        self._era = store.era
        self._seen_ms = clock.now_ms()
        self._next_ms = 0
        self._told = 0

    def check(self) -> None:
        """Note when the present era was first seen: now, if it is another one."""
        if self._store.era != self._era:
            self._era = self._store.era
            self._seen_ms = self._clock.now_ms()

    @property
    def seen(self) -> bool:
        """Whether this process itself has seen the era last so long."""
        self.check()
        return self._clock.now_ms() - self._seen_ms >= LEADER_TTL_MS

    @property
    def settled(self) -> bool:
        """Whether the era has lasted so long, by its own sight or another's word.

        A store whose answers name no era is none that comes back from copies.
        """
        era = self._store.era
        return not era or era == self._told or self.seen

    @property
    def needs_write(self) -> bool:
        """Whether the store should say so and doesn't, and it is time to write."""
        era = self._store.era
        if not era or era == self._told or not self.seen:
            return False
        return self._clock.now_ms() >= self._next_ms

    def receive(self, item: "Item | None") -> None:
        """Take in what the store's item says, as it was read in an era."""
        if item is None or item.value is None:
            return
        try:
            era = read_json(item.value, int, "settled era")
        except FormError as fault:
            log_event(Event.ITEM_UNREADABLE, item=item.key, detail=fault.detail)
            return
        # That of an older copy speaks of an era that is over.
        self._told = era if era == item.era else 0

    async def write(self) -> None:
        """Tell processes that start later."""
        era = self._store.era
        self._next_ms = self._clock.now_ms() + STORE_RECOVERY_TIMEOUT_MS
        try:
            await self._store.put(SETTLED_ERA_KEY, b"%d" % era)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return
        log_event(Event.ERA_SETTLED, era=era)
