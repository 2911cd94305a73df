"""The upstreams known to this entry, their estimated load and the choice among them."""

import collections
import dataclasses
import random
import typing as t

from fuchsiahatch_adapter.upstreams import UpstreamEntry, decode_upstream_entry
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.allowed_regions import AllowedRegions
from fuchsiahatch_gateway.answer_statements import StatementRecords
from fuchsiahatch_gateway.cold_starts import ColdStarts
from fuchsiahatch_gateway.departed_upstreams import DepartedUpstreams
from fuchsiahatch_gateway.group_returns import GroupReturns
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.known_upstream import Upstream
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_gateway.upstream_comparison import (
    Comparison,
    fastest_paces,
    untried,
)
from fuchsiahatch_gateway.upstream_gate import UpstreamGate
from fuchsiahatch_gateway.zone_drains import ZoneDrains

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Engine
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.allowed_regions import Regions
    from fuchsiahatch_gateway.datagrams import LoadReport

#: Time for which an upstream whose process has crashed gets no requests. Its entry in
#: the store has expired by then.
CRASHED_CLOSED_MS = 5_000
#: The same for the other upstreams of its rank group. Their reports say that the group
#: works until it has stalled for some 1,500 ms, and from then on that it doesn't.
GROUP_CLOSED_MS = 2_500


class Fleet:
    """All known upstreams.

    Parameters
    ----------
    zone : str
        Zone of this entry.
    clock : Clock
    rng : random.Random
    time_of_day : Clock, optional
        Unix time.
    regions : AllowedRegions, optional
        The regions in which requests may be handled.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        By instance.
    drains : ZoneDrains
        The drained zones, whose upstreams get no new requests.
    regions : AllowedRegions
    gate : UpstreamGate
        Decides which upstreams may get new requests.
    on_departed : callable
        Called with the entry of each upstream that leaves, is removed or restarts.
    on_restarted : callable
        Called with the record of the previous incarnation of each upstream that
        restarts.
    engine_of : callable
        Returns the engine model of a service whose agents report the load of its
        engines; None for a plain service.
    cold_starts : ColdStarts
    """

    __slots__ = (
        "_by_address",
        "_by_service",
        "_clock",
        "_decoder",
        "_departed",
        "_reporting",
        "_returns",
        "_rng",
        "_statements",
        "_zone",
        "cold_starts",
        "drains",
        "engine_of",
        "gate",
        "on_departed",
        "on_restarted",
        "regions",
        "upstreams",
    )

    def __init__(
        self,
        zone: str,
        clock: "Clock",
        rng: random.Random,
        time_of_day: "Clock | None" = None,
        regions: AllowedRegions | None = None,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._by_address: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._decoder = ItemDecoder(decode_upstream_entry)
        self._departed = DepartedUpstreams(clock)
        self._statements = StatementRecords(clock, time_of_day)
        self.cold_starts = ColdStarts(clock)
        self._reporting: set[str] = set()
        self._returns = GroupReturns()
        self.upstreams: dict[str, Upstream] = {}
        self.drains = ZoneDrains(clock)
        self.regions = regions or AllowedRegions()
        self.gate = UpstreamGate(
            clock,
            self.drains,
            self.regions,
            self.of_service,
            lambda service: self.engine_of(service) is not None,
        )
        self.on_departed: t.Callable[[UpstreamEntry], None] = lambda entry: None
        self.on_restarted: t.Callable[[Upstream], None] = lambda former: None
        self.engine_of: t.Callable[[str], Engine | None] = lambda service: None

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Apply the current upstream entries of the store."""
        latest = newest_by_address(self._decoder.decode_all(items), items)
        for instance in self.upstreams.keys() - latest.keys():
            removed = self.upstreams.pop(instance)
            log_event(
                Event.UPSTREAM_GONE, upstream=instance, own=removed.local_requests
            )
            self._departed.note(removed)
            self._statements.keep(removed)
            self.on_departed(removed.entry)
        for instance, entry in latest.items():
            if not self._departed.is_outdated(entry, items[instance]):
                self._apply_entry(entry, items[instance])
        self._rebuild_indexes()
        self.cold_starts.note_synced()

    def apply_drains(
        self, zones: t.Iterable[str], known_zones: t.Iterable[str] = ()
    ) -> None:
        """Apply the drained zones of the store.

        Parameters
        ----------
        zones : iterable of str
        known_zones : iterable of str, optional
            Zones that exist besides those of the entry and the upstreams.
        """
        counts = collections.Counter(
            upstream.entry.zone for upstream in self.upstreams.values()
        )
        known = {zone: counts[zone] for zone in (self._zone, *known_zones, *counts)}
        former = self.drains.zones
        self.drains.apply(zones, known)
        for zone in former - self.drains.zones:
            self.note_zone_returned(zone)

    def observe(self, load: "LoadReport") -> None:
        """Apply a load report."""
        upstream = self._by_address.get(load.upstream)
        if upstream is None or load.born_ms < upstream.born_ms:
            return
        if load.born_ms > upstream.born_ms:
            # The agent detects a restart seconds before the store does.
            upstream = self._start_incarnation(upstream, upstream.entry, load.born_ms)
        service = upstream.entry.service
        opens = load.open and (upstream.reported_ms is None or not upstream.open)
        if opens and load.group:
            self.gate.note_opening(service)
        self._reporting.add(service)
        upstream.peer_requests = max(
            0, load.running + load.queued - upstream.local_requests
        )
        upstream.note_report(self._clock.now_ms())
        upstream.pace = load.pace
        upstream.open = load.open
        if load.open and self._clock.now_ms() >= upstream.closed_until_ms:
            self._returns.note_open(service, load.group, self._clock.now_ms())
        if not load.open:
            # From now on the reports show when the group works again.
            upstream.closed_until_ms = 0
        upstream.group = load.group
        upstream.pass_ms = load.pass_ms
        self._relieve_slow_rank(upstream)

    def note_crash(self, incarnation: str, group: str) -> None:
        """Close an upstream that has crashed, and its rank group, for some time.

        Parameters
        ----------
        incarnation : str
            The incarnation that ended.
        group : str
            Its rank group; empty where it has none.
        """
        crashed = self.upstreams.get(incarnation.rpartition("@")[0])
        if crashed is None or crashed.incarnation != incarnation:
            return
        now_ms, service = self._clock.now_ms(), crashed.entry.service
        for upstream in self.of_service(service):
            if group and upstream.group == group:
                upstream.closed_until_ms = now_ms + GROUP_CLOSED_MS
        crashed.closed_until_ms = now_ms + CRASHED_CLOSED_MS
        if group:
            self._returns.note_crash(service, group, now_ms)

    def move_from(self, group: str) -> None:
        """Move requests in flight away from a rank group that stands still."""
        now_ms = self._clock.now_ms()
        stalled = (
            upstream
            for upstream in self.upstreams.values()
            if upstream.group == group and now_ms < upstream.closed_until_ms
        )
        for upstream in tuple(stalled):
            for move in tuple(upstream.movers):
                move()

    def return_ms(self, service: str, regions: "Regions") -> int | None:
        """Return when a service works again whose rank groups have all crashed.

        Returns
        -------
        left_ms : int or None
            Expected time until the first of them works; None if an upstream is open, or
            if none of its groups is known to have crashed.
        """
        if self.gate.has_open(service, regions):
            return None
        return self._returns.left_ms(service, self._clock.now_ms())

    @property
    def unreadable(self) -> int:
        """Entries that were skipped."""
        return self._decoder.unreadable

    @property
    def backing_off_count(self) -> int:
        """Upstreams that have asked for a backoff period which hasn't ended."""
        now_ms = self._clock.now_ms()
        return sum(
            upstream.backoff_left_ms(now_ms) > 0 for upstream in self.upstreams.values()
        )

    @property
    def cold_count(self) -> int:
        """Upstreams that are known to be cold."""
        return sum(map(self.cold_starts.is_cold, self.upstreams.values()))

    def note_zone_returned(self, zone: str) -> None:
        """Note that the drain of a zone has ended."""
        self.cold_starts.note_zone_returned(zone, self.upstreams.values())

    def needs_permit(self, upstream: Upstream) -> bool:
        """Return whether a request to an upstream needs a permit."""
        return upstream.stated is not None or self.cold_starts.is_cold(upstream)

    def _relieve_slow_rank(self, upstream: Upstream) -> None:
        """Move requests away from a rank that slows down its whole group.

        Otherwise streams that run there when it becomes slow continue for 24 passes of
        350 ms, as do the streams of all other ranks; without them a pass takes 70 ms.
        """
        if not upstream.movers or not upstream.group:
            return
        usable = self.gate.usable(upstream.entry.service)
        paces = fastest_paces(usable)
        engine = self.engine_of(upstream.entry.service)
        fastest = paces.get(upstream.group, upstream.pace)
        if upstream.places(engine, fastest) >= 1.0:
            return
        for move in tuple(upstream.movers):
            move()

    def of_service(self, service: str) -> t.Sequence[Upstream]:
        """Return all upstreams of a service, usable or not."""
        return self._by_service.get(service, ())

    def is_usable(
        self, upstream: Upstream, traits: RequestTraits = ANY_REQUEST
    ) -> bool:
        """Return whether an upstream may still get a new request."""
        if self.upstreams.get(upstream.entry.instance) is not upstream:
            return False
        if not traits.admits(upstream.group):
            return False
        regions = self.regions.of(traits)
        return self.gate.obstacle(upstream, self._clock.now_ms(), regions) is None

    def choose(
        self,
        service: str,
        tried: t.Collection[str],
        traits: RequestTraits = ANY_REQUEST,
        only_unlimited: bool = False,
    ) -> Upstream | None:
        """Return an upstream that is expected to answer soon, if any has a free slot.

        Parameters
        ----------
        service : str
        tried : collection of str
            Instances that are chosen only when there is no other.
        traits : RequestTraits, optional
            Of the request that needs the upstream.
        only_unlimited : bool, optional
            Whether to skip upstreams that need a permit.
        """
        now_ms = self._clock.now_ms()
        regions = self.regions.of(traits)
        ready, backing_off = self.gate.open_upstreams(service, regions)
        engine = self.engine_of(service)
        paces = fastest_paces([*ready, *backing_off])
        has_cold_starts = self.cold_starts.limits_of(service) is not None
        free = [
            upstream
            for upstream in ready
            if traits.admits(upstream.group)
            and upstream.limited_until_ms <= now_ms
            and upstream.local_requests < upstream.max_local_requests
            and not (only_unlimited and self.needs_permit(upstream))
            and upstream.load(now_ms) < upstream.places(engine, paces[upstream.group])
            and (not has_cold_starts or self.cold_starts.may_send(upstream))
        ]
        groups = {
            self.upstreams[instance].group
            for instance in tried
            if instance in self.upstreams
        }
        candidates = untried(free, tried, groups)
        comparison = Comparison(self._zone, now_ms, service in self._reporting)
        return comparison.choose(candidates, self._rng)

    def backing_off(self, service: str) -> dict[str, int]:
        """Return the remaining backoff periods of a service's upstreams, in ms."""
        now_ms = self._clock.now_ms()
        return {
            upstream.entry.instance: left_ms
            for upstream in self._by_service.get(service, ())
            if (left_ms := upstream.backoff_left_ms(now_ms))
        }

    def _apply_entry(self, entry: UpstreamEntry, item: "Item") -> None:
        instance = entry.instance
        upstream = self.upstreams.get(instance)
        if upstream is None:
            now_ms = self._clock.now_ms()
            self.upstreams[instance] = Upstream(
                entry,
                born_ms=entry.born_ms,
                seen_ms=now_ms,
                entry_version=item.change_order,
                statements=self._statements.take(entry),
            )
            log_event(Event.UPSTREAM_SEEN, upstream=instance, service=entry.service)
            self.cold_starts.note_incarnation(self.upstreams[instance])
            self.cold_starts.note_item(self.upstreams[instance], item.change_order)
            return
        if 0 < entry.born_ms < upstream.born_ms:
            # Of a previous incarnation; the agent has already reported the current one.
            return
        if entry.born_ms > upstream.born_ms or entry.address != upstream.entry.address:
            upstream = self._start_incarnation(upstream, entry, entry.born_ms)
        if entry.leaving and not upstream.entry.leaving:
            log_event(
                Event.UPSTREAM_LEAVING,
                upstream=instance,
                own=upstream.local_requests,
                source="store",
            )
            self.on_departed(entry)
        elif upstream.entry.leaving and item.era > upstream.entry_version[0]:
            # The store was restored from a copy in which the upstream was not leaving
            # yet. Leaving is final for an incarnation: it gets no new request.
            entry = dataclasses.replace(entry, leaving=True)
        else:
            upstream.entry_version = item.change_order
        upstream.entry = entry
        self.cold_starts.note_item(upstream, item.change_order)

    def _start_incarnation(
        self, former: Upstream, entry: UpstreamEntry, born_ms: int
    ) -> Upstream:
        """Replace the state of an upstream that restarted by a new one.

        An upstream that restarts under its instance name would otherwise keep the load,
        pace and failures of the previous process, and stay misplaced for ever where
        another upstream answered at its address meanwhile. Requests in flight keep the
        previous incarnation's record, so that they free no slot of the new one.
        """
        if not former.born_ms and entry.address == former.entry.address:
            # The first known start time: the state is of this incarnation.
            former.born_ms = born_ms
            self.cold_starts.note_start_time(former)
            return former
        instance = entry.instance
        log_event(
            Event.UPSTREAM_RESTARTED,
            upstream=instance,
            own=former.local_requests,
            before_ms=former.born_ms,
            born_ms=born_ms,
        )
        self.on_departed(former.entry)
        self.on_restarted(former)
        self._statements.note_restart(former.statements, born_ms)
        restarted = Upstream(
            dataclasses.replace(entry, leaving=False),
            born_ms=born_ms,
            seen_ms=self._clock.now_ms(),
            statements=former.statements,
        )
        self.upstreams[instance] = restarted
        self.cold_starts.note_incarnation(restarted)
        self._rebuild_indexes()
        return restarted

    def _rebuild_indexes(self) -> None:
        """Rebuild the lookups by address and by service."""
        self._by_address = {}
        self._by_service = {}
        for upstream in self.upstreams.values():
            self._by_address[str(upstream.entry.address)] = upstream
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)


def newest_by_address(
    entries: t.Mapping[str, UpstreamEntry], items: t.Mapping[str, "Item"]
) -> dict[str, UpstreamEntry]:
    """Return the newest entry of each address.

    An upstream that restarts may have a new entry at once, while that of its previous
    incarnation stays for seconds until it expires. Otherwise half of all requests would
    be sent for ended incarnations, and be refused.
    """

    def recency(entry: UpstreamEntry) -> tuple[int, int, int]:
        # The upstream's own start time takes precedence: a store restored from an older
        # copy may have created the previous incarnation's entry at a later revision.
        item = items[entry.instance]
        return entry.born_ms, item.era, item.created

    newest: dict[str, UpstreamEntry] = {}
    for entry in entries.values():
        address = str(entry.address)
        current = newest.get(address)
        if current is None or recency(current) < recency(entry):
            newest[address] = entry
    return {entry.instance: entry for entry in newest.values()}
