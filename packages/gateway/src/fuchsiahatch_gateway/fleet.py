"""The upstreams that this entry knows, and the load that it believes each to have."""

import dataclasses
import random
import typing as t

from fuchsiahatch_adapter.upstreams import UpstreamEntry, decode_upstream_entry
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.departed_upstreams import DepartedUpstreams
from fuchsiahatch_gateway.item_decoding import ItemDecoder
from fuchsiahatch_gateway.known_upstream import Upstream

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Engine
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.datagrams import LoadReport

#: Requests that one fresh failure counts as, when upstreams are compared.
FAILURE_COST = 3.0
#: Requests that the want of any load report counts as, where others have one: after a
#: loss of power, a group that has not formed yet has none.
UNKNOWN_COST = 4.0
#: Requests that the silence of its agent counts as: more than any upstream has places.
SILENT_COST = 50.0
#: Requests that a way into another zone counts as: it only breaks ties.
ZONE_COST = 0.2
#: Upstreams that one choice compares, drawn at random. Load reports are old: of 64
#: engines some 40 streams are placed between two reports of one, and with 33 entries
#: that all take the emptiest, these meet at the same few while others have free places.
#: 0.38 of the streams waited 250 ms and more for a place so; 0.024 with the best of
#: three, 0.019 of two, 0.031 of four and 0.064 of six (played, mean of three seeds, 131
#: streams a second, reports each 300 ms). With reports each 100 ms two are worse than
#: three: 0.0049 against 0.0030, and 0.0020 against 0.0013 with 7 entries, 16 engines.
COMPARED = 3
#: Time behind the first sight of an engine for which its first load report is waited
#: for. Reports come each 100 ms; after a loss of power a rank group
#: needs some 600 ms to form, and refuses whatever comes before.
FIRST_REPORT_MS = 700
#: Time for which nothing is sent to a service's engines as the first of them opens: all
#: ranks of its group have, and each tells so within its 100 ms of reports.
GATHER_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class _Fastest:
    """The best figures among the upstreams to choose from; 0 where none is known."""

    latency_ms: float
    pass_ms: float


class Fleet:
    """All upstreams.

    Parameters
    ----------
    zone : str
        Of this entry.
    clock : Clock
    rng : random.Random

    Attributes
    ----------
    upstreams : dict of str to Upstream
        By instance.
    on_gone : callable
        Is given the entry of each upstream that is gone.
    on_restarted : callable
        Is given the former life of each upstream that has begun another.
    engine_of : callable
        Returns how a service's model engines work, whose agents report their load;
        None for a plain service.
    """

    __slots__ = (
        "_by_address",
        "_by_service",
        "_clock",
        "_departed",
        "_entries",
        "_opened_ms",
        "_reports",
        "_rng",
        "_zone",
        "engine_of",
        "on_gone",
        "on_restarted",
        "upstreams",
    )

    def __init__(self, zone: str, clock: "Clock", rng: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._by_address: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._entries = ItemDecoder(decode_upstream_entry)
        self._departed = DepartedUpstreams(clock)
        self._reports: set[str] = set()
        #: When the first engine of a service opened while no other could be used.
        self._opened_ms: dict[str, int] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.on_gone: t.Callable[[UpstreamEntry], None] = lambda entry: None
        self.on_restarted: t.Callable[[Upstream], None] = lambda former: None
        self.engine_of: t.Callable[[str], Engine | None] = lambda service: None

    def apply(self, items: t.Mapping[str, "Item"]) -> None:
        """Take over the upstreams' entries, as they are in the store now."""
        fresh = newest_by_address(self._entries.decode_all(items), items)
        for instance in self.upstreams.keys() - fresh.keys():
            gone = self.upstreams.pop(instance)
            log_event(Event.UPSTREAM_GONE, upstream=instance, own=gone.own)
            self._departed.note(gone)
            self.on_gone(gone.entry)
        for instance, entry in fresh.items():
            if not self._departed.has(entry, items[instance]):
                self._put(entry, items[instance])
        self._index()

    def observe(self, load: "LoadReport") -> None:
        """Take in a load report."""
        upstream = self._by_address.get(load.upstream)
        if upstream is None or load.born_ms < upstream.born_ms:
            return
        if load.born_ms > upstream.born_ms:
            # The agent sees a new life seconds before the store does.
            upstream = self._begin_life(upstream, upstream.entry, load.born_ms)
        service = upstream.entry.service
        opens = load.open and (upstream.reported_ms is None or not upstream.open)
        if opens and load.group and not self._open(service):
            self._opened_ms[service] = self._clock.now_ms()
        self._reports.add(service)
        upstream.others = max(0, load.running + load.queued - upstream.own)
        upstream.note_report(self._clock.now_ms())
        upstream.pace = load.pace
        upstream.open = load.open
        upstream.group = load.group
        upstream.pass_ms = load.pass_ms
        self._relieve(upstream)

    @property
    def unreadable(self) -> int:
        """Entries that were passed over."""
        return self._entries.unreadable

    def _relieve(self, upstream: Upstream) -> None:
        """Move requests away from a rank that all others of its group wait for.

        Streams that ran there as it became slow went on for 24 passes of 350 ms, and so
        did those of all other ranks; without them passes took 70 ms.
        """
        if not upstream.movers or not upstream.group:
            return
        usable = self.usable(upstream.entry.service)
        paces = _fastest_paces(usable)
        engine = self.engine_of(upstream.entry.service)
        fastest = paces.get(upstream.group, upstream.pace)
        if upstream.places(engine, fastest) >= 1.0:
            return
        for move in tuple(upstream.movers):
            move()

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new work."""
        usable = self._open(service)
        others = len(self._by_service.get(service, ())) - len(usable)
        return [] if self._gathers(service, others) else usable

    def _open(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that could work, gathered or not.

        Those that are being gathered count as open: each further one would begin the
        time anew, and engines that open 50 ms apart were withheld until the last had.
        """
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if upstream.takes_work and not self._awaits_report(upstream)
        ]

    def _gathers(self, service: str, others: int) -> bool:
        """Return whether more engines are about to open than the first one.

        Guards against all that waits at all entries going to that one: of some 200
        requests on 5 places a hundred were refused, and the others late.
        """
        opened_ms = self._opened_ms.get(service)
        if opened_ms is None or not others:
            return False
        return self._clock.now_ms() - opened_ms < GATHER_MS

    def _awaits_report(self, upstream: Upstream) -> bool:
        """Return whether it is too early to send anything to an engine.

        Guards against a restart of everything at once: an entry serves some 500 ms
        before the rank groups have formed, each request that it sends there is refused,
        and the few second sends that a new process may make are used up at once. Each
        engine's own report is waited for: agents start over half a second, and while
        the first of them said that their groups were forming, the other engines got
        400 requests, and refused them.
        """
        if upstream.reported_ms is not None:
            return False
        if self._clock.now_ms() - upstream.seen_ms >= FIRST_REPORT_MS:
            return False
        return self.engine_of(upstream.entry.service) is not None

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream may still get new work."""
        known = self.upstreams.get(upstream.entry.instance)
        return known is upstream and upstream.takes_work

    def choose(
        self, service: str, tried: t.Collection[str], only_unlimited: bool = False
    ) -> Upstream | None:
        """Return an upstream that is expected to answer soon, if any has a place.

        Parameters
        ----------
        service : str
        tried : collection of str
            Instances that are chosen only when there is no other.
        only_unlimited : bool, optional
            Whether to leave out those that name the rate they take.
        """
        now_ms = self._clock.now_ms()
        usable = self.usable(service)
        engine = self.engine_of(service)
        paces = _fastest_paces(usable)
        free = [
            upstream
            for upstream in usable
            if upstream.limited_until_ms <= now_ms
            and not (only_unlimited and upstream.stated)
            and upstream.load(now_ms) < upstream.places(engine, paces[upstream.group])
        ]
        candidates = self._sound(self._untried(free, tried), now_ms)
        if not candidates:
            return None
        latencies = [one.latency_ms for one in candidates if one.latency_ms]
        passes = [one.pass_ms for one in candidates if one.pass_ms]
        fastest = _Fastest(min(latencies, default=0.0), min(passes, default=0.0))
        drawn = self._rng.sample(candidates, min(COMPARED, len(candidates)))
        return min(drawn, key=lambda one: self._cost(one, now_ms, fastest))

    def permit_wait_ms(self, service: str) -> int | None:
        """Return when a permit may be had, where all that could work need one.

        None where some upstream may be sent to at any rate, be it full now.
        """
        now_ms = self._clock.now_ms()
        waits_ms = [one.limited_until_ms - now_ms for one in self.usable(service)]
        if not waits_ms or min(waits_ms) <= 0:
            return None
        return min(waits_ms)

    def _sound(self, candidates: list[Upstream], now_ms: int) -> list[Upstream]:
        """Leave out those whose load isn't known, if others are left.

        A choice that compares a few would otherwise find nothing but upstreams that
        nobody can reach, where many of them are silent at once.
        """
        sound = [one for one in candidates if not self._unknown_cost(one, now_ms)]
        return sound or candidates

    def _unknown_cost(self, upstream: Upstream, now_ms: int) -> float:
        """Return what the want of a fresh load report counts as."""
        if upstream.reported_ms is None:
            return UNKNOWN_COST if upstream.entry.service in self._reports else 0.0
        return SILENT_COST if upstream.is_silent(now_ms) else 0.0

    def _untried(
        self, free: list[Upstream], tried: t.Collection[str]
    ) -> list[Upstream]:
        """Leave out those that were tried, and their groups, if others are left.

        All ranks of a group stand still together when one of them dies.
        """
        fresh = [one for one in free if one.entry.instance not in tried]
        groups = {
            self.upstreams[instance].group
            for instance in tried
            if instance in self.upstreams
        }
        elsewhere = [one for one in fresh if not one.group or one.group not in groups]
        return elsewhere or fresh or free

    def _cost(self, upstream: Upstream, now_ms: int, fastest: "_Fastest") -> float:
        # All ranks of a group are as slow as its slowest: one slow engine makes late
        # what the seven others write.
        slowness = upstream.pace
        if upstream.pass_ms:
            slowness = max(slowness, upstream.pass_ms / fastest.pass_ms)
        cost = (upstream.load(now_ms) + 1) * slowness
        cost += self._unknown_cost(upstream, now_ms)
        cost += FAILURE_COST * upstream.failures(now_ms)
        if upstream.entry.zone != self._zone:
            cost += ZONE_COST
        if upstream.latency_ms and fastest.latency_ms:
            cost += upstream.latency_ms / fastest.latency_ms - 1.0
        return cost

    def _put(self, entry: UpstreamEntry, item: "Item") -> None:
        instance = entry.instance
        known = self.upstreams.get(instance)
        if known is None:
            now_ms = self._clock.now_ms()
            self.upstreams[instance] = Upstream(
                entry, born_ms=entry.born_ms, seen_ms=now_ms, told=item.change_order
            )
            log_event(Event.UPSTREAM_SEEN, upstream=instance, service=entry.service)
            return
        if 0 < entry.born_ms < known.born_ms:
            # Of a former life; its agent has spoken of the present one already.
            return
        if entry.born_ms > known.born_ms or entry.address != known.entry.address:
            known = self._begin_life(known, entry, entry.born_ms)
        if entry.leaving and not known.entry.leaving:
            log_event(Event.UPSTREAM_LEAVING, upstream=instance, own=known.own)
            self.on_gone(entry)
        elif known.entry.leaving and item.era > known.told[0]:
            # The store came back from a copy in which it had not begun to leave. Who
            # leaves does so for the rest of its life, and gets no new request.
            entry = dataclasses.replace(entry, leaving=True)
        else:
            known.told = item.change_order
        known.entry = entry

    def _begin_life(
        self, former: Upstream, entry: UpstreamEntry, born_ms: int
    ) -> Upstream:
        """Forget all that is believed of an upstream's former life.

        Guards against an upstream that starts anew under its instance: it was taken
        for misplaced for ever where another one had answered at its address meanwhile,
        and kept the load, pace and failures of a process that was gone. Requests under
        way keep the former life's record, so that no place of the new one is freed.
        """
        if not former.born_ms and entry.address == former.entry.address:
            # The first word of when it began: what is believed is of this life.
            former.born_ms = born_ms
            return former
        instance = entry.instance
        log_event(
            Event.UPSTREAM_RESTARTED,
            upstream=instance,
            own=former.own,
            before_ms=former.born_ms,
            born_ms=born_ms,
        )
        self.on_gone(former.entry)
        self.on_restarted(former)
        fresh = Upstream(
            dataclasses.replace(entry, leaving=False),
            born_ms=born_ms,
            seen_ms=self._clock.now_ms(),
        )
        self.upstreams[instance] = fresh
        self._index()
        return fresh

    def _index(self) -> None:
        """Make anew what upstreams are found by, but for their instance."""
        self._by_address = {}
        self._by_service = {}
        for upstream in self.upstreams.values():
            self._by_address[str(upstream.entry.address)] = upstream
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)


def _fastest_paces(upstreams: t.Iterable[Upstream]) -> dict[str, float]:
    """Return the pace of the fastest upstream of each group."""
    paces: dict[str, float] = {}
    for one in upstreams:
        paces[one.group] = min(one.pace, paces.get(one.group, one.pace))
    return paces


def newest_by_address(
    entries: t.Mapping[str, UpstreamEntry], items: t.Mapping[str, "Item"]
) -> dict[str, UpstreamEntry]:
    """Return the newest entry of each address.

    An upstream that starts anew may have a new entry at once, and its former life's
    stays for seconds until it lapses. Half of all requests would go to lives that are
    gone, and be refused there.
    """

    def age(entry: UpstreamEntry) -> tuple[int, int, int]:
        # Its own word goes first: a store that came back from an older copy may have
        # made the entry of the former life at a later revision.
        item = items[entry.instance]
        return entry.born_ms, item.era, item.created

    newest: dict[str, UpstreamEntry] = {}
    for entry in entries.values():
        address = str(entry.address)
        known = newest.get(address)
        if known is None or age(known) < age(entry):
            newest[address] = entry
    return {entry.instance: entry for entry in newest.values()}
