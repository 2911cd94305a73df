"""Reads and checks callers' requests; a bad one is told what to change."""

import dataclasses
import json
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import (
    DEADLINE_MS,
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
)
from fuchsiahatch_core.exceptions import RequestError
from fuchsiahatch_routing.candidates import Target
from fuchsiahatch_routing.queues import DEFAULT_PRIORITY, PRIORITY_CLASSES

if t.TYPE_CHECKING:
    from twisted.web.server import Request

TEAM_HEADER = "Fuchsiahatch-Team"
DEADLINE_HEADER = "Fuchsiahatch-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
TICKET_HEADER = "Fuchsiahatch-Ticket"
PRIORITY_HEADER = "Fuchsiahatch-Priority"

_REPEATABLE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
_PRIORITIES = tuple(map(str, range(PRIORITY_CLASSES)))
_PASSED_HEADERS = ("Content-Type", "Accept", KEY_HEADER)
_MAX_KEY_CHARACTERS = 255
_SEGMENTS_BEFORE_PATH = 3
_LOOKUP_ARGUMENTS = ("team", "model", "service")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request of a caller.

    Attributes
    ----------
    team : str
    target : Target
        Model or service asked for.
    method, path : str
        As the upstream shall see them.
    headers : tuple of (str, str)
        Those that go on to the upstream.
    body : bytes
    key : str
        The idempotency key, empty without one.
    deadline_ms : int
        Time that the caller gives it from now.
    idempotent : bool
        Whether it may run more than once.
    ticket : str
        The ticket that the key began with, empty without one.
    priority : int
        Class among the team's own requests; smaller goes first.
    """

    team: str
    target: Target
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    deadline_ms: int
    idempotent: bool
    ticket: str = ""
    priority: int = DEFAULT_PRIORITY


def read_lookup(request: "Request") -> tuple[str, Target] | None:
    """Check what a lookup asks a ticket for; None when it asks for none.

    Raises
    ------
    RequestError
        Saying what to change.
    """
    arguments = {name: _argument(request, name) for name in _LOOKUP_ARGUMENTS}
    if not any(arguments.values()):
        return None
    asked = arguments["model"] or arguments["service"]
    if not arguments["team"] or not asked:
        detail = "for a ticket, lookup needs `team` and one of `model` and `service`"
        raise RequestError(detail, Code.BAD_REQUEST)
    name, _, version = asked.partition("@")
    return arguments["team"], Target(name, version)


def read_completion(request: "Request") -> CallerRequest:
    """Check a chat completion request.

    Raises
    ------
    RequestError
        Saying what to change.
    """
    body = _read_body(request)
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as fault:
        raise RequestError(f"the body is not JSON: {fault}", Code.BAD_BODY) from fault
    model = document.get("model") if isinstance(document, dict) else None
    if not isinstance(model, str) or not model:
        raise RequestError("the body needs a string `model`", Code.BAD_BODY)
    name, _, version = model.partition("@")
    key = _read_key(request)
    return _caller_request(
        request, Target(name, version), "/v1/chat/completions", body, key, not key
    )


def read_service_call(request: "Request", name: str) -> CallerRequest:
    """Check a call to a plain service.

    Raises
    ------
    RequestError
        Saying what to change.
    """
    body = _read_body(request)
    repeatable = request.method.decode() in _REPEATABLE_METHODS
    name, _, version = name.partition("@")
    # A repeatable call needs no home: its key is only passed on.
    key = "" if repeatable else _read_key(request)
    path = _read_path(request)
    return _caller_request(request, Target(name, version), path, body, key, repeatable)


def _caller_request(
    request: "Request",
    target: Target,
    path: str,
    body: bytes,
    key: str,
    idempotent: bool,
) -> CallerRequest:
    return CallerRequest(
        team=_read_team(request),
        target=target,
        method=request.method.decode(),
        path=path,
        headers=_passed_headers(request),
        body=body,
        key=key,
        deadline_ms=_read_deadline(request),
        idempotent=idempotent,
        ticket=_read_header(request, TICKET_HEADER) or "",
        priority=_read_priority(request),
    )


def _argument(request: "Request", name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    return values[0].decode("utf-8", "replace")


def _read_body(request: "Request") -> bytes:
    body = request.content.read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        detail = f"the body is longer than {MAX_BODY_BYTES} bytes"
        raise RequestError(detail, Code.BODY_TOO_LARGE)
    return body


def _read_header(request: "Request", name: str) -> str | None:
    raw = request.getHeader(name.encode())
    if raw is None:
        return None
    text = raw.decode("latin-1")
    if not text.isascii() or not text.isprintable():
        detail = f"header {name} may hold only printable ASCII"
        raise RequestError(detail, Code.BAD_HEADER)
    return text


def _read_path(request: "Request") -> str:
    # As it was sent: decoded, an escaped "?" or line end would become a real one in
    # the upstream's request line.
    uri = request.uri.decode("latin-1")
    if not uri.isascii() or not uri.isprintable() or " " in uri:
        detail = "the path may hold only printable ASCII; escape the rest with %"
        raise RequestError(detail, Code.BAD_REQUEST)
    return "/" + uri.split("/", _SEGMENTS_BEFORE_PATH)[-1]


def _read_team(request: "Request") -> str:
    team = _read_header(request, TEAM_HEADER)
    if not team:
        raise RequestError(f"header {TEAM_HEADER} is missing", Code.BAD_HEADER)
    return team


def _read_key(request: "Request") -> str:
    key = _read_header(request, KEY_HEADER) or ""
    if len(key) > _MAX_KEY_CHARACTERS:
        detail = f"{KEY_HEADER} is longer than {_MAX_KEY_CHARACTERS} characters"
        raise RequestError(detail, Code.BAD_HEADER)
    return key


def _read_deadline(request: "Request") -> int:
    text = _read_header(request, DEADLINE_HEADER)
    if text is None:
        return DEADLINE_MS
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
        detail = f"{DEADLINE_HEADER} must be a whole number from 1 to {MAX_DEADLINE_MS}"
        raise RequestError(detail, Code.BAD_HEADER)
    return int(text)


def _read_priority(request: "Request") -> int:
    text = _read_header(request, PRIORITY_HEADER)
    if text is None:
        return DEFAULT_PRIORITY
    if text not in _PRIORITIES:
        allowed = ", ".join(_PRIORITIES)
        detail = f"{PRIORITY_HEADER} must be one of {allowed}; 0 goes first"
        raise RequestError(detail, Code.BAD_HEADER)
    return int(text)


def _passed_headers(request: "Request") -> tuple[tuple[str, str], ...]:
    found = ((name, _read_header(request, name)) for name in _PASSED_HEADERS)
    return tuple((name, value) for name, value in found if value is not None)
