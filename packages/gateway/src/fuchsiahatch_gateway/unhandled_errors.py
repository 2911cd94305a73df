"""Log lines of errors that the event loop and Twisted catch where nothing else does.

Both go on after such an error, and Twisted closes the connection whose callback failed:
its caller is cut, and no other line says why.
"""

import asyncio
import typing as t

from twisted.logger import LogEvent, globalLogPublisher

from fuchsiahatch_core.events import Event, log_event


def log_unhandled_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log what a loop and Twisted catch from now on."""
    loop.set_exception_handler(_note_loop_error)
    globalLogPublisher.addObserver(_note_twisted_error)


def _note_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, t.Any]
) -> None:
    log_event(
        Event.INTERNAL_ERROR,
        detail=f"{context['message']}: {context.get('exception')!r}",
    )
    loop.default_exception_handler(context)


def _note_twisted_error(event: LogEvent) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        log_event(Event.INTERNAL_ERROR, detail=f"in a callback: {failure.value!r}")
