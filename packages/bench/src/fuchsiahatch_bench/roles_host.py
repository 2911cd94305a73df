"""Runs many agents or entries in one process and tells what they use.

A line on standard input is answered by a line of JSON on standard output:
processor time of the process, and bytes and segments on its gRPC connections.
"""

import asyncio
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


def _collect_sockets() -> list[socket.socket]:
    from grpclib.protocol import H2Protocol

    sockets: list[socket.socket] = []
    connection_made = H2Protocol.connection_made

    def noted(self: H2Protocol, transport: asyncio.BaseTransport) -> None:
        sockets.append(transport.get_extra_info("socket"))
        connection_made(self, transport)

    H2Protocol.connection_made = noted
    return sockets


def _answer(sockets: list[socket.socket], stop: t.Callable[[], None]) -> None:
    if not sys.stdin.readline():
        stop()
        return
    traffic = sum(map(read_traffic, sockets), Traffic())
    answer = {
        "cpu_ms": time.process_time_ns() / _NS_PER_MS,
        "connections": len(sockets),
        "wire_bytes": traffic.wire_bytes,
    }
    print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    fire.Fire(main, name="roles_host")
