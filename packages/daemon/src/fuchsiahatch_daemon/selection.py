"""Selects an upstream for a request from what this entry knows now."""

import collections
import contextlib
import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.identities import Home
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.hostwatch import HostWatch
from fuchsiahatch_membership.hosts import HostView
from fuchsiahatch_placement.records import parse_offer
from fuchsiahatch_routing.candidates import (
    Candidate,
    Target,
    Upstream,
    find_candidates,
)
from fuchsiahatch_routing.choice import better_of_two


class Selection:
    """Joins hosts, placement and this entry's own outstanding work.

    Parameters
    ----------
    configuration : Configuration
    hosts : HostWatch
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self, configuration: Configuration, hosts: HostWatch, clock: Clock
    ) -> None:
        self._configuration = configuration
        self._hosts = hosts
        self._clock = clock
        self._choose = better_of_two(random.Random())
        self._outstanding: collections.Counter[str] = collections.Counter()

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams as routing sees them now."""
        views = self._hosts.table.views("agent", self._clock.now_ms())
        return list(map(self._upstream, views))

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
        return self._choose(left, prefix) if left else None

    @contextlib.contextmanager
    def outstanding(self, host: str) -> t.Iterator[None]:
        """Count an attempt as this entry's own load on a host."""
        self._outstanding[host] += 1
        try:
            yield
        finally:
            self._outstanding[host] -= 1

    def _upstream(self, view: HostView) -> Upstream:
        report = view.report
        return Upstream(
            home=Home(view.row.host, report.incarnation if report else ""),
            zone=view.row.zone,
            address=view.row.rpc_address,
            offers=frozenset(map(parse_offer, view.row.offers)),
            live=view.live,
            leaving=view.leaving,
            in_flight=self._outstanding[view.row.host],
            queued=report.queued if report else 0,
            limit=report.limit if report else 1,
        )
