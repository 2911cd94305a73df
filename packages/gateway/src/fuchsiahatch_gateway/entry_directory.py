"""What an entry knows and tells of the fleet's entries, itself included."""

import asyncio
import itertools
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    EntryHeartbeat,
    Message,
    Peer,
)
from fuchsiahatch_gateway.entry_liveness import (
    DEPARTURE_ANNOUNCEMENTS,
    HEARTBEAT_INTERVAL_MS,
    REMINDER_INTERVAL_MS,
    EntryLiveness,
)
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.lookups import EntryRecord, choose_addresses, decode_entry

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.store_health import StoreHealth


class EntryDirectory:
    """The registered entries, which of them are alive, and heartbeats to them.

    Parameters
    ----------
    record : EntryRecord
        Registration of this entry.
    datagrams : DatagramPort
    health : StoreHealth
    clock : Clock

    Attributes
    ----------
    registered : dict of str to EntryRecord
        By node.
    decoder : ItemDecoder
    serving : bool
        Whether callers may connect to this entry.
    """

    __slots__ = (
        "_clock",
        "_datagrams",
        "_ended_revision",
        "_has_served",
        "_health",
        "_liveness",
        "_record",
        "decoder",
        "registered",
        "serving",
    )

    def __init__(
        self,
        record: EntryRecord,
        datagrams: DatagramPort,
        health: "StoreHealth",
        clock: "Clock",
    ) -> None:
        self._record = record
        self._datagrams = datagrams
        self._health = health
        self._clock = clock
        self._liveness = EntryLiveness(record.node)
        self._has_served = False
        self._ended_revision = 0
        self.decoder = ItemDecoder(decode_entry)
        self.registered: dict[str, EntryRecord] = {}
        self.serving = False

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Apply the registrations, by node."""
        registered = self.decoder.decode_all(items)
        if registered.keys() != self.registered.keys():
            log_event(Event.ENTRIES_CHANGED, entries=sorted(registered))
        self.registered = registered
        revisions = {node: item.revision for node, item in items.items()}
        self._liveness.note_registrations(revisions, self._clock.now_ms())

    def count(self) -> int:
        """Return the number of registered entries, with this one."""
        return len(self.registered.keys() | {self._record.node})

    def index(self) -> int | None:
        """Return this entry's index among the registered ones; None if it isn't one."""
        if self._record.node not in self.registered:
            return None
        return sum(node < self._record.node for node in self.registered)

    def present(self) -> dict[str, EntryRecord]:
        """Return the registered entries, except those that have left or are silent."""
        present = {entry.node: entry for entry in self._present_peers()}
        if self._record.node in self.registered:
            present[self._record.node] = self._record
        return present

    def addresses_for(self, zone: str, regions: t.Mapping[str, str]) -> list[str]:
        """Return the entry addresses for a caller of a zone."""
        local = self._record if self.serving else None
        return choose_addresses(self._present_peers(), local, zone, regions)

    def receive(self, heartbeat: EntryHeartbeat, peer: Peer) -> None:
        """Receive another entry's heartbeat, and answer it where that is due."""
        is_answer_due = self._liveness.receive(heartbeat, peer, self._clock.now_ms())
        if is_answer_due and self._has_served:
            self._datagrams.send(self._heartbeat, peer)

    def notify(self, notice: Message) -> None:
        """Send a notice to the other entries."""
        for peer in self._liveness.peers(self.registered):
            self._datagrams.send(notice, peer)

    async def announce_forever(self) -> None:
        """Announce the start, and go on with heartbeats while the store is down."""
        self._has_served = True
        self._send_heartbeats()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)
            self._liveness.note_store(self._health.answers, self._clock.now_ms())
            if self.serving and not self._health.answers:
                self._send_heartbeats()

    async def announce_departure(self, revision: int) -> None:
        """Announce the departure, also to entries that start meanwhile.

        Parameters
        ----------
        revision : int
            Of the registration that ends; 0 if it isn't known.
        """
        self._ended_revision = revision
        for sent in itertools.count(1):
            self._send_heartbeats()
            is_repeated = sent < DEPARTURE_ANNOUNCEMENTS
            interval_ms = HEARTBEAT_INTERVAL_MS if is_repeated else REMINDER_INTERVAL_MS
            await asyncio.sleep(interval_ms / 1000)

    @property
    def _heartbeat(self) -> EntryHeartbeat:
        revision = 0 if self.serving else self._ended_revision
        return EntryHeartbeat(self._record.node, self.serving, revision)

    def _send_heartbeats(self) -> None:
        now_ms = self._clock.now_ms()
        for peer in self._liveness.heartbeat_peers(self.registered, now_ms):
            self._datagrams.send(self._heartbeat, peer)

    def _present_peers(self) -> list[EntryRecord]:
        return self._liveness.present(self.registered, self._clock.now_ms())
