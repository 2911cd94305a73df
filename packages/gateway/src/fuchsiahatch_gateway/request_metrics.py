"""Counters and latency histograms of callers' requests, by team and route kind."""

import typing as t

import aioprometheus
from aioprometheus import histogram

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.answer_ends import Ending
    from fuchsiahatch_gateway.jobs import Job

#: Upper bounds of the histograms' buckets.
TIME_BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
GAP_BUCKETS_MS = (25, 50, 75, 100, 120, 150, 250, 500, 1_000, 2_000)


class RequestMetrics:
    """Metrics of callers' requests.

    Parameters
    ----------
    registry : aioprometheus.Registry
    """

    __slots__ = ("_bounds", "_broken", "_ends", "_first_event", "_gaps", "_latency")

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._ends = aioprometheus.Counter(
            "fuchsiahatch_requests_total",
            "Requests by kind and end.",
            registry=registry,
        )
        self._broken = aioprometheus.Counter(
            "fuchsiahatch_broken_answers_total",
            "Answers of upstreams that broke off, by framing and end.",
            registry=registry,
        )
        self._bounds = aioprometheus.Counter(
            "fuchsiahatch_answer_bounds_total",
            "Bounds that answers of upstreams reached.",
            registry=registry,
        )
        self._latency = _histogram(
            "fuchsiahatch_request_ms", "Whole answers.", TIME_BUCKETS_MS, registry
        )
        self._first_event = _histogram(
            "fuchsiahatch_first_event_ms", "First events.", TIME_BUCKETS_MS, registry
        )
        self._gaps = _histogram(
            "fuchsiahatch_longest_gap_ms",
            "Longest pause between events.",
            GAP_BUCKETS_MS,
            registry,
        )

    def note(self, job: "Job", end: str, now_ms: int) -> None:
        """Count a request that has ended."""
        kind = job.match.route.kind.name.lower()
        team = {"team": job.match.team.name}
        self._ends.inc({"kind": kind, "end": end.partition(" ")[0]})
        for bound in job.bounds:
            self._bounds.inc({"bound": bound.value})
        self._latency.observe(team, now_ms - job.arrived_ms)
        if job.first_event_ms is not None:
            self._first_event.observe(team, job.first_event_ms - job.arrived_ms)
            self._gaps.observe(team, job.longest_gap_ms)

    def note_broken_answer(self, ending: "Ending | None") -> None:
        """Count an upstream's answer that broke off."""
        framing = "" if ending is None else ending.framing
        end = "" if ending is None else ending.end
        self._broken.inc({"framing": framing or "no head", "end": end or "given up"})


def _histogram(
    name: str, doc: str, buckets: t.Sequence[float], registry: aioprometheus.Registry
) -> histogram.Histogram:
    return aioprometheus.Histogram(name, doc, buckets=list(buckets), registry=registry)
