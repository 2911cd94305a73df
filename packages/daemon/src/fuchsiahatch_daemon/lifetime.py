"""The life of one process: start its role, wait for a signal, stop gracefully."""

import asyncio
import signal
import typing as t

from twisted.internet import reactor

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_daemon.agent import AgentRole
from fuchsiahatch_daemon.entry import EntryRole
from fuchsiahatch_daemon.settings import Settings

_ROLES = {"entry": EntryRole, "agent": AgentRole}


def serve_until_stopped(
    settings: Settings, on_failed: t.Callable[[BaseException], None]
) -> None:
    """Start the role and arrange for SIGTERM and SIGINT to stop it.

    Parameters
    ----------
    settings : Settings
    on_failed : callable
        Called if the role fails, before the reactor stops.
    """

    def leave_loop(task: asyncio.Task[None]) -> None:
        fault = task.exception()
        if fault is not None:
            log_event(Event.INTERNAL_ERROR, detail=repr(fault))
            on_failed(fault)
        reactor.stop()

    task = asyncio.ensure_future(_live(settings))
    task.add_done_callback(leave_loop)


async def _live(settings: Settings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    role = _ROLES[settings.role](settings)
    await role.start()
    log_event(Event.STARTED, incarnation=role.incarnation)
    await stopping.wait()
    log_event(Event.STOPPING)
    await role.stop()
    log_event(Event.STOPPED)
