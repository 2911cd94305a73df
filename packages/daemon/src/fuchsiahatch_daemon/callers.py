"""The callers' interface over HTTP: lookup, models, services."""

import typing as t

from klein import Klein

from fuchsiahatch_core.defaults import LOOKUP_KEEP_MS, RETRY_WINDOW_MS
from fuchsiahatch_daemon import web
from fuchsiahatch_daemon.caller_requests import (
    CallerRequest,
    read_completion,
    read_lookup,
    read_service_call,
)
from fuchsiahatch_delivery.tickets import encode_ticket

if t.TYPE_CHECKING:
    from twisted.web.server import Request

    from fuchsiahatch_daemon.entry import EntryRole
    from fuchsiahatch_wire.attempts_pb2 import Frame

RETRY_WINDOW_HEADER = "Fuchsiahatch-Retry-Window-Ms"


def make_app(role: "EntryRole") -> Klein:
    """Make the klein application of one entry."""
    app = Klein()
    web.answer_unrouted(app)

    async def lookup(request: "Request") -> bytes:
        rows = role.entry_rows()
        answer: dict[str, t.Any] = {
            "addresses": [row.http_address for row in rows],
            "keep_ms": LOOKUP_KEEP_MS,
        }
        asked = read_lookup(request)
        if asked is not None:
            ticket = role.standings.make_ticket(*asked)
            answer["ticket"] = encode_ticket(ticket)
            answer["retry_window_ms"] = RETRY_WINDOW_MS
        return web.write_json(request, answer)

    def close_when_leaving(request: "Request") -> None:
        # A caller that goes on using a kept connection of a leaving entry would
        # lose a request to the closing socket.
        if role.leaving:
            request.setHeader("Connection", "close")

    async def complete(request: "Request") -> bytes:
        close_when_leaving(request)
        checked = read_completion(request)
        say_retry_window(request, checked)
        await role.serve(checked, _forward(request))
        return b""

    async def call_service(request: "Request", name: str, path: str) -> bytes:
        close_when_leaving(request)
        checked = read_service_call(request, name)
        say_retry_window(request, checked)
        await role.serve(checked, _forward(request))
        return b""

    async def health(request: "Request") -> bytes:
        return web.write_json(request, {"host": role.settings.host, "ok": True})

    async def ready(request: "Request") -> bytes:
        status = 200 if role.ready else 503
        answer = {"ready": role.ready, "revision": role.configuration.snapshot.revision}
        return web.write_json(request, answer, status)

    async def drain(request: "Request") -> bytes:
        role.leave()
        return web.write_json(request, {"leaving": True}, 202)

    app.route("/lookup")(web.as_handler(lookup))
    app.route("/v1/chat/completions", methods=["POST"])(web.as_handler(complete))
    methods = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]
    app.route("/services/<name>/<path:path>", methods=methods)(
        web.as_handler(call_service)
    )
    app.route("/health")(web.as_handler(health))
    app.route("/ready")(web.as_handler(ready))
    app.route("/drain", methods=["POST"])(web.as_handler(drain))
    return app


def say_retry_window(request: "Request", checked: CallerRequest) -> None:
    """Say for how long the key may be retried."""
    if checked.key:
        request.setHeader(RETRY_WINDOW_HEADER, str(RETRY_WINDOW_MS))


def _forward(request: "Request") -> t.Callable[["Frame"], None]:
    def forward(frame: "Frame") -> None:
        kind = frame.WhichOneof("body")
        if kind == "head":
            request.setResponseCode(frame.head.status)
            for header in frame.head.headers:
                request.setHeader(header.name, header.value)
        if kind == "chunk":
            request.write(frame.chunk)

    return forward
