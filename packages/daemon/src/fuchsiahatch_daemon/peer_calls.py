"""Calls to other entries over gRPC; silence is an answer too."""

import asyncio
import typing as t

from grpclib.exceptions import GRPCError, StreamTerminatedError

from fuchsiahatch_core.defaults import HEARTBEAT_MS
from fuchsiahatch_daemon import peer_messages
from fuchsiahatch_daemon.rpc import Channels
from fuchsiahatch_membership.heartbeats import Beat
from fuchsiahatch_membership.hosts import HostTable
from fuchsiahatch_placement.acceptance import PeerAnswer, Question, Report
from fuchsiahatch_wire import peers_pb2
from fuchsiahatch_wire.peers_grpc import PeersStub

#: Time that one call to another entry may take.
PEER_TIMEOUT_MS = HEARTBEAT_MS

#: What a broken or silent connection to another process raises.
CONNECTION_FAULTS = (OSError, TimeoutError, GRPCError, StreamTerminatedError)

_Answer = t.TypeVar("_Answer")


class PeerCalls:
    """Calls entries by the names that the host table knows.

    Parameters
    ----------
    table : HostTable
    channels : Channels

    Attributes
    ----------
    calls, sent_bytes, received_bytes : int
        So far, without gRPC's own heads.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_channels", "_table", "calls", "received_bytes", "sent_bytes")

    def __init__(self, table: HostTable, channels: Channels) -> None:
        self._table = table
        self._channels = channels
        self.calls = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def exchange(
        self, host: str, beats: t.Iterable[Beat]
    ) -> tuple[Beat, ...] | None:
        """Send heartbeats and return those that came back; None for silence."""
        message = peer_messages.to_wire_beats(beats)
        answer = await self._call(host, "Exchange", message)
        return None if answer is None else peer_messages.from_wire_beats(answer)

    async def ask(self, host: str, question: Question) -> PeerAnswer | None:
        """Ask an entry a question; None for silence."""
        message = peer_messages.to_wire_question(question)
        answer = await self._call(host, "Ask", message)
        return None if answer is None else peer_messages.from_wire_answer(answer)

    async def tell(self, host: str) -> Report | None:
        """Ask an entry for its report; None for silence."""
        answer = await self._call(host, "Tell", peers_pb2.ReportRequest())
        return None if answer is None else peer_messages.from_wire_report(answer)

    async def _call(self, host: str, method: str, message: t.Any) -> t.Any:
        row = self._table.row(host)
        if row is None:
            return None
        stub = PeersStub(self._channels.to(row.rpc_address))
        self.calls += 1
        self.sent_bytes += message.ByteSize()
        try:
            async with asyncio.timeout(PEER_TIMEOUT_MS / 1000):
                answer = await getattr(stub, method)(message)
        except CONNECTION_FAULTS:
            return None
        self.received_bytes += answer.ByteSize()
        return answer
