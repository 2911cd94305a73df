"""Answers to callers in place of an upstream's answer."""

import random
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FuchsiahatchError, RefusedError
from fuchsiahatch_gateway.return_times import limit_to_followed, retry_after_s

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.jobs import Job
    from fuchsiahatch_gateway.request_log import RequestLog
    from fuchsiahatch_gateway.routes import RouteTable
    from fuchsiahatch_http1.exchange import Exchange

_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.UNKNOWN_TEAM: 401,
    Code.NOT_FOUND: 404,
    Code.OVERLOADED: 503,
    Code.DEADLINE_PASSED: 504,
    Code.UNKNOWN: 502,
}
_UNAVAILABLE = 503
#: Codes whose times are estimates, which are limited to what callers follow.
_ESTIMATED = (Code.NO_LIVE_UPSTREAM, Code.OVERLOADED)


class ErrorAnswers:
    """Answers requests with errors, or cuts the answers that have begun.

    Parameters
    ----------
    routes : RouteTable
    log : RequestLog
    clock : Clock
    rng : random.Random
    """

    __slots__ = ("_clock", "_log", "_rng", "_routes")

    def __init__(
        self,
        routes: "RouteTable",
        log: "RequestLog",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._log = log
        self._clock = clock
        self._rng = rng

    def send(
        self, exchange: "Exchange", fault: FuchsiahatchError, job: "Job | None"
    ) -> None:
        """End a request with an error.

        Parameters
        ----------
        exchange : Exchange
        fault : FuchsiahatchError
        job : Job or None
            None for a request that was not admitted.
        """
        if job is not None and job.may_have_run and isinstance(fault, RefusedError):
            # A refusal states that nothing ran, but an earlier attempt may have run.
            fault = FuchsiahatchError(fault.detail, Code.UNKNOWN)
        status = _status_of(fault)
        if job is not None:
            self._log.note_end(job, f"{status} {fault.detail}")
        else:
            log_event(
                Event.REQUEST_REFUSED,
                request=(exchange.header(names.REQUEST_ID) or b"").decode("latin-1"),
                status=status,
                detail=fault.detail,
                version=self._version(),
            )
        if exchange.caller_disconnected:
            return
        if exchange.started:
            # A partial answer must not look complete.
            exchange.abort()
            return
        headers = []
        if status == _UNAVAILABLE:
            delay_s = retry_after_s(self._return_ms(fault, job), self._rng)
            headers.append((names.RETRY_AFTER, b"%.2f" % delay_s))
        exchange.respond(status, headers, f"{fault}\n".encode())

    def cut(self, exchange: "Exchange", fault: FuchsiahatchError, job: "Job") -> None:
        """End a request as its entry ends.

        What has been sent of an answer reaches the caller, which can resume a stream
        after its last event.
        """
        if exchange.started:
            self._log.note_end(job, fault.detail)
            exchange.cut()
        else:
            self.send(exchange, fault, job)

    def _return_ms(self, fault: FuchsiahatchError, job: "Job | None") -> int | None:
        """Return after which time the caller may return; None where that is unknown."""
        return_ms = fault.retry_after_ms
        if return_ms is None or job is None or fault.result not in _ESTIMATED:
            return return_ms
        return limit_to_followed(return_ms, job.ends_ms - self._clock.now_ms())

    def _version(self) -> int:
        configuration = self._routes.configuration
        return 0 if configuration is None else configuration.version


def _status_of(fault: FuchsiahatchError) -> int:
    if fault.result in _STATUS:
        return _STATUS[fault.result]
    return _UNAVAILABLE if isinstance(fault, RefusedError) else 502
