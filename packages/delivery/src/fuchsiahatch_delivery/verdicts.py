"""The final words on an attempt, and what may follow each."""

import enum


class Verdict(enum.IntEnum):
    """What became of an attempt.

    Attributes
    ----------
    NOT_RUN
        No upstream was or will be given it.
    UNKNOWN
        It may have run; it will not be run again under its key.
    DONE
        It ran and its whole answer is known.
    RUNNING
        It has been given to the upstream and hasn't ended.
    """

    NOT_RUN = 1
    UNKNOWN = 2
    DONE = 3
    RUNNING = 4


def may_retry(verdict: Verdict, idempotent: bool, first_byte_sent: bool) -> bool:
    """Return whether a request may be tried at another upstream.

    Parameters
    ----------
    verdict : Verdict
        Of the last attempt.
    idempotent : bool
        Whether the request may run more than once.
    first_byte_sent : bool
        Whether the caller has had a byte of the last attempt's answer.
    """
    if first_byte_sent:
        return False
    return verdict is Verdict.NOT_RUN or idempotent
