"""An entry's word to the agents that it hears nothing of."""

import typing as t

from fuchsiahatch_gateway.datagrams import DatagramPort, EntryBeat

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Pause between two words to an agent whose engine was first seen of late, and how long
#: that is. A word or its answer may be lost; requests wait for the first load report.
GREET_MS = 200
NEW_MS = 2_000
#: Pause to others: their hosts stand still, or have just started and read who is there.
GREET_SELDOM_MS = 2_000


class AgentGreeter:
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
        "_clock",
        "_datagrams",
        "_fleet",
        "_greeted_ms",
        "_word",
    )

    def __init__(
        self,
        node: str,
        fleet: "Fleet",
        datagrams: DatagramPort,
        agent_port: int,
        clock: "Clock",
    ) -> None:
        self._word = EntryBeat(node, True)
        self._fleet = fleet
        self._datagrams = datagrams
        self._agent_port = agent_port
        self._clock = clock
        self._greeted_ms: dict[str, int] = {}

    def greet(self) -> None:
        """Send a word to each agent that is silent, if it is due."""
        now_ms = self._clock.now_ms()
        upstreams = self._fleet.upstreams
        self._greeted_ms = {
            instance: greeted_ms
            for instance, greeted_ms in self._greeted_ms.items()
            if instance in upstreams
        }
        for instance, upstream in upstreams.items():
            if self._is_due(upstream, now_ms):
                self._greeted_ms[instance] = now_ms
                peer = upstream.entry.address.ip, self._agent_port
                self._datagrams.send(self._word, peer)

    def _is_due(self, upstream: "Upstream", now_ms: int) -> bool:
        if self._fleet.engine_of(upstream.entry.service) is None:
            return False
        if upstream.reported_ms is not None and not upstream.is_silent(now_ms):
            return False
        greeted_ms = self._greeted_ms.get(upstream.entry.instance)
        if greeted_ms is None:
            return True
        is_new = now_ms - upstream.seen_ms < NEW_MS
        return now_ms - greeted_ms >= (GREET_MS if is_new else GREET_SELDOM_MS)
