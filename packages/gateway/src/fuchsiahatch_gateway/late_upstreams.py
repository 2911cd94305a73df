"""Upstreams that owe answers for too long, as all entries know them."""

import asyncio
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.datagrams import LateNotice

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Pause between two notices of one entry on the same upstream.
TELL_PAUSE_MS = 250


class LateUpstreams:
    """Tells all entries of upstreams that owe an answer for too long.

    Each of many entries sends a plain upstream a request every few seconds. Learnt by
    each entry alone, one that takes requests and answers none costs each of them a
    request that may not be sent again.

    Parameters
    ----------
    clock : Clock
    upstreams : mapping of str to Upstream
        Those that are known, by instance.
    tell : callable
        Sends a notice to all other entries.
    """

    __slots__ = ("_clock", "_tell", "_told_ms", "_upstreams")

    def __init__(
        self,
        clock: "Clock",
        upstreams: t.Mapping[str, "Upstream"],
        tell: t.Callable[[LateNotice], None],
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._tell = tell
        self._told_ms: dict[str, int] = {}

    def expect_answer(
        self, upstream: "Upstream", within_ms: int
    ) -> asyncio.TimerHandle:
        """Wait for an answer; cancel what is returned as it begins.

        Parameters
        ----------
        upstream : Upstream
        within_ms : int
            Time behind which callers count an answer as late.
        """
        loop = asyncio.get_running_loop()
        return loop.call_later(within_ms / 1000, self.note, upstream)

    def note(self, upstream: "Upstream") -> None:
        """Count an answer that is late, and tell all others."""
        now_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        told_ms = self._told_ms.get(instance)
        if told_ms is not None and now_ms - told_ms < TELL_PAUSE_MS:
            return
        self._told_ms = {
            known: at_ms
            for known, at_ms in self._told_ms.items()
            if known in self._upstreams
        }
        self._told_ms[instance] = now_ms
        log_event(Event.UPSTREAM_LATE, upstream=instance, own=upstream.local_requests)
        upstream.note_failure(now_ms)
        self._tell(LateNotice(instance, upstream.born_ms))

    def receive_notice(self, notice: LateNotice) -> None:
        """Count what another entry was not answered in time."""
        upstream = self._upstreams.get(notice.upstream)
        if upstream is not None and upstream.born_ms == notice.born_ms:
            upstream.note_failure(self._clock.now_ms())
