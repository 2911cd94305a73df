"""Comparison of the upstreams of a service that have a free slot."""

import dataclasses
import random
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Cost of one recent failure when upstreams are compared; all costs are in requests.
FAILURE_COST = 3.0
#: Cost of an upstream without any load report, where others of its service have one:
#: after a power loss, a group that has not formed yet sends none.
UNKNOWN_COST = 4.0
#: Cost of an upstream whose agent is silent: more than any upstream has slots.
SILENT_COST = 50.0
#: Cost of an upstream in another zone: it only breaks ties.
ZONE_COST = 0.2
#: Upstreams compared for one choice, drawn at random. Load reports are stale: with 64
#: engines some 40 streams are placed between two reports of an engine, and if each of
#: 33 entries takes the least loaded one, the streams meet at the same few engines while
#: others have free slots. At 131 streams per second and reports every 300 ms, the
#: share of streams that wait 250 ms or more for a slot is 0.38 for the least loaded of
#: all, 0.019 for the best of 2, 0.024 of 3, 0.031 of 4 and 0.064 of 6. With reports
#: every 100 ms, 2 are worse than 3: 0.0049 against 0.0030, and 0.0020 against 0.0013
#: with 7 entries and 16 engines.
SAMPLE_SIZE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Fastest:
    """The lowest times among the candidates; 0 where none is known."""

    latency_ms: float
    pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Compares upstreams by the expected time until they answer a further request.

    Attributes
    ----------
    zone : str
        Zone of this entry.
    now_ms : int
    expects_reports : bool
        Whether agents report the load of the service's upstreams.
    """

    zone: str
    now_ms: int
    expects_reports: bool

    def choose(
        self, candidates: "t.Sequence[Upstream]", rng: random.Random
    ) -> "Upstream | None":
        """Return the best of some candidates drawn at random; None without any."""
        candidates = self._of_known_load(candidates)
        if not candidates:
            return None
        latencies = [choice.latency_ms for choice in candidates if choice.latency_ms]
        passes = [choice.pass_ms for choice in candidates if choice.pass_ms]
        fastest = _Fastest(min(latencies, default=0.0), min(passes, default=0.0))
        drawn = rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        return min(drawn, key=lambda choice: self._cost(choice, fastest))

    def _of_known_load(
        self, candidates: "t.Sequence[Upstream]"
    ) -> "t.Sequence[Upstream]":
        """Skip candidates of unknown load, if others are left.

        Where many agents are silent at once, a small random sample could otherwise
        consist of unreachable upstreams only.
        """
        known_load = [
            upstream for upstream in candidates if not self._unknown_load_cost(upstream)
        ]
        return known_load or candidates

    def _unknown_load_cost(self, upstream: "Upstream") -> float:
        """Return the cost of a missing or overdue load report."""
        if upstream.reported_ms is None:
            return UNKNOWN_COST if self.expects_reports else 0.0
        return SILENT_COST if upstream.is_silent(self.now_ms) else 0.0

    def _cost(self, upstream: "Upstream", fastest: _Fastest) -> float:
        # A group is as slow as its slowest rank: one slow engine delays the streams of
        # the 7 others.
        slowness = upstream.pace
        if upstream.pass_ms:
            slowness = max(slowness, upstream.pass_ms / fastest.pass_ms)
        cost = (upstream.load(self.now_ms) + 1) * slowness
        cost += self._unknown_load_cost(upstream)
        cost += FAILURE_COST * upstream.failures(self.now_ms)
        if upstream.entry.zone != self.zone:
            cost += ZONE_COST
        if upstream.latency_ms and fastest.latency_ms:
            cost += upstream.latency_ms / fastest.latency_ms - 1.0
        return cost


def untried(
    free: "t.Sequence[Upstream]",
    tried: t.Collection[str],
    tried_groups: t.Collection[str],
) -> "t.Sequence[Upstream]":
    """Skip upstreams that were tried, and their groups, if others are left.

    All ranks of a group stall together when one of them dies.
    """
    others = [upstream for upstream in free if upstream.entry.instance not in tried]
    elsewhere = [
        upstream
        for upstream in others
        if not upstream.group or upstream.group not in tried_groups
    ]
    return elsewhere or others or free


def fastest_paces(upstreams: "t.Iterable[Upstream]") -> dict[str, float]:
    """Return the pace of the fastest upstream of each group."""
    paces: dict[str, float] = {}
    for upstream in upstreams:
        paces[upstream.group] = min(
            upstream.pace, paces.get(upstream.group, upstream.pace)
        )
    return paces
