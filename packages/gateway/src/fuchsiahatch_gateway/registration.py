"""A key in the store under a lease that its owner keeps renewing."""

import asyncio
import contextlib
import random
import typing as t

from fuchsiahatch_adapter.store import (
    LeaseLostError,
    StoreClient,
    StoreRestoredError,
)
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.defaults import (
    LEASE_RENEWAL_INTERVAL_MS,
    REGISTRATION_TTL_MS,
    STORE_RETRY_MS,
)

#: Delay before a registration whose lease has expired is written again.
LEASE_RETRY_MS = 100
#: Time over which processes spread their registrations after the store has lost all of
#: them, so that a fleet of hundreds doesn't write at the same moment. Other processes
#: keep the old registrations for `LAPSE_GRACE_MS`.
RESTORED_SPREAD_MS = 800

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

    Attributes
    ----------
    revision : int
        Of the key as last written; 0 where the store's answer didn't tell it.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_granted_ms",
        "_health",
        "_key",
        "_lease",
        "_store",
        "_value",
        "_withdrawn",
        "revision",
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
        #: The store's era when the lease was granted.
        self._era = 0
        self._granted_ms = 0
        self._withdrawn = False
        self.revision = 0

    async def run(self) -> None:
        """Register, renew, and register again when the lease has expired."""
        while not self._withdrawn:
            try:
                await self._renew()
                await self._wait_for_renewal()
            except StoreRestoredError as fault:
                log_event(Event.LEASE_LOST, key=self._key, detail=fault.detail)
                self._lease = 0
                await asyncio.sleep(random.uniform(0, RESTORED_SPREAD_MS) / 1000)
            except LeaseLostError:
                log_event(Event.LEASE_LOST, key=self._key)
                self._lease = 0
                await asyncio.sleep(LEASE_RETRY_MS / 1000)
            except PlatformError as fault:
                self._health.note_failure(self._clock.now_ms(), fault.detail)
                await asyncio.sleep(STORE_RETRY_MS / 1000)

    async def _wait_for_renewal(self) -> None:
        """Wait until the next renewal is due or the store answers again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASE_RENEWAL_INTERVAL_MS / 1000):
                await self._health.regained.wait()

    async def withdraw(self) -> None:
        """End the registration for good; if that fails, its lease expires.

        Notes
        -----
        Guards against a stopping process that registers again: its next renewal would
        find the lease expired, and callers would connect to an entry that has ended.
        """
        self._withdrawn = True
        await self._end_lease()

    async def _end_lease(self) -> None:
        lease, self._lease = self._lease, 0
        try:
            # In another era, the same id may belong to another process's lease.
            if lease and self._era == self._store.era:
                await self._store.revoke(lease)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)

    async def _renew(self) -> None:
        """Renew the lease, or get a new one.

        Guards against a store that was restored from an older copy: it may have granted
        the same lease id again, so that the renewal succeeds although this process is
        no longer registered.
        """
        if self._lease:
            await self._keep_lease()
            return
        lease = await self._store.grant(REGISTRATION_TTL_MS)
        self._granted_ms = self._clock.now_ms()
        self._era = self._store.era
        self.revision = 0
        self.revision = await self._store.put(self._key, self._value, lease)
        self._check_era()
        self._lease = lease
        if self._withdrawn:
            await self._end_lease()
        self._health.note_answer(self._clock.now_ms())

    async def _keep_lease(self) -> None:
        self._check_era()
        sent_ms = self._clock.now_ms()
        await self._store.keep(self._lease)
        self._check_era()
        self._health.note_answer(self._clock.now_ms())
        self._health.note_lease_renewed(self._granted_ms, sent_ms)

    def _check_era(self) -> None:
        if self._era != self._store.era:
            raise StoreRestoredError(f"lease is from the earlier era {self._era}")
