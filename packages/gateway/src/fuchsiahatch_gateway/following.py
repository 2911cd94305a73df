"""Following a part of the store: what is below a prefix, now and after each change."""

import asyncio
import contextlib
import dataclasses
import random
import typing as t
from asyncio import FIRST_COMPLETED

from fuchsiahatch_adapter.store import (
    HistoryLostError,
    Item,
    RangeRead,
    StoreClient,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.defaults import (
    HISTORY_RETRY_MS,
    LAPSE_MS,
    STORE_PATIENCE_MS,
    STORE_RETRY_MS,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Share of all items, and least number of them, whose deletions in one answer show that
#: the store has forgotten its leases.
LAPSE_SHARE = 0.5
LEAST_LAPSED = 4
#: Pause behind an answered watch; what changes meanwhile comes with the next answer. As
#: 64 upstreams and 33 entries register within two seconds, each process made a call for
#: each of them: 8,500 calls in a day with one loss of power, each of them priced. The
#: first change behind a quiet time is still told at once, and the others 0.2 s late at
#: most, of the 2 s in which an upstream that leaves must get nothing more.
WATCH_PAUSE_MS = 200
#: Changes in one answer behind which that pause is longer: processes start or end one
#: after the other, each other process asks again behind each of them, and none of them
#: can be of use before the rest has started. A start of 100 within two seconds takes 5
#: calls of each process instead of 10. What leaves in it is told 0.8 s late at most.
BURST_CHANGES = 5
BURST_PAUSE_MS = 800


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """When the store last failed and last answered this process.

    Attributes
    ----------
    failed_ms, answered_ms, regained_ms : int or None
        The last failure, the last answer, and the first answer behind a failure.
    regained : asyncio.Event
        Set, and replaced by another, when the store answers again.
    """

    failed_ms: int | None = None
    answered_ms: int | None = None
    regained_ms: int | None = None
    regained: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def note_answer(self, now_ms: int) -> None:
        """Note that a call was answered."""
        if self.failed_ms is not None and not self.answers:
            log_event(Event.STORE_REGAINED, silent_ms=now_ms - self.failed_ms)
            self.regained_ms = now_ms
            self.regained.set()
            self.regained = asyncio.Event()
        self.answered_ms = now_ms

    def note_lapse(self, now_ms: int, deleted: int) -> None:
        """Note that the store has forgotten its leases."""
        log_event(Event.LEASES_LAPSED, deleted=deleted)
        self.regained_ms = now_ms

    def note_restored(self, now_ms: int) -> None:
        """Note that the store came back from an older copy, without its leases.

        Others' registrations are missing until they have written them again, as behind
        an outage; and whoever waits for the store's return reads all anew.
        """
        self.regained_ms = now_ms
        self.regained.set()
        self.regained = asyncio.Event()

    def note_failure(self, now_ms: int, detail: str) -> None:
        """Note that a call failed."""
        if self.answers:
            log_event(Event.STORE_LOST, detail=detail)
        self.failed_ms = now_ms

    @property
    def answers(self) -> bool:
        """Whether the last call was answered."""
        if self.failed_ms is None:
            return True
        return self.answered_ms is not None and self.answered_ms > self.failed_ms

    def settles_in_ms(self, now_ms: int) -> int:
        """Return when to look again whether what is gone is gone, at the least."""
        if not self.answers or self.regained_ms is None:
            return LAPSE_MS // 4
        return max(self.regained_ms + LAPSE_MS - now_ms, 0)

    def settled(self, now_ms: int) -> bool:
        """Whether the store has answered for so long that what is gone is gone."""
        if self.regained_ms is None:
            return self.failed_ms is None
        return self.answers and now_ms - self.regained_ms >= LAPSE_MS


class Follower:
    """Keeps a copy of all items below a prefix.

    Parameters
    ----------
    store : StoreClient
    prefix : str
    health : StoreHealth
    clock : Clock
    on_change : callable
        Is called after each change, without arguments.

    Attributes
    ----------
    items : dict of str to Item
        By key without the prefix.
    synced : bool
        Whether the items were read at least once.
    revision : int
        The store's revision that the items are of.

    Notes
    -----
    Guards against a store that forgets its leases: while it is away, the owners of
    items can't renew them, and on its return all of them are gone for a moment.
    Whoever believed that would refuse every request. A deletion that comes within
    `LAPSE_MS` of a failure is held back until that time is over, and dropped when the
    item has come back. A process whose only call is a watch that waits sees no failure
    at all in a short outage; there, that half of all items go at once is the sign.

    Guards as well against a store that takes calls and answers none, and forgets them:
    a watch that began meanwhile would wait in vain long after the store's return, and
    a new configuration would come into force seconds late. Once any call of the
    process is answered again, all is read anew.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_health",
        "_lapsed",
        "_on_change",
        "_prefix",
        "_reading",
        "_rest_ms",
        "_store",
        "items",
        "revision",
        "synced",
    )

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        health: StoreHealth,
        clock: "Clock",
        on_change: t.Callable[[], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._health = health
        self._clock = clock
        self._on_change = on_change
        self._lapsed: set[str] = set()
        self._era = 0
        self._rest_ms = WATCH_PAUSE_MS
        #: A read of all items that a failure has cut short.
        self._reading: RangeRead | None = None
        self.items: dict[str, Item] = {}
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
                        await asyncio.sleep(self._rest_ms / 1000)
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
                await self._pause()

    async def _pause(self) -> None:
        """Wait before another try: until the store answers somebody here again.

        Each call is priced, refused ones too: one part of the process asks, the others
        wait for its answer.
        """
        await asyncio.sleep(random.uniform(0.5, 1.0) * STORE_RETRY_MS / 1000)
        if self._health.answers:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_PATIENCE_MS / 1000):
                await self._health.regained.wait()

    async def _read(self) -> bool:
        """Read all anew; return whether that is of the store's present era."""
        self._reading = self._reading or RangeRead(self._store, self._prefix)
        found = await self._reading.finish()
        self._reading = None
        self._health.note_answer(self._clock.now_ms())
        fresh = {self._name(item.key): item for item in found.items}
        gone = self.items.keys() - fresh.keys()
        self._look_for_lapse(len(gone))
        for name in gone:
            self._take_deletion(name)
        self._lapsed -= fresh.keys()
        self.items.update(fresh)
        self.revision = found.revision
        self._era = found.era
        self.synced = True
        self._on_change()
        return found.era == self._store.era

    async def _watch_or_regain(self) -> bool:
        """Watch once; return whether the copy still is one without gaps."""
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
        self._look_for_lapse(sum(item.value is None for item in changes.items))
        for item in changes.items:
            self._take(item)
        self.revision = max(self.revision, changes.revision)
        is_burst = len(changes.items) >= BURST_CHANGES
        self._rest_ms = BURST_PAUSE_MS if is_burst else WATCH_PAUSE_MS
        if changes.items:
            self._on_change()

    def _look_for_lapse(self, deleted: int) -> None:
        if deleted >= max(LEAST_LAPSED, LAPSE_SHARE * len(self.items)):
            self._health.note_lapse(self._clock.now_ms(), deleted)

    def _take(self, item: Item) -> None:
        name = self._name(item.key)
        known = self.items.get(name)
        if known is not None and known.told >= item.told:
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

    def _name(self, key: str) -> str:
        return key.removeprefix(self._prefix)
