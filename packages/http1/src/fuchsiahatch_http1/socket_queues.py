"""Bytes that wait in a transport's buffer and in the kernel's queues of its socket."""

import fcntl
import socket
import struct
import termios
import typing as t

_INT = struct.Struct("i")


def buffered_bytes(transport: t.Any) -> int:
    """Return the bytes that a transport hasn't given to the kernel yet."""
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def unsent_bytes(transport: t.Any) -> int:
    """Return the bytes that were written and that the peer hasn't acknowledged.

    Notes
    -----
    Platforms that don't tell the length of the kernel's queue count it as empty.
    """
    return buffered_bytes(transport) + _queued_bytes(transport, termios.TIOCOUTQ)


def received_bytes(transport: t.Any) -> int:
    """Return the bytes that have arrived and that the process hasn't read yet."""
    return _queued_bytes(transport, termios.FIONREAD)


def bytes_to_send(handle: socket.socket) -> int:
    """Return the bytes in the kernel's send queue of a socket."""
    return _read_queue(handle, termios.TIOCOUTQ)


def _queued_bytes(transport: t.Any, request: int) -> int:
    try:
        return _read_queue(transport.getHandle(), request)
    except (AttributeError, OSError):
        # A connection that is closed has no socket any more.
        return 0


def _read_queue(handle: socket.socket, request: int) -> int:
    (queued,) = _INT.unpack(fcntl.ioctl(handle.fileno(), request, bytes(_INT.size)))
    return queued
