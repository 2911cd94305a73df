"""One upstream, as an entry sees it."""

import dataclasses
import math
import typing as t

from fuchsiahatch_gateway.answer_statements import Statements
from fuchsiahatch_gateway.cold_starts import ColdFacts
from fuchsiahatch_gateway.defaults import MAX_LOAD_AGE_MS, REPORT_INTERVAL_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Engine
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_gateway.stated_rates import StatedRate

#: Time after which a failure of an upstream counts half.
FAILURE_HALF_LIFE_MS = 2_000
#: Decayed failures below this count as none; otherwise an old one decides all ties.
MIN_FAILURES = 0.05
#: Silence of an agent after which its upstream is chosen last, as a multiple of the
#: usual interval between its reports, and its minimum. The host may have stalled, and
#: the load known here would stay below that of all other upstreams, so that most
#: requests would go to an unreachable engine.
SILENCE_REPORT_INTERVALS = 4.0
MIN_SILENCE_MS = 300
#: Growth of the limit on an entry's requests, per answer, after a backoff period.
SLOW_START_FACTOR = 2
#: Weight of the latest interval between two reports in their running mean.
REPORT_INTERVAL_WEIGHT = 0.2
#: Weight of a plain upstream's latest latency in the running mean.
LATENCY_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream and this entry's view of it.

    Attributes
    ----------
    entry : UpstreamEntry
    local_requests : int
        Requests in flight there that this entry has sent.
    peer_requests : int
        Requests of other entries, from the latest load report.
    reported_ms : int or None
        When that report was received.
    report_interval_ms : float
        Running mean of the intervals between two reports.
    pace : float
        How much slower than usual its engine works; 1 is the usual pace.
    open : bool
        Whether its rank group is working.
    group : str
        Rank group; empty where it has none or it isn't known.
    pass_ms : float
        Duration of a pass of the group; 0 while it is idle or unknown.
    closed_until_ms : int
        Until when it gets no requests as its process or its rank group has crashed.
    misplaced : bool
        Whether another upstream answered at its address.
    latency_ms : float
        Running mean of its response times; 0 before the first.
    born_ms : int
        Start time of this incarnation; 0 while it isn't known.
    seen_ms : int
        When this entry first saw this incarnation.
    entry_version : (int, int)
        Era and revision of its entry in the store.
    stated : StatedRate or None
        Its stated rate, while it states one.
    rate_stated_ms : int
        When an answer last stated the rate or had none.
    limited_until_ms : int
        When a permit to send there may be asked for again.
    movers : set of callable
        Each moves one request in flight there to another upstream, if that is allowed.
    statements : Statements
        What this incarnation has stated in its answers.
    cold : ColdFacts
        What is known of the cold periods of this incarnation.
    max_local_requests : float
        Limit on the requests of this entry in flight there, low after a backoff period.
    """

    entry: "UpstreamEntry"
    local_requests: int = 0
    peer_requests: int = 0
    reported_ms: int | None = None
    report_interval_ms: float = float(REPORT_INTERVAL_MS)
    pace: float = 1.0
    open: bool = True
    group: str = ""
    pass_ms: float = 0.0
    closed_until_ms: int = 0
    misplaced: bool = False
    latency_ms: float = 0.0
    born_ms: int = 0
    seen_ms: int = 0
    entry_version: tuple[int, int] = (0, 0)
    stated: "StatedRate | None" = None
    rate_stated_ms: int = -1
    limited_until_ms: int = 0
    movers: set[t.Callable[[], None]] = dataclasses.field(default_factory=set)
    statements: Statements = dataclasses.field(default_factory=Statements)
    cold: ColdFacts = dataclasses.field(default_factory=ColdFacts)
    max_local_requests: float = math.inf
    _failures: float = 0.0
    _failed_ms: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether it is open and hasn't departed.

        `Fleet.is_usable` applies all conditions for new requests.
        """
        return self.open and not self.misplaced and not self.leaving

    @property
    def departed(self) -> bool:
        """Whether it leaves or is misplaced, which is final for this incarnation."""
        return self.misplaced or self.leaving

    @property
    def leaving(self) -> bool:
        """Whether it leaves, by its entry in the store or by its own answers."""
        return self.entry.leaving or self.statements.leaving

    def start_slowly(self) -> None:
        """Limit the requests of this entry until the upstream has answered some."""
        self.max_local_requests = 1

    def note_accepted(self) -> None:
        """Raise the limit on the requests of this entry after an answer."""
        if self.max_local_requests < self.entry.places:
            self.max_local_requests *= SLOW_START_FACTOR
        else:
            self.max_local_requests = math.inf

    def backoff_left_ms(self, now_ms: int) -> int:
        """Return for how long it accepts no further request of this entry."""
        left_ms = self.statements.backoff_until_ms - now_ms
        return left_ms if left_ms > 0 else 0

    @property
    def incarnation(self) -> str:
        """Identifier of this incarnation of the upstream."""
        return f"{self.entry.instance}@{self.born_ms}"

    def load(self, now_ms: int) -> int:
        """Return the estimated number of requests in flight there."""
        if self.reported_ms is None or now_ms - self.reported_ms > MAX_LOAD_AGE_MS:
            return self.local_requests
        return self.local_requests + self.peer_requests

    def report_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the latest load report; None without one."""
        return None if self.reported_ms is None else now_ms - self.reported_ms

    def is_silent(self, now_ms: int) -> bool:
        """Return whether its agent has stopped sending load reports."""
        if self.reported_ms is None:
            return False
        return now_ms - self.reported_ms > self._silence_ms

    @property
    def _silence_ms(self) -> float:
        return max(MIN_SILENCE_MS, SILENCE_REPORT_INTERVALS * self.report_interval_ms)

    def note_report(self, now_ms: int) -> None:
        """Note the receipt of a load report.

        An interval counts for at most the silence limit. So a host that stalled hardly
        changes the mean, and it still adapts where reports become less frequent, as
        those of an engine with free slots do, rather than counting as silence for ever.
        """
        if self.reported_ms is not None:
            interval_ms = min(now_ms - self.reported_ms, self._silence_ms)
            self.report_interval_ms += REPORT_INTERVAL_WEIGHT * (
                interval_ms - self.report_interval_ms
            )
        self.reported_ms = now_ms

    def places(self, engine: "Engine | None", fastest_pace: float) -> float:
        """Return its number of slots, which is lower while it is slow.

        Parameters
        ----------
        engine : Engine or None
            Engine model of its service.
        fastest_pace : float
            Pace of the fastest rank of its group.
        """
        if engine is None or not engine.expert_layers:
            return max(1.0, self.entry.places / self.pace)
        return places_of_rank(engine, self.entry.places, self.pace / fastest_pace)

    def note_failure(self, now_ms: int) -> None:
        """Count a failure against the upstream."""
        self._failures = self.failures(now_ms) + 1.0
        self._failed_ms = now_ms

    def failures(self, now_ms: int) -> float:
        """Return the recent failures, which decay with age."""
        if not self._failures:
            return 0.0
        age_ms = now_ms - self._failed_ms
        decayed = self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return decayed if decayed > MIN_FAILURES else 0.0

    def note_latency(self, latency_ms: float) -> None:
        """Add an answer's latency to the running mean."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)


def places_of_rank(engine: "Engine", places: int, slowness: float) -> float:
    """Return how many requests a slow rank may have before it slows down its group.

    In each pass all ranks wait for the one whose requests take longest. A slow rank
    gets as many requests as it handles in the step time of a full rank of the usual
    pace; with 6 slots of the demo engine, none from 2.5 times the usual step time on.
    There is no minimum of one: an engine at a twelfth of its pace would keep passes at
    315 ms after its experts have moved away.

    Parameters
    ----------
    engine : Engine
    places : int
        Slots of a rank of the usual pace.
    slowness : float
        Its step time divided by the usual one.
    """
    if slowness <= 1.0 or not engine.step_ms_per_request:
        return places / slowness
    full_ms = engine.step_ms + engine.step_ms_per_request * places
    left_ms = full_ms / slowness - engine.step_ms
    return max(0.0, left_ms // engine.step_ms_per_request)
