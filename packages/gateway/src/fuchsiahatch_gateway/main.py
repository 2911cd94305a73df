"""The entry point: ``python3 -m fuchsiahatch_gateway.main entry`` or ``agent``."""

import signal
import sys
import typing as t

from fuchsiahatch_adapter.node_settings import read_node_settings, settings_path
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_http1.sockets import open_listening

if t.TYPE_CHECKING:
    import socket

    from fuchsiahatch_adapter.node_settings import NodeSettings
    from fuchsiahatch_gateway.process import Process

_EXIT_USAGE = 2


def main() -> None:
    """Run one role until SIGTERM."""
    roles = {"entry": _run_entry, "agent": _run_agent}
    if len(sys.argv) != 2 or sys.argv[1] not in roles:
        sys.exit("usage: python3 -m fuchsiahatch_gateway.main entry|agent")
    try:
        _run(roles[sys.argv[1]])
    except SettingsError as fault:
        print(f"fuchsiahatch: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)


def _run(role: "_Role") -> None:
    # Until the process has its own handler, the signal would end it.
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: hangups.append(number))
    settings = read_node_settings(settings_path())
    listening = _listen_early(settings)
    # These imports take most of the start, and come after the callers' socket is open.
    import asyncio

    from fuchsiahatch_http1.steady_reactor import install_reactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    install_reactor(loop)
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    from fuchsiahatch_core.events import Event, log_event

    try:
        loop.run_until_complete(role(settings, listening, hangups))
    except Exception as fault:
        # Open answers end with the process.
        log_event(Event.INTERNAL_ERROR, detail=f"the process ends: {fault!r}")
        raise


def _listen_early(settings: "NodeSettings") -> "socket.socket | None":
    """Open the callers' socket, if there is one, before all other modules are loaded.

    Loading them takes some 0.3 s. A caller that connects meanwhile waits for that long.
    If it were refused, it would have one attempt left, and would use it up as well when
    all entries were killed at once.
    """
    if settings.callers is None:
        return None
    try:
        return open_listening(settings.callers.ip, settings.callers.port)
    except OSError as fault:
        # The previous process may hold the address a little longer; an error that lasts
        # is raised when the server starts to listen.
        print(f"fuchsiahatch: {settings.callers}: {fault}", file=sys.stderr)
        return None


async def _run_entry(
    settings: "NodeSettings", listening: "socket.socket | None", hangups: list[int]
) -> None:
    from fuchsiahatch_gateway.entry import Entry

    await Entry(_start_process(settings, hangups), listening).run()


async def _run_agent(
    settings: "NodeSettings", listening: "socket.socket | None", hangups: list[int]
) -> None:
    from fuchsiahatch_gateway.agent import Agent

    await Agent(_start_process(settings, hangups)).run()


_Role = t.Callable[
    ["NodeSettings", "socket.socket | None", list[int]], t.Coroutine[t.Any, t.Any, None]
]


def _start_process(settings: "NodeSettings", hangups: list[int]) -> "Process":
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.log import open_log
    from fuchsiahatch_gateway.process import Process

    log = open_log(settings.node, settings.role, Clock().now_ms)
    process = Process(settings, log)
    process.start()
    if hangups:
        process.reload()
    return process


if __name__ == "__main__":
    main()
