"""Runs many agents or entries in one process and tells what they use.

A line on standard input is answered by a line of JSON on standard output:
processor time of the process, and bytes and segments on its gRPC connections.
"""

import asyncio
import dataclasses
import json
import pathlib
import socket
import sys
import time
import typing as t

import fire
from twisted.internet import asyncioreactor

from fuchsiahatch_bench.traffic import Traffic, read_traffic

_NS_PER_MS = 1_000_000


def main(folder: str, prefix: str) -> None:
    """Run the role of each settings file until standard input ends.

    Parameters
    ----------
    folder : str
        Where the settings files are.
    prefix : str
        How the names of the files begin.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    sockets = _collect_sockets()
    paths = sorted(pathlib.Path(folder).glob(f"{prefix}*.json"))
    reactor.callWhenRunning(lambda: asyncio.ensure_future(_start(paths)))
    loop.add_reader(sys.stdin, _answer, sockets, reactor.stop)
    reactor.run()


async def _start(paths: t.Sequence[pathlib.Path]) -> None:
    from fuchsiahatch_daemon.agent import AgentRole
    from fuchsiahatch_daemon.entry import EntryRole
    from fuchsiahatch_daemon.settings import read_settings

    roles = {"agent": AgentRole, "entry": EntryRole}
    for path in paths:
        settings = read_settings(str(path))
        await roles[settings.role](settings).start()


@dataclasses.dataclass(frozen=True, slots=True)
class _Sockets:
    """The gRPC connections that were accepted here, and those made from here."""

    accepted: list[socket.socket]
    made: list[socket.socket]


def _collect_sockets() -> _Sockets:
    import grpclib.server
    from grpclib.protocol import H2Protocol

    sockets = _Sockets([], [])
    connection_made = H2Protocol.connection_made

    def noted(self: H2Protocol, transport: asyncio.BaseTransport) -> None:
        is_server = isinstance(self.handler, grpclib.server.Handler)
        kept = sockets.accepted if is_server else sockets.made
        kept.append(transport.get_extra_info("socket"))
        connection_made(self, transport)

    H2Protocol.connection_made = noted
    return sockets


def _answer(sockets: _Sockets, stop: t.Callable[[], None]) -> None:
    if not sys.stdin.readline():
        stop()
        return
    answer = {
        "cpu_ms": time.process_time_ns() / _NS_PER_MS,
        "accepted": len(sockets.accepted),
        "accepted_wire_bytes": _wire_bytes(sockets.accepted),
        "made_wire_bytes": _wire_bytes(sockets.made),
    }
    print(json.dumps(answer), flush=True)


def _wire_bytes(sockets: t.Iterable[socket.socket]) -> int:
    return sum(map(read_traffic, sockets), Traffic()).wire_bytes


if __name__ == "__main__":
    fire.Fire(main, name="roles_host")
