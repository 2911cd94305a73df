"""Time that a caller has to acknowledge what was sent to it."""

import typing as t

from twisted.internet import reactor

from fuchsiahatch_http1.socket_queues import unsent_bytes
from fuchsiahatch_http1.sockets import (
    SLOW_CALLER_TIMEOUT_MS,
    UNACKNOWLEDGED_TIMEOUT_MS,
    set_unacknowledged_timeout,
)

#: Interval at which it is checked whether a slow caller has received everything.
POLL_INTERVAL_MS = 500


class SlowCallerTimeout:
    """Gives a caller with much to receive more time until it must have read on.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        A connection with the shorter time.
    """

    __slots__ = ("_extended", "_timer", "_transport")

    def __init__(self, transport: t.Any) -> None:
        self._transport = transport
        self._extended = False
        self._timer: t.Any = None

    def extend(self, answer_bytes: int, min_bytes: int) -> None:
        """Give more time if more than `min_bytes` of an answer are unacknowledged."""
        if self._extended or answer_bytes <= min_bytes:
            return
        if unsent_bytes(self._transport) > min_bytes:
            self._extended = True
            set_unacknowledged_timeout(self._transport, SLOW_CALLER_TIMEOUT_MS)

    def end_once_received(self) -> None:
        """Return to the shorter time as soon as everything is acknowledged.

        A caller may send its next request before it has read the answer before.
        """
        self.stop()
        if not self._extended:
            return
        if unsent_bytes(self._transport):
            self._timer = reactor.callLater(
                POLL_INTERVAL_MS / 1000, self.end_once_received
            )
            return
        self._extended = False
        set_unacknowledged_timeout(self._transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def stop(self) -> None:
        """Do nothing more by itself."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
