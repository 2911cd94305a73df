"""A caller's request on its way, and how long each part of it may take."""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.caller_requests import CallerRequest
    from fuchsiahatch_adapter.configuration import Route
    from fuchsiahatch_gateway.event_stream import EventSplitter
    from fuchsiahatch_gateway.routes import Match
    from fuchsiahatch_http1.server import Exchange

#: A caller leaves a stream that has sent no event for the longest of this, some times
#: the route's objective, and some times its longest pause.
STREAM_PATIENCE_MS = 2_000
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
#: Share of a caller's patience for which its request may wait for a place. The rest is
#: for the upstream, which needs some 200 ms to the first event and 800 under load. With
#: 0.6, callers left requests that had just been sent on.
WAIT_SHARE = 0.4
#: Share of a caller's patience after which a silent stream that may be resumed goes on
#: elsewhere. Pauses are usually some 80 ms; a group whose rank has died stalls for
#: 1,500 ms, most of a patience of 2,000.
STREAM_SILENCE_SHARE = 0.5
#: Share of the time that is left for which a request that may be repeated waits for its
#: first upstream.
SILENCE_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request on its way.

    Attributes
    ----------
    exchange : Exchange
    request : CallerRequest
    match : Match
    service : str
    fingerprint : str
        The same for the same request under another id.
    arrived_ms, ends_ms : int
        When it came, and when its time is over.
    events : EventSplitter or None
        For a stream.
    tried : list of str
        Upstreams that it was sent to.
    unsent : int
    may_have_run : bool
    first_event_ms, last_event_ms : int or None
    longest_gap_ms : int
    waited_ms : int
        Time for which it waited for places.
    load_then : int
        Requests that its last upstream was believed to have as it was sent there, this
        one included.
    report_age_ms : int or None
        Age of the load report behind that; None without one.
    """

    exchange: "Exchange"
    request: "CallerRequest"
    match: "Match"
    service: str
    fingerprint: str
    arrived_ms: int
    ends_ms: int
    events: "EventSplitter | None"
    tried: list[str] = dataclasses.field(default_factory=list)
    unsent: int = 0
    may_have_run: bool = False
    first_event_ms: int | None = None
    last_event_ms: int | None = None
    longest_gap_ms: int = 0
    waited_ms: int = 0
    load_then: int = 0
    report_age_ms: int | None = None

    def is_on_time(self, now_ms: int) -> bool:
        """Return whether an answer that ends now is within the route's objectives."""
        route = self.match.route
        first_ms = now_ms if self.first_event_ms is None else self.first_event_ms
        if first_ms - self.arrived_ms > route.objective_ms:
            return False
        return route.gap_ms is None or self.longest_gap_ms <= route.gap_ms

    def note_event(self, now_ms: int) -> None:
        """Note that an event went to the caller."""
        if self.last_event_ms is not None:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        else:
            self.first_event_ms = now_ms
        self.last_event_ms = now_ms


def wait_ms(job: Job, now_ms: int) -> float:
    """Return how long a request may wait for a place."""
    left_ms = float(job.ends_ms - now_ms)
    if job.events is not None:
        left_ms = min(left_ms, patience_ms(job.match.route) - (now_ms - job.arrived_ms))
    return max(WAIT_SHARE * left_ms, 1.0)


def patience_ms(route: "Route") -> int:
    """Return the silence after which a caller leaves a stream."""
    return max(
        STREAM_PATIENCE_MS,
        PATIENCE_OBJECTIVES * route.objective_ms,
        PATIENCE_GAPS * (route.gap_ms or 0),
    )


def silence_ms(job: Job, left_ms: int) -> int | None:
    """Return how long an upstream may be silent, while another may be asked."""
    route = job.match.route
    if not route.repeatable or len(job.tried) + 1 >= route.max_attempts:
        return None
    if job.events is not None:
        return int(STREAM_SILENCE_SHARE * patience_ms(route))
    return int(SILENCE_SHARE * left_ms)
