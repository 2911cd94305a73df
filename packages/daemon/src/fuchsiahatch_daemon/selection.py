"""Selects an upstream for a request from what this entry knows now."""

import contextlib
import functools
import itertools
import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.host_watch import HostWatch
from fuchsiahatch_membership.hosts import HostReport, HostView
from fuchsiahatch_placement.records import parse_offer
from fuchsiahatch_routing.candidates import (
    Candidate,
    Target,
    Upstream,
    find_candidates,
)
from fuchsiahatch_routing.choice import Choose, prefix_affinity, prefix_of
from fuchsiahatch_routing.loads import LoadTable

if t.TYPE_CHECKING:
    from fuchsiahatch_wire.attempts_pb2 import Frame

_T = t.TypeVar("_T")


class Selection:
    """Joins hosts, placement and this entry's own outstanding work.

    Parameters
    ----------
    configuration : Configuration
    hosts : HostWatch
    clock : Clock
    choose : callable, optional
        Prefix affinity with bounded load by default.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        configuration: Configuration,
        hosts: HostWatch,
        clock: Clock,
        choose: Choose | None = None,
    ) -> None:
        self._configuration = configuration
        self._hosts = hosts
        self._clock = clock
        self._choose = choose or prefix_affinity(random.Random())
        self._loads = LoadTable()
        self._heard_ms: dict[str, int] = {}
        self._left: dict[str, str] = {}

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams as routing sees them now."""
        views = self._hosts.table.views("agent", self._clock.now_ms())
        self._forget_replaced(views)
        stragglers = _stragglers(views)
        return [self._upstream(view, view.row.host in stragglers) for view in views]

    def select(
        self, team: str, target: Target, prefix: bytes, tried: frozenset[str]
    ) -> Candidate | None:
        """Choose an upstream that hasn't been tried yet.

        Returns
        -------
        Candidate or None
            None when every candidate has been tried.

        Raises
        ------
        FuchsiahatchError
            When there are no candidates at all.
        """
        found = find_candidates(
            self._configuration.snapshot, self.upstreams(), team, target
        )
        left = [one for one in found if one.upstream.home.host not in tried]
        return self._choose(left, prefix_of(prefix)) if left else None

    @contextlib.contextmanager
    def outstanding(self, host: str) -> t.Iterator[None]:
        """Count an attempt as this entry's own load on a host."""
        self._loads.begin(host)
        try:
            yield
        finally:
            self._loads.end(host)

    def note_refusal(self, home: Home, code: int) -> None:
        """Learn from a home's refusal that it is leaving.

        Notes
        -----
        Guards against a lagging host list: a leaving upstream would be chosen,
        and refuse, until the list or its report says so. Its own refusal is the
        first word of it, and holds for that life of the agent.
        """
        if code == Code.LEAVING:
            self._left[home.host] = home.incarnation
        if code == Code.STALE_REVISION:
            self._configuration.hear_of_newer("")

    def note_frame(self, home: Home, frame: "Frame") -> None:
        """Learn from the frame that closes an attempt.

        Notes
        -----
        Its load is fresher than the last report; call it while the attempt is
        counted.
        """
        kind = frame.WhichOneof("body")
        if kind not in ("end", "refusal"):
            return
        load = getattr(frame, kind).load
        self._loads.record_report(home.host, load.in_flight + load.queued)
        if kind == "refusal":
            self.note_refusal(home, frame.refusal.code)

    def _forget_replaced(self, views: t.Sequence[HostView]) -> None:
        if len(self._heard_ms) <= 2 * len(views):
            return
        hosts = {view.row.host for view in views}
        self._loads.retain(hosts)
        self._heard_ms = _only(self._heard_ms, hosts)
        self._left = _only(self._left, hosts)

    def _upstream(self, view: HostView, straggling: bool) -> Upstream:
        report, host = view.report, view.row.host
        incarnation = report.incarnation if report else ""
        if report:
            self._note_report(report)
        queued = report.queued if report else 0
        return Upstream(
            home=Home(host, incarnation),
            zone=view.row.zone,
            address=view.row.rpc_address,
            offers=_offers(view.row.offers),
            live=view.live,
            leaving=view.leaving or self._left.get(host) == incarnation,
            in_flight=max(0, round(self._loads.load_of(host)) - queued),
            queued=queued,
            limit=report.limit if report else 1,
            straggling=straggling,
        )

    def _note_report(self, report: HostReport) -> None:
        if self._heard_ms.get(report.host) != report.heard_ms:
            self._heard_ms[report.host] = report.heard_ms
            self._loads.record_report(report.host, report.in_flight + report.queued)


@functools.lru_cache
def _offers(texts: tuple[str, ...]) -> frozenset[Offer]:
    return frozenset(map(parse_offer, texts))


def _only(kept: dict[str, _T], hosts: t.Container[str]) -> dict[str, _T]:
    return {host: value for host, value in kept.items() if host in hosts}


def _stragglers(views: t.Iterable[HostView]) -> frozenset[str]:
    named = (view.report.stragglers for view in views if view.report and view.live)
    return frozenset(itertools.chain.from_iterable(named))
