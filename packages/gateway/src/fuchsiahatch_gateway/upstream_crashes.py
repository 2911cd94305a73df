"""Detects whether an upstream's process crashed when answers from it broke off."""

import asyncio
import collections
import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which an upstream is probed whether it still listens. After its process has
#: ended the host refuses within some ms; an unreachable host doesn't respond.
PROBE_TIMEOUT_MS = 60
#: Longest time between a broken answer and the detection that its upstream ended or
#: restarted for the answer to count as broken by a crash.
CORRELATION_MS = 5_000
#: Broken answers that are kept for that.
MAX_BROKEN_ANSWERS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAnswer:
    """An answer that broke off, the incarnation of its upstream, and when."""

    fingerprint: str
    incarnation: str
    broken_ms: int


class UpstreamCrashes:
    """Distinguishes crashes of upstreams from other causes of broken answers.

    A reset, a cut link or an upstream that breaks off one answer is no crash. A process
    has ended where its address refuses connections, or where its instance has a new
    incarnation. One that is leaving, or is no longer listed, ends as planned, and
    counts against no request.

    Parameters
    ----------
    requests : CrashingRequests
    is_refused : coroutine function
        Returns whether an IP address and port refuse connections.
    is_listed : callable
        Returns whether an instance is among the known upstreams.
    clock : Clock
    """

    __slots__ = (
        "_broken_answers",
        "_clock",
        "_ended",
        "_is_listed",
        "_is_refused",
        "_probes",
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
        self._broken_answers: collections.deque[_BrokenAnswer] = collections.deque(
            maxlen=MAX_BROKEN_ANSWERS
        )
        self._probes: dict[str, asyncio.Task[None]] = {}
        #: Incarnations that are known to have ended, and when that was detected.
        self._ended: dict[str, int] = {}

    async def examine(self, fingerprint: str, upstream: "Upstream") -> bool:
        """Return whether an upstream's process ended while it handled a request.

        Parameters
        ----------
        fingerprint : str
        upstream : Upstream
            Its connection was closed before the answer was complete.
        """
        entry = upstream.entry
        if upstream.leaving or not self._is_listed(entry.instance):
            return False
        incarnation = upstream.incarnation
        self._broken_answers.append(
            _BrokenAnswer(fingerprint, incarnation, self._clock.now_ms())
        )
        if incarnation not in self._ended:
            await self._probe_once(incarnation, upstream)
        if incarnation not in self._ended:
            return False
        self.note_ended(incarnation)
        return True

    def note_unanswered(self, fingerprint: str, upstream: "Upstream") -> None:
        """Note an answer that was given up: its upstream may have crashed unnoticed."""
        now_ms = self._clock.now_ms()
        self._broken_answers.append(
            _BrokenAnswer(fingerprint, upstream.incarnation, now_ms)
        )

    def note_restart(self, former: "Upstream") -> None:
        """Note that an upstream has restarted."""
        incarnation = former.incarnation
        broke = any(
            answer.incarnation == incarnation for answer in self._broken_answers
        )
        if broke and not former.leaving:
            self.note_ended(incarnation)

    def note_ended(self, incarnation: str) -> None:
        """Note the end of an incarnation; count it against the requests that broke."""
        now_ms = self._clock.now_ms()
        if incarnation not in self._ended:
            log_event(Event.UPSTREAM_CRASHED, upstream=incarnation)
        self._ended = {
            one: ended_ms
            for one, ended_ms in self._ended.items()
            if now_ms - ended_ms < CORRELATION_MS
        }
        self._ended[incarnation] = now_ms
        due = [one for one in self._broken_answers if one.incarnation == incarnation]
        for one in due:
            self._broken_answers.remove(one)
            if now_ms - one.broken_ms < CORRELATION_MS:
                self._requests.note_crash(one.fingerprint, incarnation)

    async def _probe_once(self, incarnation: str, upstream: "Upstream") -> None:
        """Check whether an upstream still listens, once for all concurrent checks."""
        probe = self._probes.get(incarnation)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(incarnation, upstream))
            self._probes[incarnation] = probe
            probe.add_done_callback(lambda _: self._probes.pop(incarnation, None))
        # A caller that disconnects meanwhile must not cancel the probe for the others.
        await asyncio.shield(probe)

    async def _probe(self, incarnation: str, upstream: "Upstream") -> None:
        address = upstream.entry.address
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                refused = await self._is_refused(address.ip, address.port)
        except TimeoutError:
            return
        if refused:
            self.note_ended(incarnation)
