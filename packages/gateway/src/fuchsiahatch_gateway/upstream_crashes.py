"""Finds out whether an upstream's process ended under the requests that broke there."""

import asyncio
import collections
import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which an upstream is asked whether it still listens. A process that has
#: ended refuses within some ms; a dark host says nothing.
ASK_MS = 60
#: Time between a broken answer and the sight of its upstream's next life in which the
#: former one is taken to have ended there.
LINK_MS = 5_000
#: Broken answers that wait for that, at most.
MOST_BREAKS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _Break:
    """An answer that broke, at which life of an upstream, and when."""

    fingerprint: str
    life: str
    at_ms: int


class UpstreamCrashes:
    """Tells an upstream's crash from all else that breaks answers.

    A reset, a cut link or an upstream that breaks off one answer ends nobody. A process
    has ended where nobody listens at its address any more, or where its instance lives
    anew. One that leaves, or is listed no more, ends as planned, and counts against no
    request.

    Parameters
    ----------
    requests : CrashingRequests
    is_refused : coroutine function
        Returns whether nobody listens at an IP number and port.
    is_listed : callable
        Returns whether an instance is among the known upstreams.
    clock : Clock
    """

    __slots__ = (
        "_asked",
        "_breaks",
        "_clock",
        "_is_listed",
        "_is_refused",
        "_over",
        "_requests",
    )

    def __init__(
        self,
        requests: "CrashingRequests",
        is_refused: t.Callable[[str, int], t.Awaitable[bool]],
        is_listed: t.Callable[[str], bool],
        clock: "Clock",
    ) -> None:
        self._requests = requests
        self._is_refused = is_refused
        self._is_listed = is_listed
        self._clock = clock
        self._breaks: collections.deque[_Break] = collections.deque(maxlen=MOST_BREAKS)
        self._asked: dict[str, asyncio.Task[None]] = {}
        #: Lives that are known to have ended, and when that was found.
        self._over: dict[str, int] = {}

    async def examine(self, fingerprint: str, upstream: "Upstream") -> bool:
        """Return whether an upstream's process ended under a request that broke there.

        Parameters
        ----------
        fingerprint : str
        upstream : Upstream
            Its connection was closed before the answer was whole.
        """
        entry = upstream.entry
        if entry.leaving or not self._is_listed(entry.instance):
            return False
        life = upstream.life
        self._breaks.append(_Break(fingerprint, life, self._clock.now_ms()))
        if life not in self._over:
            await self._ask(life, upstream)
        if life not in self._over:
            return False
        self.note_over(life)
        return True

    def note_unanswered(self, fingerprint: str, upstream: "Upstream") -> None:
        """Note an answer that was given up: its upstream may have ended unheard."""
        now_ms = self._clock.now_ms()
        self._breaks.append(_Break(fingerprint, upstream.life, now_ms))

    def note_restart(self, former: "Upstream") -> None:
        """Note that an upstream has begun another life."""
        life = former.life
        broke = any(one.life == life for one in self._breaks)
        if broke and not former.entry.leaving:
            self.note_over(life)

    def note_over(self, life: str) -> None:
        """Note that a life of an upstream has ended, and count it where it broke."""
        now_ms = self._clock.now_ms()
        if life not in self._over:
            log_event(Event.UPSTREAM_CRASHED, upstream=life)
        self._over = {
            one: at_ms for one, at_ms in self._over.items() if now_ms - at_ms < LINK_MS
        }
        self._over[life] = now_ms
        due = [one for one in self._breaks if one.life == life]
        for one in due:
            self._breaks.remove(one)
            if now_ms - one.at_ms < LINK_MS:
                self._requests.note_crash(one.fingerprint, life)

    async def _ask(self, life: str, upstream: "Upstream") -> None:
        """Ask whether anybody listens there; those that break together ask once."""
        asking = self._asked.get(life)
        if asking is None:
            asking = asyncio.ensure_future(self._look(life, upstream))
            self._asked[life] = asking
            asking.add_done_callback(lambda _: self._asked.pop(life, None))
        # A caller that leaves meanwhile must not take the answer from the others.
        await asyncio.shield(asking)

    async def _look(self, life: str, upstream: "Upstream") -> None:
        address = upstream.entry.address
        try:
            async with asyncio.timeout(ASK_MS / 1000):
                refused = await self._is_refused(address.ip, address.port)
        except TimeoutError:
            return
        if refused:
            self.note_over(life)
