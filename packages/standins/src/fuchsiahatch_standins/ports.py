"""Loopback addresses that are free, for many roles in one process."""

import itertools
import os
import socket

# Below the ports that the system gives to outgoing connections: one of those could
# be taken by a connection between the choice and the listening.
_FIRST_PORT = 20_000
_PORTS = 2_000
_STEP = 97

_numbers = itertools.count(os.getpid() * _STEP)


def free_address() -> str:
    """Return an ``ip:port`` that nobody listens at and that was not given before."""
    for number in itertools.islice(_numbers, _PORTS):
        port = _FIRST_PORT + number % _PORTS
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise OSError("no loopback port is free")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
