"""Tickets: the short list of homes that a key may run at, opaque to callers."""

import base64
import binascii
import dataclasses
import json
import typing as t

import xxhash

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RequestError
from fuchsiahatch_core.identities import Home

_MAX_CHARACTERS = 2_048
_CHECK_CHARACTERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class TicketHome:
    """A home with a reading of its own clock.

    Attributes
    ----------
    home : Home
    issued_ms : int
        Reading of the home's clock before the ticket was made. Only the home
        compares it, with the same clock.
    """

    home: Home
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The homes at which keys that are sent with the ticket may run.

    Attributes
    ----------
    team, target : str
        The team and target that it was made for.
    homes : tuple of TicketHome
    """

    team: str
    target: str
    homes: tuple[TicketHome, ...]

    def rank(self, key: str) -> list[TicketHome]:
        """Return the homes in the key's rendezvous order."""
        return sorted(self.homes, key=lambda one: _weight(key, one.home), reverse=True)


def encode_ticket(ticket: Ticket) -> str:
    """Return a ticket as text that fits a header."""
    homes = [
        [one.home.host, one.home.incarnation, one.issued_ms] for one in ticket.homes
    ]
    document = [ticket.team, ticket.target, homes]
    payload = json.dumps(document, separators=(",", ":")).encode()
    return _check(payload) + base64.urlsafe_b64encode(payload).decode()


def decode_ticket(text: str) -> Ticket:
    """Read a ticket's text.

    Raises
    ------
    RequestError
        When it is not one that `encode_ticket` made.
    """
    if len(text) > _MAX_CHARACTERS:
        raise _bad_ticket(f"is longer than {_MAX_CHARACTERS} characters")
    check, body = text[:_CHECK_CHARACTERS], text[_CHECK_CHARACTERS:]
    try:
        payload = base64.b64decode(body.encode("ascii"), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as fault:
        raise _bad_ticket("is damaged") from fault
    if check != _check(payload):
        raise _bad_ticket("is damaged")
    try:
        return _from_document(json.loads(payload))
    except (TypeError, ValueError) as fault:
        raise _bad_ticket("is not one of this system's") from fault


def check_ticket(ticket: Ticket, team: str, target: str) -> None:
    """Check that a ticket was made for a request's team and target.

    Raises
    ------
    RequestError
        When it was made for another.
    """
    if (ticket.team, ticket.target) != (team, target):
        raise _bad_ticket(f"was made for {ticket.team!r} and {ticket.target!r}")


def _from_document(document: t.Any) -> Ticket:
    team, target, rows = document
    homes = tuple(
        TicketHome(Home(str(host), str(incarnation)), int(issued_ms))
        for host, incarnation, issued_ms in rows
    )
    if not homes:
        raise ValueError("no homes")
    return Ticket(str(team), str(target), homes)


def _bad_ticket(what: str) -> RequestError:
    detail = f"the ticket {what}; look up a new one, or send the one the key began with"
    return RequestError(detail, Code.BAD_TICKET)


def _check(payload: bytes) -> str:
    return xxhash.xxh3_64_hexdigest(payload)


def _weight(key: str, home: Home) -> int:
    return xxhash.xxh3_64_intdigest(f"{home.host}\0{home.incarnation}\0{key}".encode())
