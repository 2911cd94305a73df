"""Detects whether an upstream's process crashed when answers from it broke off."""

import asyncio
import collections
import dataclasses
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.silence_limit import expire
from fuchsiahatch_http1.pool import Reachability

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.crashing_requests import CrashingRequests
    from fuchsiahatch_gateway.fingerprints import Fingerprints
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which an upstream is probed whether it still listens. After its process has
#: ended the host refuses within some ms; an unreachable host doesn't respond.
PROBE_TIMEOUT_MS = 60
#: Parts of that time, one after the other. While this process is held up, one of them
#: passes, and the response that has come meanwhile is still read.
PROBE_PARTS = 4
#: Probes of an upstream that doesn't respond, before an answer that only its connection
#: ended counts as broken; the first packet of a connection may be lost.
MAX_PROBES = 2
#: Longest time between a broken answer and the detection that its upstream ended or
#: restarted for the answer to count as broken by a crash.
CORRELATION_MS = 5_000
#: Broken answers that are kept for that, and as many abandoned requests.
MAX_BROKEN_ANSWERS = 1_024
#: Time beyond its deadline for which an upstream may go on with a request.
OVERRUN_MS = 500


@dataclasses.dataclass(slots=True, eq=False)
class _BrokenAnswer:
    """An answer that broke off, the incarnation of its upstream, and when.

    `survived` says whether that upstream accepted a connection afterwards.
    """

    request: "Fingerprints"
    incarnation: str
    group: str
    broken_ms: int
    survived: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _AbandonedRequest:
    """A request that its upstream may go on with, though its connection was reset."""

    request: "Fingerprints"
    upstream: "Upstream"
    works_until_ms: int


class UpstreamCrashes:
    """Distinguishes crashes of upstreams from other causes of broken answers.

    A reset, a cut link or an upstream that breaks off one answer is no crash. A process
    has ended where its address refuses connections, or where its instance has a new
    incarnation. One that is leaving, or is no longer listed, ends as planned, and
    counts against no request.

    An upstream may go on with a request whose caller has left. Its crash counts against
    that request as well, until the request's deadline; by itself, a caller that leaves
    makes no suspect.

    Parameters
    ----------
    requests : CrashingRequests
    probe : coroutine function
        Returns the `Reachability` of an IP address and port.
    is_listed : callable
        Returns whether an instance is among the known upstreams.
    clock : Clock

    Attributes
    ----------
    has_idle : callable
        Returns whether an idle connection to an IP address and port is open.
    """

    __slots__ = (
        "_abandoned",
        "_broken_answers",
        "_clock",
        "_ended",
        "_is_listed",
        "_probe_address",
        "_probes",
        "_requests",
        "has_idle",
    )

    def __init__(
        self,
        requests: "CrashingRequests",
        probe: t.Callable[[str, int], t.Awaitable[Reachability]],
        is_listed: t.Callable[[str], bool],
        clock: "Clock",
    ) -> None:
        self._requests = requests
        self._probe_address = probe
        self._is_listed = is_listed
        self._clock = clock
        self._broken_answers: collections.deque[_BrokenAnswer] = collections.deque(
            maxlen=MAX_BROKEN_ANSWERS
        )
        self._abandoned: collections.deque[_AbandonedRequest] = collections.deque(
            maxlen=MAX_BROKEN_ANSWERS
        )
        self.has_idle: t.Callable[[str, int], bool] = lambda ip, port: True
        self._probes: dict[str, asyncio.Task[Reachability]] = {}
        #: Incarnations that are known to have ended, and when that was detected.
        self._ended: dict[str, int] = {}

    async def examine(self, request: "Fingerprints", upstream: "Upstream") -> bool:
        """Return whether an upstream's process ended while it handled a request.

        Parameters
        ----------
        request : Fingerprints
        upstream : Upstream
            Its connection was closed before the answer was complete.
        """
        if not self._would_crash(upstream):
            return False
        incarnation = upstream.incarnation
        broken = self._note_broken(request, upstream)
        if incarnation not in self._ended:
            reachability = await self._probe_once(upstream)
            broken.survived = reachability is Reachability.LISTENING
        if incarnation not in self._ended:
            return False
        self.note_ended(incarnation)
        return True

    def _note_broken(
        self, request: "Fingerprints", upstream: "Upstream"
    ) -> _BrokenAnswer:
        now_ms = self._clock.now_ms()
        broken = _BrokenAnswer(request, upstream.incarnation, upstream.group, now_ms)
        self._broken_answers.append(broken)
        return broken

    async def still_works(self, upstream: "Upstream") -> bool:
        """Return whether an upstream's process and its rank group still work.

        Asked after a close of its connection that may be the end of an answer: a
        process that crashes closes its connections too, and a rank group that has lost
        a member drops its requests. An upstream that can't be reached counts as not
        working, as nothing proves that it has finished its answer.
        """
        for _ in range(MAX_PROBES):
            if not upstream.open or upstream.incarnation in self._ended:
                return False
            # Not shared: a probe that began earlier may have preceded the crash.
            reachability = await self._probe(upstream)
            if reachability is not Reachability.UNREACHABLE:
                break
        return upstream.open and reachability is Reachability.LISTENING

    def note_unanswered(self, request: "Fingerprints", upstream: "Upstream") -> None:
        """Note an answer that was given up: its upstream may have crashed unnoticed.

        One in a rank group that is known to stand still was given up for that.
        """
        if self._clock.now_ms() >= upstream.closed_until_ms:
            self._note_broken(request, upstream)

    def note_abandoned(
        self, request: "Fingerprints", upstream: "Upstream", ends_ms: int
    ) -> None:
        """Note a request that was sent, and whose caller left or whose time is over.

        The end of an idle connection shows a crash under it. Where there is none, one
        is opened in place of the one that was reset, and kept for the next call.

        Parameters
        ----------
        request : Fingerprints
        upstream : Upstream
        ends_ms : int
            Deadline of the request.
        """
        if not self._would_crash(upstream):
            return
        works_until_ms = ends_ms + OVERRUN_MS
        self._abandoned.append(_AbandonedRequest(request, upstream, works_until_ms))
        address = upstream.entry.address
        if self._clock.now_ms() < ends_ms and not self.has_idle(
            address.ip, address.port
        ):
            self._start_probe(upstream)

    def note_idle_end(self, ip: str, port: int) -> None:
        """Note that an upstream ended an idle connection, as it does when it crashes.

        It is probed if it may still work on an abandoned request: nothing else may show
        that this request has ended it.
        """
        now_ms = self._clock.now_ms()
        suspected = {
            one.upstream.incarnation: one.upstream
            for one in self._abandoned
            if now_ms < one.works_until_ms
            and (one.upstream.entry.address.ip, one.upstream.entry.address.port)
            == (ip, port)
        }
        for incarnation, upstream in suspected.items():
            if incarnation not in self._ended:
                self._start_probe(upstream)

    def note_restart(self, former: "Upstream") -> None:
        """Note that an upstream has restarted."""
        incarnation = former.incarnation
        broke = any(
            answer.incarnation == incarnation for answer in self._broken_answers
        )
        abandoned = any(
            one.upstream.incarnation == incarnation for one in self._abandoned
        )
        if (broke or abandoned) and not former.leaving:
            self.note_ended(incarnation, was_seen=False)

    def note_ended(self, incarnation: str, was_seen: bool = True) -> None:
        """Note the end of an incarnation; count it against the requests that broke.

        Parameters
        ----------
        incarnation : str
        was_seen : bool, optional
            Whether it is known to have just ended. The answers behind which it still
            accepted connections broke for another reason then: all streams of a rank
            group break when one member ends, and others may end seconds later.
        """
        now_ms = self._clock.now_ms()
        if incarnation not in self._ended:
            log_event(Event.UPSTREAM_CRASHED, upstream=incarnation)
        self._ended = {
            one: ended_ms
            for one, ended_ms in self._ended.items()
            if now_ms - ended_ms < CORRELATION_MS
        }
        self._ended[incarnation] = now_ms
        broken = [one for one in self._broken_answers if one.incarnation == incarnation]
        for one in broken:
            self._broken_answers.remove(one)
        due = [
            one
            for one in broken
            if now_ms - one.broken_ms < CORRELATION_MS
            and not (was_seen and one.survived)
        ]
        requests = [one.request for one in due]
        group = due[-1].group if due else ""
        for one in self._take_abandoned(incarnation, was_seen):
            requests.append(one.request)
            group = one.upstream.group
        if requests:
            service = requests[-1].service
            self._requests.note_crash(incarnation, service, group, requests)

    def _take_abandoned(
        self, incarnation: str, was_seen: bool
    ) -> list[_AbandonedRequest]:
        """Remove an incarnation's abandoned requests; return those that may count."""
        now_ms = self._clock.now_ms()
        there = [
            one for one in self._abandoned if one.upstream.incarnation == incarnation
        ]
        for one in there:
            self._abandoned.remove(one)
        # Of a restart only the detection is known, which may come some seconds later.
        late_ms = 0 if was_seen else CORRELATION_MS
        return [one for one in there if now_ms < one.works_until_ms + late_ms]

    def _would_crash(self, upstream: "Upstream") -> bool:
        """Return whether an end of an upstream's process now would be unplanned."""
        return not upstream.leaving and self._is_listed(upstream.entry.instance)

    async def _probe_once(self, upstream: "Upstream") -> Reachability:
        """Check whether an upstream still listens, once for all concurrent checks."""
        # A caller that disconnects meanwhile must not cancel the probe for the others.
        return await asyncio.shield(self._start_probe(upstream))

    def _start_probe(self, upstream: "Upstream") -> "asyncio.Task[Reachability]":
        incarnation = upstream.incarnation
        probe = self._probes.get(incarnation)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(upstream))
            self._probes[incarnation] = probe
            probe.add_done_callback(lambda _: self._probes.pop(incarnation, None))
        return probe

    async def _probe(self, upstream: "Upstream") -> Reachability:
        reachability = await self._reach(upstream)
        if reachability is Reachability.REFUSED and self._would_crash(upstream):
            self.note_ended(upstream.incarnation)
        return reachability

    async def _reach(self, upstream: "Upstream") -> Reachability:
        address = upstream.entry.address
        loop = asyncio.get_running_loop()
        part_s = PROBE_TIMEOUT_MS / PROBE_PARTS / 1000

        def end_part(parts_left: int) -> None:
            nonlocal timer
            if parts_left:
                timer = loop.call_later(part_s, end_part, parts_left - 1)
            else:
                expire(limit)

        timer = loop.call_later(part_s, end_part, PROBE_PARTS - 1)
        try:
            async with asyncio.timeout(None) as limit:
                return await self._probe_address(address.ip, address.port)
        except TimeoutError:
            return Reachability.UNREACHABLE
        finally:
            timer.cancel()
