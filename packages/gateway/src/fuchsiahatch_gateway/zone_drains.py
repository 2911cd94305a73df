"""The zones that the operator has drained, as an entry knows them."""

import typing as t

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock


class ZoneDrains:
    """Keeps the drained zones, and since when each is drained.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    zones : frozenset of str
        The drained zones.
    """

    __slots__ = ("_began_ms", "_clock", "zones")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._began_ms: dict[str, int] = {}
        self.zones: frozenset[str] = frozenset()

    def apply(
        self, zones: t.Iterable[str], upstream_counts: t.Mapping[str, int]
    ) -> None:
        """Apply the current set of drained zones.

        Parameters
        ----------
        zones : iterable of str
        upstream_counts : mapping of str to int
            Number of upstreams of each known zone, for the log.

        Notes
        -----
        Unknown zones count as well: their upstreams may register later.
        """
        current = frozenset(zones)
        former, self.zones = self.zones, current
        for zone in sorted(current - former):
            self._begin(zone, upstream_counts)
        for zone in sorted(former - current):
            self._end(zone)

    def _begin(self, zone: str, upstream_counts: t.Mapping[str, int]) -> None:
        self._began_ms[zone] = self._clock.now_ms()
        if zone not in upstream_counts:
            log_event(Event.DRAINED_ZONE_UNKNOWN, zone=zone)
        upstreams = upstream_counts.get(zone, 0)
        log_event(Event.ZONE_DRAIN_BEGUN, zone=zone, upstreams=upstreams)

    def _end(self, zone: str) -> None:
        took_ms = self._clock.now_ms() - self._began_ms.pop(zone)
        log_event(Event.ZONE_DRAIN_ENDED, zone=zone, took_ms=took_ms)
