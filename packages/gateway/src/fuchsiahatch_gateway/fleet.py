"""The servers that this entry knows, and the load that it believes each to have."""

import dataclasses
import random
import typing as t

from fuchsiahatch_adapter.servers import ServerEntry, decode_server_entry
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.defaults import LOAD_LIMIT_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.datagrams import LoadReport

#: Time in which a server's failure counts half.
FAILURE_HALF_LIFE_MS = 2_000
#: Requests that one fresh failure counts as, when servers are compared.
FAILURE_COST = 3.0
#: Requests that a way into another zone counts as: it only breaks ties.
ZONE_COST = 0.2
#: Weight of the newest of a plain server's latencies in their running mean.
LATENCY_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class Server:
    """One server and what this entry believes of it.

    Attributes
    ----------
    entry : ServerEntry
    own : int
        Requests that this entry has sent there and that have not ended.
    others : int
        Requests of other entries, from the last load report.
    reported_ms : int or None
        When that report came.
    pace : float
    open : bool
        Whether its rank group works.
    misplaced : bool
        Whether another server answered at its address.
    latency_ms : float
        Running mean of its answers; 0 before the first.
    """

    entry: ServerEntry
    own: int = 0
    others: int = 0
    reported_ms: int | None = None
    pace: float = 1.0
    open: bool = True
    misplaced: bool = False
    latency_ms: float = 0.0
    _failures: float = 0.0
    _failed_ms: int = 0

    def load(self, now_ms: int) -> int:
        """Return the requests that are believed to be there."""
        if self.reported_ms is None or now_ms - self.reported_ms > LOAD_LIMIT_MS:
            return self.own
        return self.own + self.others

    def note_failure(self, now_ms: int) -> None:
        """Count a failure against the server."""
        self._failures = self.failures(now_ms) + 1.0
        self._failed_ms = now_ms

    def failures(self, now_ms: int) -> float:
        """Return the failures of late, older ones counted less."""
        if not self._failures:
            return 0.0
        age_ms = now_ms - self._failed_ms
        return self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def note_latency(self, latency_ms: float) -> None:
        """Take an answer's latency into the running mean."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)


class Fleet:
    """All servers.

    Parameters
    ----------
    zone : str
        Of this entry.
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    servers : dict of str to Server
        By instance.
    on_gone : callable
        Is given the entry of each server that is gone.
    """

    __slots__ = ("_by_address", "_clock", "_rng", "_zone", "on_gone", "servers")

    def __init__(self, zone: str, clock: "Clock", rng: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._by_address: dict[str, Server] = {}
        self.servers: dict[str, Server] = {}
        self.on_gone: t.Callable[[ServerEntry], None] = lambda entry: None

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Take over the servers' entries, as they are in the store now."""
        fresh = {}
        for instance, item in items.items():
            entry = _decode(instance, item)
            if entry is not None:
                fresh[instance] = entry
        for instance in self.servers.keys() - fresh.keys():
            gone = self.servers.pop(instance)
            log_event(Event.SERVER_GONE, server=instance, own=gone.own)
            self.on_gone(gone.entry)
        for instance, entry in fresh.items():
            self._put(instance, entry)
        self._by_address = {
            str(server.entry.address): server for server in self.servers.values()
        }

    def observe(self, load: "LoadReport") -> None:
        """Take in a load report."""
        server = self._by_address.get(load.server)
        if server is None:
            return
        server.others = max(0, load.running + load.queued - server.own)
        server.reported_ms = self._clock.now_ms()
        server.pace = load.pace
        server.open = load.open

    def usable(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new work."""
        return [
            server
            for server in self.servers.values()
            if server.entry.service == service
            and not server.entry.leaving
            and not server.misplaced
            and server.open
        ]

    def is_usable(self, server: Server) -> bool:
        """Return whether a server may still get new work."""
        known = self.servers.get(server.entry.instance)
        return known is server and not (
            server.entry.leaving or server.misplaced or not server.open
        )

    def choose(
        self, service: str, tried: t.Collection[str], spare: float = 0.0
    ) -> Server | None:
        """Return the server that is expected to answer soonest, if any has a place.

        Parameters
        ----------
        service : str
        tried : collection of str
            Instances that are chosen only when there is no other.
        spare : float, optional
            Requests that a server may have beyond its places.
        """
        now_ms = self._clock.now_ms()
        free = [
            server
            for server in self.usable(service)
            if server.load(now_ms) < server.entry.places + spare
        ]
        fresh = [server for server in free if server.entry.instance not in tried]
        candidates = fresh or free
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        known = [one.latency_ms for one in candidates if one.latency_ms]
        fastest_ms = min(known, default=0.0)
        return min(candidates, key=lambda one: self._cost(one, now_ms, fastest_ms))

    def _cost(self, server: Server, now_ms: int, fastest_ms: float) -> float:
        cost = server.load(now_ms) * server.pace
        cost += FAILURE_COST * server.failures(now_ms)
        if server.entry.zone != self._zone:
            cost += ZONE_COST
        if server.latency_ms and fastest_ms:
            cost += server.latency_ms / fastest_ms - 1.0
        return cost

    def _put(self, instance: str, entry: ServerEntry) -> None:
        known = self.servers.get(instance)
        if known is None:
            self.servers[instance] = Server(entry)
            log_event(Event.SERVER_SEEN, server=instance, service=entry.service)
            return
        if entry.leaving and not known.entry.leaving:
            log_event(Event.SERVER_LEAVING, server=instance, own=known.own)
            self.on_gone(entry)
        known.entry = entry


def _decode(instance: str, item: "Item") -> ServerEntry | None:
    try:
        return decode_server_entry(instance, item.value or b"")
    except (KeyError, TypeError, ValueError) as fault:
        detail = f"{type(fault).__name__}: {fault}"
        log_event(Event.SERVER_UNREADABLE, server=instance, detail=detail)
        return None
