"""Stand-in of a plain service: holds and cancellations, or maps and readings."""

import json
import typing as t

from klein import Klein

from fuchsiahatch_standins.runs import RunCounter, add_routes

if t.TYPE_CHECKING:
    from twisted.web.server import Request


def make_app(host: str, zone: str) -> Klein:
    """Make the service's HTTP application.

    Parameters
    ----------
    host, zone : str
        Told in each answer, so that a caller can see the place.
    """
    app = Klein()
    counter = RunCounter()
    add_routes(app, counter)
    state: dict[str, int] = {"holds": 0}

    @app.route("/holds", methods=["POST"])
    def hold(request: "Request") -> bytes:
        counter.note(request)
        state["holds"] += 1
        wanted = json.loads(request.content.read())
        return _write(request, {"hold": state["holds"], "slot": wanted.get("slot")})

    @app.route("/holds/<number>", methods=["DELETE"])
    def cancel(request: "Request", number: str) -> bytes:
        counter.note(request)
        return _write(request, {"cancelled": number})

    @app.route("/readings")
    def readings(request: "Request") -> bytes:
        counter.note(request)
        return _write(request, {"sea_temperature_c": [21.5, 21.9, 22.4]})

    def _write(request: "Request", answer: dict[str, t.Any]) -> bytes:
        request.setHeader("Content-Type", "application/json")
        request.setHeader("Fuchsiahatch-Place", f"{zone}/{host}")
        return json.dumps(answer).encode()

    return app
