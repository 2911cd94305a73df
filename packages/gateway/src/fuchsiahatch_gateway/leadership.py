"""Who leads a rank group: a key in the store under a short lease."""

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
    LEADER_RENEWAL_MS,
    LEADER_TTL_MS,
    LEADERS_PREFIX,
)
from fuchsiahatch_gateway.settled_era import SettledEra

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item
    from fuchsiahatch_core.clock import Clock

#: Time for which a group must have been without a leader before a rank tries, for
#: each number that its rank is: the ranks don't all call the store at once.
STAGGER_MS = 40
#: Pause behind a try to win. An agent whose watch is late knows of no leader, or of one
#: that is gone, for seconds; without it eight of them made some hundred calls a second.
REST_MS = 300
#: Revisions by which a store that comes back from an older copy may fall back, at the
#: most: a minute of 3,200 writes a second. Each era's terms begin behind those of the
#: era before it, as long as no more are lost.
REVISIONS_PER_ERA = 200_000
#: Eras behind which terms begin anew, so that versions of maps, which are made of them,
#: stay below 2^63 whatever number the store begins with.
ERAS_IN_TERMS = 4_096
#: Time kept back from the lease, as clocks and answers are late.
LEASE_RESERVE_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """A group's leader.

    Attributes
    ----------
    group : str
    term : int
        Of `term_of`; each later leader's is higher.
    peer : Peer
    """

    group: str
    term: int
    peer: Peer


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaderDocument:
    """A leader's key as it is written; the era is the store's as it was made."""

    node: str
    peer: Peer
    era: int = 0


def term_of(era: int, revision: int) -> int:
    """Return the term of a leader whose key was made at a revision of an era.

    The odd term behind it is its standby's, which needs no key to take over.

    Guards against a store that comes back from an older copy and gives revisions out
    again: a later leader's term would be lower, and no agent would obey it, or the same
    as an earlier one's, and two leaders would switch maps under one term.
    """
    return 2 * (era % ERAS_IN_TERMS * REVISIONS_PER_ERA + revision)


def takeover_term(term: int) -> int:
    """Return the term under which a leader's standby takes over."""
    return term + 1


def decode_leader(group: str, value: bytes) -> tuple[Peer, int]:
    """Decode where a group's leader takes datagrams, and the era of its key.

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
    """Part of one agent in the elections of its group.

    Parameters
    ----------
    store : StoreClient
    node : str
    peer : Peer
    clock : Clock

    Attributes
    ----------
    term : int
    unanswered : bool
        Whether the last renewal has no answer, so that nobody knows of the lease.
    found : LeaderRecord or None
        Another agent that leads, where a try to win showed one.
    settled_era : SettledEra
    """

    __slots__ = (
        "_absent_since_ms",
        "_clock",
        "_era",
        "_key",
        "_lease",
        "_node",
        "_peer",
        "_rest_until_ms",
        "_store",
        "_valid_until_ms",
        "found",
        "settled_era",
        "term",
        "unanswered",
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
        #: Of the store as the lease was made.
        self._era = 0
        self._valid_until_ms = 0
        self.settled_era = SettledEra(store, clock)
        self._absent_since_ms: int | None = None
        self._rest_until_ms = 0
        self.term = 0
        self.unanswered = False
        self.found: LeaderRecord | None = None

    @property
    def held(self) -> bool:
        """Whether this agent leads by its own clock, which counts suspended time."""
        return self._clock.now_ms() < self._valid_until_ms

    @property
    def alone(self) -> bool:
        """Whether no earlier leader can still believe that it has its lease.

        Guards against two leaders that both speak with engines, which refuse nobody.
        Usually the lease of one has ended before another can win. A store that came
        back from an older copy has forgotten it.
        """
        return self.held and self.settled_era.settled

    def note_restored(self) -> None:
        """Lead no more: the store came back from an older copy, without the lease."""
        self.settled_era.look()
        self.resign()

    async def try_win(self, group: str, rank: int, known: LeaderRecord | None) -> bool:
        """Try to become leader if there is none; return whether that worked."""
        now_ms = self._clock.now_ms()
        if known is not None and known.peer != self._peer:
            self._absent_since_ms = None
            return False
        if now_ms < self._rest_until_ms:
            return False
        if self._absent_since_ms is None:
            self._absent_since_ms = now_ms
        if now_ms - self._absent_since_ms < STAGGER_MS * rank:
            return False
        self._absent_since_ms = None
        self._rest_until_ms = now_ms + REST_MS
        try:
            return await self._win(group)
        except ConflictError:
            return False
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return False

    async def renew_for_ever(self) -> None:
        """Renew the lease until the store says that it has ended, or `resign`."""
        lease = self._lease
        while lease == self._lease:
            await asyncio.sleep(LEADER_RENEWAL_MS / 1000)
            began_ms = self._clock.now_ms()
            self.unanswered = True
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
                self.unanswered = False
                self._valid_until_ms = began_ms + LEADER_TTL_MS - LEASE_RESERVE_MS

    def resign(self) -> None:
        """Lead no more, and let the lease run out."""
        self._valid_until_ms = 0
        self._lease = 0
        self.unanswered = False

    async def give_up(self) -> None:
        """End the lease, so that another agent may lead at once."""
        lease = self._lease
        self.resign()
        try:
            # Of another era it may be somebody else's by now.
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
                self.found = leader
                return False
            # An earlier life of this agent led, or nobody can read who does. The key
            # must go first: the term is the revision at which it was made. Another
            # agent's, made meanwhile, must stay: its owner would go on to lead as well.
            await self._store.remove(self._key, item.revision)
        began_ms = self._clock.now_ms()
        lease = await self._store.grant(LEADER_TTL_MS)
        document = _LeaderDocument(self._node, self._peer, era)
        value = orjson.dumps(document)
        revision = await self._store.put(self._key, value, lease, expected=0)
        if self._store.era != era:
            # The revision is of another era than the key says, or the lease is gone.
            raise StoreRestoredError(f"while {group} elected a leader")
        self._lease = lease
        self._era = era
        self.unanswered = False
        self.term = term_of(era, revision)
        self._valid_until_ms = began_ms + LEADER_TTL_MS - LEASE_RESERVE_MS
        return True
