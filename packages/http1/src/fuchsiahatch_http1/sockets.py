"""Options of TCP connections."""

import socket
import typing as t

#: Connections that may wait to be accepted. With a short queue callers that all come
#: at once, as when another entry has died, lose their opening packet for seconds.
BACKLOG = 1_024

#: Silence after which the kernel asks the peer whether it is there. A host without
#: power, or a connection that went silent, sends no reset: only this shows it.
KEEPALIVE_IDLE_S = 1
#: Time between two such questions, and how many may stay unanswered. A single lost
#: packet must not end a connection; three seconds are as long as the platform allows
#: for a silent connection to be noticed.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time for which sent bytes may stay unacknowledged before the connection is given up.
UNACKNOWLEDGED_MS = 3_000


def open_listening(ip: str, port: int) -> socket.socket:
    """Return a socket whose connections wait until somebody accepts them.

    Raises
    ------
    OSError
        When the address is taken or isn't this host's.
    """
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((ip, port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except OSError:
        listening.close()
        raise
    return listening


def set_options(transport: t.Any) -> None:
    """Send small writes at once, and notice a peer that is gone."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
