"""The gate that decides which upstreams may get new requests."""

import dataclasses
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_gateway.obstacles import Obstacle

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.allowed_regions import AllowedRegions, Regions
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.zone_drains import ZoneDrains

#: Time after an engine is first seen for which its first load report is awaited.
#: Reports come every 100 ms; after a power loss a rank group needs some 600 ms to form,
#: and refuses every request until then.
FIRST_REPORT_TIMEOUT_MS = 700
#: Time for which a service's engines get no request after the first of them opens. All
#: ranks of its group open together, and each reports it within 100 ms.
OPENING_DELAY_MS = 100
#: Obstacles of upstreams whose opening no request waits for.
_NOT_AWAITED = (Obstacle.NOT_ALLOWED, Obstacle.ZONE_DRAINED)


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailability:
    """When an upstream accepts requests again, if none of its service does now.

    Attributes
    ----------
    wait_ms : int
        Time until then.
    needs_permit : bool
        Whether it is the time until its next permit, not the rest of a backoff period.
    may_wait : bool
        Whether a request may wait until then; if not, it is refused at once.
    """

    wait_ms: int
    needs_permit: bool
    may_wait: bool = True


class UpstreamGate:
    """Decides which upstreams of a service may get new requests, and why not.

    Parameters
    ----------
    clock : Clock
    drains : ZoneDrains
    regions : AllowedRegions
    upstreams_of : callable
        Returns all known upstreams of a service.
    has_engines : callable
        Returns whether agents report the load of a service's upstreams.
    """

    __slots__ = (
        "_clock",
        "_drains",
        "_has_engines",
        "_opened_ms",
        "_regions",
        "_upstreams_of",
    )

    def __init__(
        self,
        clock: "Clock",
        drains: "ZoneDrains",
        regions: "AllowedRegions",
        upstreams_of: "t.Callable[[str], t.Sequence[Upstream]]",
        has_engines: t.Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._drains = drains
        self._regions = regions
        self._upstreams_of = upstreams_of
        self._has_engines = has_engines
        #: When a service's first engine opened while no other was usable.
        self._opened_ms: dict[str, int] = {}

    def note_opening(self, service: str) -> None:
        """Note that an engine opens, before its record shows that."""
        if not self.has_open(service, None):
            self._opened_ms[service] = self._clock.now_ms()

    def usable(self, service: str, regions: "Regions" = None) -> "list[Upstream]":
        """Return the upstreams of a service that may get new requests.

        Those in a backoff period are among them.

        Parameters
        ----------
        service : str
        regions : frozenset of str or None, optional
            Regions in which the requests may be handled.
        """
        ready, backing_off = self.open_upstreams(service, regions)
        return [*ready, *backing_off]

    def open_upstreams(
        self, service: str, regions: "Regions"
    ) -> "tuple[list[Upstream], list[Upstream]]":
        """Return the usable upstreams of a service, those in a backoff period apart."""
        ready, backing_off = self._without_delay(service, regions)
        if self._delays_opening(service, regions, len(ready) + len(backing_off)):
            return [], []
        return ready, backing_off

    def has_open(self, service: str, regions: "Regions") -> bool:
        """Return whether an upstream is open, also if its opening is delayed."""
        return any(self._without_delay(service, regions))

    def obstacle(
        self, upstream: "Upstream", now_ms: int, regions: "Regions"
    ) -> Obstacle | None:
        """Return what keeps new requests from an upstream, the most lasting first.

        All requests pass this gate: when an upstream is chosen, and once more before
        they are sent, by `Fleet.is_usable`.
        """
        zone = upstream.entry.zone
        if regions is not None and not self._regions.include_zone(regions, zone):
            return Obstacle.NOT_ALLOWED
        accepts_requests = upstream.accepts_requests
        if not accepts_requests and upstream.departed:
            return Obstacle.DEPARTED
        if zone in self._drains.zones:
            return Obstacle.ZONE_DRAINED
        if not accepts_requests or now_ms < upstream.closed_until_ms:
            return Obstacle.CLOSED
        if self._awaits_report(upstream, now_ms):
            return Obstacle.CLOSED
        if upstream.backoff_left_ms(now_ms):
            return Obstacle.BACKING_OFF
        return None

    def refusal(self, service: str, regions: "Regions" = None) -> Code | None:
        """Return why a service's requests are refused at once; None if they may wait.

        Parameters
        ----------
        service : str
        regions : frozenset of str or None, optional
            Regions in which the requests may be handled.

        Returns
        -------
        code : Code or None
            `NO_ALLOWED_PLACE` if no upstream is in an allowed region; `ZONE_DRAINED` if
            some are and all of them that haven't departed are in drained zones.

        Notes
        -----
        Closed upstreams in other zones prevent a refusal. Otherwise, when a rank group
        opens or closes, all waiting requests would be refused if the report of a rank
        in a drained zone came first.
        """
        if regions is None and not self._drains.zones:
            return None
        now_ms = self._clock.now_ms()
        obstacles = {
            self.obstacle(upstream, now_ms, regions)
            for upstream in self._upstreams_of(service)
        } - {Obstacle.NOT_ALLOWED}
        if regions is not None and not obstacles:
            return Code.NO_ALLOWED_PLACE
        if obstacles - {Obstacle.DEPARTED} == {Obstacle.ZONE_DRAINED}:
            return Code.ZONE_DRAINED
        return None

    def unavailability(
        self, service: str, regions: "Regions" = None
    ) -> Unavailability | None:
        """Return when the first upstream accepts requests again.

        Parameters
        ----------
        service : str
        regions : frozenset of str or None, optional
            Regions in which the requests may be handled.

        Returns
        -------
        unavailability : Unavailability or None
            None if one accepts requests now, even a full one, or if none is usable.

        Notes
        -----
        Requests wait for permits of cold upstreams, which become due soon, but not for
        those of upstreams with a stated rate.
        """
        now_ms = self._clock.now_ms()
        closed: list[Unavailability] = []
        for upstream in self.usable(service, regions):
            limited_ms = max(0, upstream.limited_until_ms - now_ms)
            backoff_ms = upstream.backoff_left_ms(now_ms)
            wait_ms = max(limited_ms, backoff_ms)
            if not wait_ms:
                return None
            needs_permit = limited_ms > backoff_ms
            may_wait = not needs_permit or upstream.stated is None
            closed.append(Unavailability(wait_ms, needs_permit, may_wait))
        closed.sort(key=lambda one: one.wait_ms)
        first = next(iter(closed), None)
        if first is None or first.may_wait:
            return first
        cold = (one for one in closed if one.needs_permit and one.may_wait)
        return next(cold, first)

    def _without_delay(
        self, service: str, regions: "Regions"
    ) -> "tuple[list[Upstream], list[Upstream]]":
        """Return the same as `open_upstreams`, but without the delay at opening.

        `note_opening` counts delayed upstreams as open. Otherwise each further one
        would restart the delay, and engines that open 50 ms apart would be withheld
        until the last one is open.
        """
        now_ms = self._clock.now_ms()
        ready: list[Upstream] = []
        backing_off: list[Upstream] = []
        for upstream in self._upstreams_of(service):
            obstacle = self.obstacle(upstream, now_ms, regions)
            if obstacle is None:
                ready.append(upstream)
            elif obstacle is Obstacle.BACKING_OFF:
                backing_off.append(upstream)
        return ready, backing_off

    def _delays_opening(
        self, service: str, regions: "Regions", open_count: int
    ) -> bool:
        """Return whether requests wait for further engines to open after the first one.

        Otherwise the first one gets every request that waits at any entry: of some 200
        requests for 5 slots a hundred are refused, and the rest are late.
        """
        opened_ms = self._opened_ms.get(service)
        now_ms = self._clock.now_ms()
        if opened_ms is None or now_ms - opened_ms >= OPENING_DELAY_MS:
            return False
        expected = sum(
            self.obstacle(upstream, now_ms, regions) not in _NOT_AWAITED
            for upstream in self._upstreams_of(service)
        )
        return open_count < expected

    def _awaits_report(self, upstream: "Upstream", now_ms: int) -> bool:
        """Return whether requests to an engine must wait for its first load report.

        When everything restarts at once, an entry serves some 500 ms before the rank
        groups have formed. Each request that it sends there is refused, which uses up
        the small retry budget of a new process. Each engine's own report is awaited:
        agents start over half a second, and while the first of them report that their
        groups are forming, the other engines would get 400 requests and refuse them.
        """
        if upstream.reported_ms is not None:
            return False
        if now_ms - upstream.seen_ms >= FIRST_REPORT_TIMEOUT_MS:
            return False
        return self._has_engines(upstream.entry.service)
