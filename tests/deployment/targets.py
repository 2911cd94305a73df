"""Targets of requests, which tell an upstream what its answer is to be."""

import typing as t


class Target(t.NamedTuple):
    """What a request's target asks for.

    Attributes
    ----------
    prefix : str
        Prefix of the route, which begins and ends with a slash.
    amount : int
        Events of a stream, or bytes of a plain answer.
    time_ms : int
        Time between two events, or time that a plain answer takes.
    """

    prefix: str
    amount: int
    time_ms: int


def encode_target(prefix, amount, time_ms):
    """Return the target of a request.

    Parameters
    ----------
    prefix : str
    amount, time_ms : int
        As in `Target`.

    Returns
    -------
    str
    """
    return f"{prefix}{amount}/{time_ms}"


def decode_target(target):
    """Return what a target asks for.

    Parameters
    ----------
    target : str

    Returns
    -------
    Target

    Raises
    ------
    ValueError
        If it wasn't made by `encode_target`.
    """
    prefix, amount, time_ms = target.rsplit("/", 2)
    return Target(f"{prefix}/", int(amount), int(time_ms))
