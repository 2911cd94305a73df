"""A key under a lease that is renewed while its owner lives."""

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

#: Pause before a registration whose lease has ended is made anew.
LEASE_RETRY_MS = 100
#: Time over which those spread that the store has forgotten all at once, so that a
#: fleet of hundreds doesn't write in one moment. Others wait for them for
#: `LAPSE_GRACE_MS`.
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
    """

    __slots__ = (
        "_clock",
        "_era",
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
        #: Of the store as the lease was made.
        self._era = 0
        self._withdrawn = False

    async def run(self) -> None:
        """Register, renew, and register anew when the lease has ended."""
        while not self._withdrawn:
            try:
                await self._renew()
                self._health.note_answer(self._clock.now_ms())
                await self._rest()
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

    async def _rest(self) -> None:
        """Wait until the next renewal, or until the store is back."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASE_RENEWAL_INTERVAL_MS / 1000):
                await self._health.regained.wait()

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
            # Of another era it may be somebody else's by now.
            if lease and self._era == self._store.era:
                await self._store.revoke(lease)
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)

    async def _renew(self) -> None:
        """Renew the lease, or make one.

        Guards against a store that came back from an older copy: it may have given the
        lease's number out again, renews it, and this process is found by nobody.
        """
        if self._lease:
            self._check_era()
            await self._store.keep(self._lease)
            self._check_era()
            return
        lease = await self._store.grant(REGISTRATION_TTL_MS)
        self._era = self._store.era
        await self._store.put(self._key, self._value, lease)
        self._check_era()
        self._lease = lease
        if self._withdrawn:
            await self._end_lease()

    def _check_era(self) -> None:
        if self._era != self._store.era:
            raise StoreRestoredError(f"lease of era {self._era}")
