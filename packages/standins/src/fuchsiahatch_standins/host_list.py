"""Stand-in of the host list, over the published Consul health interface."""

import json
import typing as t

from klein import Klein

if t.TYPE_CHECKING:
    from twisted.web.server import Request


def make_app(rows: list[dict[str, t.Any]]) -> Klein:
    """Make the HTTP application of a list that tests and the demo may change."""
    app = Klein()
    by_host = {row["Node"]["Node"]: row for row in rows}

    @app.route("/v1/health/service/fuchsiahatch")
    def read(request: "Request") -> bytes:
        request.setHeader("Content-Type", "application/json")
        return json.dumps(list(by_host.values())).encode()

    @app.route("/v1/agent/mark/<host>/<status>", methods=["PUT"])
    def mark(request: "Request", host: str, status: str) -> bytes:
        by_host[host]["Checks"][0]["Status"] = status
        return b"{}"

    @app.route("/v1/agent/remove/<host>", methods=["PUT"])
    def remove(request: "Request", host: str) -> bytes:
        by_host.pop(host, None)
        return b"{}"

    return app
