"""The entry's gRPC service from which agents learn the placement snapshot."""

import asyncio
import typing as t

from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_placement.records import Snapshot
from fuchsiahatch_wire import peers_pb2
from fuchsiahatch_wire.peers_grpc import ConfigurationBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream

#: Longest time that a pull may wait for a newer revision.
MAX_WAIT_MS = 30_000


class Pulls(ConfigurationBase):
    """Answers pulls when there is something newer, or when their wait is over.

    Parameters
    ----------
    configuration : Configuration

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._applied = asyncio.Event()
        configuration.when_applied(self.wake)

    def wake(self) -> None:
        """Let all waiting pulls look again."""
        self._applied.set()
        self._applied = asyncio.Event()

    async def Pull(
        self, stream: "Stream[peers_pb2.PullRequest, peers_pb2.PullReply]"
    ) -> None:
        """Send the snapshot's document if it is newer than what is known."""
        request = await stream.recv_message()
        assert request is not None
        snapshot = await self._newer(request)
        has_newer = snapshot.revision > request.known_revision
        reply = peers_pb2.PullReply(
            revision=snapshot.revision,
            document=snapshot.document if has_newer else b"",
            fresh=self._configuration.fresh,
        )
        await stream.send_message(reply)

    async def _newer(self, request: peers_pb2.PullRequest) -> Snapshot:
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._configuration.snapshot.revision <= request.known_revision:
                    await self._applied.wait()
        except TimeoutError:
            pass
        return self._configuration.snapshot
