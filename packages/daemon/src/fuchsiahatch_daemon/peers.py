"""The entry's gRPC service for other entries, and its heartbeats to them."""

import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.defaults import HEARTBEAT_MS
from fuchsiahatch_daemon import peer_messages
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.peer_calls import PeerCalls
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_membership.heartbeats import (
    Beat,
    BeatsHeard,
    Described,
    Event,
    Heartbeats,
    HostReported,
    RevisionHeard,
    SendBeats,
    Tick,
)
from fuchsiahatch_membership.hosts import HostTable
from fuchsiahatch_wire import peers_pb2
from fuchsiahatch_wire.peers_grpc import PeersBase

if t.TYPE_CHECKING:
    from grpclib.server import Stream


class Peers(PeersBase):
    """Keeps this entry and its region's other entries in touch.

    Parameters
    ----------
    host, incarnation, region : str
        Of this entry.
    table : HostTable
        Where the other entries stand, and what is heard of them.
    calls : PeerCalls
    configuration : Configuration
    clock : Clock
    rng : random.Random, optional
        Chooses whom the heartbeats go to.

    Attributes
    ----------
    leaving : bool
    open_requests : callable
        Returns how many requests are open here.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        region: str,
        table: HostTable,
        calls: PeerCalls,
        configuration: Configuration,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self.leaving = False
        self.open_requests: t.Callable[[], int] = lambda: 0
        self._host = host
        self._region = region
        self._table = table
        self._calls = calls
        self._configuration = configuration
        self._clock = clock
        self._heartbeats = Heartbeats(host, incarnation, rng or random.Random())
        self._tasks = Tasks()

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._configuration.when_applied(self._describe)
        self._tasks.repeat(self._beat, HEARTBEAT_MS)

    def stop(self) -> None:
        """End sending."""
        self._tasks.cancel()

    def leave(self) -> None:
        """Tell the other entries at once that callers shall come here no more."""
        self.leaving = True
        self._describe()

    async def Exchange(
        self, stream: "Stream[peers_pb2.Beats, peers_pb2.Beats]"
    ) -> None:
        """Hear another entry's heartbeats and answer with some."""
        message = await stream.recv_message()
        assert message is not None
        answer = self._heartbeats.reply(self._clock.now_ms())
        await stream.send_message(peer_messages.to_wire_beats(answer))
        self._hear(peer_messages.from_wire_beats(message))

    async def Ask(self, stream: "Stream[peers_pb2.Question, peers_pb2.Answer]") -> None:
        """Answer another entry's question about the configuration."""
        message = await stream.recv_message()
        assert message is not None
        question = peer_messages.from_wire_question(message)
        answer = self._configuration.part.answer_question(question)
        await stream.send_message(peer_messages.to_wire_answer(answer))

    async def Tell(
        self, stream: "Stream[peers_pb2.ReportRequest, peers_pb2.Report]"
    ) -> None:
        """Say what is in force here."""
        await stream.recv_message()
        report = self._configuration.part.report()
        await stream.send_message(peer_messages.to_wire_report(report))

    async def _beat(self) -> None:
        rows = self._table.rows("entry")
        peers = (row.host for row in rows if row.region == self._region)
        self._describe()
        self._handle(Tick(tuple(host for host in peers if host != self._host)))

    def _describe(self) -> None:
        report = self._configuration.part.report()
        self._handle(
            Described(
                self.leaving,
                report.revision,
                report.roster_revision,
                self.open_requests(),
            )
        )

    def _hear(self, beats: tuple[Beat, ...]) -> None:
        sender = beats[0].host if beats else ""
        self._handle(BeatsHeard(beats), sender)

    def _handle(self, event: Event, sender: str = "") -> None:
        for effect in self._heartbeats.handle(event, self._clock.now_ms()):
            match effect:
                case HostReported():
                    self._table.note_report(effect.report)
                case RevisionHeard():
                    self._configuration.hear_of_newer(sender)
                case SendBeats():
                    for host in effect.hosts:
                        self._tasks.spawn(self._exchange(host, effect.beats))

    async def _exchange(self, host: str, beats: tuple[Beat, ...]) -> None:
        answer = await self._calls.exchange(host, beats)
        if answer:
            self._hear(answer)
