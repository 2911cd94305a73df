"""Whether the store's current era has lasted for at least a leader's lease."""

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
    """Determines whether a leader of an earlier era may still rely on its lease.

    A store that was restored from an older copy has lost that lease, and its holder may
    not know. Once the era has lasted for as long as a lease, the lease has expired by
    its holder's own clock. A process can wait for that; one that has just started reads
    it from an item that names the era, written by a process that has waited. In an
    older copy of the store, that item names an earlier era or is missing.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    """

    __slots__ = (
        "_clock",
        "_era",
        "_next_write_ms",
        "_seen_ms",
        "_store",
        "_stored_era",
    )

    def __init__(self, store: "StoreClient", clock: "Clock") -> None:
        self._store = store
        self._clock = clock
        self._era = store.era
        self._seen_ms = clock.now_ms()
        self._next_write_ms = 0
        self._stored_era = 0

    def check(self) -> None:
        """Check for a new era, and note when it was first seen."""
        if self._store.era != self._era:
            self._era = self._store.era
            self._seen_ms = self._clock.now_ms()

    @property
    def locally_settled(self) -> bool:
        """Whether this process itself has seen the era last that long."""
        self.check()
        return self._clock.now_ms() - self._seen_ms >= LEADER_TTL_MS

    @property
    def settled(self) -> bool:
        """Whether the era has lasted that long, as seen here or by another process.

        A store whose answers name no era is never restored from copies.
        """
        era = self._store.era
        return not era or era == self._stored_era or self.locally_settled

    @property
    def needs_write(self) -> bool:
        """Whether the stored item is missing or stale and may be written now."""
        era = self._store.era
        if not era or era == self._stored_era or not self.locally_settled:
            return False
        return self._clock.now_ms() >= self._next_write_ms

    def receive(self, item: "Item | None") -> None:
        """Receive the stored item, with the era in which it was read."""
        if item is None or item.value is None:
            return
        try:
            era = read_json(item.value, int, "settled era")
        except FormError as fault:
            log_event(Event.ITEM_UNREADABLE, item=item.key, detail=fault.detail)
            return
        # An item from an older copy names an era that has ended.
        self._stored_era = era if era == item.era else 0

    async def write(self) -> None:
        """Store the era for processes that start later."""
        era = self._store.era
        self._next_write_ms = self._clock.now_ms() + STORE_RECOVERY_TIMEOUT_MS
        try:
            await self._store.put(SETTLED_ERA_KEY, b"%d" % era)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return
        log_event(Event.ERA_SETTLED, era=era)
