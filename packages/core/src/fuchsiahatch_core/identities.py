"""Identities of hosts, process lives and attempts."""

import dataclasses
import secrets
import time

_INCARNATION_RANDOM_BYTES = 4


def new_incarnation() -> str:
    """Return a unique name for one incarnation of a process.

    Notes
    -----
    The wall-clock part only helps a reader to sort incarnations; nothing compares it.
    """
    born_ms = time.time_ns() // 1_000_000
    return f"{born_ms:x}-{secrets.token_hex(_INCARNATION_RANDOM_BYTES)}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Home:
    """One incarnation of an agent: the only process that may run keys bound to it."""

    host: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """One attempt of one request by one incarnation of an entry."""

    entry: str
    incarnation: str
    counter: int

    def __str__(self) -> str:
        return f"{self.entry}/{self.incarnation}/{self.counter}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Offer:
    """What an upstream serves: a model or a plain service, in one version."""

    name: str
    version: str
