"""What tells one caller's request again when it comes under another id."""

import hashlib
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.server import Exchange

FINGERPRINT_BYTES = 12


def fingerprint_of(exchange: "Exchange", host: str, team: str) -> str:
    """Return the fingerprint of a request: of its team, place and body.

    Two requests of one team with the same method, host, target and body have the same,
    at each entry. Headers don't count: callers draw some of them anew.

    Parameters
    ----------
    exchange : Exchange
    host : str
    team : str
        Empty where requests need no key.

    Returns
    -------
    fingerprint : str
        Hexadecimal; nothing of the body can be read from it.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (team.encode(), exchange.method, host.encode(), exchange.target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(exchange.body)
    return digest.hexdigest()
