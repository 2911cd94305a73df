"""Verdicts on an attempt."""

import enum


class Verdict(enum.IntEnum):
    """What became of an attempt.

    Attributes
    ----------
    NOT_RUN
        It was not and will not be given to an upstream.
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
