"""What one call between the agents of a rank group costs, at both ends together."""

import asyncio
import time
import typing as t

from grpclib.client import Channel
from grpclib.server import Server

from fuchsiahatch_bench.traffic import read_traffic
from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_wire import steps_pb2
from fuchsiahatch_wire.steps_grpc import StepsBase, StepsStub

if t.TYPE_CHECKING:
    from grpclib.server import Stream

_CALLS = 300
_IP = "127.0.0.1"
_WINDOW = steps_pb2.Window(start=1_000_000, end=1_000_064, map_version=1_000)
_REQUEST_FIELDS = {"group": "group-north-a-07", "term": 1_000, "epoch": 100}
_NS_PER_MS = 1_000_000


class _Rank(StepsBase):
    """Answers as a rank does, without deciding."""

    def __init__(self, incarnation: str) -> None:
        engine = steps_pb2.EngineState(
            epoch=100, step=1_000_000, granted=_WINDOW, weights=[1_000], compute_ms=5.2
        )
        told = steps_pb2.ToldReply(
            number=1_000_000, engine=engine, accepted=_WINDOW, accepted_term=1_000
        )
        common = {
            "rank": 63,
            "incarnation": incarnation,
            "term": 1_000,
            "asked_term": 1_000,
        }
        self._told = steps_pb2.StepReply(**common, told=told)
        self._agreed = steps_pb2.StepReply(**common, window=_WINDOW)

    async def Ask(
        self, stream: "Stream[steps_pb2.AskRequest, steps_pb2.StepReply]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(self._told)

    async def Propose(
        self, stream: "Stream[steps_pb2.WindowRequest, steps_pb2.StepReply]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(self._agreed)

    async def Commit(
        self, stream: "Stream[steps_pb2.WindowRequest, steps_pb2.StepReply]"
    ) -> None:
        await self.Propose(stream)


async def measure_steps(base_port: int) -> dict[str, float]:
    """Return wire bytes and milliseconds of a question and of a window's call.

    The milliseconds are of caller and rank together, as both run here.
    """
    incarnation = new_incarnation()
    server = Server([_Rank(incarnation)])
    await server.start(_IP, base_port)
    channel = Channel(_IP, base_port)
    stub = StepsStub(channel)
    ask = steps_pb2.AskRequest(**_REQUEST_FIELDS, number=1_000_000, wanted_map=1_000)
    window = steps_pb2.WindowRequest(
        **_REQUEST_FIELDS, incarnation=incarnation, window=_WINDOW
    )
    try:
        asked = await _call_often(channel, lambda: stub.Ask(ask))
        agreed = await _call_often(channel, lambda: stub.Propose(window))
    finally:
        channel.close()
        server.close()
        await server.wait_closed()
    return {
        "step_ask_wire_bytes": asked[0],
        "step_ask_ms": asked[1],
        "step_window_wire_bytes": agreed[0],
        "step_window_ms": agreed[1],
    }


async def _call_often(
    channel: Channel, call: t.Callable[[], t.Awaitable[t.Any]]
) -> tuple[float, float]:
    await call()
    connection = (await channel.__connect__()).connection._transport
    socket = connection.get_extra_info("socket")
    before, began_ns = read_traffic(socket), time.process_time_ns()
    for _ in range(_CALLS):
        await call()
    used_ms = (time.process_time_ns() - began_ns) / _NS_PER_MS
    # The last acknowledgement may still be on its way.
    await asyncio.sleep(0.1)
    passed = read_traffic(socket).wire_bytes - before.wire_bytes
    return passed / _CALLS, used_ms / _CALLS
