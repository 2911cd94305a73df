"""Held requests in the store, for entries that start or miss notices."""

import asyncio
import contextlib
import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import read_json
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import ConflictError, PlatformError
from fuchsiahatch_gateway.crash_evidence import HOLD_MS, Pattern
from fuchsiahatch_gateway.defaults import HELD_PREFIX
from fuchsiahatch_gateway.item_decoding import ItemDecoder

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item, StoreClient
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests
    from fuchsiahatch_gateway.holds import Hold

#: Entries that write what the store lacks: the first ones by name.
MAX_WRITERS = 3
#: Delay from one writer to the next, in which the first one has usually written.
WRITER_DELAY_MS = 250
#: Interval of the checks whether the store has lost something.
CHECK_INTERVAL_MS = 2_000
#: Remaining time below which a hold is no longer written.
MIN_LEASE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRecord:
    """The store's record of requests that are held back.

    Attributes
    ----------
    held : bool
        False once such requests got complete answers.
    upstreams : tuple of str
        Incarnations of upstreams that crashed during them.
    fingerprints : tuple of str
        What they have in common; the name of the record if it is empty.
    team : str
        Fingerprint of their team; empty for any.
    """

    held: bool
    upstreams: tuple[str, ...] = ()
    fingerprints: tuple[str, ...] = ()
    team: str = ""


def decode_held_record(name: str, value: bytes) -> HeldRecord:
    """Decode an item's value.

    Raises
    ------
    FormError
    """
    return read_json(value, HeldRecord, f"held request {name}")


class HeldRequests:
    """Synchronizes the store and an entry's own counts of crashes.

    Missing records are written until the store has them, so that an outage of the
    store, or its restore from an older copy, loses nothing. Each item has a lease for
    as long as its request is held, so that no entry has to remove it.

    Parameters
    ----------
    store : StoreClient
    requests : CrashingRequests
    entry_index : callable
        Returns the index of this entry among all live ones, sorted by name; 0 is the
        first, None while it isn't among them.
    clock : Clock
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_decoder",
        "_entry_index",
        "_items",
        "_records",
        "_requests",
        "_store",
    )

    def __init__(
        self,
        store: "StoreClient",
        requests: "CrashingRequests",
        entry_index: t.Callable[[], int | None],
        clock: "Clock",
    ) -> None:
        self._clock = clock
        self._store = store
        self._requests = requests
        self._entry_index = entry_index
        self._changed = asyncio.Event()
        self._items: t.Mapping[str, Item] = {}
        self._records: dict[str, HeldRecord] = {}
        self._decoder = ItemDecoder(decode_held_record)
        requests.on_changed = self._changed.set

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Apply the current records of the store."""
        current = self._decoder.decode_all(items)
        held = {
            name: _pattern_of(name, record)
            for name, record in current.items()
            if record.held
        }
        # Applied once per change: later crashes count against the request again.
        cleared = {
            name: _pattern_of(name, record)
            for name, record in current.items()
            if not record.held and self._records.get(name) != record
        }
        self._items, self._records = dict(items), current
        self._requests.apply_stored(held, cleared)
        self._changed.set()

    async def run(self) -> None:
        """Write what the store lacks, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_MS / 1000):
                    await self._changed.wait()
            self._changed.clear()
            try:
                await self._write_cleared()
                await self._remove_obsolete()
                await self._write_held()
            except (ConflictError, PlatformError) as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=str(fault))
                await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
                self._changed.set()

    async def _write_held(self) -> None:
        if not self._missing():
            return
        entry_index = self._entry_index()
        if entry_index is None or entry_index >= MAX_WRITERS:
            return
        await asyncio.sleep(entry_index * WRITER_DELAY_MS / 1000)
        for hold in self._missing():
            lease = await self._store.grant(self._left_ms(hold))
            await self._write(hold.name, _record_of(hold), lease)

    def _missing(self) -> list["Hold"]:
        return [
            hold
            for hold in self._requests.holds.local()
            if self._left_ms(hold) > MIN_LEASE_MS
            and not self._is_stored_held(hold.name)
        ]

    def _left_ms(self, hold: "Hold") -> int:
        return hold.until_ms - self._clock.now_ms()

    def _is_stored_held(self, name: str) -> bool:
        known = self._records.get(name)
        return known is not None and known.held

    async def _write_cleared(self) -> None:
        """Store that requests with a complete answer are no longer held."""
        outdated = {
            name: record
            for name, record in self._records.items()
            if record.held and self._requests.holds.is_cleared(name)
        }
        for name, record in outdated.items():
            lease = await self._store.grant(HOLD_MS)
            cleared = dataclasses.replace(record, held=False, upstreams=())
            await self._write(name, cleared, lease)

    async def _remove_obsolete(self) -> None:
        """Remove what this entry held, and then found to be no cause of crashes."""
        obsolete = [
            item
            for name, item in self._items.items()
            if self._is_stored_held(name) and self._requests.holds.is_obsolete(name)
        ]
        for item in obsolete:
            await self._store.remove(item.key, item.revision)
            name = item.key.removeprefix(HELD_PREFIX)
            self._requests.holds.note_removed(name)
            fingerprints = sorted(_pattern_of(name, self._records.pop(name)).keys)
            log_event(Event.HOLD_WRITTEN, fingerprints=fingerprints, held=False)

    async def _write(self, name: str, record: HeldRecord, lease: int) -> None:
        known = self._items.get(name)
        revision = 0 if known is None else known.revision
        value = orjson.dumps(record)
        await self._store.put(HELD_PREFIX + name, value, lease, expected=revision)
        # Until the watch reports the write; the revision comes from there too.
        self._records[name] = record
        fingerprints = sorted(_pattern_of(name, record).keys)
        log_event(Event.HOLD_WRITTEN, fingerprints=fingerprints, held=record.held)


def _record_of(hold: "Hold") -> HeldRecord:
    keys = hold.pattern.keys
    named = () if hold.name in keys else tuple(sorted(keys))
    return HeldRecord(True, hold.incarnations, named, hold.pattern.team)


def _pattern_of(name: str, record: HeldRecord) -> Pattern:
    return Pattern(frozenset(record.fingerprints or (name,)), record.team)
