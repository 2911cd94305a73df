"""Log lines and metrics for retries and ends of requests."""

import random
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.answer_ends import ending_fields, is_framed

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.attempt_types import Outcome
    from fuchsiahatch_gateway.jobs import Job
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.request_metrics import RequestMetrics

#: One in this many plain successes is logged; every other end has a line.
SUCCESS_SAMPLE = 20
#: Plain successes logged while an entry stops; further ones by sample again.
MAX_STOPPING_SUCCESSES = 256


class RequestLog:
    """Logs retries and ends of requests.

    Parameters
    ----------
    metrics : RequestMetrics
    clock : Clock
    rng : random.Random
    backing_off : callable
        Returns the remaining backoff periods of a service's upstreams, in ms.
    """

    __slots__ = ("_backing_off", "_clock", "_metrics", "_rng", "_unsampled")

    def __init__(
        self,
        metrics: "RequestMetrics",
        clock: "Clock",
        rng: random.Random,
        backing_off: t.Callable[[str], dict[str, int]],
    ) -> None:
        self._backing_off = backing_off
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._unsampled = 0

    def begin_stop(self) -> None:
        """Log the next plain successes as well, as their callers may lack them."""
        self._unsampled = MAX_STOPPING_SUCCESSES

    def note_end(self, job: "Job", end: str, outcome: "Outcome | None" = None) -> None:
        """Record how a request ended; plain successes in time are logged by sample.

        An answer that ended with its connection has a line each time.
        """
        now_ms = self._clock.now_ms()
        self._metrics.note(job, end, now_ms)
        answered = outcome is not None and outcome.status < 400
        on_time = answered and job.is_on_time(now_ms)
        plain = on_time and len(job.tried) == 1 and is_framed(job.ending)
        if plain and self._is_left_out():
            return
        first_ms = job.first_event_ms
        log_event(
            Event.REQUEST_ENDED,
            request=job.request.request_id.decode("latin-1"),
            fingerprint=job.fingerprints.request,
            parts=job.fingerprints.parts,
            route=job.match.route.name,
            team=job.match.team.name,
            version=job.match.version,
            tried=job.tried,
            end=end,
            status=None if outcome is None else outcome.status,
            retry_after=None if outcome is None else outcome.retry_after,
            backing_off=self._backing_off(job.service),
            took_ms=now_ms - job.arrived_ms,
            waited_ms=job.waited_ms,
            first_event_ms=None if first_ms is None else first_ms - job.arrived_ms,
            longest_gap_ms=job.longest_gap_ms,
            on_time=on_time,
            **_bound_fields(job),
            **ending_fields(job.ending),
        )

    def _is_left_out(self) -> bool:
        """Return whether a plain success has no line."""
        if self._unsampled:
            self._unsampled -= 1
            return False
        return bool(self._rng.randrange(SUCCESS_SAMPLE))

    def note_broken_answer(self, job: "Job") -> None:
        """Count an answer that broke off, by its framing and its end."""
        self._metrics.note_broken_answer(job.ending)

    def note_retry(self, job: "Job", upstream: "Upstream", outcome: "Outcome") -> None:
        """Record that a request goes to another upstream.

        The first upstream's load when it was chosen and by its latest report show
        whether it was full then or is slow.
        """
        now_ms = self._clock.now_ms()
        log_event(
            Event.ATTEMPT_RETRIED,
            request=job.request.request_id.decode("latin-1"),
            fingerprint=job.fingerprints.request,
            parts=job.fingerprints.parts,
            upstream=upstream.entry.instance,
            result=outcome.result.value,
            detail=outcome.detail,
            retry_after=outcome.retry_after,
            backing_off=self._backing_off(job.service),
            left_ms=job.ends_ms - now_ms,
            load_then=job.load_then,
            report_age_ms=job.report_age_ms,
            load_now=upstream.load(now_ms),
            places=upstream.entry.places,
            **_bound_fields(job),
            **ending_fields(job.ending),
        )

    def note_continued(self, job: "Job", upstream: "Upstream") -> None:
        """Record that a request stays at an upstream that was silent."""
        log_event(
            Event.ATTEMPT_CONTINUED,
            request=job.request.request_id.decode("latin-1"),
            upstream=upstream.entry.instance,
            tried=job.tried,
            left_ms=job.ends_ms - self._clock.now_ms(),
        )


def _bound_fields(job: "Job") -> dict[str, t.Any]:
    """Return the field of a log line that names the bounds that answers reached."""
    return {"bounds": [bound.value for bound in job.bounds]} if job.bounds else {}
