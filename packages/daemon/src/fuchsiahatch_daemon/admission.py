"""Admits attempts at the agent: how many run at once, and who waits."""

import asyncio
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_routing.limits import Admit, Effect, Limiter
from fuchsiahatch_routing.queues import FairQueue, FifoQueue, Queue, equal_shares

#: Requests that may wait for each place, where the settings don't say.
QUEUE_LIMIT_PER_PLACE = 4


class Admission:
    """Holds the agent's places and lets attempts into them.

    Parameters
    ----------
    limit : int
        Attempts that may run at once.
    queue : str
        ``fair`` among teams, or ``fifo`` to compare with.
    queue_limit : int, optional
        Attempts that may wait; some for each place by default.
    clock : Clock, optional

    Attributes
    ----------
    leaving : bool
        Whether new work is refused; what waits or runs is finished.
    share_of : callable
        A team's share of this upstream; equal until the agent knows better.
    note_wait : callable
        Told each admitted attempt's team and time in the queue.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(
        self,
        limit: int,
        queue: str = "fair",
        queue_limit: int | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.leaving = False
        self.share_of: t.Callable[[str], float] = equal_shares
        self.note_wait: t.Callable[[str, int], None] = _ignore_wait
        max_waiting = queue_limit or limit * QUEUE_LIMIT_PER_PLACE
        self._limiter = Limiter(limit, self._make_queue(queue, max_waiting))
        self._clock = clock or Clock()
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def limit(self) -> int:
        """Attempts that may run at once."""
        return self._limiter.limit

    @property
    def in_flight(self) -> int:
        """Attempts that run."""
        return self._limiter.in_flight

    @property
    def queued(self) -> int:
        """Attempts that wait."""
        return self._limiter.queued

    async def enter(self, team: str, priority: int, deadline_ms: int) -> None:
        """Take a place, or wait for one.

        Parameters
        ----------
        team : str
        priority : int
            Smaller goes first.
        deadline_ms : int
            Time that is left for the whole attempt.

        Raises
        ------
        RefusedError
            When the agent is leaving, full, or can't meet the deadline.
        """
        if self.leaving:
            raise RefusedError("this upstream is leaving", Code.LEAVING, 0)
        now_ms = self._clock.now_ms()
        ticket, effects = self._limiter.arrive(team, priority, deadline_ms, now_ms)
        loop = asyncio.get_running_loop()
        answer = self._waiting[ticket] = loop.create_future()
        self._idle.clear()
        self._apply(effects)
        timer = loop.call_later(deadline_ms / 1000, self._expire, ticket)
        try:
            await answer
        except asyncio.CancelledError:
            self._give_up(ticket, team, answer)
            raise
        finally:
            timer.cancel()
            del self._waiting[ticket]
            self._mark_idle()

    def exit(self, team: str) -> None:
        """Give a place back."""
        self._apply(self._limiter.finish(team, self._clock.now_ms()))
        self._mark_idle()

    async def wait_idle(self) -> None:
        """Wait until nothing runs or waits."""
        await self._idle.wait()

    def _make_queue(self, queue: str, max_waiting: int) -> Queue:
        if queue == "fifo":
            return FifoQueue(max_waiting)
        return FairQueue(max_waiting, lambda team: self.share_of(team))

    def _apply(self, effects: t.Iterable[Effect]) -> None:
        for effect in effects:
            answer = self._waiting[effect.ticket]
            if isinstance(effect, Admit):
                self._admit(effect, answer)
            elif not answer.done():
                answer.set_exception(
                    RefusedError(effect.detail, effect.code, effect.retry_after_ms)
                )

    def _admit(self, effect: Admit, answer: asyncio.Future[None]) -> None:
        self.note_wait(effect.team, effect.waited_ms)
        if answer.cancelled():
            # The caller has gone, but its task has not run since: nobody would
            # ever free the place, and the limit would shrink by one.
            self.exit(effect.team)
            return
        answer.set_result(None)

    def _expire(self, ticket: int) -> None:
        # The loop's timer may fire within a millisecond of the deadline by this
        # clock; looked at too early, the attempt would stay unanswered.
        self._apply(self._limiter.expire(self._clock.now_ms() + 1))

    def _give_up(self, ticket: int, team: str, answer: asyncio.Future[None]) -> None:
        if self._limiter.withdraw(ticket):
            return
        # The caller went away between being given a place and going on: as above,
        # nobody else would free it.
        if answer.done() and not answer.cancelled() and answer.exception() is None:
            self.exit(team)

    def _mark_idle(self) -> None:
        if not self.in_flight and not self.queued:
            self._idle.set()


def _ignore_wait(team: str, waited_ms: int) -> None:
    """Keep nothing."""
