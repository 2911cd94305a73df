"""The program: ``python3 -m fuchsiahatch_gateway.main entry`` or ``agent``."""

import asyncio
import sys
import typing as t

from twisted.internet import asyncioreactor

from fuchsiahatch_adapter.node_settings import read_node_settings, settings_path
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import SettingsError

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.process import Process

_EXIT_USAGE = 2


def main() -> None:
    """Run one role until SIGTERM."""
    roles = {"entry": _run_entry, "agent": _run_agent}
    if len(sys.argv) != 2 or sys.argv[1] not in roles:
        sys.exit("usage: python3 -m fuchsiahatch_gateway.main entry|agent")
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # Before any module that imports the reactor, which would install another one.
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    try:
        loop.run_until_complete(roles[sys.argv[1]]())
    except SettingsError as fault:
        print(f"fuchsiahatch: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)


async def _run_entry() -> None:
    from fuchsiahatch_gateway.entry import Entry

    await Entry(_start_process()).run()


async def _run_agent() -> None:
    from fuchsiahatch_gateway.agent import Agent

    await Agent(_start_process()).run()


def _start_process() -> "Process":
    from fuchsiahatch_gateway.log import open_log
    from fuchsiahatch_gateway.process import Process

    settings = read_node_settings(settings_path())
    log = open_log(settings.node, settings.role, Clock().now_ms)
    process = Process(settings, log)
    process.start()
    return process


if __name__ == "__main__":
    main()
