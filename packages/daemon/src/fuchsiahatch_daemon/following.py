"""The agent's placement snapshot, learned from entries, and its second check."""

import asyncio
import random

from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError, RefusedError, SettingsError
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_daemon.host_watch import read_rows
from fuchsiahatch_daemon.peer_calls import CONNECTION_FAULTS, PEER_TIMEOUT_MS
from fuchsiahatch_daemon.rpc import Channels
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_membership.hosts import HostRow, HostTable
from fuchsiahatch_placement.checks import Ruling, Step, check_request
from fuchsiahatch_placement.records import EMPTY_SNAPSHOT, Snapshot, decode_document
from fuchsiahatch_platform.host_list import HostListClient
from fuchsiahatch_wire import attempts_pb2, peers_pb2
from fuchsiahatch_wire.peers_grpc import ConfigurationStub

#: How often an agent reads the host list; it only needs some entry to ask.
LIST_MS = 10_000
#: Delay before a failed reading is repeated while no entry is known.
LIST_RETRY_MS = 1_000
#: How long an entry may hold an agent's pull while nothing is newer.
PULL_WAIT_MS = 10_000
_PAUSE_MS = 200


class Follower:
    """Follows one entry's revisions, and goes to another when it falls silent.

    Parameters
    ----------
    zone : str
        The agent's own availability zone; an entry there is asked first.
    segment : str
    host_list : HostListClient
    channels : Channels
    rng : random.Random, optional
        Spreads the agents over the entries.

    Attributes
    ----------
    snapshot : Snapshot
        Only ever replaced by one of a higher revision.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        zone: str,
        segment: str,
        host_list: HostListClient,
        channels: Channels,
        rng: random.Random | None = None,
    ) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._zone = zone
        self._segment = segment
        self._host_list = host_list
        self._channels = channels
        self._rng = random.Random() if rng is None else rng
        self._table = HostTable()
        self._followed = ""
        self._tasks = Tasks()

    def start(self) -> None:
        """Begin to follow."""
        self._tasks.spawn(self._keep_list())
        self._tasks.repeat(self._follow, _PAUSE_MS)

    def stop(self) -> None:
        """End following."""
        self._tasks.cancel()

    def share_of(self, team: str) -> float:
        """Return a team's share of this zone in percent; 0 where it has none."""
        placement = self.snapshot.placements.get(team)
        place = placement.places.get(self._zone) if placement else None
        return place.share_percent if place else 0.0

    async def check(self, request: attempts_pb2.RunRequest, waited: bool) -> None:
        """Check a request's place, after its entry has.

        Parameters
        ----------
        request : RunRequest
        waited : bool
            Whether it passed before and has waited in the queue since: then its
            entry's revision may be old by now, but the place must be allowed still.

        Raises
        ------
        RefusedError
            When it may not run here; nothing was run.
        """
        if waited:
            ruling = self._rule(request, self.snapshot.revision)
        else:
            ruling = await self._rule_or_learn(request)
        if ruling.step is not Step.RUN:
            raise RefusedError(ruling.detail, ruling.code, RETRY_AFTER_MS)

    async def _rule_or_learn(self, request: attempts_pb2.RunRequest) -> Ruling:
        ruling = self._rule(request, request.revision)
        if ruling.step is not Step.LEARN:
            return ruling
        await self._learn(request.attempt.entry)
        return self._rule(request, request.revision)

    def _rule(self, request: attempts_pb2.RunRequest, entry_revision: int) -> Ruling:
        offer = Offer(request.offer_name, request.offer_version)
        return check_request(
            self.snapshot, entry_revision, request.team, self._zone, offer
        )

    async def _keep_list(self) -> None:
        while True:
            await self._read_list()
            pause_ms = LIST_MS if self._table.rows("entry") else LIST_RETRY_MS
            await asyncio.sleep(pause_ms / 1000)

    async def _read_list(self) -> None:
        try:
            self._table.replace_rows(await read_rows(self._host_list))
        except PlatformError as fault:
            log_event(Event.HOST_LIST_FAILED, detail=fault.detail)

    async def _follow(self) -> None:
        row = self._table.row(self._followed) or self._choose()
        if row is None:
            return
        self._followed = row.host
        if not await self._pull(row, PULL_WAIT_MS):
            self._followed = ""

    def _choose(self) -> HostRow | None:
        rows = [row for row in self._table.rows("entry") if not row.leaving]
        near = [row for row in rows if row.zone == self._zone]
        return self._rng.choice(near or rows) if rows else None

    async def _learn(self, host: str) -> None:
        """Fetch what the request's own entry has, or else what any has."""
        row = self._table.row(host)
        if row is None:
            await self._read_list()
            row = self._table.row(host) or self._choose()
        if row is not None:
            await self._pull(row, 0)

    async def _pull(self, row: HostRow, wait_ms: int) -> bool:
        """Return whether the entry answered."""
        stub = ConfigurationStub(self._channels.to(row.rpc_address))
        message = peers_pb2.PullRequest(
            segment=self._segment,
            known_revision=self.snapshot.revision,
            wait_ms=wait_ms,
        )
        try:
            async with asyncio.timeout((wait_ms + PEER_TIMEOUT_MS) / 1000):
                reply = await stub.Pull(message)
        except CONNECTION_FAULTS:
            return False
        self._take(reply)
        return True

    def _take(self, reply: peers_pb2.PullReply) -> None:
        if not reply.document:
            return
        try:
            snapshot = decode_document(reply.document)
        except SettingsError as fault:
            log_event(Event.CONFIGURATION_UNREADABLE, detail=fault.detail)
            return
        # Only upwards: an entry that lags behind the one followed before would
        # otherwise bring back a place that was forbidden since.
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            log_event(Event.CONFIGURATION_APPLIED, revision=snapshot.revision)
