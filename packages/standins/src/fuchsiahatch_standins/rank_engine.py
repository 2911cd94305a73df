"""Stand-in of a rank group's engines: one process, one HTTP address a rank."""

import asyncio
import dataclasses
import json
import typing as t

from klein import Klein

from fuchsiahatch_experts.grants import EngineState, Order, Window
from fuchsiahatch_standins.lockstep import LockStepGroup

if t.TYPE_CHECKING:
    from twisted.web.server import Request

_POLL_S = 0.002


async def run_steps(group: LockStepGroup) -> None:
    """Run steps for ever, each as long as the slowest rank computes."""
    while True:
        ran = group.run_step()
        pause_s = max(group.compute_ms) / 1000 if ran else _POLL_S
        await asyncio.sleep(pause_s)


def make_app(group: LockStepGroup, rank: int, fetch_ms: int = 50) -> Klein:
    """Make the HTTP application of one rank's engine.

    Parameters
    ----------
    group : LockStepGroup
    rank : int
    fetch_ms : int
        Time that the weights of a map take to arrive.
    """
    app = Klein()

    @app.route("/steps/orders", methods=["POST"])
    def order(request: "Request") -> bytes:
        state = group.order(rank, _read_order(json.loads(request.content.read())))
        if state is None:
            return _write(request, {"refused": True})
        return _write(request, {"refused": False, "state": _write_state(state, rank)})

    @app.route("/steps/weights", methods=["POST"])
    def weights(request: "Request") -> bytes:
        version = json.loads(request.content.read())["map_version"]
        engine = group.engines[rank]
        loop = asyncio.get_running_loop()
        loop.call_later(fetch_ms / 1000, engine.weights.add, version)
        return _write(request, {})

    @app.route("/steps/replace", methods=["POST"])
    def replace(request: "Request") -> bytes:
        group.replace(rank)
        return _write(request, {})

    @app.route("/steps/compute", methods=["POST"])
    def compute(request: "Request") -> bytes:
        body = json.loads(request.content.read())
        group.compute_ms[rank] = body["compute_ms"]
        return _write(request, {})

    @app.route("/steps/counts")
    def counts(request: "Request") -> bytes:
        document = dataclasses.asdict(group.counts)
        return _write(
            request, {**document, "maps_used": sorted(group.counts.maps_used)}
        )

    def _write_state(state: EngineState, rank: int) -> dict[str, t.Any]:
        document = dataclasses.asdict(state)
        document["weights"] = sorted(state.weights)
        document["compute_ms"] = group.compute_ms[rank]
        return document

    return app


def _read_order(document: dict[str, t.Any]) -> Order:
    window = document["window"]
    return Order(
        document["term"],
        document["epoch"],
        document["begin"],
        None if window is None else Window(**window),
    )


def _write(request: "Request", document: dict[str, t.Any]) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(document).encode()
