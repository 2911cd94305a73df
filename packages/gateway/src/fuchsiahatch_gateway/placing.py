"""Assignment of requests to upstream slots: at once, after a wait, or refused."""

import asyncio
import dataclasses
import itertools
import operator
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.allowed_regions import Regions
from fuchsiahatch_gateway.defaults import MAX_RETRY_AFTER_MS
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_gateway.return_times import ReturnTimes
from fuchsiahatch_routing.queues import ClassQueue, FairQueue, QueuedRequest

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.fleet import Fleet
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Requests that may wait for a slot of a service in the same regions at one entry.
MAX_WAITING = 256
#: Permits that are requested for one request, one after the other, before it tries
#: upstreams that need none.
MAX_PERMIT_REQUESTS = 3
#: Retry-After of a request whose only allowed rank group has no free slot; a group that
#: has crashed works again after some seconds.
CONFINED_RETRY_MS = 2_000
#: Cost of a request in the fair queue. All cost the same, so the unit is arbitrary.
QUEUE_COST = 1.0
#: Details of refusals without any wait.
_REFUSALS = {
    Code.NO_ALLOWED_PLACE: "no upstream is in an allowed region",
    Code.ZONE_DRAINED: "all upstreams are in drained zones",
}

#: A service, and the regions in which the requests of a queue may be handled.
_QueueKey: t.TypeAlias = tuple[str, Regions]
_Queue: t.TypeAlias = FairQueue | ClassQueue


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A waiting request; the result of `future` is the upstream of its slot."""

    key: _QueueKey
    future: "asyncio.Future[Upstream]"
    traits: RequestTraits
    tried: t.Collection[str]


class Placer:
    """Assigns requests to upstream slots.

    A slot is room for one request at an upstream; log lines call slots `places`. An
    upstream may state the rate of requests that it accepts, or be cold, and then a
    request needs a permit as well.

    Parameters
    ----------
    fleet : Fleet
    clock : Clock
    ask_permit : coroutine function, optional
        Returns 0 if a request may go to the upstream now, or else the time in ms after
        which to ask again.
    has_classes : callable, optional
        Returns whether the routes of a service differ in priority. Its more urgent
        requests are served first then.
    """

    __slots__ = (
        "_ask_permit",
        "_clock",
        "_fleet",
        "_has_classes",
        "_numbers",
        "_queues",
        "_return_times",
        "_waiters",
    )

    def __init__(
        self,
        fleet: "Fleet",
        clock: "Clock",
        ask_permit: t.Callable[["Upstream"], t.Awaitable[int]] | None = None,
        has_classes: t.Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._ask_permit = ask_permit
        self._has_classes = has_classes
        self._numbers = itertools.count(1)
        #: The queue that was served last is the last one.
        self._queues: dict[_QueueKey, _Queue] = {}
        self._return_times = ReturnTimes()
        self._waiters: dict[int, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    async def acquire(
        self,
        service: str,
        traits: RequestTraits,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        """Return an upstream with a slot reserved for the request; `release` frees it.

        Parameters
        ----------
        service : str
        traits : RequestTraits
        tried : collection of str
            Instances that are chosen only when there is no other.
        wait_ms : float
            Maximum time to wait for a slot and a permit.

        Raises
        ------
        RefusedError
            `OVERLOADED` if no slot becomes free within `wait_ms`, or if too many
            requests wait. `RATE_REACHED` if no permit is issued: at once if all
            upstreams state a rate, or if those of cold ones come too late. The others
            at once: `BACKING_OFF` if all backoff periods end later, `ZONE_DRAINED` if
            all upstreams are in drained zones, `NO_ALLOWED_PLACE`, `NO_LIVE_UPSTREAM`
            if all rank groups have crashed and are expected back later, and
            `CRASHES_UPSTREAMS` if the only rank group that it may be sent to has no
            free slot.
        """
        ends_ms = self._clock.now_ms() + wait_ms
        if traits.confined_to and not self.has_free_slot(service, traits):
            # A queued request would get the next free slot of any rank group.
            raise RefusedError(
                "upstreams have crashed under requests like this one",
                Code.CRASHES_UPSTREAMS,
                retry_after_ms=CONFINED_RETRY_MS,
            )
        while True:
            upstream = await self._acquire_permitted(service, traits, tried, ends_ms)
            if upstream is not None:
                return upstream
            free = self._fleet.choose(service, tried, traits, only_unlimited=True)
            if free is not None:
                self._reserve(free)
                return free
            self._check_available(service, traits, ends_ms)
            if not self._may_await_permit(service, traits, ends_ms):
                raise RefusedError("upstreams take no more now", Code.RATE_REACHED)

    async def _acquire_permitted(
        self,
        service: str,
        traits: RequestTraits,
        tried: t.Collection[str],
        ends_ms: float,
    ) -> t.Optional["Upstream"]:
        """Reserve a slot, with a permit if needed; None if no permit was issued."""
        for _ in range(MAX_PERMIT_REQUESTS):
            upstream = await self._acquire_usable(service, traits, tried, ends_ms)
            if not await self._request_permit(upstream):
                continue
            if self._fleet.is_usable(upstream, traits):
                return upstream
            # Its zone was drained, or it began to leave, while the permit was awaited.
            self.release_unused(upstream)
        return None

    def _may_await_permit(
        self, service: str, traits: RequestTraits, ends_ms: float
    ) -> bool:
        """Return whether a permit of a cold upstream may be issued in time.

        One whose cold period has just ended counts too: it needs no permit once the
        time until its next one is over.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= ends_ms:
            return False
        regions = self._fleet.regions.of(traits)
        return any(
            upstream.stated is None
            and (
                upstream.limited_until_ms > now_ms or self._fleet.needs_permit(upstream)
            )
            for upstream in self._fleet.gate.usable(service, regions)
        )

    def _check_available(
        self, service: str, traits: RequestTraits, ends_ms: float
    ) -> None:
        """Refuse a request at once if no upstream accepts it in time."""
        regions = self._fleet.regions.of(traits)
        refusal = self._fleet.gate.refusal(service, regions)
        if refusal is not None:
            raise RefusedError(_REFUSALS[refusal], refusal)
        return_ms = self._fleet.return_ms(service, regions)
        if return_ms is not None and self._clock.now_ms() + return_ms >= ends_ms:
            detail = "all rank groups have crashed and are not back yet"
            raise RefusedError(detail, Code.NO_LIVE_UPSTREAM, return_ms)
        closed = self._fleet.gate.unavailability(service, regions)
        if closed is None:
            return
        if closed.may_wait and self._clock.now_ms() + closed.wait_ms < ends_ms:
            return
        if closed.needs_permit:
            detail = "all upstreams take no more now"
            raise RefusedError(detail, Code.RATE_REACHED, retry_after_ms=closed.wait_ms)
        raise _backing_off(closed.wait_ms)

    def refuse_waiting(self, service: str) -> None:
        """Refuse the waiting requests that no upstream of a service accepts in time."""
        for key in self._queue_keys(service):
            closed = self._fleet.gate.unavailability(*key)
            if closed is None or closed.needs_permit:
                continue
            queue = self._queues[key]
            opens_ms = self._clock.now_ms() + closed.wait_ms
            for waiting in [one for one in queue if one.expires_ms <= opens_ms]:
                queue.remove(waiting.ticket)
                self._refuse(waiting.ticket, _backing_off(closed.wait_ms))

    def _refuse_queue(self, key: _QueueKey) -> None:
        """Refuse all requests of a queue if the gate refuses such requests at once.

        Drains take minutes, which is longer than any request waits.
        """
        refusal = self._fleet.gate.refusal(*key)
        if refusal is None:
            return
        queue = self._queues[key]
        for waiting in list(queue):
            queue.remove(waiting.ticket)
            self._refuse(waiting.ticket, RefusedError(_REFUSALS[refusal], refusal))

    def requeue_waiting(self) -> None:
        """Move waiting requests whose allowed regions have changed to other queues."""
        for number, waiter in list(self._waiters.items()):
            key = waiter.key[0], self._fleet.regions.of(waiter.traits)
            if key != waiter.key:
                queued = self._queues[waiter.key].remove(number)
                waiter.key = key
                if queued is not None:
                    self._push(key, queued)
        # Empty queues of regions may belong to limits that no longer exist.
        self._queues = {
            key: queue
            for key, queue in self._queues.items()
            if len(queue) or key[1] is None
        }
        self.serve_waiting()

    def _push(self, key: _QueueKey, queued: QueuedRequest) -> None:
        evicted = self._queue_of(key).push(queued)
        if evicted is not None:
            return_ms = self._return_ms(key, evicted)
            fault = RefusedError("too many requests wait", Code.OVERLOADED, return_ms)
            self._refuse(evicted.ticket, fault)

    def _queue_keys(self, service: str | None) -> list[_QueueKey]:
        """Return the keys of the queues with requests, of one service or of all."""
        return [
            key
            for key, queue in self._queues.items()
            if len(queue) and service in (None, key[0])
        ]

    async def _request_permit(self, upstream: "Upstream") -> bool:
        """Return whether a request may go there; release the slot if not."""
        if self._ask_permit is None or not self._fleet.needs_permit(upstream):
            return True
        try:
            wait_ms = await self._ask_permit(upstream)
        except BaseException:
            self.release_unused(upstream)
            raise
        if not wait_ms and self._fleet.cold_starts.may_send(upstream):
            self._note_send(upstream)
            return True
        if wait_ms:
            self._note_limited(upstream, wait_ms)
        # Without a wait, permits for several requests have come together, and exceed
        # the limit on this entry's own sends.
        self.release_unused(upstream)
        return False

    def _note_limited(self, upstream: "Upstream", wait_ms: int) -> None:
        now_ms = self._clock.now_ms()
        until_ms = now_ms + wait_ms
        if upstream.stated is None and upstream.limited_until_ms > now_ms:
            # Each of the requests that asked together for a cold upstream's permit was
            # given another time, and they wait for the earliest.
            until_ms = min(until_ms, upstream.limited_until_ms)
        upstream.limited_until_ms = until_ms
        # Requests that wait for full upstreams may use this one from then on.
        self._serve_later(upstream.entry.service, wait_ms)

    def _serve_later(self, service: str, wait_ms: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, self.serve_waiting, service)

    def _reserve(self, upstream: "Upstream") -> None:
        """Reserve a slot for a request that is sent at once or asks for a permit."""
        upstream.local_requests += 1
        if not self._fleet.needs_permit(upstream):
            self._note_send(upstream)

    def _note_send(self, upstream: "Upstream") -> None:
        """Count a send; one that needs a permit counts when it has got it.

        Otherwise a refused permit would keep this entry from an upstream for a second,
        beyond the time of the next permit.
        """
        wait_ms = self._fleet.cold_starts.note_send(upstream)
        if wait_ms:
            # A request may wait until this send counts no more. As the limit falls when
            # entries join, it isn't known for which of the sends that is.
            self._serve_later(upstream.entry.service, wait_ms)

    async def _acquire_usable(
        self,
        service: str,
        traits: RequestTraits,
        tried: t.Collection[str],
        ends_ms: float,
    ) -> "Upstream":
        """Reserve a slot of an upstream that is still usable after the wait."""
        while True:
            self._check_available(service, traits, ends_ms)
            left_ms = max(ends_ms - self._clock.now_ms(), 1.0)
            upstream = await self._acquire_slot(service, traits, tried, left_ms)
            if self._fleet.is_usable(upstream, traits):
                return upstream
            # It began to leave, asked for a backoff, or its zone was drained, after the
            # slot was assigned.
            self.release_unused(upstream)

    async def _acquire_slot(
        self,
        service: str,
        traits: RequestTraits,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        key = service, self._fleet.regions.of(traits)
        if not len(self._queue_of(key)):
            upstream = self._fleet.choose(service, tried, traits)
            if upstream is not None:
                self._reserve(upstream)
                return upstream
        return await self._wait(key, traits, tried, wait_ms)

    def _queue_of(self, key: _QueueKey) -> _Queue:
        """Return a queue, of the kind that the configuration asks for now."""
        kind = ClassQueue if self._has_classes(key[0]) else FairQueue
        former = self._queues.get(key)
        if isinstance(former, kind):
            return former
        queue = self._queues[key] = kind(MAX_WAITING)
        for waiting in sorted(former or (), key=operator.attrgetter("ticket")):
            queue.push(waiting)
        return queue

    def may_still_send(
        self, upstream: "Upstream", traits: RequestTraits, reserved_ms: int
    ) -> bool:
        """Return whether a request may go to its upstream, just before it does.

        Parameters
        ----------
        upstream : Upstream
        traits : RequestTraits
        reserved_ms : int
            When `acquire` returned.
        """
        if not self._fleet.is_usable(upstream, traits):
            return False
        return self._fleet.cold_starts.is_reservation_valid(upstream, reserved_ms)

    def has_free_slot(self, service: str, traits: RequestTraits = ANY_REQUEST) -> bool:
        """Return whether a request would get a slot at once.

        Only upstreams that need no permit count: a stream in progress isn't abandoned
        for one that may have no permit left.
        """
        chosen = self._fleet.choose(service, (), traits, only_unlimited=True)
        return chosen is not None

    def reserve_free_slot(
        self, service: str, traits: RequestTraits, tried: t.Collection[str]
    ) -> t.Optional["Upstream"]:
        """Reserve a slot that needs no permit; None if no upstream has a free one.

        Parameters
        ----------
        service : str
        traits : RequestTraits
        tried : collection of str
            Instances that are chosen only when there is no other.
        """
        chosen = self._fleet.choose(service, tried, traits, only_unlimited=True)
        if chosen is not None:
            self._reserve(chosen)
        return chosen

    def release(self, upstream: "Upstream") -> None:
        """Free a slot and assign it to a waiting request."""
        service = upstream.entry.service
        self._return_times.note_freed_slot(service, self._clock.now_ms())
        self.release_unused(upstream)

    def release_unused(self, upstream: "Upstream") -> None:
        """Free a slot to which no request was sent; it says nothing of the rate."""
        upstream.local_requests -= 1
        self.serve_waiting(upstream.entry.service)

    def serve_waiting(self, service: str | None = None) -> None:
        """Assign free slots to waiting requests, of one service or of all.

        The queues of a service take turns, and one without a usable slot is skipped.
        """
        keys = self._queue_keys(service)
        while keys:
            served = [key for key in keys if self._serve_next(key)]
            keys = [key for key in served if len(self._queues[key])]

    def _serve_next(self, key: _QueueKey) -> bool:
        """Assign a slot to the next request of a queue; return whether one was free."""
        service, regions = key
        queue = self._queues[key] = self._queues.pop(key)
        if self._has_classes(service):
            self._refuse_expired(key)
        queue_traits = RequestTraits(allowed_regions=regions)
        upstream = self._fleet.choose(service, (), queue_traits)
        if upstream is None:
            self._refuse_queue(key)
            return False
        waiting = queue.pop(QUEUE_COST)
        waiter = None if waiting is None else self._waiters.pop(waiting.ticket, None)
        if waiter is None or waiter.future.done():
            return True
        upstream = self._prefer_untried(service, waiter, upstream)
        self._reserve(upstream)
        waiter.future.set_result(upstream)
        return True

    def _prefer_untried(
        self, service: str, waiter: _Waiter, upstream: "Upstream"
    ) -> "Upstream":
        if upstream.entry.instance not in waiter.tried:
            return upstream
        return self._fleet.choose(service, waiter.tried, waiter.traits) or upstream

    def _refuse_expired(self, key: _QueueKey) -> None:
        """Refuse the waiting requests whose wait is over.

        After this process has stalled, load reports and released slots are handled
        before overdue timers. Slots would go to requests whose callers have too little
        patience left for an upstream, and requests behind them would get none.
        """
        queue, now_ms = self._queues[key], self._clock.now_ms()
        for waiting in [one for one in queue if one.expires_ms <= now_ms]:
            queue.remove(waiting.ticket)
            self._refuse(waiting.ticket, self._no_slot(key, waiting))

    async def _wait(
        self,
        key: _QueueKey,
        traits: RequestTraits,
        tried: t.Collection[str],
        wait_ms: float,
    ) -> "Upstream":
        number = next(self._numbers)
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + int(wait_ms)
        future = asyncio.get_running_loop().create_future()
        waiter = self._waiters[number] = _Waiter(key, future, traits, tried)
        queued = QueuedRequest(
            number, traits.team, traits.priority_class, now_ms, expires_ms
        )
        self._push(key, queued)
        try:
            # asyncio.wait_for would swallow the cancellation by a caller that
            # disconnects in the same iteration of the loop in which the slot is
            # assigned, and the upstream would work on an abandoned request.
            await asyncio.wait({waiter.future}, timeout=wait_ms / 1000)
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.exception():
                self.release_unused(waiter.future.result())
            raise
        finally:
            self._waiters.pop(number, None)
            queue = self._queues.get(waiter.key)
            if queue is not None:
                queue.remove(number)
        if not waiter.future.done():
            raise self._no_slot(waiter.key, queued)
        return waiter.future.result()

    def _no_slot(self, key: _QueueKey, refused: QueuedRequest) -> RefusedError:
        return_ms = self._return_ms(key, refused)
        return RefusedError("no place came free", Code.OVERLOADED, return_ms)

    def _return_ms(self, key: _QueueKey, refused: QueuedRequest) -> int | None:
        """Estimate when a refused request would find a slot; None without classes."""
        service, _ = key
        if not self._has_classes(service):
            return None
        queues = [self._queues[other] for other in self._queue_keys(service)]
        requests = itertools.chain.from_iterable(queues)
        waiting = sum(one.priority <= refused.priority for one in requests)
        return self._return_times.estimate_ms(service, waiting, self._clock.now_ms())

    def _refuse(self, number: int, fault: RefusedError) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(fault)


def _backing_off(wait_ms: int) -> RefusedError:
    return RefusedError(
        "all upstreams have asked for a backoff period",
        Code.BACKING_OFF,
        retry_after_ms=min(wait_ms, MAX_RETRY_AFTER_MS),
    )
