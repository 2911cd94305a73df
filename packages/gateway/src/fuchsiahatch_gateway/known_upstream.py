"""One upstream, and what an entry believes of it."""

import dataclasses
import typing as t

from fuchsiahatch_gateway.defaults import LOAD_LIMIT_MS, REPORT_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.configuration import Engine
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_gateway.stated_rates import StatedRate

#: Time in which an upstream's failure counts half.
FAILURE_HALF_LIFE_MS = 2_000
#: Failures below which none count, lest a trace of an old one decides all ties.
FORGOTTEN_FAILURES = 0.05
#: Silence of an agent behind which its upstream is chosen last: its host may stand
#: still. In usual pauses between its reports, and in all. It looked emptier than all
#: others from then on, and most requests went to an engine that nobody could reach.
SILENT_REPORTS = 4.0
SILENT_MS = 300
#: Weight of the newest pause between two reports in their running mean.
REPORT_PAUSE_WEIGHT = 0.2
#: Weight of the newest of a plain upstream's latencies in their running mean.
LATENCY_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream and what this entry believes of it.

    Attributes
    ----------
    entry : UpstreamEntry
    own : int
        Requests that this entry has sent there and that have not ended.
    others : int
        Requests of other entries, from the last load report.
    reported_ms : int or None
        When that report came.
    report_pause_ms : float
        Running mean of the pauses between two reports.
    pace : float
    open : bool
        Whether its rank group works.
    group : str
        That group; empty where it has none or it isn't known.
    pass_ms : float
        Time that a pass of the group takes; 0 while it is idle or not known.
    misplaced : bool
        Whether another upstream answered at its address.
    latency_ms : float
        Running mean of its answers; 0 before the first.
    born_ms : int
        Start of the life that all of this is believed of; 0 while it isn't known.
    seen_ms : int
        When this entry first saw it in this life.
    told : (int, int)
        Era and revision of its entry in the store.
    stated : StatedRate or None
        The rate that it says it takes, while it does.
    rate_said_ms : int
        When it last said so, or said nothing of it.
    limited_until_ms : int
        When a permit to send there may be asked for again.
    movers : set of callable
        Each lets a request under way there go on elsewhere, if it may.
    """

    entry: "UpstreamEntry"
    local_requests: int = 0
    others: int = 0
    reported_ms: int | None = None
    report_pause_ms: float = float(REPORT_MS)
    pace: float = 1.0
    open: bool = True
    group: str = ""
    pass_ms: float = 0.0
    misplaced: bool = False
    latency_ms: float = 0.0
    born_ms: int = 0
    seen_ms: int = 0
    told: tuple[int, int] = (0, 0)
    stated: "StatedRate | None" = None
    rate_said_ms: int = -1
    limited_until_ms: int = 0
    movers: set[t.Callable[[], None]] = dataclasses.field(default_factory=set)
    _failures: float = 0.0
    _failed_ms: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether it may get new requests."""
        return self.open and not self.misplaced and not self.entry.leaving

    @property
    def life(self) -> str:
        """Name of this life of the upstream; a later one has another."""
        return f"{self.entry.instance}@{self.born_ms}"

    def load(self, now_ms: int) -> int:
        """Return the requests that are believed to be there."""
        if self.reported_ms is None or now_ms - self.reported_ms > LOAD_LIMIT_MS:
            return self.local_requests
        return self.local_requests + self.others

    def report_age_ms(self, now_ms: int) -> int | None:
        """Return how old the last load report is; None without one."""
        return None if self.reported_ms is None else now_ms - self.reported_ms

    def is_silent(self, now_ms: int) -> bool:
        """Return whether its agent, that reported its load, does so no more."""
        if self.reported_ms is None:
            return False
        return now_ms - self.reported_ms > self._silence_ms

    @property
    def _silence_ms(self) -> float:
        return max(SILENT_MS, SILENT_REPORTS * self.report_pause_ms)

    def note_report(self, now_ms: int) -> None:
        """Note that its agent was heard.

        A silence counts as the longest pause that would have been none: a host that
        stood still changes the mean little, and reports that come less often than
        before, as those of an engine that has room again, aren't taken for silences
        for ever.
        """
        if self.reported_ms is not None:
            pause_ms = min(now_ms - self.reported_ms, self._silence_ms)
            self.report_pause_ms += REPORT_PAUSE_WEIGHT * (
                pause_ms - self.report_pause_ms
            )
        self.reported_ms = now_ms

    def places(self, engine: "Engine | None", fastest_pace: float) -> float:
        """Return how many requests it is given; fewer where it is slow.

        Parameters
        ----------
        engine : Engine or None
            How its service's engines work.
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
        """Return the failures of late, older ones counted less."""
        if not self._failures:
            return 0.0
        age_ms = now_ms - self._failed_ms
        left = self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return left if left > FORGOTTEN_FAILURES else 0.0

    def note_latency(self, latency_ms: float) -> None:
        """Take an answer's latency into the running mean."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)


def places_of_rank(engine: "Engine", places: int, slowness: float) -> float:
    """Return how many requests a slow rank may have before its group waits for it.

    All ranks wait in each pass for the one whose own requests take longest. A slow rank
    is filled up to the time that a full one of the usual pace takes: none at all from
    twice that time on, with 6 places. With one place at least, an engine at a
    twelfth of its pace kept passes at 315 ms after its experts had left it.

    Parameters
    ----------
    engine : Engine
    places : int
        Requests of a rank of the usual pace.
    slowness : float
        Its time for a step over the usual.
    """
    if slowness <= 1.0 or not engine.step_ms_per_request:
        return places / slowness
    full_ms = engine.step_ms + engine.step_ms_per_request * places
    left_ms = full_ms / slowness - engine.step_ms
    return max(0.0, left_ms // engine.step_ms_per_request)
