"""Counts what upstream stand-ins have run, by idempotency key."""

import collections
import json
import typing as t

if t.TYPE_CHECKING:
    from klein import Klein
    from twisted.web.server import Request

KEY_HEADER = "Idempotency-Key"


class RunCounter:
    """Counts runs, so that a test can tell one from two.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("by_key", "cancelled", "total")

    def __init__(self) -> None:
        self.by_key: collections.Counter[str] = collections.Counter()
        self.total = 0
        self.cancelled = 0

    def note(self, request: "Request") -> None:
        """Count one run."""
        self.total += 1
        key = request.getHeader(KEY_HEADER)
        if key:
            self.by_key[key] += 1

    def note_cancelled(self) -> None:
        """Count one run whose caller went away before its end."""
        self.cancelled += 1


def add_routes(app: "Klein", counter: RunCounter) -> None:
    """Let tests read the counts at ``/runs``."""

    @app.route("/runs")
    def runs(request: "Request") -> bytes:
        request.setHeader("Content-Type", "application/json")
        answer = {
            "total": counter.total,
            "cancelled": counter.cancelled,
            "by_key": counter.by_key,
        }
        return json.dumps(answer).encode()
