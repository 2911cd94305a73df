"""Upstreams with overdue answers, of which the entries notify each other."""

import asyncio
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_gateway.datagrams import LateNotice

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Minimum interval between two notices of an entry about the same upstream.
NOTICE_INTERVAL_MS = 250


class LateUpstreams:
    """Notifies all entries of upstreams with an overdue answer.

    Each of many entries sends a plain upstream a request every few seconds. If each
    entry had to find out by itself that an upstream accepts requests and answers none,
    each would lose a request that may not be sent again.

    Parameters
    ----------
    clock : Clock
    upstreams : mapping of str to Upstream
        The known upstreams by instance.
    send_notice : callable
        Sends a notice to all other entries.
    """

    __slots__ = ("_clock", "_notified_ms", "_send_notice", "_upstreams")

    def __init__(
        self,
        clock: "Clock",
        upstreams: t.Mapping[str, "Upstream"],
        send_notice: t.Callable[[LateNotice], None],
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._send_notice = send_notice
        self._notified_ms: dict[str, int] = {}

    def expect_answer(
        self, upstream: "Upstream", within_ms: int
    ) -> asyncio.TimerHandle:
        """Start the timer of an answer; the caller cancels it when the answer begins.

        Parameters
        ----------
        upstream : Upstream
        within_ms : int
            Time after which an answer is late for callers.
        """
        loop = asyncio.get_running_loop()
        return loop.call_later(within_ms / 1000, self.note_late_answer, upstream)

    def note_late_answer(self, upstream: "Upstream") -> None:
        """Count a late answer as a failure and notify all other entries."""
        now_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        notified_ms = self._notified_ms.get(instance)
        if notified_ms is not None and now_ms - notified_ms < NOTICE_INTERVAL_MS:
            return
        self._notified_ms = {
            name: sent_ms
            for name, sent_ms in self._notified_ms.items()
            if name in self._upstreams
        }
        self._notified_ms[instance] = now_ms
        log_event(Event.UPSTREAM_LATE, upstream=instance, own=upstream.local_requests)
        upstream.note_failure(now_ms)
        self._send_notice(LateNotice(instance, upstream.born_ms))

    def receive_notice(self, notice: LateNotice) -> None:
        """Count a late answer that another entry noticed."""
        upstream = self._upstreams.get(notice.upstream)
        if upstream is not None and upstream.born_ms == notice.born_ms:
            upstream.note_failure(self._clock.now_ms())
