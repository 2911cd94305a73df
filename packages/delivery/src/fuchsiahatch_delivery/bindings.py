"""Bindings of keys to homes in the key-value service, for callers without a ticket."""

import dataclasses
import hashlib
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import KEY_PREFIX, RETRY_AFTER_MS
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_delivery.tickets import Ticket, decode_ticket, encode_ticket

_MAX_CREATES = 2
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Create:
    """Request to create a key with a value; answered by a `CreateReply`."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Request to read a key; answered by a `ReadReply`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreateReply:
    """Whether a create took effect; None when its answer was lost."""

    created: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReply:
    """Value of a key, empty if absent; None when the service gave no answer."""

    value: bytes | None


Binding = t.Generator[Create | Read, CreateReply | ReadReply, Ticket]


def binding_key(team: str, key: str) -> str:
    """Return the service's key for a caller's key."""
    name = f"{len(team)}/{team}/{key}".encode()
    digest = hashlib.blake2b(name, digest_size=_DIGEST_BYTES).hexdigest()
    return f"{KEY_PREFIX}bindings/{digest}"


def bind(team: str, key: str, ticket: Ticket) -> Binding:
    """Bind a key to a ticket's homes, or return those it is bound to already.

    Parameters
    ----------
    team, key : str
    ticket : Ticket
        A new ticket, used if the key isn't bound yet.

    Yields
    ------
    Create or Read

    Returns
    -------
    Ticket
        The same for every request with the key.

    Raises
    ------
    RefusedError
        When the service gives no answer; nothing was started.
    """
    name = binding_key(team, key)
    for _ in range(_MAX_CREATES):
        create_reply = yield Create(name, encode_ticket(ticket).encode())
        if create_reply.created:
            return ticket
        # A create whose answer was lost may have taken effect, here or for another
        # request with the key, so using the new ticket could name a second home.
        # The value in the service decides: it binds the key to homes for all retries.
        read_reply = yield Read(name)
        if read_reply.value:
            return _bound_ticket(read_reply.value, ticket)
        if read_reply.value is None:
            break
    detail = "the key-value service can't bind the key now; come back, or use a ticket"
    raise RefusedError(detail, Code.SERVICE_UNAVAILABLE, RETRY_AFTER_MS)


def _bound_ticket(value: bytes, new_ticket: Ticket) -> Ticket:
    ticket = decode_ticket(value.decode("ascii", "replace"))
    if ticket.target != new_ticket.target:
        detail = f"the key began with a request to {ticket.target!r}"
        raise RequestError(detail, Code.KEY_REUSED)
    return ticket


class SharedLease:
    """Tracks the lease that new bindings share, and when it must be replaced.

    Parameters
    ----------
    ttl_ms : int
        Time that each lease is granted for.
    life_ms : int
        Time that each binding must live.

    Notes
    -----
    One lease serves the bindings of several minutes, so that a binding costs the
    service one write and not two.

    .. versionadded:: 0.1
    """

    __slots__ = ("_lease_id", "_requested_ms", "_spare_ms")

    def __init__(self, ttl_ms: int, life_ms: int) -> None:
        self._spare_ms = ttl_ms - life_ms
        self._lease_id: int | None = None
        self._requested_ms = 0

    def current(self, now_ms: int) -> int | None:
        """Return the lease to use, or None when a new one is needed."""
        if self._lease_id is None or now_ms - self._requested_ms >= self._spare_ms:
            return None
        return self._lease_id

    def granted(self, lease_id: int, requested_ms: int) -> None:
        """Store a new lease; its time to live counts from the request for it."""
        self._lease_id = lease_id
        self._requested_ms = requested_ms
