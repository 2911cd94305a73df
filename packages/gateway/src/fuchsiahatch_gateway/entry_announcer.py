"""Announces an entry to agents that don't report to it."""

import typing as t

from fuchsiahatch_gateway.datagrams import DatagramPort, EntryHeartbeat

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Interval of announcements to an agent whose engine was first seen less than
#: `NEW_UPSTREAM_MS` ago. An announcement or its answer may be lost, and requests wait
#: for the first load report.
ANNOUNCE_INTERVAL_MS = 200
NEW_UPSTREAM_MS = 2_000
#: Interval for other agents: their hosts are stalled, or have just started and read the
#: registered entries.
SLOW_ANNOUNCE_INTERVAL_MS = 2_000


class EntryAnnouncer:
    """Sends heartbeats to agents until they report their engines' load to this entry.

    Parameters
    ----------
    node : str
        Name of this entry.
    fleet : Fleet
    datagrams : DatagramPort
    agent_port : int
        Port at which agents receive datagrams.
    clock : Clock
    """

    __slots__ = (
        "_agent_port",
        "_announced_ms",
        "_clock",
        "_datagrams",
        "_fleet",
        "_heartbeat",
    )

    def __init__(
        self,
        node: str,
        fleet: "Fleet",
        datagrams: DatagramPort,
        agent_port: int,
        clock: "Clock",
    ) -> None:
        self._heartbeat = EntryHeartbeat(node, True)
        self._fleet = fleet
        self._datagrams = datagrams
        self._agent_port = agent_port
        self._clock = clock
        self._announced_ms: dict[str, int] = {}

    def announce(self) -> None:
        """Send a heartbeat to each silent agent for which one is due."""
        now_ms = self._clock.now_ms()
        upstreams = self._fleet.upstreams
        self._announced_ms = {
            instance: announced_ms
            for instance, announced_ms in self._announced_ms.items()
            if instance in upstreams
        }
        for instance, upstream in upstreams.items():
            if self._is_due(upstream, now_ms):
                self._announced_ms[instance] = now_ms
                peer = upstream.entry.address.ip, self._agent_port
                self._datagrams.send(self._heartbeat, peer)

    def _is_due(self, upstream: "Upstream", now_ms: int) -> bool:
        if self._fleet.engine_of(upstream.entry.service) is None:
            return False
        if upstream.reported_ms is not None and not upstream.is_silent(now_ms):
            return False
        announced_ms = self._announced_ms.get(upstream.entry.instance)
        if announced_ms is None:
            return True
        is_recent = now_ms - upstream.seen_ms < NEW_UPSTREAM_MS
        return now_ms - announced_ms >= (
            ANNOUNCE_INTERVAL_MS if is_recent else SLOW_ANNOUNCE_INTERVAL_MS
        )
