"""Which entries an agent tells of its engine's load."""

import asyncio
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.defaults import ENTRIES_PREFIX, STORE_RETRY_MS
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.lookups import decode_entry

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import StoreClient
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.datagrams import EntryBeat, Peer

#: Pause between two reads of the entries' registrations. Entries that start announce
#: themselves: a read drops those that are gone.
READ_MS = 10_000
#: Time for which an announcement counts where no registration has been read.
HEARD_MS = 2 * READ_MS


class EntryPeers:
    """The entries that an agent knows, by their announcements and by the store.

    Followed with a watch instead, each start and end of an entry is a call of each
    agent, most of the calls that a large fleet makes.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    """

    __slots__ = ("_clock", "_heard", "_items", "_registered", "_store")

    def __init__(self, store: "StoreClient", clock: "Clock") -> None:
        self._store = store
        self._clock = clock
        self._items = ItemDecoder(decode_entry)
        self._registered: dict[str, Peer] = {}
        #: By node: where an entry that announced itself takes datagrams, and when.
        self._heard: dict[str, tuple[Peer, int]] = {}

    @property
    def peers(self) -> "set[Peer]":
        """Where the entries take datagrams."""
        return {*self._registered.values(), *(peer for peer, _ in self._heard.values())}

    def take(self, beat: "EntryBeat", peer: "Peer") -> None:
        """Take in an entry's announcement, or that it leaves."""
        if beat.serving:
            self._heard[beat.node] = peer, self._clock.now_ms()
        else:
            self._heard.pop(beat.node, None)
            self._registered.pop(beat.node, None)

    async def read_for_ever(self) -> None:
        """Read the registrations now and from time to time."""
        while True:
            try:
                await self._read()
            except PlatformError as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
                await asyncio.sleep(STORE_RETRY_MS / 1000)
            else:
                await asyncio.sleep(READ_MS / 1000)

    async def _read(self) -> None:
        found = await self._store.read_all(ENTRIES_PREFIX, allow_stale=True)
        items = {item.key.removeprefix(ENTRIES_PREFIX): item for item in found.items}
        entries = self._items.decode_all(items)
        self._registered = {node: entry.peer for node, entry in entries.items()}
        oldest_ms = self._clock.now_ms() - HEARD_MS
        self._heard = {
            node: (peer, heard_ms)
            for node, (peer, heard_ms) in self._heard.items()
            if heard_ms > oldest_ms and node not in self._registered
        }
