"""Metrics of one process, served to Prometheus at ``/metrics``."""

import collections
import dataclasses
import re
import typing as t

import aioprometheus
from aioprometheus import histogram

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import FuchsiahatchError

if t.TYPE_CHECKING:
    from klein import Klein
    from twisted.web.server import Request

    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_wire.attempts_pb2 import Frame

#: Teams that have series of their own; the others share one.
MAX_TEAM_LABELS = 100
#: A team that has been idle for this long gives its series up to another.
TEAM_IDLE_MS = 600_000
#: Label of all teams beyond the cap. No team may have this name: it has a capital.
OTHER_TEAMS = "Other"

#: Upper bounds of the buckets; 1 s to the first token is an objective.
TIME_BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)
#: 37 ms between tokens is an objective.
TOKEN_BUCKETS_MS = (1, 2, 5, 10, 20, 37, 50, 100, 200, 500)

_TEAM_NAME = re.compile("[a-z0-9][a-z0-9-]{0,62}")

Send = t.Callable[["Frame"], None]


@dataclasses.dataclass(frozen=True, slots=True)
class TeamSeries:
    """One team's histograms, in milliseconds."""

    latency: histogram.Histogram
    first_token: histogram.Histogram
    between_tokens: histogram.Histogram
    queue_wait: histogram.Histogram


class Metrics:
    """The series of one process.

    Parameters
    ----------
    clock : Clock
    max_teams : int
        Teams that have series of their own.

    Attributes
    ----------
    knows_team : callable
        Whether a team may have series of its own.

    Notes
    -----
    Each team costs four histograms. With thousands of teams, a process that has
    seen them all would keep and send more than a scraper takes, so that the
    number of labels is capped; the sums over all teams stay right.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: "Clock", max_teams: int = MAX_TEAM_LABELS) -> None:
        self.registry = aioprometheus.Registry()
        self._clock = clock
        self._max_teams = max_teams
        self.knows_team: t.Callable[[str], bool] = _is_team_name
        self._series: collections.OrderedDict[str, tuple[int, TeamSeries]] = (
            collections.OrderedDict()
        )
        self._histograms = {
            "latency": self._histogram(
                "fuchsiahatch_request_latency_ms", TIME_BUCKETS_MS
            ),
            "first_token": self._histogram(
                "fuchsiahatch_first_token_ms", TIME_BUCKETS_MS
            ),
            "between_tokens": self._histogram(
                "fuchsiahatch_between_tokens_ms", TOKEN_BUCKETS_MS
            ),
            "queue_wait": self._histogram(
                "fuchsiahatch_queue_wait_ms", TIME_BUCKETS_MS
            ),
        }
        self._results = self._counter(
            "fuchsiahatch_results_total", "Requests by result code"
        )
        self._retries = self._counter(
            "fuchsiahatch_retries_total", "Attempts after the first"
        )
        self._in_flight = self._gauge("fuchsiahatch_in_flight", "Requests that run")
        self._queued = self._gauge(
            "fuchsiahatch_queued", "Requests that wait for a place"
        )
        self._in_flight.set({}, 0)

    def note_wait(self, team: str, waited_ms: int) -> None:
        """Count one attempt's time in the queue."""
        self._of_team(team).queue_wait.observe(waited_ms)

    def note_result(self, code: Code) -> None:
        """Count one request's result."""
        self._results.inc({"code": code.name})

    def note_retry(self) -> None:
        """Count one attempt after the first."""
        self._retries.inc({})

    def note_load(self, in_flight: int, queued: int) -> None:
        """Set what runs and what waits."""
        self._in_flight.set({}, in_flight)
        self._queued.set({}, queued)

    def watch(self, team: str) -> "RequestWatch":
        """Return a context that measures one request of a team."""
        self._in_flight.inc({})
        return RequestWatch(self, self._of_team(team), self._clock)

    def finish(self, code: Code) -> None:
        """Count a watched request's end."""
        self._in_flight.dec({})
        self.note_result(code)

    def render(self, accepts: t.Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the content and the headers for a scraper."""
        return aioprometheus.render(self.registry, accepts)

    def _of_team(self, team: str) -> TeamSeries:
        now_ms = self._clock.now_ms()
        label = team if self._may_label(team, now_ms) else OTHER_TEAMS
        kept = self._series.get(label)
        series = self._make_series(label) if kept is None else kept[1]
        self._series[label] = (now_ms, series)
        self._series.move_to_end(label)
        return series

    def _may_label(self, team: str, now_ms: int) -> bool:
        # A made-up name would take a label from a real team, or break the format.
        if not self.knows_team(team):
            return False
        if team in self._series or len(self._series) < self._max_teams:
            return True
        oldest, (used_ms, _) = next(iter(self._series.items()))
        if oldest == OTHER_TEAMS or now_ms - used_ms < TEAM_IDLE_MS:
            return False
        del self._series[oldest]
        for collector in self._histograms.values():
            del collector.values[{"team": oldest}]
        return True

    def _make_series(self, team: str) -> TeamSeries:
        made = {
            name: histogram.Histogram(*collector.upper_bounds)
            for name, collector in self._histograms.items()
        }
        for name, collector in self._histograms.items():
            collector.set_value({"team": team}, made[name])
        return TeamSeries(**made)

    def _histogram(
        self, name: str, buckets_ms: t.Sequence[int]
    ) -> aioprometheus.Histogram:
        text = name.removeprefix("fuchsiahatch_").removesuffix("_ms").replace("_", " ")
        return aioprometheus.Histogram(
            name,
            f"{text} by team, in milliseconds",
            buckets=list(map(float, buckets_ms)),
            registry=self.registry,
        )

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, text, registry=self.registry)


class RequestWatch:
    """Measures one request from its arrival to its end.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_clock", "_last_ms", "_metrics", "_series", "_started_ms")

    def __init__(self, metrics: Metrics, series: TeamSeries, clock: "Clock") -> None:
        self._metrics = metrics
        self._series = series
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._last_ms: int | None = None

    def __enter__(self) -> "RequestWatch":
        return self

    def __exit__(self, kind: t.Any, fault: t.Any, trace: t.Any) -> None:
        self._series.latency.observe(self._clock.now_ms() - self._started_ms)
        self._metrics.finish(_code_of(fault))

    def around(self, send: Send) -> Send:
        """Return a function that measures each chunk before it sends it on."""

        def send_measured(frame: "Frame") -> None:
            if frame.WhichOneof("body") == "chunk":
                self._note_chunk()
            send(frame)

        return send_measured

    def _note_chunk(self) -> None:
        now_ms = self._clock.now_ms()
        if self._last_ms is None:
            self._series.first_token.observe(now_ms - self._started_ms)
        else:
            self._series.between_tokens.observe(now_ms - self._last_ms)
        self._last_ms = now_ms


def add_route(
    app: "Klein", metrics: Metrics, refresh: t.Callable[[], None] | None = None
) -> None:
    """Serve the metrics at ``/metrics``.

    Parameters
    ----------
    app : Klein
    metrics : Metrics
    refresh : callable, optional
        Sets gauges just before they are read.
    """

    @app.route("/metrics")
    def read(request: "Request") -> bytes:
        if refresh is not None:
            refresh()
        accepts = request.requestHeaders.getRawHeaders("Accept", [])
        content, headers = metrics.render(accepts)
        for name, value in headers.items():
            request.setHeader(name, value)
        return content


def _is_team_name(team: str) -> bool:
    return _TEAM_NAME.fullmatch(team) is not None


def _code_of(fault: BaseException | None) -> Code:
    if fault is None:
        return Code.OK
    if isinstance(fault, FuchsiahatchError):
        return fault.result
    # A cancelled task is a caller that has gone.
    return Code.CANCELLED if not isinstance(fault, Exception) else Code.INTERNAL
