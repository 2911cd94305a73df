"""Options of TCP sockets."""

import socket
import typing as t

#: Length of the accept queue. If it is short and many callers connect at once, as when
#: another entry fails, their SYN packets are dropped and sent again seconds later.
BACKLOG = 1_024

#: Idle time before the first keepalive probe. A host without power, or a broken network
#: path, sends no reset, so that only probes detect it.
KEEPALIVE_IDLE_S = 1
#: Time between probes, and the number of unanswered probes that ends a connection. A
#: single lost packet must not end it; the platform requires that a silent connection
#: is detected within three seconds.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time that sent bytes may stay unacknowledged before the connection is closed.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
#: The same for a caller with more than `SLOW_CALLER_BYTES` yet to receive. What waits
#: for a caller that reads nothing for a while counts as unacknowledged, too.
SLOW_CALLER_TIMEOUT_MS = 30_000
#: Less than the smallest usual receive buffer: no caller that is merely waiting for the
#: next event of a stream has as much yet to receive.
SLOW_CALLER_BYTES = 32_768

#: The same once the answer is finished: no more work is done for a caller that doesn't
#: read it. About the smallest receive buffer.
FINISHED_ANSWER_BYTES = 2_048


def open_listening(ip: str, port: int) -> socket.socket:
    """Return a listening socket, whose connections queue until they are accepted.

    Raises
    ------
    OSError
        When the address is in use or doesn't belong to this host.
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
    """Disable Nagle's algorithm, and detect unreachable peers."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_unacknowledged_timeout(transport, UNACKNOWLEDGED_TIMEOUT_MS)


def set_unacknowledged_timeout(transport: t.Any, timeout_ms: int) -> None:
    """Set how long sent bytes may stay unacknowledged.

    Notes
    -----
    It also replaces the number of keepalive probes, so that a longer time delays the
    detection of an unreachable peer.
    """
    transport.getHandle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
    )
