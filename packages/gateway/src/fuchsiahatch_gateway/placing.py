"""Who is sent to an upstream now, who waits, and who is refused."""

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

#: Requests that may wait at one entry for one service.
MAX_WAITING = 256
#: Upstreams in need that are asked for a permit for one request, one after the other.
MOST_ASKED = 3
#: Cost of a request in the fair queue, whose unit doesn't matter here.
QUEUE_COST = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    future: "asyncio.Future[Upstream]"
    tried: t.Collection[str]


class Placer:
    """Gives requests places at upstreams.

    Parameters
    ----------
    fleet : Fleet
    clock : Clock
    ask_permit : coroutine function, optional
        Returns 0 where a request may go to an upstream now, or when to ask again.
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
        """Requests that wait."""
        return len(self._waiters)

    async def take(
        self,
        service: str,
        team: str,
        urgency: int,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        """Return an upstream with a place, which is taken; `give_back` frees it.

        Raises
        ------
        RefusedError
            When there is none within the time to wait; at once where all upstreams
            name a rate and none of them takes a request more now.
        """
        ends_ms = self._clock.now_ms() + wait_ms
        for _ in range(MOST_ASKED):
            self._check_permits(service)
            left_ms = max(ends_ms - self._clock.now_ms(), 1.0)
            upstream = await self._take_place(service, team, urgency, tried, left_ms)
            if await self._has_permit(upstream):
                return upstream
        # Enough have been asked; one that names no rate may have a place.
        upstream = self._fleet.choose(service, tried, only_unlimited=True)
        if upstream is None:
            self._check_permits(service)
            raise RefusedError("upstreams take no more now", Code.RATE_REACHED)
        upstream.own += 1
        return upstream

    def _check_permits(self, service: str) -> None:
        """Refuse at once what nobody could be sent to before a permit comes."""
        permit_ms = self._fleet.permit_wait_ms(service)
        if permit_ms is not None:
            detail = "all upstreams take no more now"
            raise RefusedError(detail, Code.RATE_REACHED, retry_after_ms=permit_ms)

    async def _has_permit(self, upstream: "Upstream") -> bool:
        """Return whether a request may go there; give the place back if not."""
        if upstream.stated is None or self._ask_permit is None:
            return True
        try:
            wait_ms = await self._ask_permit(upstream)
        except BaseException:
            self.give_back(upstream)
            raise
        if not wait_ms:
            return True
        upstream.limited_until_ms = self._clock.now_ms() + wait_ms
        self.give_back(upstream)
        return False

    async def _take_place(
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
                upstream.own += 1
                return upstream
        upstream = await self._wait(queue, service, team, urgency, tried, wait_ms)
        if not self.is_usable(upstream):
            # It began to leave between the choice and this moment.
            self.give_back(upstream)
            raise RefusedError("the upstream has left", Code.NO_LIVE_UPSTREAM)
        return upstream

    def is_usable(self, upstream: "Upstream") -> bool:
        """Return whether an upstream may still get new work."""
        return self._fleet.is_usable(upstream)

    def has_place(self, service: str) -> bool:
        """Return whether a request would get a place at once.

        At an upstream that names no rate: a stream under way isn't given up for one
        that may have no permit left.
        """
        return self._fleet.choose(service, (), only_unlimited=True) is not None

    def give_back(self, upstream: "Upstream") -> None:
        """Free a place."""
        upstream.own -= 1
        self.serve_waiting(upstream.entry.service)

    def serve_waiting(self, service: str | None = None) -> None:
        """Give the places that are free to those who wait."""
        names = list(self._queues) if service is None else [service]
        for name in names:
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
        upstream.own += 1
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
        pushed_out = queue.push(
            QueuedRequest(number, team, urgency, now_ms, expires_ms)
        )
        if pushed_out is not None:
            self._refuse(pushed_out.ticket)
        try:
            # Not wait_for: it hides that the caller has left when the place comes in
            # the same turn of the loop, and the upstream would work for nobody.
            await asyncio.wait({waiter.future}, timeout=wait_ms / 1000)
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.exception():
                self.give_back(waiter.future.result())
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
