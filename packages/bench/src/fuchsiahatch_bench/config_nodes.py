"""Entries' and agents' configuration parts, many of them in one process.

They are the daemon's own parts with real gRPC and HTTP over loopback between them;
only the host list is handed in, and no requests are served.
"""

import random
import time
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_daemon import rpc
from fuchsiahatch_daemon.changes import Changes
from fuchsiahatch_daemon.configuration import Configuration
from fuchsiahatch_daemon.following import Follower
from fuchsiahatch_daemon.peer_calls import PeerCalls
from fuchsiahatch_daemon.peers import Peers
from fuchsiahatch_daemon.pulls import Pulls
from fuchsiahatch_membership.hosts import HostRow, HostTable
from fuchsiahatch_placement.acceptance import EntryConfiguration
from fuchsiahatch_platform.budget import CallBudget
from fuchsiahatch_platform.host_list import ListedHost
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import KeyValueClient
from fuchsiahatch_standins.ports import free_address

REGION = "kl"
ZONES = ("kl-a", "kl-b", "kl-c")
SEGMENT = "main"
_INCARNATION = "1"


class FixedList:
    """A host list that names the same hosts at every reading."""

    def __init__(self, rows: t.Sequence[HostRow]) -> None:
        self._listed = [_listed(row) for row in rows]

    async def read(self) -> list[ListedHost]:
        """Return all hosts."""
        return self._listed


class TimedClient(KeyValueClient):
    """Notes when a swap was last answered, in seconds of the monotonic clock."""

    swapped_s: float | None = None

    async def swap(self, *arguments: t.Any) -> bool:
        """Swap, and note the time of the answer."""
        done = await super().swap(*arguments)
        self.swapped_s = time.monotonic()
        return done


class EntryNode:
    """What one entry keeps for its configuration."""

    def __init__(self, row: HostRow, rows: t.Sequence[HostRow], url: str) -> None:
        clock = Clock()
        identity = (row.host, _INCARNATION)
        table = HostTable()
        table.replace_rows(rows)
        rng = random.Random(row.host)
        self.row = row
        self.caller = HttpCaller()
        self.key_value = TimedClient(url, self.caller, CallBudget(clock), rng)
        self._channels = rpc.Channels()
        self.calls = PeerCalls(table, self._channels)
        part = EntryConfiguration(*identity, row.region, row.zone)
        self.configuration = Configuration(
            part, SEGMENT, self.key_value, self.calls, clock
        )
        self.changes = Changes(self.configuration, self.key_value, self.calls, clock)
        self.peers = Peers(
            *identity, row.region, table, self.calls, self.configuration, clock, rng
        )

    async def start(self) -> None:
        """Serve and ask."""
        pulls = Pulls(self.configuration)
        self._server = await rpc.serve([self.peers, pulls], self.row.rpc_address)
        self.configuration.start()
        self.peers.start()

    async def stop(self) -> None:
        """End all."""
        self.peers.stop()
        self.configuration.stop()
        self._server.close()
        self._channels.close()
        await self.caller.close()

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.configuration.snapshot.revision

    @property
    def payload_bytes(self) -> int:
        """Bodies so far, both ways; a peer's message counts at both its ends."""
        calls, caller = self.calls, self.caller
        peers = 2 * (calls.sent_bytes + calls.received_bytes)
        return peers + caller.sent_bytes + caller.received_bytes


class AgentNode:
    """What one agent keeps for its configuration."""

    def __init__(self, number: int, rows: t.Sequence[HostRow]) -> None:
        self._channels = rpc.Channels()
        zone = ZONES[number % len(ZONES)]
        self.follower = Follower(
            zone, SEGMENT, FixedList(rows), self._channels, random.Random(number)
        )

    async def start(self) -> None:
        """Follow."""
        self.follower.start()

    async def stop(self) -> None:
        """End following."""
        self.follower.stop()
        self._channels.close()

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.follower.snapshot.revision


def make_rows(count: int) -> list[HostRow]:
    """Return the host list's rows of some entries, over the zones in turn."""
    return [_row(number) for number in range(count)]


def roster_rows(rows: t.Iterable[HostRow]) -> list[dict[str, t.Any]]:
    """Return the roster's records with all these entries as voters."""
    return [
        {
            "region": row.region,
            "zone": row.zone,
            "host": row.host,
            "listed": True,
            "was_listed": False,
        }
        for row in rows
    ]


def _row(number: int) -> HostRow:
    return HostRow(
        host=f"entry-{number:03}",
        zone=ZONES[number % len(ZONES)],
        region=REGION,
        role="entry",
        rpc_address=free_address(),
        http_address=free_address(),
        offers=(),
        leaving=False,
    )


def _listed(row: HostRow) -> ListedHost:
    return ListedHost(
        host=row.host,
        zone=row.zone,
        region=row.region,
        role=row.role,
        rpc_address=row.rpc_address,
        http_address=row.http_address,
        offers=row.offers,
        leaving=row.leaving,
    )
