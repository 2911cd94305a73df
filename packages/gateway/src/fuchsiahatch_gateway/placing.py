"""Assignment of requests to upstream slots: at once, after a wait, or refused."""

import asyncio
import dataclasses
import itertools
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.defaults import MAX_RETRY_AFTER_MS
from fuchsiahatch_routing.queues import FairQueue, QueuedRequest

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.request_traits import RequestTraits

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
    traits: "RequestTraits"
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
        traits: "RequestTraits",
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        """Return an upstream with a slot reserved for the request; `release` frees it.

        Raises
        ------
        RefusedError
            If no slot becomes free within `wait_ms`; at once if all upstreams state a
            rate and none of them accepts another request now, or if all of them have
            asked for backoff periods that end later.
        """
        ends_ms = self._clock.now_ms() + wait_ms
        for _ in range(MAX_PERMIT_REQUESTS):
            upstream = await self._acquire_usable(service, traits, tried, ends_ms)
            if await self._request_permit(upstream):
                return upstream
        # No more permits are requested; an upstream without a stated rate may be free.
        upstream = self._fleet.choose(service, tried, traits, only_unlimited=True)
        if upstream is None:
            self._check_available(service, ends_ms)
            raise RefusedError("upstreams take no more now", Code.RATE_REACHED)
        upstream.local_requests += 1
        return upstream

    def _check_available(self, service: str, ends_ms: float) -> None:
        """Refuse a request at once if no upstream accepts it in time."""
        closed = self._fleet.unavailability(service)
        if closed is None:
            return
        if closed.needs_permit:
            detail = "all upstreams take no more now"
            raise RefusedError(detail, Code.RATE_REACHED, retry_after_ms=closed.wait_ms)
        if self._clock.now_ms() + closed.wait_ms >= ends_ms:
            raise _backing_off(closed.wait_ms)

    def refuse_waiting(self, service: str) -> None:
        """Refuse the waiting requests that no upstream of a service accepts in time."""
        queue = self._queues.get(service)
        closed = self._fleet.unavailability(service)
        if queue is None or closed is None or closed.needs_permit:
            return
        opens_ms = self._clock.now_ms() + closed.wait_ms
        for waiting in [one for one in queue if one.expires_ms <= opens_ms]:
            queue.remove(waiting.ticket)
            self._refuse(waiting.ticket, _backing_off(closed.wait_ms))

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

    async def _acquire_usable(
        self,
        service: str,
        traits: "RequestTraits",
        tried: t.Collection[str],
        ends_ms: float,
    ) -> "Upstream":
        while True:
            self._check_available(service, ends_ms)
            left_ms = max(ends_ms - self._clock.now_ms(), 1.0)
            upstream = await self._acquire_slot(service, traits, tried, left_ms)
            if self.is_usable(upstream):
                return upstream
            # It began to leave, or asked for a backoff, after the slot was assigned.
            self.release(upstream)

    async def _acquire_slot(
        self,
        service: str,
        traits: "RequestTraits",
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        queue = self._queues.setdefault(service, FairQueue(MAX_WAITING))
        if not len(queue):
            upstream = self._fleet.choose(service, tried, traits)
            if upstream is not None:
                upstream.local_requests += 1
                return upstream
        return await self._wait(queue, service, traits, tried, wait_ms)

    def is_usable(self, upstream: "Upstream") -> bool:
        """Return whether an upstream may still receive new requests."""
        return self._fleet.is_usable(upstream)

    def has_free_slot(self, service: str, traits: "RequestTraits") -> bool:
        """Return whether a request would get a slot at once.

        Only upstreams without a stated rate count: a stream in progress isn't abandoned
        for one that may have no permit left.
        """
        chosen = self._fleet.choose(service, (), traits, only_unlimited=True)
        return chosen is not None

    def release(self, upstream: "Upstream") -> None:
        """Free a slot and assign it to a waiting request.

        One request replaces the one that ended, without awaiting this entry's turn: the
        load of all entries together stays the same.
        """
        upstream.local_requests -= 1
        service = upstream.entry.service
        queue = self._queues.get(service)
        if queue is not None and len(queue):
            self._serve_next(queue, service, awaits_turn=False)
        self.serve_waiting(service)

    def serve_waiting(self, service: str | None = None) -> None:
        """Assign free slots to waiting requests, of one service or of all."""
        services = list(self._queues) if service is None else [service]
        for name in services:
            queue = self._queues.get(name)
            while queue is not None and len(queue):
                if not self._serve_next(queue, name):
                    break

    def _serve_next(
        self, queue: FairQueue, service: str, awaits_turn: bool = True
    ) -> bool:
        """Assign a slot to the next request that may have one; return whether any may.

        The next one of the queue may have to wait for room that is open to more urgent
        requests only, which then go before it.
        """
        first = queue.peek(QUEUE_COST)
        if first is None:
            return False
        waiting, upstream = first, self._choose_for(first, service)
        if upstream is None:
            waiting = min(queue, key=_urgency_order)
            if waiting.priority >= first.priority:
                return False
            upstream = self._choose_for(waiting, service)
        if upstream is None:
            return False
        waiter = self._waiters[waiting.ticket]
        if awaits_turn and not self._fleet.takes_turn(upstream, waiter.traits):
            return False
        if waiting is first:
            queue.pop(QUEUE_COST)
        else:
            queue.remove(waiting.ticket)
            queue.adjust_charge(waiting.team, QUEUE_COST)
        del self._waiters[waiting.ticket]
        if not waiter.future.done():
            upstream.local_requests += 1
            waiter.future.set_result(upstream)
        return True

    def _choose_for(
        self, waiting: QueuedRequest, service: str
    ) -> t.Optional["Upstream"]:
        """Return an upstream for a waiting request, if any has a free slot."""
        waiter = self._waiters[waiting.ticket]
        upstream = self._fleet.choose(service, (), waiter.traits)
        if upstream is None or upstream.entry.instance not in waiter.tried:
            return upstream
        return self._fleet.choose(service, waiter.tried, waiter.traits) or upstream

    async def _wait(
        self,
        queue: FairQueue,
        service: str,
        traits: "RequestTraits",
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        number = next(self._numbers)
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + int(wait_ms)
        waiter = _Waiter(asyncio.get_running_loop().create_future(), traits, tried)
        self._waiters[number] = waiter
        evicted = queue.push(
            QueuedRequest(number, traits.team, traits.urgency, now_ms, expires_ms)
        )
        if evicted is not None:
            fault = RefusedError("too many requests wait", Code.OVERLOADED)
            self._refuse(evicted.ticket, fault)
        # Those that wait may be less urgent, and held back from room that is free.
        self._serve_next(queue, service, awaits_turn=False)
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

    def _refuse(self, number: int, fault: RefusedError) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(fault)


def _urgency_order(waiting: QueuedRequest) -> tuple[int, int]:
    return waiting.priority, waiting.ticket


def _backing_off(wait_ms: int) -> RefusedError:
    return RefusedError(
        "all upstreams have asked for a backoff period",
        Code.BACKING_OFF,
        retry_after_ms=min(wait_ms, MAX_RETRY_AFTER_MS),
    )
