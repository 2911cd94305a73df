"""How this entry sees the homes: who may be given a key, and which a ticket names."""

import random
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS, TICKET_HOMES
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_delivery.home_calls import Standing
from fuchsiahatch_delivery.tickets import Ticket, TicketHome
from fuchsiahatch_placement.records import parse_offer
from fuchsiahatch_routing.candidates import (
    Target,
    Upstream,
    check_eligibility,
    find_candidates,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_daemon.configuration import Configuration
    from fuchsiahatch_daemon.host_watch import HostWatch
    from fuchsiahatch_daemon.selection import Selection
    from fuchsiahatch_membership.hosts import HostView


class Standings:
    """Judges homes by the host table and the placement records.

    Parameters
    ----------
    configuration : Configuration
    hosts : HostWatch
    selection : Selection
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_clock", "_configuration", "_hosts", "_rng", "_selection")

    def __init__(
        self,
        configuration: "Configuration",
        hosts: "HostWatch",
        selection: "Selection",
        clock: "Clock",
    ) -> None:
        self._configuration = configuration
        self._hosts = hosts
        self._selection = selection
        self._clock = clock
        self._rng = random.Random()

    def standing(self, home: Home, team: str, target: Target) -> Standing:
        """Return how a home stands for a team's request."""
        view = self._view(home)
        if view is None or _is_gone(view, home):
            return Standing.UNREACHABLE
        if view.leaving or self.offer(home, team, target) is None:
            return Standing.LEAVING
        return Standing.SERVING

    def is_silent(self, home: Home) -> bool:
        """Return whether nothing is heard of a home in this life."""
        view = self._view(home)
        return view is None or view.report is None or _is_gone(view, home)

    def offer(self, home: Home, team: str, target: Target) -> Offer | None:
        """Return what a home may serve a request with, None when not allowed.

        Raises
        ------
        FuchsiahatchError
            When the team is unknown or closed.
        """
        view = self._view(home)
        if view is None:
            return None
        # Whether it is live or leaving is no matter here: it may hold the key.
        upstream = Upstream(
            home=home,
            zone=view.row.zone,
            address=view.row.rpc_address,
            offers=frozenset(map(parse_offer, view.row.offers)),
            live=True,
            leaving=False,
        )
        return check_eligibility(
            self._configuration.snapshot, [upstream], team, target
        )[0].offer

    def address(self, home: Home) -> str | None:
        """Return the ``ip:port`` of a home's host, None when it is off the list."""
        view = self._view(home)
        return view.row.rpc_address if view is not None else None

    def read_clock_ms(self, home: Home) -> int:
        """Return the last reading of a home's own clock."""
        view = self._view(home)
        return view.report.clock_ms if view and view.report else 0

    def make_ticket(self, team: str, target: Target) -> Ticket:
        """Name homes for a team's keys.

        Raises
        ------
        FuchsiahatchError
            When no upstream may serve the team's requests now.
        """
        found = find_candidates(
            self._configuration.snapshot, self._selection.upstreams(), team, target
        )
        chosen = self._rng.sample(found, min(TICKET_HOMES, len(found)))
        homes = (candidate.upstream.home for candidate in chosen)
        rows = tuple(TicketHome(home, self.read_clock_ms(home)) for home in homes)
        if not rows:
            detail = "no live upstream for a ticket"
            raise RefusedError(detail, Code.NO_LIVE_UPSTREAM, RETRY_AFTER_MS)
        return Ticket(team, target.name, rows)

    def _view(self, home: Home) -> "HostView | None":
        return self._hosts.table.view(home.host, self._clock.now_ms())


def _is_gone(view: "HostView", home: Home) -> bool:
    # Without a report the home is asked all the same: this entry may be new, or the
    # connection was lost a moment ago, and the home itself knows best.
    if view.report is None:
        return False
    return not view.live or view.report.incarnation != home.incarnation
