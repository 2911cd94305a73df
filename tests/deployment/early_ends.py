"""Runs a coroutine that may end early, by a signal, a fault or its time limit."""

import asyncio
import signal
import traceback

from tests.deployment.programs import NotRunError
from tests.loopback import LOOP

SIGNALS = (signal.SIGINT, signal.SIGTERM)


def run_until_end(work, limit_s):
    """Run a coroutine; one that ends early is cancelled once and cleans up.

    Parameters
    ----------
    work : coroutine
    limit_s : float

    Raises
    ------
    NotRunError
        If it didn't come to its end.
    """
    task = LOOP.create_task(asyncio.wait_for(work, limit_s))
    received = []

    def end(number):
        if not received:
            task.cancel()
        received.append(number)

    for number in SIGNALS:
        LOOP.add_signal_handler(number, end, number)
    try:
        return LOOP.run_until_complete(task)
    except NotRunError:
        raise
    except asyncio.CancelledError as fault:
        name = signal.Signals(received[0]).name if received else "a cancellation"
        raise NotRunError(f"ended early by {name}") from fault
    except TimeoutError as fault:
        raise NotRunError(f"not over after {limit_s:.0f} s") from fault
    except Exception as fault:
        traceback.print_exception(fault)
        raise NotRunError(f"ended early by {fault!r}") from fault
    finally:
        for number in SIGNALS:
            LOOP.remove_signal_handler(number)
