"""Fingerprints by which a request, or a part of its prompt, is recognized again."""

import dataclasses
import typing as t

from fuchsiahatch_delivery.keys import fingerprint_of

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.caller_requests import CallerRequest
    from fuchsiahatch_http1.exchange import Exchange

#: Length of the fingerprints of teams and prompt parts, in hexadecimal digits.
SHORT_DIGITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprints:
    """Fingerprints of one request, the same at each entry.

    Attributes
    ----------
    service : str
        Its service, in clear.
    team : str
        Empty where the route needs no key.
    request : str
        Of the request as a whole, without its id and its other headers, as callers
        change some of them each time.
    parts : tuple of str
        Of the prompt parts that other requests to the service may share.
    """

    service: str
    team: str
    request: str
    parts: tuple[str, ...] = ()

    @property
    def keys(self) -> frozenset[str]:
        """Fingerprints of the request and of its prompt parts."""
        return frozenset((self.request, *self.parts))


def fingerprints_of(
    exchange: "Exchange", request: "CallerRequest", team: str, service: str
) -> Fingerprints:
    """Return the fingerprints of a team's request to a service."""
    method, target = (
        exchange.method.decode("latin-1"),
        exchange.target.decode("latin-1"),
    )
    whole = fingerprint_of(method, target, f"{team}@{request.host}", exchange.body)
    return Fingerprints(
        service,
        team and _short_digest("team", team),
        whole.hex(),
        tuple(_short_digest("part", service, part) for part in request.shared_parts),
    )


def digest_of_keys(keys: t.Iterable[str], team: str) -> str:
    """Return a name for a set of fingerprints of a team's requests."""
    return _short_digest("keys", team, ",".join(sorted(keys)))


def _short_digest(kind: str, scope: str, text: str = "") -> str:
    return fingerprint_of(kind, scope, text, b"").hex()[:SHORT_DIGITS]
