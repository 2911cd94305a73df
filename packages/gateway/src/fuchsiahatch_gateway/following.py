"""Following the store: what is in it now, and after each change."""

import asyncio
import contextlib
import random
import typing as t
from asyncio import FIRST_COMPLETED

from fuchsiahatch_adapter.store import (
    HistoryLostError,
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

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.item_copies import ItemCopy
    from fuchsiahatch_gateway.store_health import StoreHealth

#: Pause behind an answered watch; what changes meanwhile comes with the next answer.
#: The first change behind a quiet time is still told at once.
WATCH_PAUSE_MS = 200
#: Changes in one answer behind which the pause is longer: none of the processes that
#: start together can be of use before the rest has started. What leaves meanwhile is
#: told that late, of the 2 s in which an upstream that leaves must get nothing more.
BURST_CHANGES = 5
BURST_PAUSE_MS = 800


class Follower:
    """Keeps copies of items with one watch for all of them.

    A watch that waits is a priced call, and so is each one behind a change, a loss of
    history or a return of the store.

    Parameters
    ----------
    store : StoreClient
    prefix : str
        Common to all copies; what stands below it is read.
    health : StoreHealth
    clock : Clock
    copies : sequence of ItemCopy
        Are told in this order.

    Attributes
    ----------
    synced : bool
        Whether the items were read at least once.
    revision : int
        The store's revision that the items are of.

    Notes
    -----
    Guards against a store that takes calls and answers none, and forgets them: a watch
    that began meanwhile would wait in vain long after the store's return, and a new
    configuration would come into force seconds late. Once any call of the process is
    answered again, all is read anew.
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
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._clock = clock
        self._copies = copies
        self._era = 0
        self._pause_ms = WATCH_PAUSE_MS
        #: A read of all items that a failure has cut short.
        self._reading: RangeRead | None = None
        self.synced = False
        self.revision = 0

    async def run(self) -> None:
        """Follow for ever."""
        known = False
        while True:
            try:
                if known:
                    known = await self._watch_or_regain()
                    if known:
                        await asyncio.sleep(self._pause_ms / 1000)
                else:
                    known = await self._read()
            except HistoryLostError as fault:
                log_event(Event.HISTORY_LOST, prefix=self._prefix, detail=fault.detail)
                known = False
                # A store may say so again of the revision that it has just named.
                await asyncio.sleep(HISTORY_RETRY_MS / 1000)
            except PlatformError as fault:
                self._health.note_failure(self._clock.now_ms(), fault.detail)
                # A read has a short limit, and shows that the store answers again.
                known = False
                await self._wait_for_store()

    async def _wait_for_store(self) -> None:
        """Wait before another try: until the store answers somebody here again.

        Each call is priced, refused ones too: one part of the process asks, the others
        wait for its answer.
        """
        await asyncio.sleep(random.uniform(0.5, 1.0) * STORE_RETRY_MS / 1000)
        if self._health.answers:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_RECOVERY_TIMEOUT_MS / 1000):
                await self._health.regained.wait()

    async def _read(self) -> bool:
        """Read all anew; return whether that is of the store's present era."""
        self._reading = self._reading or RangeRead(self._store, self._prefix)
        found = await self._reading.finish()
        self._reading = None
        self._health.note_answer(self._clock.now_ms())
        self.revision = found.revision
        self._era = found.era
        self.synced = True
        for copy in self._copies:
            copy.take_all(found.items)
        return found.era == self._store.era

    async def _watch_or_regain(self) -> bool:
        """Watch once; return whether the copies still are without gaps."""
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
        changes = await self._store.watch(self._prefix, self.revision)
        if changes.era != self._era:
            # The store came back from an older copy and has given out this revision
            # again: it answers, and tells of no change up to it.
            raise HistoryLostError(f"revision {self.revision} is of another era")
        self._health.note_answer(self._clock.now_ms())
        self.revision = max(self.revision, changes.revision)
        is_burst = len(changes.items) >= BURST_CHANGES
        self._pause_ms = BURST_PAUSE_MS if is_burst else WATCH_PAUSE_MS
        for copy in self._copies:
            copy.take_changes(changes.items)
