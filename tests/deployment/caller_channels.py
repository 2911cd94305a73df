"""A caller's connection on a plain socket, which hides nothing that the kernel says."""

import collections
import dataclasses
import errno
import fcntl
import select
import socket
import struct
import termios
import time

from tests.deployment.caller_loop import wait_for
from tests.deployment.caller_manners import SeenBy
from tests.deployment.caller_records import Ending

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
#: Time between two looks at whether a sent request has been acknowledged.
ACKNOWLEDGED_INTERVAL_S = 0.02
_FLAGS = {
    "IN": select.EPOLLIN,
    "OUT": select.EPOLLOUT,
    "ERR": select.EPOLLERR,
    "HUP": select.EPOLLHUP,
    "RDHUP": select.EPOLLRDHUP,
}
#: With no time to linger, a close resets the connection.
_LINGER_NOTHING = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How a connection ended.

    Attributes
    ----------
    ending : Ending
    seen : str
        What the kernel said of it.
    unread : bytes
        What was still readable, and was dropped.
    """

    ending: Ending
    seen: str
    unread: bytes = b""


class Channel:
    """One connection of a caller to an entry.

    Parameters
    ----------
    address : (str, int)
    seen_by : SeenBy, optional
    receive_bytes : int, optional
        Size of the kernel's receive buffer.

    Attributes
    ----------
    ip : str
    early : bytes
        Bytes that were read behind an answer.
    end : End or None
        How the connection ended; None while it hasn't been seen to end.
    answers : int
        Answers read on it.
    sent_all_s, acknowledged_s : float
        When everything queued so far was sent, and seen acknowledged; 0 if not yet.
    """

    def __init__(self, address, seen_by=SeenBy.READ, receive_bytes=None):
        self.ip, self._port = address
        self._seen_by = seen_by
        self._queue = collections.deque()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_bytes is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.early = b""
        self.end = None
        # An error is reported once only, by a send before a read.
        self._send_error = 0
        self.answers = 0
        self.sent_all_s = self.acknowledged_s = 0.0

    @property
    def local_port(self):
        """Port of the caller's end; 0 if the connection was never established."""
        try:
            return self._socket.getsockname()[1]
        except OSError:
            return 0

    async def connect(self):
        """Connect; `end` says so if that fails."""
        try:
            code = self._socket.connect_ex((self.ip, self._port))
        except OSError as fault:
            code = fault.errno
        if code == errno.EINPROGRESS:
            until_s = time.monotonic() + CONNECT_TIMEOUT_S
            flags = await wait_for(self._socket.fileno(), select.EPOLLOUT, until_s)
            code = self._take_error() if flags else errno.ETIMEDOUT
        if code:
            self._note_end(code, 0)

    def queue(self, data, at_s=0.0):
        """Send bytes behind those that are queued, not before a time."""
        self._queue.append((at_s, data))
        self.sent_all_s = self.acknowledged_s = 0.0

    def queue_end(self, at_s=0.0):
        """End the sending side behind what is queued, not before a time."""
        self._queue.append((at_s, None))

    def close(self, with_reset=False):
        """Close the connection; with a reset, what is unsent is lost."""
        if with_reset:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOTHING
            )
        self._socket.close()

    def has_ended(self):
        """Return whether an idle connection has ended, as the kernel says now."""
        if self.end is not None:
            return True
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def receive(self, until_s, read_bytes=READ_BYTES):
        """Send what is due, and return bytes as soon as some have arrived.

        Parameters
        ----------
        until_s : float
            Latest time by `time.monotonic`.
        read_bytes : int, optional
            Most bytes that are read at a time.

        Returns
        -------
        bytes
            Empty if the time is over or the connection has ended, as `end` says.
        """
        if self.early:
            data, self.early = self.early, b""
            return data
        while self.end is None:
            self._send_due()
            flags = await self._wait(until_s)
            data = self._read(flags, read_bytes) if flags & ~select.EPOLLOUT else b""
            if data or time.monotonic() >= until_s:
                return data
        return b""

    async def _wait(self, until_s):
        wanted = select.EPOLLIN | select.EPOLLRDHUP
        if self._queue:
            at_s, _ = self._queue[0]
            if at_s > time.monotonic():
                until_s = min(until_s, at_s)
            else:
                wanted |= select.EPOLLOUT
        elif not self.acknowledged_s:
            until_s = min(until_s, time.monotonic() + ACKNOWLEDGED_INTERVAL_S)
        return await wait_for(self._socket.fileno(), wanted, until_s)

    def _send_due(self):
        while self._queue and self._queue[0][0] <= time.monotonic():
            at_s, data = self._queue.popleft()
            try:
                left = self._send(data)
            except OSError as fault:
                # What has arrived before is still read.
                self._send_error = fault.errno
                self._queue.clear()
                break
            if left:
                self._queue.appendleft((at_s, left))
                return
        self._note_acknowledged()

    def _send(self, data):
        if data is None:
            self._socket.shutdown(socket.SHUT_WR)
            return b""
        try:
            return data[self._socket.send(data) :]
        except BlockingIOError:
            return data

    def _note_acknowledged(self):
        if self._queue or self.acknowledged_s:
            return
        self.sent_all_s = self.sent_all_s or time.monotonic()
        queued = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(4))
        if not int.from_bytes(queued, "little"):
            self.acknowledged_s = time.monotonic()

    def _read(self, flags, read_bytes):
        if self._seen_by is SeenBy.FLAGS and flags & (
            select.EPOLLERR | select.EPOLLHUP
        ):
            code = self._take_error()
            unread, _ = self._read_all()
            self._note_end(code, flags, unread)
            return b""
        if self._seen_by is SeenBy.BUFFER:
            data, code = self._read_all()
            if code is not None:
                self._note_end(code, flags, data if code else b"")
            return b"" if code else data
        data, code = self._read_once(read_bytes)
        if code is not None:
            self._note_end(code, flags)
        return data

    def _read_all(self):
        pieces = []
        while True:
            data, code = self._read_once(READ_BYTES)
            pieces.append(data)
            if not data:
                return b"".join(pieces), code

    def _read_once(self, read_bytes):
        """Return bytes and None, or none with an error code, 0 for a clean end."""
        try:
            data = self._socket.recv(read_bytes)
        except BlockingIOError:
            return b"", None
        except OSError as fault:
            return b"", fault.errno
        return data, None if data else 0

    def _note_end(self, code, flags, unread=b""):
        code = code or self._send_error
        endings = {0: Ending.FIN, errno.ETIMEDOUT: Ending.TIMEOUT}
        names = [name for name, flag in _FLAGS.items() if flags & flag]
        if code:
            names.append(errno.errorcode.get(code, str(code)))
        self.end = End(endings.get(code, Ending.RESET), " ".join(names), unread)

    def _take_error(self):
        return self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
