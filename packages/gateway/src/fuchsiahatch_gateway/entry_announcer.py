"""An entry announces itself to agents that it hears nothing of."""

import typing as t

from fuchsiahatch_gateway.datagrams import DatagramPort, EntryHeartbeat

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Pause between two announcements to an agent whose engine was first seen of late, and
#: how long that is. One or its answer may be lost; requests wait for the first load
#: report.
ANNOUNCE_MS = 200
NEW_MS = 2_000
#: Pause to others: their hosts stand still, or have just started and read who is there.
ANNOUNCE_SELDOM_MS = 2_000


class EntryAnnouncer:
    """Tells agents of this entry until they report their engines' load to it.

    Parameters
    ----------
    node : str
        This entry.
    fleet : Fleet
    datagrams : DatagramPort
    agent_port : int
        Where agents take datagrams.
    clock : Clock
    """

    __slots__ = (
        "_agent_port",
        "_announced_ms",
        "_beat",
        "_clock",
        "_datagrams",
        "_fleet",
    )

    def __init__(
        self,
        node: str,
        fleet: "Fleet",
        datagrams: DatagramPort,
        agent_port: int,
        clock: "Clock",
    ) -> None:
        self._beat = EntryHeartbeat(node, True)
        self._fleet = fleet
        self._datagrams = datagrams
        self._agent_port = agent_port
        self._clock = clock
        self._announced_ms: dict[str, int] = {}

    def announce(self) -> None:
        """Send a heartbeat to each agent that is silent, if it is due."""
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
                self._datagrams.send(self._beat, peer)

    def _is_due(self, upstream: "Upstream", now_ms: int) -> bool:
        if self._fleet.engine_of(upstream.entry.service) is None:
            return False
        if upstream.reported_ms is not None and not upstream.is_silent(now_ms):
            return False
        announced_ms = self._announced_ms.get(upstream.entry.instance)
        if announced_ms is None:
            return True
        is_new = now_ms - upstream.seen_ms < NEW_MS
        return now_ms - announced_ms >= (ANNOUNCE_MS if is_new else ANNOUNCE_SELDOM_MS)
