"""Serving and calling the system's own gRPC services."""

import typing as t

from grpclib.client import Channel
from grpclib.server import Server

from fuchsiahatch_core.identities import AttemptId
from fuchsiahatch_daemon.settings import split_address
from fuchsiahatch_wire import attempts_pb2

if t.TYPE_CHECKING:
    from grpclib.protocol import H2Protocol, Stream


class _Server(Server):
    """A server whose connections outlive the reset of a call that has just ended.

    Notes
    -----
    grpclib 0.4.9 forgets the task of an ended call before it forgets its stream. A
    caller's reset that comes in between raises a KeyError out of the connection's
    reader, asyncio closes the connection, and every other answer on it breaks off.
    """

    def _protocol_factory(self) -> "H2Protocol":
        protocol = super()._protocol_factory()
        handler = protocol.handler
        cancel = handler.cancel

        def cancel_if_running(stream: "Stream") -> None:
            if stream in handler._tasks:
                cancel(stream)

        handler.cancel = cancel_if_running
        return protocol


async def serve(services: t.Sequence[t.Any], address: str) -> Server:
    """Serve gRPC at ``ip:port``."""
    ip, port = split_address(address)
    server = _Server(services)
    await server.start(ip, port)
    return server


class Channels:
    """One kept channel for each address.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_by_address",)

    def __init__(self) -> None:
        self._by_address: dict[str, Channel] = {}

    def to(self, address: str) -> Channel:
        """Return the channel to ``ip:port``, made at first use."""
        if address not in self._by_address:
            ip, port = split_address(address)
            self._by_address[address] = Channel(ip, port)
        return self._by_address[address]

    def close(self) -> None:
        """Close all channels."""
        for channel in self._by_address.values():
            channel.close()
        self._by_address.clear()


def to_wire_attempt(attempt: AttemptId) -> attempts_pb2.AttemptId:
    """Put an attempt's id into its message."""
    return attempts_pb2.AttemptId(
        entry=attempt.entry, incarnation=attempt.incarnation, counter=attempt.counter
    )


def from_wire_attempt(message: attempts_pb2.AttemptId) -> AttemptId:
    """Read an attempt's id out of its message."""
    return AttemptId(message.entry, message.incarnation, message.counter)
