"""Options of TCP connections."""

import socket
import typing as t

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


def set_options(transport: t.Any) -> None:
    """Send small writes at once, and notice a peer that is gone."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
