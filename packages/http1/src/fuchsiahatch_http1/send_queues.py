"""Bytes that were written to a connection and that its peer hasn't acknowledged."""

import fcntl
import struct
import termios
import typing as t

_INT = struct.Struct("i")


def unsent_bytes(transport: t.Any) -> int:
    """Return the bytes in a transport's buffer and in the kernel's send queue.

    Notes
    -----
    Platforms that don't tell the length of the kernel's queue count it as empty.
    """
    buffered = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return buffered + _kernel_queue_bytes(transport)


def _kernel_queue_bytes(transport: t.Any) -> int:
    try:
        answer = fcntl.ioctl(
            transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(_INT.size)
        )
    except (AttributeError, OSError):
        # A connection that is closed has no socket any more.
        return 0
    (queued,) = _INT.unpack(answer)
    return queued
