"""Leader election of a rank group, by a key in the store under a short lease."""

import asyncio
import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import decoding, read_json
from fuchsiahatch_adapter.store import (
    LeaseLostError,
    StoreClient,
    StoreRestoredError,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import ConflictError, FormError, PlatformError
from fuchsiahatch_gateway.datagrams import Peer, check_peer
from fuchsiahatch_gateway.defaults import (
    LEADER_RENEWAL_INTERVAL_MS,
    LEADER_TTL_MS,
    LEADERS_PREFIX,
)
from fuchsiahatch_gateway.settled_era import SettledEra

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock

#: Delay of a rank's attempt to win after its group has lost its leader, times the rank:
#: the ranks don't all call the store at once.
ELECTION_STAGGER_MS = 40
#: Interval between attempts to win. An agent whose watch is late knows no leader, or a
#: former one, for seconds; without the interval eight of them make some hundred calls a
#: second.
ELECTION_RETRY_INTERVAL_MS = 300
#: Most revisions that a store may lose when it is restored from an older copy: a minute
#: at 3,200 writes a second. As long as no more are lost, the terms of each era are
#: higher than those of the era before.
REVISIONS_PER_ERA = 200_000
#: Eras after which terms wrap around, so that map versions, which are derived from
#: terms, stay below 2^63 whatever era the store begins with.
ERA_MODULUS = 4_096
#: Time before the lease's end at which it counts as expired, as clocks and answers may
#: be late.
LEASE_MARGIN_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """A group's leader.

    Attributes
    ----------
    group : str
    term : int
        As `term_of` computes it; each later leader's is higher.
    peer : Peer
    """

    group: str
    term: int
    peer: Peer


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaderDocument:
    """Value of a leader's key; the era is the store's when the key was created."""

    node: str
    peer: Peer
    era: int = 0


def term_of(era: int, revision: int) -> int:
    """Return the term of a leader whose key was created at a revision of an era.

    The term is even. The odd one after it is its standby's, which needs no key to take
    over.

    The era is part of the term as a store that is restored from an older copy issues
    revisions again. By revisions alone, a later leader's term could be lower, and no
    agent would accept it, or equal, and two leaders would switch maps under one term.
    """
    return 2 * (era % ERA_MODULUS * REVISIONS_PER_ERA + revision)


def takeover_term(term: int) -> int:
    """Return the term under which a leader's standby takes over."""
    return term + 1


def decode_leader(group: str, value: bytes) -> tuple[Peer, int]:
    """Decode where a group's leader receives datagrams, and the era of its key.

    Raises
    ------
    FormError
    """
    what = f"leader of {group}"
    document = read_json(value, _LeaderDocument, what)
    with decoding(what):
        check_peer(document.peer)
    return document.peer, document.era


class Leadership:
    """Takes part in the elections of a group for one agent.

    Parameters
    ----------
    store : StoreClient
    node : str
    peer : Peer
    clock : Clock

    Attributes
    ----------
    term : int
    renewal_unanswered : bool
        Whether the last renewal has no answer, so that the lease's state is unknown.
    found_leader : LeaderRecord or None
        The agent that leads, if the last attempt to win found another one's key.
    settled_era : SettledEra
    """

    __slots__ = (
        "_clock",
        "_era",
        "_key",
        "_leaderless_since_ms",
        "_lease",
        "_next_attempt_ms",
        "_node",
        "_peer",
        "_store",
        "_valid_until_ms",
        "found_leader",
        "renewal_unanswered",
        "settled_era",
        "term",
    )

    def __init__(
        self, store: StoreClient, node: str, peer: Peer, clock: "Clock"
    ) -> None:
        self._store = store
        self._node = node
        self._peer = peer
        self._clock = clock
        self._key = ""
        self._lease = 0
        #: The store's era when the lease was granted.
        self._era = 0
        self._valid_until_ms = 0
        self.settled_era = SettledEra(store, clock)
        self._leaderless_since_ms: int | None = None
        self._next_attempt_ms = 0
        self.term = 0
        self.renewal_unanswered = False
        self.found_leader: LeaderRecord | None = None

    @property
    def holds_lease(self) -> bool:
        """Whether the lease is valid by the local clock, which counts suspensions."""
        return self._clock.now_ms() < self._valid_until_ms

    @property
    def is_sole_leader(self) -> bool:
        """Whether no earlier leader can still believe that it holds its lease.

        Engines check no terms, so two leaders must never give them orders at the same
        time. Usually the lease of one has expired before another can win, but a store
        that was restored from an older copy has lost it.
        """
        return self.holds_lease and self.settled_era.settled

    def note_restored(self) -> None:
        """Stop leading: the store was restored from a copy without the lease."""
        self.settled_era.check()
        self.resign()

    async def try_win(
        self, group: str, rank: int, known_leader: LeaderRecord | None
    ) -> bool:
        """Try to become leader if there is none; return whether it succeeded."""
        now_ms = self._clock.now_ms()
        if known_leader is not None and known_leader.peer != self._peer:
            self._leaderless_since_ms = None
            return False
        if now_ms < self._next_attempt_ms:
            return False
        if self._leaderless_since_ms is None:
            self._leaderless_since_ms = now_ms
        if now_ms - self._leaderless_since_ms < ELECTION_STAGGER_MS * rank:
            return False
        self._leaderless_since_ms = None
        self._next_attempt_ms = now_ms + ELECTION_RETRY_INTERVAL_MS
        try:
            return await self._win(group)
        except ConflictError:
            return False
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return False

    async def renew_forever(self) -> None:
        """Renew the lease until the store says that it has ended, or until `resign`."""
        lease = self._lease
        while lease == self._lease:
            await asyncio.sleep(LEADER_RENEWAL_INTERVAL_MS / 1000)
            began_ms = self._clock.now_ms()
            self.renewal_unanswered = True
            try:
                await self._store.keep(lease)
            except LeaseLostError:
                if lease == self._lease:
                    self.resign()
                return
            except PlatformError as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
                continue
            if lease == self._lease and self._era == self._store.era:
                self.renewal_unanswered = False
                self._valid_until_ms = began_ms + LEADER_TTL_MS - LEASE_MARGIN_MS

    def resign(self) -> None:
        """Stop leading, and let the lease expire."""
        self._valid_until_ms = 0
        self._lease = 0
        self.renewal_unanswered = False

    async def release(self) -> None:
        """Stop leading and revoke the lease, so that another agent may lead at once."""
        lease = self._lease
        self.resign()
        try:
            # In another era the lease's number may have been granted to another agent.
            if lease and self._era == self._store.era:
                await self._store.revoke(lease)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)

    def _read_leader(self, group: str, item: "Item") -> LeaderRecord | None:
        try:
            peer, era = decode_leader(group, item.value or b"")
        except FormError as fault:
            log_event(Event.ITEM_UNREADABLE, item=self._key, detail=fault.detail)
            return None
        return LeaderRecord(group, term_of(era, item.created), peer)

    async def _win(self, group: str) -> bool:
        self._key = LEADERS_PREFIX + group
        item = await self._store.get(self._key)
        era = self._store.era
        if item is not None:
            leader = self._read_leader(group, item)
            if leader is not None and leader.peer != self._peer:
                self.found_leader = leader
                return False
            # An earlier incarnation of this agent led, or the leader is unreadable. The
            # key must be removed first, as the term comes from the revision at which it
            # is created. A key that another agent created meanwhile must stay: its
            # owner would go on leading as well.
            await self._store.remove(self._key, item.revision)
        began_ms = self._clock.now_ms()
        lease = await self._store.grant(LEADER_TTL_MS)
        document = _LeaderDocument(self._node, self._peer, era)
        value = orjson.dumps(document)
        revision = await self._store.put(self._key, value, lease, expected=0)
        if self._store.era != era:
            # The revision is of another era than the key says, or the lease is lost.
            raise StoreRestoredError(f"while {group} elected a leader")
        self._lease = lease
        self._era = era
        self.renewal_unanswered = False
        self.term = term_of(era, revision)
        self._valid_until_ms = began_ms + LEADER_TTL_MS - LEASE_MARGIN_MS
        return True
