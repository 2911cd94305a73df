"""Serving HTTP with klein: coroutines as handlers, coded errors as JSON."""

import asyncio
import functools
import json
import math
import typing as t

from twisted.internet import endpoints, reactor
from twisted.internet.defer import Deferred
from werkzeug.exceptions import HTTPException

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import (
    FuchsiahatchError,
    RefusedError,
    RequestError,
)
from fuchsiahatch_daemon.listening import Connections, Listener
from fuchsiahatch_daemon.memory_request import CallerSite, MemoryRequest
from fuchsiahatch_daemon.settings import split_address

if t.TYPE_CHECKING:
    from klein import Klein
    from twisted.web.server import Request

VERDICT_HEADER = "Fuchsiahatch-Verdict"

_STATUS_BY_CODE = {
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_TEAM: 403,
    Code.UNKNOWN_TARGET: 404,
    Code.NOT_FOUND: 404,
    Code.KEY_REUSED: 422,
    Code.NO_ALLOWED_PLACE: 403,
    Code.OVERLOADED: 429,
    Code.DEADLINE_PASSED: 504,
    Code.UNKNOWN: 502,
    Code.TRUNCATED: 502,
    Code.TICKET_EXPIRED: 502,
    Code.ANSWER_NOT_KEPT: 502,
    Code.WRONG_HOME: 502,
    Code.HOME_GONE: 502,
    Code.LEDGER_FULL: 429,
    Code.CALL_BUDGET_SPENT: 429,
    Code.UPSTREAM_FAILED: 502,
    Code.CONFLICT: 409,
    Code.IN_PROGRESS: 409,
    Code.INTERNAL: 500,
}
_METHOD_NOT_ALLOWED = 405
_CALLER_FAULTS = range(100, 200)
_RECORD_FAULTS = range(400, 404)
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_WAITING_CONNECTIONS = 1_024


def answer_unrouted(app: "Klein") -> None:
    """Answer paths and methods that an application doesn't know with coded errors."""

    @app.handle_errors(HTTPException)
    def answer(request: "Request", failure: t.Any) -> bytes:
        method, path = request.method.decode("latin-1"), request.path.decode("latin-1")
        detail = f"there is no {method} {path}"
        body = write_error(request, RequestError(detail, Code.NOT_FOUND))
        if failure.value.code == _METHOD_NOT_ALLOWED:
            request.setResponseCode(_METHOD_NOT_ALLOWED)
        return body


def status_of(code: Code) -> int:
    """Return the HTTP status that goes with a result code."""
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    if code in _CALLER_FAULTS or code in _RECORD_FAULTS:
        return _BAD_REQUEST
    return _UNAVAILABLE


def as_handler(
    handle: t.Callable[..., t.Awaitable[bytes]],
) -> t.Callable[..., Deferred[bytes]]:
    """Make a klein handler of a coroutine function; its errors become JSON."""

    # klein tells endpoints apart by the function's name.
    @functools.wraps(handle)
    def handler(request: "Request", **arguments: str) -> Deferred[bytes]:
        task = asyncio.ensure_future(_guarded(handle, request, arguments))
        # The caller has gone: stop working for it and free its place.
        request.notifyFinish().addErrback(lambda _: task.cancel())
        answered: Deferred[bytes] = Deferred()
        task.add_done_callback(lambda done: _hand_over(done, answered))
        return answered

    return handler


def write_json(request: "Request", document: t.Any, status: int = 200) -> bytes:
    """Set status and type, and return the encoded document."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(document).encode() + b"\n"


def write_error(request: "Request", fault: FuchsiahatchError) -> bytes:
    """Answer with a coded error, and with when to come back."""
    body: dict[str, t.Any] = {
        "code": int(fault.result),
        "name": fault.result.name,
        "detail": fault.detail,
    }
    if fault.verdict:
        body["verdict"] = fault.verdict
        body["scope"] = "key" if fault.whole_key else "attempt"
        request.setHeader(VERDICT_HEADER, fault.verdict)
    retry_after_ms = fault.retry_after_ms
    if retry_after_ms is None and isinstance(fault, RefusedError):
        retry_after_ms = RETRY_AFTER_MS
    if retry_after_ms is not None:
        body["retry_after_ms"] = retry_after_ms
        seconds = max(1, math.ceil(retry_after_ms / 1000))
        request.setHeader("Retry-After", str(seconds))
    return write_json(request, {"error": body}, status_of(fault.result))


async def listen(app: "Klein", address: str) -> Listener:
    """Serve a klein application at ``ip:port``."""
    ip, port = split_address(address)
    site = CallerSite(app.resource(), requestFactory=MemoryRequest)
    connections = Connections(site)
    # A short queue resets callers that all come at once, as when another entry has
    # died; a caller then can't tell whether its request was read.
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, backlog=_WAITING_CONNECTIONS, interface=ip
    )
    listening = endpoint.listen(connections)
    return Listener(await listening.asFuture(asyncio.get_running_loop()), connections)


async def _guarded(
    handle: t.Callable[..., t.Awaitable[bytes]],
    request: "Request",
    arguments: dict[str, str],
) -> bytes:
    try:
        return await handle(request, **arguments)
    except FuchsiahatchError as fault:
        log_event(Event.REQUEST_REFUSED, code=int(fault.result), detail=fault.detail)
        if request.startedWriting:
            _break_off(request, fault)
            # To return would let klein write the last chunk behind the error, and
            # half an answer would look whole. The lost connection cancels the wait.
            await asyncio.get_running_loop().create_future()
        return write_error(request, fault)
    except Exception as fault:
        log_event(Event.INTERNAL_ERROR, detail=repr(fault))
        hidden = FuchsiahatchError("an internal error; the log has event 1004")
        return write_error(request, hidden)


def _break_off(request: "Request", fault: FuchsiahatchError) -> None:
    # The head is out: only a connection that ends without the last chunk still says
    # "not whole". A reader of events is told why as well.
    kind = request.responseHeaders.getRawHeaders("Content-Type", [""])[0]
    if not kind.startswith("text/event-stream"):
        request.transport.abortConnection()
        return
    error = {"code": int(fault.result), "name": fault.result.name}
    event = f"event: error\ndata: {json.dumps({'error': error})}\n\n"
    request.write(event.encode())
    request.transport.loseConnection()


def _hand_over(done: asyncio.Task[bytes], answered: Deferred[bytes]) -> None:
    answered.callback(b"" if done.cancelled() else done.result())
