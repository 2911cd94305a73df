"""Selects an upstream for a request from what this entry knows now."""

import collections
import contextlib
import functools
import itertools
import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import FuchsiahatchError
from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.hostwatch import HostWatch
from fuchsiahatch_membership.hosts import HostReport, HostView
from fuchsiahatch_placement.records import parse_offer
from fuchsiahatch_routing.candidates import (
    Candidate,
    Target,
    Upstream,
    find_candidates,
)
from fuchsiahatch_routing.choice import Choose, prefix_affinity, prefix_of

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
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, tuple[int, int]] = {}
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

    def note_refusal(self, candidate: Candidate, fault: FuchsiahatchError) -> None:
        """Learn from an agent's refusal that it is leaving.

        Notes
        -----
        Guards against a lagging host list: a leaving upstream would be chosen,
        and refuse, until the list or its report says so. Its own refusal is the
        first word of it, and holds for that life of the agent.
        """
        if fault.result is Code.LEAVING:
            home = candidate.upstream.home
            self._left[home.host] = home.incarnation

    @contextlib.contextmanager
    def outstanding(self, host: str) -> t.Iterator[None]:
        """Count an attempt as this entry's own load on a host."""
        self._outstanding[host] += 1
        try:
            yield
        finally:
            self._outstanding[host] -= 1

    def _forget_replaced(self, views: t.Sequence[HostView]) -> None:
        if len(self._reported) <= 2 * len(views):
            return
        hosts = {view.row.host for view in views}
        self._reported = _only(self._reported, hosts)
        self._left = _only(self._left, hosts)
        self._outstanding = +self._outstanding

    def _upstream(self, view: HostView, straggling: bool) -> Upstream:
        report, host = view.report, view.row.host
        incarnation = report.incarnation if report else ""
        return Upstream(
            home=Home(host, incarnation),
            zone=view.row.zone,
            address=view.row.rpc_address,
            offers=_offers(view.row.offers),
            live=view.live,
            leaving=view.leaving or self._left.get(host) == incarnation,
            in_flight=self._in_flight(host, report),
            queued=report.queued if report else 0,
            limit=report.limit if report else 1,
            straggling=straggling,
        )

    def _in_flight(self, host: str, report: HostReport | None) -> int:
        """Return the reported load with what this entry has sent or got since."""
        outstanding = self._outstanding[host]
        if report is None:
            return outstanding
        heard_ms, then = self._reported.get(host, (-1, 0))
        if heard_ms != report.heard_ms:
            then = outstanding
            self._reported[host] = (report.heard_ms, then)
        return max(outstanding, report.in_flight + outstanding - then)


@functools.lru_cache
def _offers(texts: tuple[str, ...]) -> frozenset[Offer]:
    return frozenset(map(parse_offer, texts))


def _only(kept: dict[str, _T], hosts: t.Container[str]) -> dict[str, _T]:
    return {host: value for host, value in kept.items() if host in hosts}


def _stragglers(views: t.Iterable[HostView]) -> frozenset[str]:
    named = (view.report.stragglers for view in views if view.report and view.live)
    return frozenset(itertools.chain.from_iterable(named))
