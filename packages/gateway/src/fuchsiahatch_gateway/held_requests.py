"""Held requests in the store: for entries that start, and those that heard nothing."""

import asyncio
import contextlib
import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import read_json
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import ConflictError, PlatformError
from fuchsiahatch_gateway.crashing_requests import HOLD_MS
from fuchsiahatch_gateway.defaults import HELD_PREFIX
from fuchsiahatch_gateway.item_decoding import ItemDecoder

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item, StoreClient
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests, Hold

#: Entries that write what the store lacks, the first of all by their names.
WRITERS = 3
#: Pause between one writer and the next, in which the first has written.
STAGGER_MS = 250
#: How often it is looked whether the store has lost something.
LOOK_MS = 2_000
#: Time left below which a hold isn't written any more.
LEAST_LEASE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRecord:
    """What the store says of one request.

    Attributes
    ----------
    held : bool
        False once it got a whole answer.
    upstreams : tuple of str
        Lives that ended under it.
    """

    held: bool
    upstreams: tuple[str, ...] = ()


def decode_held_record(name: str, value: bytes) -> HeldRecord:
    """Decode an item's value.

    Raises
    ------
    FormError
    """
    return read_json(value, HeldRecord, f"held request {name}")


class HeldRequests:
    """Keeps the store and an entry's own count of crashes in step.

    What the store lacks is written as long as it lacks it, so that an outage, or an
    older copy of the store, loses nothing. Each item has a lease for as long as its
    request is held, so that nobody has to remove it.

    Parameters
    ----------
    store : StoreClient
    requests : CrashingRequests
    place : callable
        Returns this entry's place among all that live, by name; 0 is the first, None
        while it isn't one of them.
    """

    __slots__ = ("_due", "_items", "_place", "_read", "_records", "_requests", "_store")

    def __init__(
        self,
        store: "StoreClient",
        requests: "CrashingRequests",
        place: t.Callable[[], int | None],
    ) -> None:
        self._store = store
        self._requests = requests
        self._place = place
        self._due = asyncio.Event()
        self._items: t.Mapping[str, Item] = {}
        self._records: dict[str, HeldRecord] = {}
        self._read = ItemDecoder(decode_held_record)
        requests.changed = self._due.set

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Take over what the store says now."""
        fresh = self._read.decode_all(items)
        held = {name for name, one in fresh.items() if one.held}
        # Once for each change: crashes behind it count against the request again.
        cleared = {
            name
            for name, one in fresh.items()
            if not one.held and self._records.get(name) != one
        }
        self._items, self._records = dict(items), fresh
        self._requests.take_stored(held, cleared)
        self._due.set()

    async def run(self) -> None:
        """Write what the store lacks, for ever."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_MS / 1000):
                    await self._due.wait()
            self._due.clear()
            try:
                await self._write_cleared()
                await self._write_held()
            except (ConflictError, PlatformError) as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=str(fault))
                await asyncio.sleep(LOOK_MS / 1000)
                self._due.set()

    async def _write_held(self) -> None:
        if not self._lacking():
            return
        place = self._place()
        if place is None or place >= WRITERS:
            return
        await asyncio.sleep(place * STAGGER_MS / 1000)
        for hold in self._lacking():
            lease = await self._store.grant(hold.left_ms)
            await self._put(hold.fingerprint, HeldRecord(True, hold.lives), lease)

    def _lacking(self) -> list["Hold"]:
        return [
            hold
            for hold in self._requests.own_holds()
            if hold.left_ms > LEAST_LEASE_MS and not self._says_held(hold.fingerprint)
        ]

    def _says_held(self, fingerprint: str) -> bool:
        known = self._records.get(fingerprint)
        return known is not None and known.held

    async def _write_cleared(self) -> None:
        """Say in the store that requests are held no more that had a whole answer."""
        wrong = [
            name
            for name, one in self._records.items()
            if one.held and self._requests.is_whole(name)
        ]
        for name in wrong:
            lease = await self._store.grant(HOLD_MS)
            await self._put(name, HeldRecord(False), lease)

    async def _put(self, fingerprint: str, record: HeldRecord, lease: int) -> None:
        known = self._items.get(fingerprint)
        revision = 0 if known is None else known.revision
        key = HELD_PREFIX + fingerprint
        value = orjson.dumps(record)
        await self._store.put(key, value, lease, expected=revision)
        # Until the watch tells of it; its revision is taken over from there.
        self._records[fingerprint] = record
        log_event(Event.HOLD_WRITTEN, fingerprint=fingerprint, held=record.held)
