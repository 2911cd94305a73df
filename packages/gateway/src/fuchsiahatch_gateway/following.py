"""Follows the store: its current items and every change of them."""

import asyncio
import contextlib
import random
import typing as t
from asyncio import FIRST_COMPLETED

from fuchsiahatch_adapter.store import (
    HistoryLostError,
    Item,
    Items,
    RangeRead,
    StoreClient,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.defaults import (
    HISTORY_RETRY_MS,
    STORE_RECOVERY_TIMEOUT_MS,
    STORE_RETRY_MS,
)
from fuchsiahatch_gateway.watching import Watcher

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.item_copies import ItemCopy
    from fuchsiahatch_gateway.store_health import StoreHealth

#: Wait of a watch in which nothing changes, and the time after which its answer is
#: overdue. Hosts are in touch again 3 s after a channel went silent, and a change must
#: be in force 2 s later: this limits both, and the longest pause between two watches,
#: to 5 s. A slow store answers within a quarter of a second.
WATCH_WAIT_MS = 3_300
WATCH_OVERDUE_MS = 400
#: Delay before the next watch after an answered one, which collects the changes made
#: meanwhile. The first change after a quiet time is still seen at once.
WATCH_PAUSE_MS = 200
#: Minimum number of changes in one answer for a delay of `BURST_PAUSE_MS`: processes
#: that start together can't serve before the rest has started. A departure is seen that
#: much later, out of the 2 s after which a leaving upstream must get no more requests.
BURST_CHANGES = 5
BURST_PAUSE_MS = 800


class Follower:
    """Keeps copies of items with one watch for all of them.

    The platform charges for each call: a pending watch, and each further call after a
    change, a loss of history or a return of the store.

    Parameters
    ----------
    store : StoreClient
    prefix : str
        Common to all copies; the items under it are read.
    health : StoreHealth
    clock : Clock
    copies : sequence of ItemCopy
        Notified in this order.
    wait_ms : int, optional
        Wait of a watch in which nothing changes, `WATCH_WAIT_MS` by default. The
        store's history may limit it further.

    Attributes
    ----------
    synced : bool
        Whether the items have been read at least once.
    revision : int
        Revision of the store that the items correspond to.

    Notes
    -----
    Guards against a store that accepts calls during an outage, answers none and drops
    them: a watch that was sent meanwhile would stay pending long after the store's
    return, and a new configuration would take effect seconds late. Once any call of
    the process is answered again, everything is read again.
    """

    __slots__ = (
        "_clock",
        "_copies",
        "_era",
        "_health",
        "_pause_ms",
        "_prefix",
        "_reading",
        "_store",
        "_wait_ms",
        "_watcher",
        "revision",
        "synced",
    )

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        health: "StoreHealth",
        clock: "Clock",
        copies: t.Sequence["ItemCopy"],
        wait_ms: int | None = None,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._clock = clock
        self._copies = copies
        wait_ms = WATCH_WAIT_MS if wait_ms is None else wait_ms
        self._wait_ms = min(wait_ms, store.max_watch_ms)
        self._era = 0
        self._pause_ms = WATCH_PAUSE_MS
        self._watcher: Watcher | None = None
        #: A read of all items that a failure has interrupted.
        self._reading: RangeRead | None = None
        self.synced = False
        self.revision = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        up_to_date = False
        while True:
            try:
                if up_to_date:
                    up_to_date = await self._watch_or_regain()
                    if up_to_date:
                        await asyncio.sleep(self._pause_ms / 1000)
                else:
                    up_to_date = await self._read()
            except HistoryLostError as fault:
                log_event(Event.HISTORY_LOST, prefix=self._prefix, detail=fault.detail)
                up_to_date = False
                # A store may report this again for the revision it has just returned.
                await asyncio.sleep(HISTORY_RETRY_MS / 1000)
            except PlatformError as fault:
                self._health.note_failure(self._clock.now_ms(), fault.detail)
                # A read has a short timeout, and shows when the store answers again.
                up_to_date = False
                await self._wait_for_store()

    def note_item(self, item: Item) -> None:
        """Note an item below the prefix, as another call has read it.

        A watch that doesn't report it in time has missed it, and is made again.
        """
        if self._has_missed(item):
            reported_within_ms = BURST_PAUSE_MS + WATCH_OVERDUE_MS
            loop = asyncio.get_running_loop()
            loop.call_later(reported_within_ms / 1000, self._check_for_item, item)

    def _check_for_item(self, item: Item) -> None:
        if self._has_missed(item) and self._watcher is not None:
            self._watcher.doubt()

    def _has_missed(self, item: Item) -> bool:
        return item.era == self._era and item.revision > self.revision

    async def _wait_for_store(self) -> None:
        """Wait before a retry, until the store answers any part of this process.

        The platform charges for each call, refused ones too: one part of the process
        polls the store, and the others wait for it to get an answer.
        """
        await asyncio.sleep(random.uniform(0.5, 1.0) * STORE_RETRY_MS / 1000)
        if self._health.answers:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_RECOVERY_TIMEOUT_MS / 1000):
                await self._health.regained.wait()

    async def _read(self) -> bool:
        """Read all items; return whether they are of the store's current era."""
        self._reading = self._reading or RangeRead(self._store, self._prefix)
        result = await self._reading.finish()
        self._reading = None
        self._health.note_answer(self._clock.now_ms())
        self.revision = result.revision
        self._era = result.era
        self.synced = True
        for copy in self._copies:
            copy.replace_all(result.items)
        return result.era == self._store.era

    async def _watch_or_regain(self) -> bool:
        """Watch once; return whether the copies have missed no change."""
        watch = asyncio.ensure_future(self._watch())
        regained = asyncio.ensure_future(self._health.regained.wait())
        try:
            await asyncio.wait({watch, regained}, return_when=FIRST_COMPLETED)
            if not watch.done():
                return False
            watch.result()
            return True
        finally:
            watch.cancel()
            regained.cancel()

    async def _watch(self) -> None:
        overdue_ms = self._wait_ms + WATCH_OVERDUE_MS
        self._watcher = Watcher(self._make_watch, overdue_ms)
        changes = await self._watcher.run()
        if changes.era != self._era:
            # The store was restored from an older copy and has reused this revision:
            # it answers, but reports no change up to it.
            raise HistoryLostError(f"revision {self.revision} belongs to another era")
        self._health.note_answer(self._clock.now_ms())
        self.revision = max(self.revision, changes.revision)
        is_burst = len(changes.items) >= BURST_CHANGES
        self._pause_ms = BURST_PAUSE_MS if is_burst else WATCH_PAUSE_MS
        for copy in self._copies:
            copy.apply_changes(changes.items)

    async def _make_watch(self, new_channel: bool) -> Items:
        return await self._store.watch(
            self._prefix, self.revision, self._wait_ms, new_channel
        )
