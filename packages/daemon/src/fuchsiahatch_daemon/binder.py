"""Binds keys that come without a ticket, in the key-value service."""

import asyncio
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import (
    BINDING_CALL_BURST,
    BINDING_CALLS_PER_S,
    RETENTION_MS,
    RETRY_AFTER_MS,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError, RefusedError
from fuchsiahatch_delivery.bindings import (
    Create,
    CreateReply,
    Read,
    ReadReply,
    SharedLease,
    bind,
)
from fuchsiahatch_delivery.limits import TokenBucket

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_delivery.tickets import Ticket
    from fuchsiahatch_platform.keyvalue import KeyValueClient

#: One lease serves the bindings of this time.
_LEASE_SPARE_MS = 300_000


class Binder:
    """Does the calls that a binding decides on, within this entry's own limit.

    Parameters
    ----------
    key_value : KeyValueClient
    clock : Clock

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_bucket", "_clock", "_granting", "_key_value", "_lease")

    def __init__(self, key_value: "KeyValueClient", clock: "Clock") -> None:
        self._key_value = key_value
        self._clock = clock
        self._bucket = TokenBucket(
            BINDING_CALLS_PER_S, BINDING_CALL_BURST, clock.now_ms()
        )
        self._granting = asyncio.Lock()
        self._lease = SharedLease(RETENTION_MS + _LEASE_SPARE_MS, RETENTION_MS)

    async def bind(self, team: str, key: str, ticket: "Ticket") -> "Ticket":
        """Bind a key, or return the ticket that it is bound to.

        Raises
        ------
        RefusedError
            When the service can't be asked now; this try started nothing.
        """
        steps = bind(team, key, ticket)
        reply: CreateReply | ReadReply | None = None
        while True:
            try:
                ask = steps.send(reply)
            except StopIteration as end:
                return end.value
            reply = await (
                self._create(ask) if isinstance(ask, Create) else self._read(ask)
            )

    async def _create(self, ask: Create) -> CreateReply:
        self._spend()
        try:
            lease_id = await self._take_lease()
        except PlatformError as fault:
            raise RefusedError(
                f"the key can't be bound now: {fault.detail}",
                Code.SERVICE_UNAVAILABLE,
                RETRY_AFTER_MS,
            ) from fault
        try:
            return CreateReply(
                await self._key_value.swap(ask.key, ask.value, 0, lease_id)
            )
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return CreateReply(None)

    async def _read(self, ask: Read) -> ReadReply:
        self._spend()
        try:
            return ReadReply((await self._key_value.get(ask.key)).value)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return ReadReply(None)

    def _spend(self) -> None:
        # Bindings share the entry's calls with its questions after the placement
        # records: a flood of keys without tickets would use up what keeps the entry
        # fresh, and it would refuse everybody.
        if not self._bucket.take(self._clock.now_ms()):
            detail = "this entry binds no more keys now; use a ticket of /lookup"
            raise RefusedError(detail, Code.CALL_BUDGET_SPENT, RETRY_AFTER_MS)

    async def _take_lease(self) -> int:
        async with self._granting:
            now_ms = self._clock.now_ms()
            lease_id = self._lease.current(now_ms)
            if lease_id is None:
                self._spend()
                ttl_ms = RETENTION_MS + _LEASE_SPARE_MS
                lease_id = await self._key_value.grant_lease(ttl_ms)
                self._lease.granted(lease_id, now_ms)
            return lease_id
