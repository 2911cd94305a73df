"""The entries to which an agent reports its engine's load."""

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
    from fuchsiahatch_gateway.datagrams import EntryHeartbeat, Peer

#: Interval of reads of the entries' registrations. Starting entries announce
#: themselves; the reads remove entries that have ended.
READ_INTERVAL_MS = 10_000
#: Time for which an announcement is valid for an entry without a registration.
ANNOUNCEMENT_TTL_MS = 2 * READ_INTERVAL_MS


class EntryPeers:
    """The entries that an agent knows from announcements and from the store.

    The registrations are polled rather than watched: with a watch, each start and end
    of an entry costs every agent a call, which makes up most of a large fleet's calls.

    Parameters
    ----------
    store : StoreClient
    clock : Clock
    """

    __slots__ = ("_announced", "_clock", "_decoder", "_registered", "_store")

    def __init__(self, store: "StoreClient", clock: "Clock") -> None:
        self._store = store
        self._clock = clock
        self._decoder = ItemDecoder(decode_entry)
        self._registered: dict[str, Peer] = {}
        #: By node: an announced entry's datagram address and the time of its heartbeat.
        self._announced: dict[str, tuple[Peer, int]] = {}

    @property
    def peers(self) -> "set[Peer]":
        """The entries' datagram addresses."""
        return {
            *self._registered.values(),
            *(peer for peer, _ in self._announced.values()),
        }

    def receive(self, heartbeat: "EntryHeartbeat", peer: "Peer") -> None:
        """Receive an entry's announcement or its departure."""
        if heartbeat.serving:
            self._announced[heartbeat.node] = peer, self._clock.now_ms()
        else:
            self._announced.pop(heartbeat.node, None)
            self._registered.pop(heartbeat.node, None)

    async def read_forever(self) -> None:
        """Read the registrations now and at regular intervals."""
        while True:
            try:
                await self._read()
            except PlatformError as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
                await asyncio.sleep(STORE_RETRY_MS / 1000)
            else:
                await asyncio.sleep(READ_INTERVAL_MS / 1000)

    async def _read(self) -> None:
        result = await self._store.read_all(ENTRIES_PREFIX, allow_stale=True)
        items = {item.key.removeprefix(ENTRIES_PREFIX): item for item in result.items}
        entries = self._decoder.decode_all(items)
        self._registered = {node: entry.peer for node, entry in entries.items()}
        oldest_ms = self._clock.now_ms() - ANNOUNCEMENT_TTL_MS
        self._announced = {
            node: (peer, announced_ms)
            for node, (peer, announced_ms) in self._announced.items()
            if announced_ms > oldest_ms and node not in self._registered
        }
