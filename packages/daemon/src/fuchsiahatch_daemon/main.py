"""The daemon's program: `fuchsiahatchd --settings FILE`."""

import asyncio
import sys

import eliot
import fire
from twisted.internet import asyncioreactor

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_daemon.settings import Settings, read_settings

_EXIT_FAILED = 1
_EXIT_SETTINGS = 2


def run(settings: str) -> None:
    """Run one process of the system until SIGTERM.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file; its `role` says what to run.
    """
    try:
        checked = read_settings(settings)
    except SettingsError as fault:
        eliot.to_file(sys.stderr)
        log_event(Event.SETTINGS_REFUSED, code=int(fault.result), detail=fault.detail)
        print(f"fuchsiahatchd: {fault}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    _serve(checked)


def _serve(settings: Settings) -> None:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # Before any module that imports the reactor: a second loop beside grpclib's
    # would leave every call between the two waiting for ever.
    asyncioreactor.install(loop)
    _open_log(settings)
    from twisted.internet import reactor

    from fuchsiahatch_daemon.lifetime import serve_until_stopped

    faults: list[BaseException] = []
    reactor.callWhenRunning(serve_until_stopped, settings, faults.append)
    reactor.run(installSignalHandlers=False)
    if faults:
        sys.exit(_EXIT_FAILED)


def _open_log(settings: Settings) -> None:
    path = settings.log_path
    eliot.to_file(sys.stdout if path is None else open(path, "a", encoding="utf-8"))
    eliot.add_global_fields(host=settings.host, role=settings.role)


def main() -> None:
    """Parse the arguments and run."""
    fire.Fire(run, name="fuchsiahatchd")


if __name__ == "__main__":
    main()
