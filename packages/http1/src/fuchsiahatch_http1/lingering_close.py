"""Closes a connection without destroying an answer that its peer hasn't read."""

import typing as t

from twisted.internet import reactor

from fuchsiahatch_http1.connection_states import PeerEnd
from fuchsiahatch_http1.discarding import MAX_DISCARDED_BYTES_OF_ONE
from fuchsiahatch_http1.socket_queues import (
    buffered_bytes,
    received_bytes,
    unsent_bytes,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.discarding import DiscardLimit

#: Time for which the socket stays open once the peer's kernel has acknowledged
#: everything that was sent. The peer itself may not have read it yet.
LINGER_MS = 1_000
#: The same while the server leaves, as callers then send on without having been told
#: of the close. Longer than a caller's process is held up.
LEAVING_LINGER_MS = 2_500
#: Interval at which it is checked whether that is so.
POLL_INTERVAL_MS = 100


class LingeringClose:
    """Ends the sending side, waits for the peer's close, then closes.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        Its protocol must discard what is received from now on.
    linger_ms : int
        Maximum time behind the last acknowledged byte.
    discards : DiscardLimit
        Of the process, for the received bytes.
    reads : bool, optional
        Whether received bytes are read. What stays unread is handled by nobody.

    Notes
    -----
    A socket that is closed with unread bytes sends a reset, and a reset discards what
    the peer hasn't read yet. This is the order of RFC 9112, section 9.6.
    """

    __slots__ = (
        "_acknowledged_s",
        "_discarded_bytes",
        "_discards",
        "_is_paused",
        "_linger_ms",
        "_peer_closed",
        "_reads",
        "_timer",
        "_transport",
    )

    def __init__(
        self,
        transport: t.Any,
        linger_ms: int,
        discards: "DiscardLimit",
        *,
        reads: bool = True,
    ) -> None:
        self._transport = transport
        self._discards = discards
        self._discarded_bytes = 0
        self._is_paused = False
        self._linger_ms = linger_ms
        self._reads = reads
        self._acknowledged_s: float | None = None
        self._peer_closed = False
        # A transport whose producer is paused never closes.
        transport.unregisterProducer()
        transport.loseWriteConnection()
        if not reads:
            transport.pauseProducing()
        self._timer = self._schedule()

    def note_peer_closed(self) -> None:
        """Close as soon as everything has been sent."""
        self._peer_closed = True
        self._timer.cancel()
        self._check()

    def note_discarded(self, discarded_bytes: int) -> None:
        """Count bytes that were received; read no more for now if they are too many."""
        self._discards.note(discarded_bytes)
        self._discarded_bytes += discarded_bytes
        self._pause_or_resume()

    def _pause_or_resume(self) -> None:
        is_enough = (
            self._discards.is_reached
            or self._discarded_bytes >= MAX_DISCARDED_BYTES_OF_ONE
        )
        if is_enough and not self._is_paused:
            self._transport.pauseProducing()
        elif self._is_paused and not is_enough:
            self._transport.resumeProducing()
        self._is_paused = is_enough

    def stop(self) -> None:
        """Do nothing more, as the connection is closed."""
        if self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> t.Any:
        return reactor.callLater(POLL_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        if self._is_over():
            self._transport.loseConnection()
        else:
            self._pause_or_resume()
            self._timer = self._schedule()

    def _is_over(self) -> bool:
        if self._peer_closed:
            # Nobody reads the socket any more, so that a reset would go unnoticed. The
            # kernel sends the rest of its queue after the close.
            return not buffered_bytes(self._transport)
        if not self._reads and self._has_left():
            return True
        if unsent_bytes(self._transport):
            return False
        if self._acknowledged_s is None:
            self._acknowledged_s = reactor.seconds()
        waited_s = reactor.seconds() - self._acknowledged_s
        return waited_s >= self._linger_ms / 1000

    def _has_left(self) -> bool:
        """Look whether the peer has ended a connection that isn't read.

        One with unread bytes may have ended its sending side alone, and the reset of a
        close would discard what it hasn't read.
        """
        peer_end = self._transport.look_for_peer_end()
        if peer_end is PeerEnd.CLOSED:
            return not received_bytes(self._transport)
        return peer_end is not PeerEnd.OPEN
