"""State of a caller's request in progress, and the limits on each of its phases."""

import dataclasses
import typing as t

from fuchsiahatch_gateway.request_traits import RequestTraits

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.caller_requests import CallerRequest
    from fuchsiahatch_adapter.configuration import Route
    from fuchsiahatch_gateway.answer_ends import Ending
    from fuchsiahatch_gateway.attempt_types import Attempt
    from fuchsiahatch_gateway.event_stream import EventSplitter
    from fuchsiahatch_gateway.fingerprints import Fingerprints
    from fuchsiahatch_gateway.kept_bytes import Reservation
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.routes import Match
    from fuchsiahatch_http1.answers import Bound
    from fuchsiahatch_http1.client import ClientConnection
    from fuchsiahatch_http1.exchange import Exchange

#: A caller abandons a stream without an event for the longest of this time,
#: `PATIENCE_OBJECTIVES` times the route's objective, and `PATIENCE_GAPS` times its gap
#: objective.
STREAM_PATIENCE_MS = 2_000
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
#: Share of a caller's patience for which its request may wait for a slot. The rest is
#: for the upstream, which takes some 200 ms to the first event and 800 under load. With
#: 0.6, callers left just after their requests had been sent to an upstream.
WAIT_SHARE = 0.4
#: Part of a caller's patience that a longer wait leaves for the upstream; as much as
#: `WAIT_SHARE` leaves of `STREAM_PATIENCE_MS`.
UPSTREAM_PATIENCE_MS = 1_200
#: Share of a caller's patience after which a silent resumable stream moves to another
#: upstream. Gaps are usually some 80 ms; a group with a dead rank stalls for 1,500 ms,
#: most of a patience of 2,000.
STREAM_SILENCE_SHARE = 0.5
#: Share of the remaining time for which a repeatable request waits for an upstream that
#: sends nothing.
SILENCE_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request in progress.

    Attributes
    ----------
    exchange : Exchange
    request : CallerRequest
    match : Match
    service : str
    priority_class : int
        At its service, 0 first.
    fingerprints : Fingerprints
        Identify the request, and the parts of its prompt, independent of its id.
    arrived_ms, ends_ms : int
        When it arrived, and its deadline.
    events : EventSplitter or None
        For a stream; None for other requests.
    kept : Reservation
        Share of its answer in the memory for answers.
    tried : list of str
        Upstreams that it was sent to, in order.
    used_connections : list of ClientConnection
        Those that it was sent on.
    unsent : int
        Attempts in which nothing was sent.
    may_have_run : bool
        Whether any attempt so far may have run it.
    first_event_ms, last_event_ms : int or None
        When the first and the latest event were relayed.
    longest_gap_ms : int
        Longest time between two events.
    waited_ms : int
        Total time for which it waited for slots.
    first_sent_ms : int or None
        When it was first passed on; None before that.
    load_then : int
        Estimated load of its latest upstream when it was sent there, in requests,
        including this one.
    report_age_ms : int or None
        Age of the load report used for that estimate; None without one.
    ending : Ending or None
        How the answer of its latest upstream ended; None while there is none.
    bounds : list of Bound
        Bounds that answers of its upstreams have reached.
    suspended : Attempt or None
        An attempt whose upstream was silent, until another upstream has answered.
    promised : Upstream or None
        Where it holds a slot, with a retry of the budget, while it gives up another
        upstream.
    holds_retry : bool
        Whether a retry of the budget was taken for its next attempt, which isn't sent
        yet.
    """

    exchange: "Exchange"
    request: "CallerRequest"
    match: "Match"
    service: str
    priority_class: int
    fingerprints: "Fingerprints"
    arrived_ms: int
    ends_ms: int
    events: "EventSplitter | None"
    kept: "Reservation"
    tried: list[str] = dataclasses.field(default_factory=list)
    used_connections: "list[ClientConnection]" = dataclasses.field(default_factory=list)
    unsent: int = 0
    may_have_run: bool = False
    first_event_ms: int | None = None
    last_event_ms: int | None = None
    longest_gap_ms: int = 0
    waited_ms: int = 0
    first_sent_ms: int | None = None
    load_then: int = 0
    report_age_ms: int | None = None
    ending: "Ending | None" = None
    bounds: "list[Bound]" = dataclasses.field(default_factory=list)
    suspended: "Attempt | None" = None
    promised: "Upstream | None" = None
    holds_retry: bool = False

    def traits(self, confined_to: str = "") -> RequestTraits:
        """Return what the choice of an upstream may know of the request.

        Parameters
        ----------
        confined_to : str, optional
            The only rank group that it may be sent to; empty for any.
        """
        return RequestTraits(
            team=self.match.team.name,
            priority_class=self.priority_class,
            route=self.match.route.name,
            allowed_regions=self.match.allowed_regions,
            confined_to=confined_to,
        )

    def is_on_time(self, now_ms: int) -> bool:
        """Return whether an answer that ends now meets the route's objectives."""
        route = self.match.route
        first_ms = now_ms if self.first_event_ms is None else self.first_event_ms
        if first_ms - self.arrived_ms > route.objective_ms:
            return False
        return route.gap_ms is None or self.longest_gap_ms <= route.gap_ms

    def note_event(self, now_ms: int) -> None:
        """Record that an event was relayed to the caller."""
        if self.last_event_ms is not None:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        else:
            self.first_event_ms = now_ms
        self.last_event_ms = now_ms


def wait_ms(job: Job, now_ms: int, has_classes: bool = False) -> float:
    """Return how long a request may wait for a slot.

    Parameters
    ----------
    job : Job
    now_ms : int
    has_classes : bool, optional
        Whether the routes of its service differ in priority. A stream whose caller is
        patient may wait longer then: for the end of a burst of a more urgent class.
    """
    left_ms = float(job.ends_ms - now_ms)
    if job.events is None:
        return max(WAIT_SHARE * left_ms, 1.0)
    left_ms = min(left_ms, patience_ms(job.match.route) - (now_ms - job.arrived_ms))
    longer_ms = left_ms - UPSTREAM_PATIENCE_MS if has_classes else 0.0
    return max(WAIT_SHARE * left_ms, longer_ms, 1.0)


def patience_ms(route: "Route") -> int:
    """Return the silence after which a caller abandons a stream."""
    return max(
        STREAM_PATIENCE_MS,
        PATIENCE_OBJECTIVES * route.objective_ms,
        PATIENCE_GAPS * (route.gap_ms or 0),
    )


def silence_ms(job: Job, left_ms: int) -> int | None:
    """Return how long an upstream may be silent; None if it can't be retried.

    While an attempt is suspended, the next one is the alternative to it.
    """
    route = job.match.route
    if job.suspended is not None:
        return None
    if not route.repeatable or len(job.tried) + 1 >= route.max_attempts:
        return None
    if job.events is not None:
        return int(STREAM_SILENCE_SHARE * patience_ms(route))
    return int(SILENCE_SHARE * left_ms)
