"""Assignment of requests to upstream slots: at once, after a wait, or refused."""

import asyncio
import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_routing.queues import FairQueue, QueuedRequest

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Requests that may wait for a slot of a service at one entry.
MAX_WAITING = 256
#: Permits that are requested for one request, one after the other, from upstreams with
#: a stated rate.
MAX_PERMIT_REQUESTS = 3
#: Cost of a request in the fair queue. All cost the same, so the unit is arbitrary.
QUEUE_COST = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    future: "asyncio.Future[Upstream]"
    tried: t.Collection[str]


class Placer:
    """Assigns requests to upstream slots.

    A slot is room for one request at an upstream; log lines call slots `places`. An
    upstream may state the rate of requests that it accepts, and then a request needs a
    permit as well.

    Parameters
    ----------
    fleet : Fleet
    clock : Clock
    ask_permit : coroutine function, optional
        Returns 0 if a request may go to the upstream now, or else the time in ms after
        which to ask again.
    """

    __slots__ = ("_ask_permit", "_clock", "_fleet", "_numbers", "_queues", "_waiters")

    def __init__(
        self,
        fleet: "Fleet",
        clock: "Clock",
        ask_permit: t.Callable[["Upstream"], t.Awaitable[int]] | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._ask_permit = ask_permit
        self._numbers = itertools.count(1)
        self._queues: dict[str, FairQueue] = {}
        self._waiters: dict[int, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    async def acquire(
        self,
        service: str,
        team: str,
        urgency: int,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        """Return an upstream with a slot reserved for the request; `release` frees it.

        Raises
        ------
        RefusedError
            If no slot becomes free within `wait_ms`; at once if all upstreams state a
            rate and none of them accepts another request now.
        """
        ends_ms = self._clock.now_ms() + wait_ms
        for _ in range(MAX_PERMIT_REQUESTS):
            self._check_permits(service)
            left_ms = max(ends_ms - self._clock.now_ms(), 1.0)
            upstream = await self._acquire_slot(service, team, urgency, tried, left_ms)
            if await self._request_permit(upstream):
                return upstream
        # No more permits are requested; an upstream without a stated rate may be free.
        upstream = self._fleet.choose(service, tried, only_unlimited=True)
        if upstream is None:
            self._check_permits(service)
            raise RefusedError("upstreams take no more now", Code.RATE_REACHED)
        upstream.local_requests += 1
        return upstream

    def _check_permits(self, service: str) -> None:
        """Refuse at once if no upstream accepts a request before a permit is due."""
        permit_ms = self._fleet.permit_wait_ms(service)
        if permit_ms is not None:
            detail = "all upstreams take no more now"
            raise RefusedError(detail, Code.RATE_REACHED, retry_after_ms=permit_ms)

    async def _request_permit(self, upstream: "Upstream") -> bool:
        """Return whether a request may go there; release the slot if not."""
        if upstream.stated is None or self._ask_permit is None:
            return True
        try:
            wait_ms = await self._ask_permit(upstream)
        except BaseException:
            self.release(upstream)
            raise
        if not wait_ms:
            return True
        upstream.limited_until_ms = self._clock.now_ms() + wait_ms
        self.release(upstream)
        return False

    async def _acquire_slot(
        self,
        service: str,
        team: str,
        urgency: int,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        queue = self._queues.setdefault(service, FairQueue(MAX_WAITING))
        if not len(queue):
            upstream = self._fleet.choose(service, tried)
            if upstream is not None:
                upstream.local_requests += 1
                return upstream
        upstream = await self._wait(queue, service, team, urgency, tried, wait_ms)
        if not self.is_usable(upstream):
            # It began to leave after the slot was assigned.
            self.release(upstream)
            raise RefusedError("the upstream has left", Code.NO_LIVE_UPSTREAM)
        return upstream

    def is_usable(self, upstream: "Upstream") -> bool:
        """Return whether an upstream may still receive new requests."""
        return self._fleet.is_usable(upstream)

    def has_free_slot(self, service: str) -> bool:
        """Return whether a request would get a slot at once.

        Only upstreams without a stated rate count: a stream in progress isn't abandoned
        for one that may have no permit left.
        """
        return self._fleet.choose(service, (), only_unlimited=True) is not None

    def release(self, upstream: "Upstream") -> None:
        """Free a slot and assign it to a waiting request."""
        upstream.local_requests -= 1
        self.serve_waiting(upstream.entry.service)

    def serve_waiting(self, service: str | None = None) -> None:
        """Assign free slots to waiting requests, of one service or of all."""
        services = list(self._queues) if service is None else [service]
        for name in services:
            queue = self._queues.get(name)
            while queue is not None and len(queue):
                if not self._serve_next(queue, name):
                    break

    def _serve_next(self, queue: FairQueue, service: str) -> bool:
        upstream = self._fleet.choose(service, ())
        if upstream is None:
            return False
        waiting = queue.pop(QUEUE_COST)
        waiter = None if waiting is None else self._waiters.pop(waiting.ticket, None)
        if waiter is None or waiter.future.done():
            return True
        if upstream.entry.instance in waiter.tried:
            upstream = self._fleet.choose(service, waiter.tried) or upstream
        upstream.local_requests += 1
        waiter.future.set_result(upstream)
        return True

    async def _wait(
        self,
        queue: FairQueue,
        service: str,
        team: str,
        urgency: int,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        number = next(self._numbers)
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + int(wait_ms)
        waiter = _Waiter(asyncio.get_running_loop().create_future(), tried)
        self._waiters[number] = waiter
        evicted = queue.push(QueuedRequest(number, team, urgency, now_ms, expires_ms))
        if evicted is not None:
            self._refuse(evicted.ticket)
        try:
            # asyncio.wait_for would swallow the cancellation by a caller that
            # disconnects in the same iteration of the loop in which the slot is
            # assigned, and the upstream would work on an abandoned request.
            await asyncio.wait({waiter.future}, timeout=wait_ms / 1000)
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.exception():
                self.release(waiter.future.result())
            raise
        finally:
            self._waiters.pop(number, None)
            queue.remove(number)
        if not waiter.future.done():
            raise RefusedError("no place came free", Code.OVERLOADED)
        return waiter.future.result()

    def _refuse(self, number: int) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter is not None and not waiter.future.done():
            fault = RefusedError("too many requests wait", Code.OVERLOADED)
            waiter.future.set_exception(fault)
