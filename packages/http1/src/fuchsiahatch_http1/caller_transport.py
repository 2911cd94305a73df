"""TCP transport of a caller's connection, which tells how the connection ends."""

import errno
import select
import socket
import typing as t

from twisted.internet import main, tcp
from twisted.python.failure import Failure

from fuchsiahatch_http1.connection_states import PeerEnd
from fuchsiahatch_http1.socket_queues import (
    buffered_bytes,
    received_bytes,
    unsent_bytes,
)

_PEER_ENDS = {
    errno.ECONNRESET: PeerEnd.RESET,
    errno.EPIPE: PeerEnd.RESET,
    errno.ETIMEDOUT: PeerEnd.TIMED_OUT,
}
#: Tells that the peer has ended its sending side; unknown to some platforms.
_PEER_CLOSED = getattr(select, "POLLRDHUP", select.POLLHUP)
_NOT_READY = (errno.EWOULDBLOCK, errno.ENOBUFS)


def _ignore_flush() -> None:
    """Do nothing when the buffer is empty."""


class CallerTransport(tcp.Server):
    """A server's side of a TCP connection.

    Attributes
    ----------
    peer_end : PeerEnd
        How the peer has ended the connection, as far as the process has seen it.
    unacknowledged_bytes, unread_bytes : int
        Bytes that were sent and not acknowledged, and that were received and not read,
        when the socket was closed; 0 before.
    on_flushed : callable
        Called when all that was written has been given to the kernel.

    Notes
    -----
    Twisted reports a reset and a timeout of the kernel alike, and a closed connection
    only after its socket is gone.
    """

    peer_end = PeerEnd.OPEN
    unacknowledged_bytes = 0
    unread_bytes = 0
    on_flushed: t.Callable[[], None] = staticmethod(_ignore_flush)

    def doWrite(self) -> t.Any:
        """Write once, and tell when the buffer has become empty."""
        result = super().doWrite()
        if not buffered_bytes(self):
            self.on_flushed()
        return result

    def doRead(self) -> t.Any:
        """Read once, and note what has ended the peer's side."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as fault:
            return self._note_fault(fault)
        if not data:
            self.peer_end = PeerEnd.CLOSED
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> t.Any:
        """Write once, and note what has ended the connection."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as fault:
            return self._note_fault(fault) or 0

    def look_for_peer_end(self) -> PeerEnd:
        """Return and note how the peer has ended the connection, without reading."""
        poll = select.poll()
        poll.register(self.socket, _PEER_CLOSED)
        events = sum(events for _, events in poll.poll(0))
        if events & select.POLLERR:
            code = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.peer_end = _PEER_ENDS.get(code, PeerEnd.FAILED)
        elif events:
            self.peer_end = PeerEnd.CLOSED
        return self.peer_end

    def connectionLost(self, reason: Failure) -> None:
        """Note what the socket's queues hold, then close it."""
        if hasattr(self, "socket"):
            self.unacknowledged_bytes = unsent_bytes(self)
            self.unread_bytes = received_bytes(self)
        super().connectionLost(reason)

    def _note_fault(self, fault: OSError) -> Exception | None:
        """Return the error that ends the connection; None if there is none."""
        if fault.errno in _NOT_READY:
            return None
        self.peer_end = _PEER_ENDS.get(fault.errno, PeerEnd.FAILED)
        return main.CONNECTION_LOST


class CallerPort(tcp.Port):
    """Listens for connections with such transports."""

    transport = CallerTransport
