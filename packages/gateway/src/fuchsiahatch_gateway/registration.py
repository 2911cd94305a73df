"""A key under a lease that is renewed while its owner lives."""

import asyncio
import typing as t

from fuchsiahatch_adapter.store import LeaseLostError, StoreClient
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.defaults import (
    REGISTRATION_TTL_MS,
    RENEWAL_MS,
    STORE_RETRY_MS,
)

#: Pause before a registration whose lease has ended is made anew.
LEASE_RETRY_MS = 100

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.following import StoreHealth


class Registration:
    """Registers one process in the store.

    Parameters
    ----------
    store : StoreClient
    key : str
    value : bytes
    health : StoreHealth
    clock : Clock
    """

    __slots__ = (
        "_clock",
        "_health",
        "_key",
        "_lease",
        "_store",
        "_value",
        "_withdrawn",
    )

    def __init__(
        self,
        store: StoreClient,
        key: str,
        value: bytes,
        health: "StoreHealth",
        clock: "Clock",
    ) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._health = health
        self._clock = clock
        self._lease = 0
        self._withdrawn = False

    async def run(self) -> None:
        """Register, renew, and register anew when the lease has ended."""
        while not self._withdrawn:
            try:
                await self._renew()
                self._health.note_answer(self._clock.now_ms())
                await asyncio.sleep(RENEWAL_MS / 1000)
            except LeaseLostError:
                log_event(Event.LEASE_LOST, key=self._key)
                self._lease = 0
                await asyncio.sleep(LEASE_RETRY_MS / 1000)
            except PlatformError as fault:
                self._health.note_failure(self._clock.now_ms(), fault.detail)
                await asyncio.sleep(STORE_RETRY_MS / 1000)

    async def withdraw(self) -> None:
        """End the registration for good; where that fails it lapses by itself.

        Notes
        -----
        Guards against a process that stops and is still found: the next renewal sees
        its lease ended and registers anew, and callers come to an entry that is gone.
        """
        self._withdrawn = True
        await self._end_lease()

    async def _end_lease(self) -> None:
        lease, self._lease = self._lease, 0
        try:
            if lease:
                await self._store.revoke(lease)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)

    async def _renew(self) -> None:
        if self._lease:
            await self._store.keep(self._lease)
            return
        lease = await self._store.grant(REGISTRATION_TTL_MS)
        await self._store.put(self._key, self._value, lease)
        self._lease = lease
        if self._withdrawn:
            await self._end_lease()
